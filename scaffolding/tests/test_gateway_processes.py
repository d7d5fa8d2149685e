"""Gateways as real processes before stand-ins of the platform's store and backends."""

import asyncio
import signal

from egretrail.testing import cases
from scaffolding.platform import Behaviour, StandInBackend
from scaffolding.platform.fleet import config, route
from scaffolding.platform.store import StoreMode
from scaffolding.tests.gateway_stage import ROUTES, GatewayTest, Stage


class PathTest(GatewayTest):
    def test_a_request_gets_its_own_answer_from_every_gateway(self) -> None:
        async def act(stage: Stage) -> None:
            for number in range(3):
                reply = await stage.read(number, f"/read/{number}?q={number}")
                self.assertEqual(200, reply.status)
                self.assertTrue(reply.body.endswith(b"GET /read/%d?q=%d" % (number, number)))
                self.assertEqual(1, stage.runs(reply))
                order = await stage.order(number, b"x" * 5000)
                self.assertEqual((200, 1), (order.status, stage.runs(order)))
                seen = [b.seen.get(order.attempt) for b in stage.fleet.backends]
                self.assertIn(("POST", "/order/1", b"x" * 5000), seen)

        self.play(act)

    def test_unknown_routes_get_404_and_a_directory_names_ready_gateways(self) -> None:
        async def act(stage: Stage) -> None:
            self.assertEqual(404, (await stage.read(0, "/nothing/1")).status)

            async def all_named() -> bool:
                named = await stage.caller.ask_directory(stage.fleet.directory(0), "zone-a")
                return set(named) == {stage.fleet.traffic(n) for n in range(3)}

            await stage.until(all_named, "directory")

        self.play(act)

    def test_backends_are_told_no_more_time_than_is_left(self) -> None:
        async def act(stage: Stage) -> None:
            reply = await stage.read(0, wait_s=1.5)
            told = [b.told_ms[reply.attempt] for b in stage.fleet.backends if b.runs[reply.attempt]]
            self.assertLessEqual(told[0], 1500)
            self.assertGreater(told[0], 0)

        self.play(act)


class FaultyBackendTest(GatewayTest):
    @cases(
        {
            "failing": (Behaviour.FAILING, 500),
            "resetting": (Behaviour.RESETTING, 502),
            "truncating": (Behaviour.TRUNCATING, 502),
            "nonsense": (Behaviour.NONSENSE, 502),
            "unsealed": (Behaviour.UNSEALED, 502),
            "shedding": (Behaviour.SHEDDING, 503),
            "doubling": (Behaviour.DOUBLING, 200),
            "crossing": (Behaviour.CROSSING, 200),
        }
    )
    def test_orders_run_at_most_once_and_answers_are_true(
        self, case: tuple[Behaviour, int]
    ) -> None:
        behaviour, status = case

        async def act(stage: Stage) -> None:
            for backend in stage.fleet.backends:
                backend.behaviour = behaviour
            statuses = set()
            for number in range(6):
                reply = await stage.order(number % 3, b"order %d" % number)
                statuses.add(reply.status)
                self.assertLessEqual(stage.runs(reply), 1)
                if reply.status == 503:
                    self.assertEqual(0, stage.runs(reply))
                    self.assertIsNotNone(reply.retry_after_s)
                if reply.status == 200:
                    self.assertTrue(reply.body.endswith(b"POST /order/1"))
            self.assertIn(status, statuses)
            self.assertLessEqual(statuses, {status, 503})

        self.play(act)

    @cases({b.value: b for b in (Behaviour.FAILING, Behaviour.RESETTING, Behaviour.HANGING)})
    def test_reads_are_served_by_another_backend(self, behaviour: Behaviour) -> None:
        async def act(stage: Stage) -> None:
            stage.fleet.backends[0].behaviour = behaviour
            for number in range(9):
                self.assertEqual(200, (await stage.read(number % 3)).status)

        self.play(act)


class LeavingTest(GatewayTest):
    @cases({"draining": "draining", "removed": "removed"})
    def test_a_leaving_backend_gets_no_new_work(self, how: str) -> None:
        async def act(stage: Stage) -> None:
            leaving = stage.fleet.backends[0]
            if how == "draining":
                stage.fleet.store.write(f"servers/{leaving.id}", leaving.record("draining"))
            else:
                stage.fleet.store.remove(f"servers/{leaving.id}")

            async def told() -> bool:
                return all(f"upstream={leaving.id}" in stage.fleet.log(n) for n in range(3))

            await stage.until(told, "all gateways know")
            before = sum(leaving.runs.values())
            for number in range(30):
                self.assertEqual(200, (await stage.read(number % 3)).status)
            self.assertEqual(before, sum(leaving.runs.values()))

        self.play(act)

    @cases({"after a drain": True, "after a crash": False})
    def test_a_backend_that_starts_again_under_its_id_gets_work(self, drained: bool) -> None:
        async def act(stage: Stage) -> None:
            old = stage.fleet.backends[0]
            key = f"servers/{old.id}"
            if drained:
                stage.fleet.store.write(key, {**old.record("draining"), "born": 1_000})
            await old.stop()
            new = StandInBackend(old.service, old.zone, id=old.id, born=2_000)
            await new.start()
            stage.fleet.backends.append(new)
            stage.fleet.store.write(key, new.record())
            # A word of the old lifetime that the store takes late.
            stage.fleet.store.write(key, {**old.record("draining"), "born": 1_000})

            async def works() -> bool:
                await asyncio.gather(*(stage.read(number % 3) for number in range(12)))
                return sum(new.runs.values()) >= 3

            await stage.until(works, "the new lifetime gets work")
            before = sum(old.runs.values())
            for number in range(12):
                await stage.read(number % 3)
            self.assertEqual(before, sum(old.runs.values()))

        self.play(act)

    def test_a_stopped_gateway_finishes_its_work_and_leaves_the_directory(self) -> None:
        async def act(stage: Stage) -> None:
            for backend in stage.fleet.backends:
                backend.work_s = 0.6
            under_way = [asyncio.create_task(stage.order(0)) for _ in range(4)]
            await asyncio.sleep(0.3)
            stage.fleet.kill(0, signal.SIGTERM)

            async def left() -> bool:
                named = await stage.caller.ask_directory(stage.fleet.directory(1), "zone-b")
                ready = await stage.caller.is_ready(stage.fleet.ready(0))
                return stage.fleet.traffic(0) not in named and not ready

            await stage.until(left, "left")
            late = await stage.order(0)
            # Taken for half of the grace, and truly refused later.
            self.assertIn((late.status, stage.runs(late)), [(200, 1), (503, 0)])
            for task in under_way:
                self.assertEqual(200, (await task).status)
            self.assertEqual(0, await stage.fleet.exit_code(0))

        self.play(act)


class ConfigurationTest(GatewayTest):
    def test_a_new_version_is_in_force_everywhere_and_an_older_or_broken_one_nowhere(self) -> None:
        async def act(stage: Stage) -> None:
            store = stage.fleet.store
            store.write("op/config", config(5, [*ROUTES, route("new", "/new/", "catalogue")]))

            async def everywhere() -> bool:
                replies = [await stage.read(n, "/new/1") for n in range(3)]
                return all(reply.status == 200 for reply in replies)

            await stage.until(everywhere, "in force")
            store.write("op/config", config(4, ROUTES))
            store.write("op/config", {"version": "00000009", "routes": "none"})

            async def refused() -> bool:
                return any("config_refused" in stage.fleet.log(n) for n in range(3))

            await stage.until(refused, "refused")
            self.assertTrue(await everywhere())

        self.play(act)

    def test_thousands_of_routes_and_their_changes_reach_all_and_one_that_starts(self) -> None:
        async def act(stage: Stage) -> None:
            store = stage.fleet.store
            many = [route(f"r{n}", f"/many/{n}/", "catalogue") for n in range(3_000)]
            for version in range(5, 15):
                rows = [*ROUTES, *many, route("new", f"/new/{version}/", "catalogue")]
                store.write("op/config", config(version, rows))
                if version == 9:
                    stage.fleet.kill(3)
                    await stage.fleet.exit_code(3)
                    await stage.fleet.start_gateway(3)
                await asyncio.sleep(0.1)

            async def everywhere() -> bool:
                replies = [await stage.read(n, "/new/14/1") for n in range(4)]
                return all(reply.status == 200 for reply in replies)

            await stage.until(everywhere, "in force")
            for number in range(4):
                self.assertEqual(200, (await stage.read(number, "/many/2999/1")).status)
                self.assertEqual(404, (await stage.read(number, "/new/5/1")).status)
                self.assertNotIn("task_failed", stage.fleet.log(number))
                self.assertIn("routes=3003 behind_s", stage.fleet.log(number))

        self.play(act, count=4)

    def test_gateways_serve_and_start_while_the_store_is_away(self) -> None:
        async def act(stage: Stage) -> None:
            stage.fleet.store.mode = StoreMode.BUSY
            stage.fleet.kill(2)
            await stage.fleet.exit_code(2)
            await stage.fleet.start_gateway(2)
            await stage.until_ready(2)
            for number in range(3):
                self.assertEqual(200, (await stage.read(number)).status)

        self.play(act)

    def test_gateways_that_the_store_turns_away_learn_from_the_others(self) -> None:
        async def act(stage: Stage) -> None:
            # The gateways of one zone, which read the store for themselves otherwise.
            for number in (0, 2):
                stage.fleet.store.modes[stage.fleet.store_host(number)] = StoreMode.BUSY
            version = config(7, [*ROUTES, route("new", "/new/", "catalogue")])
            stage.fleet.store.write("op/config", version)

            async def everywhere() -> bool:
                replies = [await stage.read(n, "/new/1") for n in range(4)]
                return all(reply.status == 200 for reply in replies)

            await stage.until(everywhere, "in force")

            async def logged() -> bool:
                return all("version=7 before" in stage.fleet.log(number) for number in (0, 2))

            await stage.until(logged, "logged")
            for number in (0, 2):
                [line] = [x for x in stage.fleet.log(number).splitlines() if "version=7 be" in x]
                self.assertIn('source="peer ', line)

        self.play(act, count=4)

    def test_a_lost_history_is_read_again(self) -> None:
        async def act(stage: Stage) -> None:
            store = stage.fleet.store
            store.write("op/other", {})
            store.forget_history()
            store.write("op/config", config(8, [*ROUTES, route("new", "/new/", "catalogue")]))

            async def everywhere() -> bool:
                return (await stage.read(1, "/new/1")).status == 200

            await stage.until(everywhere, "in force")
            calls = sum(store.calls.values())
            await asyncio.sleep(1.0)
            self.assertLess(sum(store.calls.values()) - calls, 10)

        self.play(act)


class ClientLeavesTest(GatewayTest):
    def test_work_ends_when_its_client_has_left(self) -> None:
        async def act(stage: Stage) -> None:
            for backend in stage.fleet.backends:
                backend.work_s = 30.0
            waiting = asyncio.create_task(stage.read(0, wait_s=30.0))

            async def begun() -> bool:
                return any(backend.runs for backend in stage.fleet.backends)

            await stage.until(begun, "begun")
            waiting.cancel()

            async def cancelled() -> bool:
                return any(backend.cancelled for backend in stage.fleet.backends)

            await stage.until(cancelled, "cancelled")

        self.play(act)
