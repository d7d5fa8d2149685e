"""Zones whose hubs are killed, paused, cut off, stopped and restarted."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from egretrail.dispatch import Observation, Outcome, UpstreamHealth
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases

#: After this time every instance's membership is exact.
_SETTLED_S = 3.0

Failure = Callable[[Fleet], Awaitable[None]]


async def _kill_hub(fleet: Fleet) -> None:
    fleet.kill(fleet.hub(0))


async def _kill_hub_and_next(fleet: Fleet) -> None:
    hub = fleet.hub(0)
    order = fleet.views[hub].membership.hub_order("z0")
    for address in order[:2]:
        fleet.kill(address)


async def _kill_both_hubs(fleet: Fleet) -> None:
    fleet.kill(fleet.hub(0))
    fleet.kill(fleet.hub(1))


async def _kill_half(fleet: Fleet) -> None:
    for address in fleet.addresses[::2]:
        fleet.kill(address)


async def _restart_hub(fleet: Fleet) -> None:
    hub = fleet.hub(0)
    fleet.kill(hub)
    await asyncio.sleep(0.3)
    fleet.start(hub, fleet.addresses[-3:])


async def _restart_all(fleet: Fleet) -> None:
    for address in fleet.addresses:
        fleet.kill(address)
    await asyncio.sleep(0.5)
    for address in fleet.addresses:
        fleet.start(address, fleet.addresses[-3:])


async def _stop_hub(fleet: Fleet) -> None:
    hub = fleet.hub(0)
    fleet.views[hub].leaving = True
    fleet.links[hub].leave()
    await asyncio.sleep(1.0)
    fleet.kill(hub)


async def _pause_hub(fleet: Fleet) -> None:
    hub = fleet.hub(0)
    fleet.pause(hub)
    await asyncio.sleep(4.0)
    fleet.resume(hub)


async def _cut_inbound_to_hub(fleet: Fleet) -> None:
    hub = fleet.hub(0)
    others = [a for a in fleet.addresses if a != hub]
    fleet.network.cut_one_way |= {(other, hub) for other in others[:4]}


async def _cut_outbound_from_hub(fleet: Fleet) -> None:
    hub = fleet.hub(0)
    others = [a for a in fleet.addresses if a != hub]
    fleet.network.cut_one_way |= {(hub, other) for other in others[:4]}


async def _cut_from_hub(fleet: Fleet) -> None:
    hub = fleet.hub(0)
    others = [a for a in fleet.addresses if a != hub and a.startswith("10.0.0.")]
    fleet.network.cut |= {frozenset({hub, other}) for other in others[:3]}


async def _lose_datagrams(fleet: Fleet) -> None:
    fleet.network.loss = 0.1


async def _partition_zones(fleet: Fleet) -> None:
    pairs = {
        frozenset({one, other})
        for one in fleet.addresses
        for other in fleet.addresses
        if one.split(".")[2] != other.split(".")[2]
    }
    fleet.network.cut |= pairs
    await asyncio.sleep(8.0)
    fleet.network.cut -= pairs


_FAILURES: dict[str, Failure] = {
    "a hub is killed": _kill_hub,
    "a hub and the next one are killed": _kill_hub_and_next,
    "the hubs of two zones are killed": _kill_both_hubs,
    "half of the fleet is killed": _kill_half,
    "a hub is restarted": _restart_hub,
    "all are restarted": _restart_all,
    "a hub is stopped": _stop_hub,
    "a hub is paused and resumed": _pause_hub,
    "a hub receives nothing from some": _cut_inbound_to_hub,
    "some receive nothing from the hub": _cut_outbound_from_hub,
    "some are cut off from the hub": _cut_from_hub,
    "a tenth of the datagrams is lost": _lose_datagrams,
    "zones are cut off for some time": _partition_zones,
}


class HubFailuresTest(EgretrailTestCase):
    def _run(self, failure: Failure, check: Callable[[Fleet], Awaitable[None]]) -> None:
        async def run() -> None:
            fleet = Fleet([9, 9])
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[-3:])
            await asyncio.sleep(4.0)
            await failure(fleet)
            await asyncio.sleep(_SETTLED_S)
            await check(fleet)
            fleet.stop()

        self.run_paused(run())

    @cases(_FAILURES)
    def test_membership_converges(self, failure: Failure) -> None:
        async def check(fleet: Fleet) -> None:
            for address in fleet.links:
                self.assertEqual(set(fleet.links), fleet.known_instances(address), address)

        self._run(failure, check)

    @cases(_FAILURES)
    def test_a_failure_becomes_known_to_all(self, failure: Failure) -> None:
        async def check(fleet: Fleet) -> None:
            observer = random.Random(1).choice(sorted(fleet.views))
            fleet.views[observer].record_outcome(Observation("u", Outcome.FAILED, 0.003))
            await asyncio.sleep(0.6)
            now_s = asyncio.get_running_loop().time()
            for address, view in fleet.views.items():
                health = view.suspicion.health("u", now_s)
                self.assertIs(UpstreamHealth.SUSPECT, health, address)

        self._run(failure, check)

    @cases(_FAILURES)
    def test_loads_are_exact_after_a_quiet_period(self, failure: Failure) -> None:
        async def check(fleet: Fleet) -> None:
            rng = random.Random(2)
            for view in fleet.views.values():
                for _ in range(rng.randrange(4)):
                    view.record_request_start("v", trial=False)
            await asyncio.sleep(3.5)
            in_flight = sum(view.load.own_counts().get("v", 0) for view in fleet.views.values())
            now_s = asyncio.get_running_loop().time()
            for address, view in fleet.views.items():
                self.assertEqual(in_flight, view.load.in_flight("v", now_s), address)

        self._run(failure, check)

    @cases(_FAILURES)
    def test_retries_of_the_fleet_stay_within_the_budget(self, failure: Failure) -> None:
        """Every instance retries whenever it may, before, during and after the failure."""

        async def run() -> None:
            fleet = Fleet([9, 9])
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[-3:])
            await asyncio.sleep(2.0)
            loop = asyncio.get_running_loop()
            sent_s: list[float] = []
            routed_s: list[float] = []
            rng = random.Random(4)

            async def retry_forever() -> None:
                while True:
                    await asyncio.sleep(0.01)
                    view = rng.choice(list(fleet.views.values()))
                    view.retry_budget.record_request("s", loop.time())
                    routed_s.append(loop.time())
                    if view.permits_retry("s"):
                        view.retry_budget.record_retry("s", loop.time())
                        sent_s.append(loop.time())

            work = loop.create_task(retry_forever())
            await asyncio.sleep(10.0)
            await failure(fleet)
            await asyncio.sleep(10.0)
            work.cancel()
            fleet.stop()
            ends_s = [tenth / 10 for tenth in range(int(loop.time() * 10))]
            for end_s in ends_s:
                retries = sum(end_s - 10.0 < at_s <= end_s for at_s in sent_s)
                requests = sum(end_s - 10.0 < at_s <= end_s for at_s in routed_s)
                self.assertLessEqual(retries, 0.2 * requests + 60.0, f"until {end_s}")
            self.assertGreater(len(sent_s), 100)

        self.run_paused(run())
