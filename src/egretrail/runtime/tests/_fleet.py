"""A small fleet of membership drivers on the fake network, for driver tests."""

import asyncio
import random

from egretrail.fleet import Member, MembershipTuning, MemberState
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName
from egretrail.runtime import MembershipDriver
from egretrail.testing import FakeInstanceList, FakeNetwork, FakePeer, listed

ZONES = ("vantaa-a", "espoo-b", "kerava-c")


class FakeFleet:
    """Instances on a fake network that can be started and killed."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.network = FakeNetwork(seed)
        self.names = [InstanceName(f"entry-{index:02}") for index in range(size)]
        rows = [listed(name, "egretrail", self.zone(name)) for name in self.names]
        self.list = FakeInstanceList(rows)
        self.drivers: dict[InstanceName, MembershipDriver] = {}
        self.peers: dict[InstanceName, FakePeer] = {}
        self.tuning = MembershipTuning()

    @staticmethod
    def zone(name: InstanceName) -> str:
        return ZONES[int(name[-2:]) % len(ZONES)]

    def make(self, name: InstanceName, number: int = 1) -> MembershipDriver:
        zone = AvailabilityZone(self.zone(name))
        own = Incarnation(name, number)
        member = Member(own, zone, "127.0.0.1", 1, "127.0.0.1", 1, ready=False)
        rng = random.Random(f"{name}{number}")
        self.peers[name] = self.network.join(own)
        self.drivers[name] = MembershipDriver(
            member, self.peers[name], self.list, tuning=self.tuning, rng=rng
        )
        return self.drivers[name]

    async def start(self, name: InstanceName, number: int = 1) -> MembershipDriver:
        driver = self.make(name, number)
        await driver.start()
        await driver.announce_ready()
        return driver

    async def start_all(self, settle_s: float = 20.0) -> None:
        for name in self.names:
            await self.start(name)
        await asyncio.sleep(settle_s)

    def kill(self, name: InstanceName) -> None:
        self.network.kill(name)
        for task in self.drivers.pop(name)._tasks:
            task.cancel()

    def states(self, name: InstanceName) -> set[MemberState | None]:
        seen = set()
        for own, driver in self.drivers.items():
            member = driver.member(name)
            if own != name:
                seen.add(member.state if member is not None else None)
        return seen

    def alive_everywhere(self) -> bool:
        return all(
            member.state is MemberState.ALIVE and member.ready
            for driver in self.drivers.values()
            for member in driver.members()
            if member.name in self.drivers
        )
