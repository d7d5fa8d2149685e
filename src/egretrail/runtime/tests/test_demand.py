"""Exchange of demand reports among the members of a group."""

import asyncio
from collections.abc import Sequence
from functools import partial

from egretrail.fleet import FleetView, Member
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName, ServiceName
from egretrail.runtime import DemandDriver
from egretrail.service import GroupPosition
from egretrail.testing import EgretrailTestCase, FakeNetwork

SERVICE = ServiceName("team/service")
NAMES = [InstanceName(name) for name in ("a", "b", "c")]


def _member(name: InstanceName) -> Member:
    return Member(Incarnation(name, 1), AvailabilityZone("zone"), "127.0.0.1", 1, "127.0.0.1", 2)


class _View(FleetView):
    def __init__(self, own: InstanceName) -> None:
        self._own = own

    @property
    def own(self) -> Member:
        return _member(self._own)

    def members(self) -> Sequence[Member]:
        return [_member(name) for name in NAMES]

    def member(self, name: InstanceName) -> Member | None:
        return _member(name)

    def group(self, service: ServiceName) -> Sequence[Member]:
        # Most preferred first, which is not the order of the names.
        return list(reversed(self.members()))


class DemandDriverTest(EgretrailTestCase):
    def test_members_exchange_demand_and_drop_that_of_a_silent_member(self) -> None:
        async def run() -> tuple[Sequence[float], Sequence[float], int]:
            network = FakeNetwork()
            own = {name: {SERVICE: float(10 * index)} for index, name in enumerate(NAMES)}
            drivers = {}
            for name in NAMES:
                peer = network.join(Incarnation(name, 1))
                drivers[name] = DemandDriver(peer, _View(name), partial(own.__getitem__, name))
                await drivers[name].start()
            await asyncio.sleep(0.5)
            now_s = asyncio.get_running_loop().time
            before = sorted(drivers[NAMES[0]].peer_demands(SERVICE, now_s()))
            idle = network.delivered["DemandReport"]
            await asyncio.sleep(0.4)
            repeated = network.delivered["DemandReport"] - idle
            network.cut_both(NAMES[0], NAMES[2])
            await asyncio.sleep(5.0)
            after = drivers[NAMES[0]].peer_demands(SERVICE, now_s())
            for driver in drivers.values():
                await driver.stop()
            return before, after, repeated

        before, after, repeated = self.run_paused(run())
        self.assertEqual([10.0, 20.0], before)
        self.assertEqual([10.0], after)
        self.assertEqual(0, repeated)

    def test_positions_follow_the_names_not_the_order_of_preference(self) -> None:
        network = FakeNetwork()
        positions = [
            DemandDriver(network.join(Incarnation(name, 1)), _View(name), dict).position(SERVICE)
            for name in NAMES
        ]
        self.assertEqual([GroupPosition(index, 3) for index in range(3)], positions)
