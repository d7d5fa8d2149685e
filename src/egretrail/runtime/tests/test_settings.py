"""Settings in a fleet: changes are in force within seconds and are never reverted."""

import asyncio
from collections.abc import Callable, Coroutine

from result import Err, Ok

from egretrail.identity import InstanceName
from egretrail.runtime.tests.settings_fleet import (
    ROUTE,
    SERVICE,
    SettingsFleet,
    floor_of,
)
from egretrail.settings import (
    ConcurrentChange,
    SettingPath,
    StoreBehind,
    StoreUnreachable,
    WriteUnresolved,
)
from egretrail.testing import EgretrailTestCase, FakeStore, cases

_OTHER = SettingPath.parse("t/services/b").unwrap()


class SettingsTestCase(EgretrailTestCase):
    def run_fleet(
        self, size: int, body: Callable[[SettingsFleet], Coroutine[object, object, None]]
    ) -> None:
        """Run a coroutine on a started fleet with a service of floor 1."""

        async def run() -> None:
            fleet = SettingsFleet(size)
            await fleet.start()
            await fleet.put_floor(1)
            await fleet.until_floor(1)
            try:
                await body(fleet)
            finally:
                await fleet.stop()

        self.run_paused(run())


class SpreadTest(SettingsTestCase):
    def test_a_change_is_in_force_everywhere_within_seconds(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            revision = await fleet.put_floor(2)
            self.assertLess(await fleet.until_floor(2), 6.0)
            found = await fleet.first_driver().in_force(SERVICE, revision)
            self.assertEqual((44, [], []), (len(found.have), found.lack, found.silent))

        self.run_fleet(44, body)

    @cases({"light": (12, 0.3), "heavy": (44, 0.4)})
    def test_lost_and_duplicated_messages_only_delay_a_change(self, row: tuple[int, float]) -> None:
        size, loss_share = row

        async def body(fleet: SettingsFleet) -> None:
            fleet.network.loss_share = loss_share
            fleet.network.double_share = 0.3
            await fleet.put_floor(2)
            self.assertLess(await fleet.until_floor(2), 20.0)

        self.run_fleet(size, body)

    def test_a_change_written_directly_to_the_store_is_applied(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            await fleet.store.put("egretrail/settings/t/services/b", "floor = 3", 0)
            await asyncio.sleep(6.0)
            floors = {d.settings().services["t/b"].floor for d in fleet.drivers.values()}  # type: ignore[index]
            self.assertEqual({3}, floors)

        self.run_fleet(12, body)

    def test_without_watchers_a_change_is_only_delayed(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            for driver in fleet.drivers.values():
                driver._watches = lambda: False  # type: ignore[method-assign]
            await asyncio.sleep(15.0)
            await fleet.store.put("egretrail/settings/t/services/b", "floor = 3", 0)
            await asyncio.sleep(90.0)
            self.assertTrue(all(len(d.settings().services) == 2 for d in fleet.drivers.values()))

        self.run_fleet(6, body)

    def test_paused_watchers_do_not_delay_changes(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            watching = [n for n, d in fleet.drivers.items() if d.status().watches]
            for name in watching[:3]:
                fleet.network.frozen[name] = asyncio.Event()
            await fleet.store.put("egretrail/settings/t/services/b", "floor = 3", 0)
            await asyncio.sleep(6.0)
            lacking = [n for n, d in fleet.drivers.items() if len(d.settings().services) != 2]
            self.assertLess(set(lacking), {*watching[:3], InstanceName("")})
            for name in watching[:3]:
                fleet.network.frozen.pop(name).set()
            await asyncio.sleep(6.0)
            self.assertTrue(all(len(d.settings().services) == 2 for d in fleet.drivers.values()))

        self.run_fleet(12, body)


class WriteTest(SettingsTestCase):
    @cases({"once": 1, "thrice": 3})
    def test_a_lost_reply_is_resolved_by_a_read(self, lost: int) -> None:
        async def body(fleet: SettingsFleet) -> None:
            fleet.store.lose_replies = lost
            revision = await fleet.put_floor(2)
            entry = fleet.store.entries["egretrail/settings/t/services/a"]
            self.assertEqual(entry.revision, revision)
            self.assertEqual(2, len(fleet.store.history))

        self.run_fleet(3, body)

    def test_a_lost_reply_and_an_outage_are_resolved_by_a_retry(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            driver = fleet.first_driver()
            fleet.store.lose_replies = 1

            async def outage(name: str) -> Ok[None]:
                return Err(StoreUnreachable(name, "out"))  # type: ignore[return-value]

            get = fleet.store.get
            fleet.store.get = outage  # type: ignore[method-assign,assignment]
            seen = 1
            answer = await driver.put(SERVICE, "floor = 2", seen, "change-two", "t")
            assert isinstance(answer, Err)
            self.assertIsInstance(answer.err_value, WriteUnresolved)
            fleet.store.get = get  # type: ignore[method-assign]
            again = await driver.put(SERVICE, "floor = 2", seen, "change-two", "t")
            self.assertEqual(2, again.unwrap().revision)
            self.assertEqual(2, len(fleet.store.history))

        self.run_fleet(3, body)

    def test_of_two_concurrent_writes_the_refused_one_reports_both_changes(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            fleet.store.delay_s = 0.05
            one, other, *_ = fleet.drivers.values()
            answers = await asyncio.gather(
                one.put(SERVICE, "floor = 2", 1, "change-two", "ann"),
                other.put(SERVICE, "floor = 3", 1, "change-three", "bob"),
            )
            (lost,) = [a.err_value for a in answers if isinstance(a, Err)]
            assert isinstance(lost, ConcurrentChange)
            texts = {lost.yours.text, lost.theirs.text}
            self.assertEqual({"floor = 2", "floor = 3"}, texts)
            self.assertEqual((1, 2), (lost.expected_revision, lost.actual_revision))
            assert lost.theirs.text is not None
            await fleet.until_floor(int(lost.theirs.text[-1]))

        self.run_fleet(6, body)

    def test_writes_are_refused_in_a_store_outage_and_settings_stay_in_force(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            fleet.store.set_out(True)
            await asyncio.sleep(2 * 3600.0)
            answer = await fleet.first_driver().put(SERVICE, "floor = 2", 1, "change-two", "t")
            assert isinstance(answer, Err)
            self.assertIsInstance(answer.err_value, StoreUnreachable)
            self.assertEqual({1}, set(fleet.floors().values()))
            fleet.store.set_out(False)
            await fleet.put_floor(3)
            self.assertLess(await fleet.until_floor(3), 6.0)

        self.run_fleet(3, body)

    def test_a_route_needs_its_service_and_a_used_service_cannot_be_deleted(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            driver = fleet.first_driver()
            text = 'service = "{}"\npath_prefix = "/x"'
            wrong = await driver.put(ROUTE, text.format("b"), 0, "change-wrong", "t")
            right = await driver.put(ROUTE, text.format("a"), 0, "change-right", "t")
            used = await driver.delete(SERVICE, 1, "change-delete", "t")
            kinds = [type(answer) for answer in (wrong, right, used)]
            self.assertEqual([Err, Ok, Err], kinds)

        self.run_fleet(3, body)

    def test_conflicting_writes_to_two_paths_are_reported_to_the_operators(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            fleet.store.delay_s = 0.05
            one, other, *_ = fleet.drivers.values()
            text = 'service = "a"\npath_prefix = "/x"'
            deleted, put = await asyncio.gather(
                one.delete(SERVICE, 1, "change-delete", "t"),
                other.put(ROUTE, text, 0, "change-route", "t"),
            )
            shown = [*deleted.unwrap().conflicts, *put.unwrap().conflicts]
            self.assertEqual({"t/routes/r"}, {fault.key for fault in shown})
            await fleet.until_floor(None)
            await asyncio.sleep(3.0)
            self.assertTrue(all(d.status().conflicts for d in fleet.drivers.values()))

        self.run_fleet(3, body)

    def test_a_store_outage_causes_few_calls(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            fleet.store.set_out(True)
            calls = fleet.store.calls.total()
            await asyncio.sleep(60.0)
            # Six watchers with one attempt a second each.
            self.assertLess(fleet.store.calls.total() - calls, 6 * 60 * 2)

        self.run_fleet(12, body)


class JoinTest(SettingsTestCase):
    def test_a_joining_instance_receives_many_paths_in_chunks(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            for number in range(3000):
                path = f"egretrail/settings/t/services/s{number}"
                await fleet.store.put(path, f"floor = {number}", 0)
            await asyncio.sleep(10.0)
            fleet.store.set_out(True)
            joined = fleet.add("new", "zone-0")
            await joined.start()
            await joined.wait_until_caught_up()
            self.assertEqual(3001, len(joined.catalogue))
            self.assertEqual(fleet.first_driver().settings(), joined.settings())

        self.run_fleet(4, body)

    def test_in_a_store_outage_a_joining_instance_learns_from_peers_in_two_zones(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            await fleet.put_floor(2)
            await fleet.until_floor(2)
            fleet.store.set_out(True)
            joined = fleet.add("new", "zone-0")
            await joined.start()
            await joined.wait_until_caught_up()
            self.assertEqual(2, floor_of(joined))

        self.run_fleet(6, body)

    def test_an_instance_that_reaches_no_peer_does_not_catch_up(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            fleet.store.set_out(True)
            joined = fleet.add("new", "zone-0")
            fleet.isolate("new")
            await joined.start()
            await asyncio.sleep(300.0)
            self.assertFalse(joined.caught_up)
            fleet.isolate("new", cut=False)
            await joined.wait_until_caught_up()
            self.assertEqual(1, floor_of(joined))

        self.run_fleet(6, body)

    def test_a_new_fleet_without_the_store_does_not_catch_up(self) -> None:
        async def run() -> None:
            fleet = SettingsFleet(6)
            fleet.store.set_out(True)
            for driver in fleet.drivers.values():
                await driver.start()
            await asyncio.sleep(300.0)
            self.assertFalse(any(d.caught_up for d in fleet.drivers.values()))
            await fleet.stop()

        self.run_paused(run())

    def test_agreement_with_one_stale_peer_does_not_suffice_at_once(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            fleet.isolate("i000")
            await fleet.put_floor(2, fleet.drivers[InstanceName("i001")])
            await asyncio.sleep(6.0)
            no_store = FakeStore()
            no_store.set_out(True)
            joined = fleet.add("new", "zone-0", no_store)
            for name in list(fleet.members)[1:6]:
                fleet.network.cut_both(name, InstanceName("new"))
            fleet.network.cut -= {
                (InstanceName("i000"), InstanceName("new")),
                (InstanceName("new"), InstanceName("i000")),
            }
            await joined.start()
            await asyncio.sleep(4.0)
            self.assertFalse(joined.caught_up)
            for name in list(fleet.members)[1:6]:
                fleet.network.cut -= {(name, joined._own.instance), (joined._own.instance, name)}
            await joined.wait_until_caught_up()
            self.assertEqual(2, floor_of(joined))

        self.run_fleet(6, body)


class ReturnTest(SettingsTestCase):
    def test_a_partitioned_instance_that_returns_reverts_nothing(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            own_store = FakeStore()
            own_store.set_out(True)
            cut = fleet.add("cut", "zone-1", own_store)
            await cut.start()
            await cut.wait_until_caught_up()
            self.assertEqual(1, floor_of(cut))
            fleet.isolate("cut")
            await fleet.put_floor(2)
            seen = (await fleet.first_driver().read(SERVICE)).unwrap().visible_revision
            await fleet.first_driver().delete(SERVICE, seen, "change-delete", "t")
            await asyncio.sleep(3600.0)
            self.assertEqual(1, floor_of(cut))
            others = {n: d for n, d in fleet.drivers.items() if d is not cut}
            fleet.isolate("cut", cut=False)
            for _ in range(1000):
                await asyncio.sleep(0.01)
                self.assertEqual({None}, {floor_of(d) for d in others.values()})
            self.assertIsNone(floor_of(cut))

        self.run_fleet(6, body)

    def test_a_paused_process_catches_up_before_it_serves(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            driver = fleet.first_driver()
            loop = asyncio.get_running_loop()
            selector = loop._clock_selector  # type: ignore[attr-defined]
            selector.now_s += 60.0
            fleet.store.delay_s = 0.5
            await asyncio.sleep(0.2)
            self.assertFalse(driver.caught_up)
            await driver.wait_until_caught_up()

        self.run_fleet(6, body)


class RestoredStoreTest(SettingsTestCase):
    def test_a_store_that_lost_writes_reverts_nothing_and_is_reported(self) -> None:
        async def body(fleet: SettingsFleet) -> None:
            await fleet.put_floor(2)
            await fleet.until_floor(2)
            await fleet.first_driver().put(_OTHER, "floor = 1", 0, "change-other", "t")
            store = fleet.store
            store.set_out(True)
            await asyncio.sleep(5.0)
            old = store.history[0]
            store.history = [old]
            store.entries = {old.path: old}
            store.revision = old.revision
            store.set_out(False)
            await asyncio.sleep(60.0)
            self.assertEqual({2}, set(fleet.floors().values()))
            self.assertTrue(any(d.status().behind for d in fleet.drivers.values()))
            answer = await fleet.first_driver().put(SERVICE, "floor = 3", 2, "change-three", "t")
            assert isinstance(answer, Err)
            self.assertIsInstance(answer.err_value, StoreBehind)
            for number in range(5):
                await store.put(f"other/{number}", "x", 0)
            await fleet.put_floor(4)
            await fleet.until_floor(4)
            # The restored store lacks the second service, too. It stays in the fleet and on a
            # joining instance.
            joined = fleet.add("new", "zone-0")
            await joined.start()
            await asyncio.sleep(120.0)
            for driver in fleet.drivers.values():
                self.assertEqual(2, len(driver.settings().services))
            behind = [d.status().behind for d in fleet.drivers.values() if d.status().behind]
            self.assertEqual({("t/services/b",)}, {tuple(b.paths) for b in behind if b})
            again = await fleet.first_driver().put(_OTHER, "floor = 1", 3, "change-again", "t")
            self.assertIsInstance(again, Ok)
            await asyncio.sleep(120.0)
            self.assertFalse(any(d.status().behind for d in fleet.drivers.values()))

        self.run_fleet(6, body)
