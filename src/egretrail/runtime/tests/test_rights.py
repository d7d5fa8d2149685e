"""Fleets of rights drivers under kills, network partitions, pauses and store outages.

After every step, the ejections honoured by all instances together must stay within the allowance.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from egretrail.fleet import MembershipTuning
from egretrail.floor import RightsTiming
from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.runtime import FloorSource, RightsDriver
from egretrail.runtime.tests._fleet import FakeFleet
from egretrail.testing import EgretrailTestCase, FakeStore, cases

_SERVICE = ServiceName("katalogi")
_UPSTREAMS = [UpstreamName(f"u{index}") for index in range(6)]
_FLOOR = 4


class _Source(FloorSource):
    def __init__(self) -> None:
        self.upstreams: Sequence[UpstreamName] = _UPSTREAMS

    def services(self) -> Sequence[ServiceName]:
        return [_SERVICE]

    def floor(self, service: ServiceName) -> int:
        return _FLOOR

    def capacity(self, service: ServiceName) -> Sequence[UpstreamName]:
        return self.upstreams


class _RightsFleet(FakeFleet):
    def __init__(self, size: int, seed: int = 1) -> None:
        super().__init__(size, seed)
        self.tuning = MembershipTuning(list_lag_s=20.0)
        self.store = FakeStore()
        self.source = _Source()
        self.rights: dict[InstanceName, RightsDriver] = {}
        self.timing = RightsTiming(warm_up_s=40.0)

    async def start_one(self, name: InstanceName, number: int = 1) -> None:
        membership = self.make(name, number)
        rng = random.Random(f"rights{name}{number}")
        driver = RightsDriver(
            membership, self.peers[name], self.store, self.source, self.timing, rng
        )
        self.rights[name] = driver
        await membership.start()
        await membership.announce_ready()
        await driver.start()

    async def start_all(self, settle_s: float = 200.0) -> None:
        for name in self.names:
            await self.start_one(name)
        await asyncio.sleep(settle_s)

    def kill(self, name: InstanceName) -> None:
        super().kill(name)
        for task in self.rights.pop(name)._tasks:
            task.cancel()

    def try_eject(self, name: InstanceName, upstream: UpstreamName) -> bool:
        return self.rights[name].may_eject(_SERVICE, upstream, asyncio.get_running_loop().time())

    def ejected(self) -> set[UpstreamName]:
        """Return the upstreams that any instance, paused ones included, treats as ejected now."""
        return {
            upstream
            for upstream in _UPSTREAMS
            for driver in self.rights.values()
            if driver.is_ejected(_SERVICE, upstream)
        }

    def ejected_at(self, upstream: UpstreamName) -> set[InstanceName]:
        return {
            name for name, driver in self.rights.items() if driver.is_ejected(_SERVICE, upstream)
        }


async def _eject_within(
    fleet: _RightsFleet, name: InstanceName, upstream: UpstreamName, limit_s: float = 30.0
) -> bool:
    for _ in range(int(limit_s)):
        if fleet.try_eject(name, upstream):
            return True
        await asyncio.sleep(1.0)
    return False


class RightsTest(EgretrailTestCase):
    def _run(
        self,
        scenario: Callable[[_RightsFleet], Awaitable[None]],
        seed: int = 1,
        probe_interval_s: float = 1.0,
    ) -> None:
        async def run() -> None:
            fleet = _RightsFleet(3, seed)
            fleet.tuning = replace(fleet.tuning, probe_interval_s=probe_interval_s)
            await fleet.start_all()
            await scenario(fleet)

        self.run_paused(run())

    def test_an_ejection_starts_and_ends_in_the_whole_group(self) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            first = fleet.names[0]
            self.assertTrue(await _eject_within(fleet, first, _UPSTREAMS[0]))
            await asyncio.sleep(1.0)
            self.assertEqual(set(fleet.names), fleet.ejected_at(_UPSTREAMS[0]))
            await asyncio.sleep(60.0)
            self.assertEqual(set(fleet.names), fleet.ejected_at(_UPSTREAMS[0]))
            fleet.rights[first].release(_SERVICE, _UPSTREAMS[0], 0.0)
            await asyncio.sleep(1.0)
            self.assertEqual(set(), fleet.ejected())

        self._run(scenario)

    def test_every_right_is_registered_soon_after_the_upstreams_are_known(self) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            fleet.source.upstreams = [*_UPSTREAMS, UpstreamName("u6"), UpstreamName("u7")]
            await asyncio.sleep(10.0)
            held = [number for driver in fleet.rights.values() for number in driver.held(_SERVICE)]
            self.assertEqual([0, 1, 2, 3], sorted(held))

        self._run(scenario)

    def test_the_allowance_is_never_exceeded_and_is_used_in_full(self) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            for _ in range(60):
                for name, upstream in zip(fleet.names, _UPSTREAMS, strict=False):
                    fleet.try_eject(name, upstream)
                self.assertLessEqual(len(fleet.ejected()), 2)
                await asyncio.sleep(0.5)
            self.assertEqual(2, len(fleet.ejected()))

        self._run(scenario)

    def test_rights_move_between_instances_during_hours_of_store_outage(self) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            fleet.store.set_out(True)
            await asyncio.sleep(3 * 3600.0)
            for name in fleet.names:
                for upstream in _UPSTREAMS[:2]:
                    self.assertTrue(await _eject_within(fleet, name, upstream))
                self.assertEqual(set(_UPSTREAMS[:2]), fleet.ejected())
                for driver in fleet.rights.values():
                    for upstream in _UPSTREAMS[:2]:
                        driver.release(_SERVICE, upstream, 0.0)
                await asyncio.sleep(10.0)
            fleet.store.set_out(False)
            await asyncio.sleep(300.0)
            owners = fleet.rights[fleet.names[0]].explain(_SERVICE).registered
            for number, owner in owners.items():
                self.assertIn(number, fleet.rights[owner.instance].held(_SERVICE))

        self._run(scenario, probe_interval_s=10.0)

    def test_a_killed_holders_ejection_expires_and_its_right_is_reissued(self) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            victim = next(name for name in fleet.names if fleet.rights[name].held(_SERVICE))
            self.assertTrue(await _eject_within(fleet, victim, _UPSTREAMS[0]))
            await asyncio.sleep(2.0)
            fleet.kill(victim)
            await asyncio.sleep(6.0)
            self.assertEqual(set(), fleet.ejected())
            fleet.list.remove(victim)
            await asyncio.sleep(300.0)
            survivor = next(iter(fleet.rights))
            for upstream in _UPSTREAMS[1:3]:
                self.assertTrue(await _eject_within(fleet, survivor, upstream, 60.0))
            self.assertEqual(2, len(fleet.ejected()))

        self._run(scenario)

    def test_a_planned_stop_hands_over_rights_without_the_store(self) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            leaver = next(name for name in fleet.names if fleet.rights[name].held(_SERVICE))
            fleet.store.set_out(True)
            await asyncio.sleep(30.0)
            self.assertTrue(await _eject_within(fleet, leaver, _UPSTREAMS[0]))
            await fleet.drivers[leaver].announce_leaving()
            await fleet.rights[leaver].hand_over()
            await fleet.rights[leaver].stop()
            held = [number for driver in fleet.rights.values() for number in driver.held(_SERVICE)]
            self.assertEqual([0, 1], sorted(held))
            self.assertEqual([], list(fleet.rights[leaver].held(_SERVICE)))

        self._run(scenario)

    def test_draining_upstreams_reduce_the_allowance(self) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            first = fleet.names[0]
            for upstream in _UPSTREAMS[:2]:
                self.assertTrue(await _eject_within(fleet, first, upstream))
            fleet.source.upstreams = _UPSTREAMS[:5]
            self.assertEqual(1, len(fleet.ejected()))
            fleet.source.upstreams = _UPSTREAMS[:4]
            self.assertEqual(set(), fleet.ejected())

        self._run(scenario)

    @cases({f"seed_{seed}": seed for seed in range(4)})
    def test_random_faults_never_violate_the_floor(self, seed: int) -> None:
        async def scenario(fleet: _RightsFleet) -> None:
            rng = random.Random(seed)
            numbers = dict.fromkeys(fleet.names, 1)
            most = 0
            for _ in range(400):
                await self._step(fleet, rng, numbers)
                for _ in range(4):
                    await asyncio.sleep(rng.uniform(0.05, 0.6))
                    most = max(most, len(fleet.ejected()))
                    self.assertLessEqual(len(fleet.ejected()), 2)
            self.assertEqual(2, most)

        self._run(scenario, seed)

    async def _step(
        self, fleet: _RightsFleet, rng: random.Random, numbers: dict[InstanceName, int]
    ) -> None:
        name = rng.choice(fleet.names)
        upstream = rng.choice(_UPSTREAMS)
        fault = rng.choice(["eject"] * 8 + ["release"] * 4 + ["cut", "mend", "pause", "resume"] * 2)
        fault = rng.choice([fault] * 8 + ["store", "kill", "lose"])
        network = fleet.network
        network.loss_share = 0.1
        network.double_share = 0.1
        if fault == "eject" and name in fleet.rights:
            fleet.try_eject(name, upstream)
        elif fault == "release" and name in fleet.rights:
            fleet.rights[name].release(_SERVICE, upstream, 0.0)
        elif fault == "cut":
            network.cut.add((name, rng.choice(fleet.names)))
        elif fault == "mend":
            network.cut.clear()
        elif fault == "pause":
            network.frozen.setdefault(name, asyncio.Event())
        elif fault == "resume":
            for resumed in network.frozen.values():
                resumed.set()
            network.frozen.clear()
        elif fault == "store":
            fleet.store.set_out(not fleet.store.out)
        elif fault == "lose":
            fleet.store.lose_replies = 1
        elif fault == "kill" and name in fleet.rights:
            fleet.kill(name)
            numbers[name] += 1
            await fleet.start_one(name, numbers[name])
