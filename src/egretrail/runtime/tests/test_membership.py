"""The membership driver: fleets of it over the fake network, on a paused clock."""

import asyncio
from collections.abc import Awaitable, Callable

from egretrail.fleet import MemberState
from egretrail.identity import Incarnation, InstanceName, ServiceName
from egretrail.runtime.tests._fleet import ZONES, FakeFleet
from egretrail.testing import EgretrailTestCase, cases

Fault = Callable[[FakeFleet, InstanceName], None]


def _no_replies(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.cut |= {(name, other) for other in fleet.names}


def _no_questions(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.cut |= {(other, name) for other in fleet.names}


def _one_pair(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.cut.add((fleet.names[0], name))


def _freeze(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.frozen[name] = asyncio.Event()


def _losses(fleet: FakeFleet, name: InstanceName) -> None:
    fleet.network.loss_share = 0.15
    fleet.network.double_share = 0.1


class MembershipTest(EgretrailTestCase):
    def _run(self, size: int, scenario: Callable[[FakeFleet], Awaitable[None]]) -> None:
        async def run() -> None:
            fleet = FakeFleet(size)
            await fleet.start_all()
            await scenario(fleet)

        self.run_paused(run())

    def test_everybody_learns_of_everybody_at_44(self) -> None:
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
            "nothing_gets_out": (_no_replies, {MemberState.UNREACHABLE}),
            "nothing_gets_in": (_no_questions, {MemberState.UNREACHABLE}),
            "paused": (_freeze, {MemberState.UNREACHABLE}),
            "one_pair_cut_one_way": (_one_pair, {MemberState.ALIVE}),
            "losses_and_doubles": (_losses, {MemberState.ALIVE}),
        }
    )
    def test_a_fault_is_told_from_an_end(self, row: tuple[Fault, set[MemberState]]) -> None:
        fault, expected = row

        async def scenario(fleet: FakeFleet) -> None:
            victim = fleet.names[5]
            fault(fleet, victim)
            await asyncio.sleep(60.0)
            self.assertEqual(expected, fleet.states(victim))
            await asyncio.sleep(120.0)
            others = [fleet.drivers[name] for name in fleet.names if name != victim]
            self.assertFalse(any(each.is_gone(Incarnation(victim, 1)) for each in others))
            fleet.network.cut.clear()
            fleet.network.loss_share = 0.0
            for resumed in fleet.network.frozen.values():
                resumed.set()
            fleet.network.frozen.clear()
            await asyncio.sleep(200.0)
            self.assertTrue(fleet.alive_everywhere())

        self._run(12, scenario)

    def test_a_one_way_cut_is_seen_by_the_one_it_concerns(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            observer, victim = fleet.names[0], fleet.names[5]
            fleet.network.cut.add((observer, victim))
            await asyncio.sleep(40.0)
            self.assertTrue(fleet.drivers[observer].cannot_reach(victim))
            self.assertFalse(fleet.drivers[fleet.names[1]].cannot_reach(victim))
            # Asked, the others vouch for it: it is accused by nobody and refutes nothing.
            self.assertEqual(1, fleet.drivers[victim]._table.own.version)

        self._run(12, scenario)

    def test_an_observer_without_answers_convinces_nobody(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            _no_questions(fleet, fleet.names[0])
            await asyncio.sleep(120.0)
            others = [name for name in fleet.names if name != fleet.names[0]]
            for name in others:
                seen = fleet.drivers[others[0]].member(name)
                assert seen is not None
                self.assertEqual(MemberState.ALIVE, seen.state)

        self._run(12, scenario)

    def test_a_slow_observer_accuses_seldom(self) -> None:
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

    def test_a_killed_instance_is_unreachable_at_once_and_gone_after_the_list(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            victim = Incarnation(fleet.names[3], 1)
            await asyncio.sleep(60.0)
            fleet.kill(victim.instance)
            await asyncio.sleep(25.0)
            self.assertEqual({MemberState.UNREACHABLE}, fleet.states(victim.instance))
            await asyncio.sleep(200.0)
            self.assertFalse(any(each.is_gone(victim) for each in fleet.drivers.values()))
            fleet.list.remove(victim.instance)
            await asyncio.sleep(25.0)
            self.assertFalse(any(each.is_gone(victim) for each in fleet.drivers.values()))
            await asyncio.sleep(100.0)
            self.assertTrue(all(each.is_gone(victim) for each in fleet.drivers.values()))
            self.assertEqual({None}, fleet.states(victim.instance))

        self._run(12, scenario)

    def test_a_later_process_proves_the_earlier_one_gone_and_is_not_taken_for_it(self) -> None:
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
                self.assertFalse(any(each.is_gone(later) for each in fleet.drivers.values()))
            self.assertTrue(all(each.is_gone(victim) for each in fleet.drivers.values()))

        self._run(12, scenario)

    def test_a_leaving_instance_vanishes_from_groups_within_seconds(self) -> None:
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

    def test_witnesses_are_of_another_zone_first(self) -> None:
        async def scenario(fleet: FakeFleet) -> None:
            home = fleet.names[4]
            found = fleet.drivers[fleet.names[0]].witness_candidates(home)
            self.assertEqual(6, len(found))
            self.assertNotIn(home, [member.name for member in found])
            self.assertNotIn(fleet.zone(home), [m.availability_zone for m in found])

        self._run(12, scenario)
