"""Membership drivers on the fake network with simulated time."""

import asyncio
from collections.abc import Awaitable, Callable

from egretrail.fleet import MemberState
from egretrail.identity import Incarnation, InstanceName, ServiceName
from egretrail.runtime.tests._fleet import ZONES, FakeFleet
from egretrail.testing import EgretrailTestCase, cases

Fault = Callable[[FakeFleet, InstanceName], None]


def _cut_outgoing(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.cut |= {(name, other) for other in fleet.names}


def _cut_incoming(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.cut |= {(other, name) for other in fleet.names}


def _cut_one_direction(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.cut.add((fleet.names[0], name))


def _pause(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.frozen[name] = asyncio.Event()


def _lose_and_duplicate(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.loss_share = 0.15
    fleet.network.double_share = 0.1


class MembershipTest(EgretrailTestCase):
    def _run(self, size: int, scenario: Callable[[FakeFleet], Awaitable[None]]) -> None:
        async def run() -> None:
            fleet = FakeFleet(size)
            await fleet.start_all()
            await scenario(fleet)

        self.run_paused(run())

    def test_all_44_instances_learn_of_each_other(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            self.assertTrue(fleet.alive_everywhere())
            groups = {
                tuple(member.name for member in driver.group(ServiceName("katalogi")))
                for driver in fleet.drivers.values()
            }
            self.assertEqual(1, len(groups))
            (names,) = groups
            self.assertEqual(set(ZONES), {fleet.zone(name) for name in names})

        self._run(44, scenario)

    @cases(
        {
            "outgoing_cut": (_cut_outgoing, {MemberState.UNREACHABLE}),
            "incoming_cut": (_cut_incoming, {MemberState.UNREACHABLE}),
            "paused": (_pause, {MemberState.UNREACHABLE}),
            "one_direction_cut": (_cut_one_direction, {MemberState.ALIVE}),
            "losses_and_duplicates": (_lose_and_duplicate, {MemberState.ALIVE}),
        }
    )
    def test_a_fault_is_distinguished_from_the_end_of_a_process(
        self, row: tuple[Fault, set[MemberState]]
    ) -> None:
        fault, expected = row

        async def scenario(fleet: FakeFleet) -> None:
            victim = fleet.names[5]
            fault(fleet, victim)
            await asyncio.sleep(60.0)
            self.assertEqual(expected, fleet.states(victim))
            await asyncio.sleep(120.0)
            others = [fleet.drivers[name] for name in fleet.names if name != victim]
            self.assertFalse(any(driver.is_gone(Incarnation(victim, 1)) for driver in others))
            fleet.network.cut.clear()
            fleet.network.loss_share = 0.0
            for resumed in fleet.network.frozen.values():
                resumed.set()
            fleet.network.frozen.clear()
            await asyncio.sleep(200.0)
            self.assertTrue(fleet.alive_everywhere())

        self._run(12, scenario)

    def test_a_one_way_partition_is_detected_by_the_affected_observer(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            observer, victim = fleet.names[0], fleet.names[5]
            fleet.network.cut.add((observer, victim))
            await asyncio.sleep(40.0)
            self.assertTrue(fleet.drivers[observer].cannot_reach(victim))
            self.assertFalse(fleet.drivers[fleet.names[1]].cannot_reach(victim))
            # Indirect probes succeed, so no instance suspects it and it refutes nothing.
            self.assertEqual(1, fleet.drivers[victim]._table.own.version)

        self._run(12, scenario)

    def test_suspicions_of_an_observer_that_gets_no_replies_do_not_spread(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            _cut_incoming(fleet, fleet.names[0])
            await asyncio.sleep(120.0)
            others = [name for name in fleet.names if name != fleet.names[0]]
            for name in others:
                seen = fleet.drivers[others[0]].member(name)
                assert seen is not None
                self.assertEqual(MemberState.ALIVE, seen.state)

        self._run(12, scenario)

    def test_a_slow_observer_raises_few_false_suspicions(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            slow = fleet.names[0]
            fleet.network.latency_s = lambda one, other: 0.7 if slow in (one, other) else 0.001
            await asyncio.sleep(60.0)
            before = self._refutations(fleet)
            await asyncio.sleep(240.0)
            self.assertLessEqual(self._refutations(fleet) - before, 100)

        self._run(12, scenario)

    @staticmethod
    def _refutations(fleet: FakeFleet) -> int:
        return sum(driver._table.own.version - 1 for driver in fleet.drivers.values())

    def test_a_killed_instance_is_unreachable_first_and_gone_once_unlisted(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            victim = Incarnation(fleet.names[3], 1)
            await asyncio.sleep(60.0)
            fleet.kill(victim.instance)
            await asyncio.sleep(25.0)
            self.assertEqual({MemberState.UNREACHABLE}, fleet.states(victim.instance))
            await asyncio.sleep(200.0)
            self.assertFalse(any(driver.is_gone(victim) for driver in fleet.drivers.values()))
            fleet.list.remove(victim.instance)
            await asyncio.sleep(25.0)
            self.assertFalse(any(driver.is_gone(victim) for driver in fleet.drivers.values()))
            await asyncio.sleep(100.0)
            self.assertTrue(all(driver.is_gone(victim) for driver in fleet.drivers.values()))
            self.assertEqual({None}, fleet.states(victim.instance))

        self._run(12, scenario)

    def test_a_restarted_process_proves_that_the_earlier_one_ended(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            victim = Incarnation(fleet.names[3], 1)
            fleet.list.lag_s = 50.0
            fleet.kill(victim.instance)
            row = fleet.list.rows[3]
            fleet.list.remove(victim.instance)
            await asyncio.sleep(40.0)
            fleet.list.set([*fleet.list.rows, row])
            await fleet.start(victim.instance, number=2)
            await asyncio.sleep(5.0)
            for name in fleet.names:
                fleet.network.cut_both(name, victim.instance)
            del fleet.drivers[victim.instance]
            later = Incarnation(victim.instance, 2)
            for _ in range(30):
                await asyncio.sleep(10.0)
                self.assertFalse(any(driver.is_gone(later) for driver in fleet.drivers.values()))
            self.assertTrue(all(driver.is_gone(victim) for driver in fleet.drivers.values()))

        self._run(12, scenario)

    def test_a_leaving_instance_is_removed_from_groups_within_seconds(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            service = ServiceName("varaus")
            leaver = fleet.drivers[fleet.names[0]].group(service)[0].name
            await fleet.drivers[leaver].announce_leaving()
            await asyncio.sleep(5.0)
            for driver in fleet.drivers.values():
                self.assertNotIn(leaver, [member.name for member in driver.group(service)])
            self.assertEqual({MemberState.LEAVING}, fleet.states(leaver))
            self.assertFalse(driver.is_gone(Incarnation(leaver, 1)))

        self._run(44, scenario)

    def test_witness_candidates_of_other_zones_come_first(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            home = fleet.names[4]
            found = fleet.drivers[fleet.names[0]].witness_candidates(home)
            self.assertEqual(6, len(found))
            self.assertNotIn(home, [member.name for member in found])
            self.assertNotIn(fleet.zone(home), [member.availability_zone for member in found])

        self._run(12, scenario)
