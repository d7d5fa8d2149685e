"""Tests of real gateway processes with stand-ins for the platform's store and backends."""

import asyncio
import signal

from egretrail.testing import cases
from scaffolding.platform import Behaviour, StandInBackend
from scaffolding.platform.fleet import config, route
from scaffolding.platform.store import StoreMode
from scaffolding.tests.gateway_harness import ROUTES, FleetHarness, GatewayTest


class ForwardingTest(GatewayTest):
    def test_every_gateway_forwards_requests_and_their_responses(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for number in range(3):
                result = await harness.send_read(number, f"/read/{number}?q={number}")
                self.assertEqual(200, result.status)
                self.assertTrue(result.body.endswith(b"GET /read/%d?q=%d" % (number, number)))
                self.assertEqual(1, harness.run_count(result))
                order = await harness.send_order(number, b"x" * 5000)
                self.assertEqual((200, 1), (order.status, harness.run_count(order)))
                received = [b.received.get(order.attempt) for b in harness.fleet.backends]
                self.assertIn(("POST", "/order/1", b"x" * 5000), received)

        self.run_scenario(scenario)

    def test_unknown_routes_get_404_and_a_directory_names_ready_gateways(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            self.assertEqual(404, (await harness.send_read(0, "/nothing/1")).status)

            async def all_named() -> bool:
                addresses = await harness.client.resolve_addresses(
                    harness.fleet.directory_address(0), "zone-a"
                )
                return set(addresses) == {harness.fleet.traffic_address(n) for n in range(3)}

            await harness.wait_until(all_named, "directory")

        self.run_scenario(scenario)

    def test_backends_get_a_deadline_of_at_most_the_remaining_time(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            result = await harness.send_read(0, wait_s=1.5)
            stated = [
                b.deadlines_ms[result.attempt]
                for b in harness.fleet.backends
                if b.runs[result.attempt]
            ]
            self.assertLessEqual(stated[0], 1500)
            self.assertGreater(stated[0], 0)

        self.run_scenario(scenario)


class FaultyBackendTest(GatewayTest):
    @cases(
        {
            "failing": (Behaviour.FAILING, 500),
            "resetting": (Behaviour.RESETTING, 502),
            "truncating": (Behaviour.TRUNCATING, 502),
            "nonsense": (Behaviour.MALFORMED, 502),
            "unsealed": (Behaviour.UNSEALED, 502),
            "shedding": (Behaviour.SHEDDING, 503),
            "doubling": (Behaviour.EXTRA_RESPONSE, 200),
            "crossing": (Behaviour.STALE_RESPONSE, 200),
        }
    )
    def test_orders_run_at_most_once_and_responses_are_correct(
        self, case: tuple[Behaviour, int]
    ) -> None:
        behaviour, status = case

        async def scenario(harness: FleetHarness) -> None:
            for backend in harness.fleet.backends:
                backend.behaviour = behaviour
            statuses = set()
            for number in range(6):
                result = await harness.send_order(number % 3, b"order %d" % number)
                statuses.add(result.status)
                self.assertLessEqual(harness.run_count(result), 1)
                if result.status == 503:
                    self.assertEqual(0, harness.run_count(result))
                    self.assertIsNotNone(result.retry_after_s)
                if result.status == 200:
                    self.assertTrue(result.body.endswith(b"POST /order/1"))
            self.assertIn(status, statuses)
            self.assertLessEqual(statuses, {status, 503})

        self.run_scenario(scenario)

    @cases({b.value: b for b in (Behaviour.FAILING, Behaviour.RESETTING, Behaviour.HANGING)})
    def test_reads_are_served_by_another_backend(self, behaviour: Behaviour) -> None:
        async def scenario(harness: FleetHarness) -> None:
            harness.fleet.backends[0].behaviour = behaviour
            for number in range(9):
                self.assertEqual(200, (await harness.send_read(number % 3)).status)

        self.run_scenario(scenario)


class LeavingTest(GatewayTest):
    @cases({"draining": "draining", "removed": "removed"})
    def test_a_draining_or_removed_backend_gets_no_new_requests(self, how: str) -> None:
        async def scenario(harness: FleetHarness) -> None:
            backend = harness.fleet.backends[0]
            if how == "draining":
                harness.fleet.store.write(f"servers/{backend.id}", backend.store_entry("draining"))
            else:
                harness.fleet.store.remove(f"servers/{backend.id}")

            async def logged() -> bool:
                return all(f"upstream={backend.id}" in harness.fleet.log(n) for n in range(3))

            await harness.wait_until(logged, "all gateways know")
            before = sum(backend.runs.values())
            for number in range(30):
                self.assertEqual(200, (await harness.send_read(number % 3)).status)
            self.assertEqual(before, sum(backend.runs.values()))

        self.run_scenario(scenario)

    # Guards against a reader that takes over and sees only the late write of the old lifetime.
    @cases({"after a drain": True, "after a crash": False})
    def test_a_backend_that_starts_again_under_its_id_gets_work(self, drained: bool) -> None:
        async def scenario(harness: FleetHarness) -> None:
            old = harness.fleet.backends[0]
            key = f"servers/{old.id}"
            if drained:
                harness.fleet.store.write(key, {**old.store_entry("draining"), "born": 1_000})
            await old.stop()
            new = StandInBackend(old.service, old.zone, id=old.id, born=2_000)
            await new.start()
            harness.fleet.backends.append(new)
            harness.fleet.store.write(key, new.store_entry())
            # A late write of the old lifetime, which must not make the new one drain.
            harness.fleet.store.write(key, {**old.store_entry("draining"), "born": 1_000})

            async def gets_work() -> bool:
                await asyncio.gather(*(harness.send_read(number % 3) for number in range(12)))
                return sum(new.runs.values()) >= 3

            await harness.wait_until(gets_work, "the new lifetime gets work")
            before = sum(old.runs.values())
            for number in range(12):
                await harness.send_read(number % 3)
            self.assertEqual(before, sum(old.runs.values()))

        self.run_scenario(scenario)

    def test_a_stopped_gateway_finishes_its_requests_and_leaves_the_directory(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for backend in harness.fleet.backends:
                backend.work_s = 0.6
            in_flight = [asyncio.create_task(harness.send_order(0)) for _ in range(4)]
            await asyncio.sleep(0.3)
            harness.fleet.signal_gateway(0, signal.SIGTERM)

            async def left() -> bool:
                addresses = await harness.client.resolve_addresses(
                    harness.fleet.directory_address(1), "zone-b"
                )
                ready = await harness.client.is_ready(harness.fleet.readiness_address(0))
                return harness.fleet.traffic_address(0) not in addresses and not ready

            await harness.wait_until(left, "left")
            late = await harness.send_order(0)
            # New requests are accepted for half of the grace period, and refused unexecuted later.
            self.assertIn((late.status, harness.run_count(late)), [(200, 1), (503, 0)])
            for task in in_flight:
                self.assertEqual(200, (await task).status)
            self.assertEqual(0, await harness.fleet.exit_code(0))

        self.run_scenario(scenario)


class ConfigurationTest(GatewayTest):
    def test_only_a_newer_valid_version_comes_into_force(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            store = harness.fleet.store
            store.write("op/config", config(5, [*ROUTES, route("new", "/new/", "catalogue")]))

            async def in_force_everywhere() -> bool:
                results = [await harness.send_read(n, "/new/1") for n in range(3)]
                return all(result.status == 200 for result in results)

            await harness.wait_until(in_force_everywhere, "in force")
            store.write("op/config", config(4, ROUTES))
            store.write("op/config", {"version": "00000009", "routes": "none"})

            async def refused() -> bool:
                return any("config_refused" in harness.fleet.log(n) for n in range(3))

            await harness.wait_until(refused, "refused")
            self.assertTrue(await in_force_everywhere())

        self.run_scenario(scenario)

    def test_large_configurations_reach_all_gateways_and_a_restarted_one(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            store = harness.fleet.store
            many = [route(f"r{n}", f"/many/{n}/", "catalogue") for n in range(3_000)]
            for version in range(5, 15):
                rows = [*ROUTES, *many, route("new", f"/new/{version}/", "catalogue")]
                store.write("op/config", config(version, rows))
                if version == 9:
                    harness.fleet.signal_gateway(3)
                    await harness.fleet.exit_code(3)
                    await harness.fleet.start_gateway(3)
                await asyncio.sleep(0.1)

            async def in_force_everywhere() -> bool:
                results = [await harness.send_read(n, "/new/14/1") for n in range(4)]
                return all(result.status == 200 for result in results)

            await harness.wait_until(in_force_everywhere, "in force")
            for number in range(4):
                self.assertEqual(200, (await harness.send_read(number, "/many/2999/1")).status)
                self.assertEqual(404, (await harness.send_read(number, "/new/5/1")).status)
                self.assertNotIn("task_failed", harness.fleet.log(number))
                self.assertIn("routes=3003 behind_s", harness.fleet.log(number))

        self.run_scenario(scenario, count=4)

    def test_gateways_serve_and_start_while_the_store_is_unavailable(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            harness.fleet.store.mode = StoreMode.UNAVAILABLE
            harness.fleet.signal_gateway(2)
            await harness.fleet.exit_code(2)
            await harness.fleet.start_gateway(2)
            await harness.wait_until_ready(2)
            for number in range(3):
                self.assertEqual(200, (await harness.send_read(number)).status)

        self.run_scenario(scenario)

    def test_gateways_rejected_by_the_store_get_the_configuration_from_peers(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            # All gateways of one zone, which otherwise read the store themselves.
            for number in (0, 2):
                harness.fleet.store.mode_overrides[harness.fleet.store_host(number)] = (
                    StoreMode.UNAVAILABLE
                )
            version = config(7, [*ROUTES, route("new", "/new/", "catalogue")])
            harness.fleet.store.write("op/config", version)

            async def in_force_everywhere() -> bool:
                results = [await harness.send_read(n, "/new/1") for n in range(4)]
                return all(result.status == 200 for result in results)

            await harness.wait_until(in_force_everywhere, "in force")

            async def logged() -> bool:
                return all("version=7 before" in harness.fleet.log(number) for number in (0, 2))

            await harness.wait_until(logged, "logged")
            for number in (0, 2):
                [line] = [x for x in harness.fleet.log(number).splitlines() if "version=7 be" in x]
                self.assertIn('source="peer ', line)

        self.run_scenario(scenario, count=4)

    def test_a_discarded_history_causes_one_new_read(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            store = harness.fleet.store
            store.write("op/other", {})
            store.discard_history()
            store.write("op/config", config(8, [*ROUTES, route("new", "/new/", "catalogue")]))

            async def in_force_everywhere() -> bool:
                return (await harness.send_read(1, "/new/1")).status == 200

            await harness.wait_until(in_force_everywhere, "in force")

            def read_count() -> int:
                # The list of instances is read and written by other calls, every few seconds.
                return sum(store.call_counts[path] for path in ("/api/kv-range", "/api/kv-watch"))

            reads = read_count()
            await asyncio.sleep(1.0)
            self.assertLess(read_count() - reads, 10)

        self.run_scenario(scenario)


class ClientDisconnectTest(GatewayTest):
    def test_a_run_is_cancelled_when_its_client_disconnects(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for backend in harness.fleet.backends:
                backend.work_s = 30.0
            waiting = asyncio.create_task(harness.send_read(0, wait_s=30.0))

            async def is_running() -> bool:
                return any(backend.runs for backend in harness.fleet.backends)

            await harness.wait_until(is_running, "begun")
            waiting.cancel()

            async def cancelled() -> bool:
                return any(backend.cancelled for backend in harness.fleet.backends)

            await harness.wait_until(cancelled, "cancelled")

        self.run_scenario(scenario)
