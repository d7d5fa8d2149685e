"""A fleet of settings drivers on the fake network and store, for tests and measurements."""

import asyncio
import random
from collections.abc import Sequence

from egretrail.fleet import FleetView, Member, MemberState
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName, ServiceName
from egretrail.runtime import SettingsDriver, SettingsPolicy
from egretrail.settings import SettingPath
from egretrail.testing import FakeNetwork, FakeStore

SERVICE = SettingPath.parse("t/services/a").unwrap()
ROUTE = SettingPath.parse("t/routes/r").unwrap()


class FixedView(FleetView):
    """A view of fixed members, without those set as unreachable."""

    def __init__(self, members: dict[InstanceName, Member], own: InstanceName) -> None:
        self._members = members
        self._own = own
        self.unreachable: set[InstanceName] = set()

    @property
    def own(self) -> Member:
        return self._members[self._own]

    def members(self) -> Sequence[Member]:
        return [member for member in self._members.values() if member.name not in self.unreachable]

    def member(self, name: InstanceName) -> Member | None:
        return self._members.get(name)

    def group(self, service: ServiceName) -> Sequence[Member]:
        return []


class SettingsFleet:
    """Instances that share a store, unless an instance is added with its own."""

    def __init__(
        self, size: int, zones: int = 3, seed: int = 1, policy: SettingsPolicy | None = None
    ) -> None:
        self.network = FakeNetwork(seed)
        self.store = FakeStore()
        self.policy = policy
        self.seed = seed
        self.members: dict[InstanceName, Member] = {}
        self.drivers: dict[InstanceName, SettingsDriver] = {}
        self.views: dict[InstanceName, FixedView] = {}
        for number in range(size):
            self.add(f"i{number:03}", f"zone-{number % zones}")

    def add(self, name: str, zone: str, store: FakeStore | None = None) -> SettingsDriver:
        """Add an instance without starting it."""
        own = Incarnation(InstanceName(name), len(self.members))
        member = Member(own, AvailabilityZone(zone), "::1", 1, "::1", 2, MemberState.ALIVE)
        self.members[own.instance] = member
        view = self.views[own.instance] = FixedView(self.members, own.instance)
        rng = random.Random(f"{self.seed} {name}")
        peer = self.network.join(own)
        driver = SettingsDriver(own, peer, view, store or self.store, rng, self.policy, lambda: 0.0)
        self.drivers[own.instance] = driver
        return driver

    async def start(self) -> None:
        """Start all instances and wait until they have caught up."""
        for driver in self.drivers.values():
            await driver.start()
        await asyncio.gather(*(d.wait_until_caught_up() for d in self.drivers.values()))

    async def stop(self) -> None:
        """Stop all instances."""
        await asyncio.gather(*(driver.stop() for driver in self.drivers.values()))

    def first_driver(self) -> SettingsDriver:
        """Return the first instance."""
        return next(iter(self.drivers.values()))

    def isolate(self, name: str, cut: bool = True) -> None:
        """Partition an instance from all others, or end the partition."""
        own = InstanceName(name)
        for other in self.members:
            pairs = {(own, other), (other, own)}
            self.network.cut = self.network.cut | pairs if cut else self.network.cut - pairs

    def floors(self) -> dict[InstanceName, int | None]:
        """Return the floor in force for the service on each instance."""
        return {name: floor_of(driver) for name, driver in self.drivers.items()}

    async def put_floor(self, floor: int, driver: SettingsDriver | None = None) -> int:
        """Write the service's floor through an instance; return the revision."""
        via = driver or self.first_driver()
        seen = (await via.read(SERVICE)).unwrap().visible_revision
        text = f"floor = {floor}"
        accepted = await via.put(SERVICE, text, seen, f"change-floor-{floor}-{seen}", "t")
        return accepted.unwrap().revision

    async def until_floor(self, floor: int | None, limit_s: float = 60.0) -> float:
        """Wait until a floor is in force on all instances; return the seconds taken."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while set(self.floors().values()) != {floor}:
            if loop.time() - started_s > limit_s:
                raise AssertionError(f"after {limit_s} s: {self.floors()}")
            await asyncio.sleep(0.01)
        return loop.time() - started_s


def floor_of(driver: SettingsDriver) -> int | None:
    """Return the floor in force for the service on an instance."""
    service = driver.settings().services.get(ServiceName(SERVICE.qualified_name))
    return None if service is None else service.floor
