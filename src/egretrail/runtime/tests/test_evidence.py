"""Exchange of upstream evidence and suspect requests among the members of a group."""

import asyncio
import random
from collections.abc import Sequence

from egretrail.fleet import FleetView, Member
from egretrail.identity import (
    AvailabilityZone,
    CallerId,
    Incarnation,
    InstanceName,
    ServiceName,
    UpstreamName,
)
from egretrail.runtime import EvidenceDriver
from egretrail.settings import Detection
from egretrail.testing import EgretrailTestCase, FakeNetwork
from egretrail.upstream import (
    Attempt,
    AttemptOutcome,
    ServiceHealth,
    SuspectRequests,
    UnlimitedRights,
    UpstreamState,
)

SERVICE = ServiceName("team/service")
UPSTREAMS = [UpstreamName(f"u{index}") for index in range(6)]
NAMES = [InstanceName(name) for name in ("a", "b", "c")]
POISON = 4711


def _member(name: InstanceName, number: int) -> Member:
    zone = AvailabilityZone("zone")
    return Member(Incarnation(name, number), zone, "127.0.0.1", 1, "127.0.0.1", 2)


class _View(FleetView):
    """A group of fixed members."""

    def __init__(self, own: Member) -> None:
        self._own = own

    @property
    def own(self) -> Member:
        return self._own

    def members(self) -> Sequence[Member]:
        return [_member(name, 1) for name in NAMES]

    def member(self, name: InstanceName) -> Member | None:
        return _member(name, 1)

    def group(self, service: ServiceName) -> Sequence[Member]:
        return self.members()


def _health(service: ServiceName) -> ServiceHealth:
    health = ServiceHealth(service, Detection.PROMPT, 10.0, UnlimitedRights(), random.Random(1))
    health.set_upstreams(UPSTREAMS, 0.0)
    return health


class _Group:
    """Three drivers on one fake network."""

    def __init__(self, network: FakeNetwork) -> None:
        self.network = network
        self.drivers: dict[InstanceName, EvidenceDriver] = {}

    async def join(self, name: InstanceName, number: int = 1) -> EvidenceDriver:
        own = _member(name, number)
        peer = self.network.join(own.incarnation)
        driver = EvidenceDriver(
            own.incarnation, peer, _View(own), _health, lambda _service: SuspectRequests(2)
        )
        await driver.start()
        self.drivers[name] = driver
        driver.health(SERVICE)
        return driver

    async def attempt(
        self, name: InstanceName, upstream: int, outcome: AttemptOutcome, digest: int
    ) -> None:
        driver = self.drivers[name]
        now_s = asyncio.get_running_loop().time()
        ticket = driver.record_attempt_start(SERVICE, UPSTREAMS[upstream], digest, "GET")
        await asyncio.sleep(0.02)
        await driver.record_attempt_end(
            SERVICE,
            ticket,
            Attempt(
                UPSTREAMS[upstream], outcome, 0.02, now_s, digest, "GET", CallerId(str(digest))
            ),
        )

    async def stop(self) -> None:
        for driver in self.drivers.values():
            await driver.stop()


async def _group(network: FakeNetwork | None = None) -> _Group:
    group = _Group(network or FakeNetwork())
    for name in NAMES:
        await group.join(name)
    await asyncio.sleep(0.1)
    return group


class SuspectSharingTest(EgretrailTestCase):
    def test_a_resend_after_two_losses_is_refused_at_every_member(self) -> None:
        async def run() -> list[bool]:
            group = await _group()
            await group.attempt(NAMES[0], 0, AttemptOutcome.LOST, POISON)
            await group.attempt(NAMES[1], 1, AttemptOutcome.LOST, POISON)
            found = [
                await driver.permits_another_upstream(SERVICE, POISON)
                for driver in group.drivers.values()
            ]
            await group.stop()
            return found

        self.assertEqual([False, False, False], self.run_paused(run()))

    def test_a_partitioned_member_learns_of_losses_when_the_partition_heals(self) -> None:
        async def run() -> tuple[bool, float, bool]:
            group = await _group()
            loop = asyncio.get_running_loop()
            group.network.cut_both(NAMES[0], NAMES[2])
            start_s = loop.time()
            for upstream in (0, 1):
                await group.attempt(NAMES[0], upstream, AttemptOutcome.LOST, POISON)
            took_s = loop.time() - start_s
            during = await group.drivers[NAMES[2]].permits_another_upstream(SERVICE, POISON)
            group.network.cut.clear()
            await asyncio.sleep(3.0)
            after = await group.drivers[NAMES[2]].permits_another_upstream(SERVICE, POISON)
            await group.stop()
            return during, took_s, after

        during, took_s, after = self.run_paused(run())
        self.assertTrue(during)
        self.assertLess(took_s, 0.6)
        self.assertFalse(after)

    def test_a_restarted_member_fetches_the_losses_that_others_hold(self) -> None:
        async def run() -> bool:
            group = await _group()
            for upstream in (0, 1):
                await group.attempt(NAMES[0], upstream, AttemptOutcome.LOST, POISON)
            await group.drivers[NAMES[2]].stop()
            driver = await group.join(NAMES[2], number=2)
            await asyncio.sleep(0.1)
            found = await driver.permits_another_upstream(SERVICE, POISON)
            await group.stop()
            return found

        self.assertFalse(self.run_paused(run()))

    def test_an_answer_clears_the_request_at_every_member(self) -> None:
        async def run() -> list[bool]:
            group = await _group()
            await group.attempt(NAMES[0], 0, AttemptOutcome.LOST, POISON)
            await group.attempt(NAMES[1], 1, AttemptOutcome.ANSWERED, POISON)
            await asyncio.sleep(0.1)
            await group.attempt(NAMES[2], 2, AttemptOutcome.LOST, POISON)
            found = [
                await driver.permits_another_upstream(SERVICE, POISON)
                for driver in group.drivers.values()
            ]
            await group.stop()
            return found

        self.assertEqual([True, True, True], self.run_paused(run()))


class EvidenceSharingTest(EgretrailTestCase):
    def test_a_few_failures_at_each_member_eject_the_upstream_at_all(self) -> None:
        async def run() -> tuple[int, list[UpstreamState]]:
            group = await _group()
            await _record_successes(group)
            sent = 0
            digest = 1000
            while _states(group)[0] is not UpstreamState.EJECTED and sent < 20:
                await group.attempt(NAMES[sent % 3], 0, AttemptOutcome.FAILED, digest + sent)
                for other in range(1, 6):
                    name = NAMES[(sent + other) % 3]
                    await group.attempt(name, other, AttemptOutcome.ANSWERED, digest + 500 + other)
                sent += 1
            await asyncio.sleep(0.1)
            states = _states(group)
            await group.stop()
            return sent, states

        sent, states = self.run_paused(run())
        self.assertLessEqual(sent, 5)
        self.assertEqual([UpstreamState.EJECTED] * 3, states)

    def test_peers_report_their_attempts_in_flight(self) -> None:
        async def run() -> int:
            group = await _group()
            for name in NAMES[1:]:
                group.drivers[name].record_attempt_start(SERVICE, UPSTREAMS[3], 1, "GET")
            await asyncio.sleep(2.0)
            found = group.drivers[NAMES[0]].peer_in_flight(SERVICE, UPSTREAMS[3])
            await group.stop()
            return found

        self.assertEqual(2, self.run_paused(run()))

    def test_lost_and_duplicated_messages_lead_to_the_same_decision(self) -> None:
        async def run() -> list[UpstreamState]:
            network = FakeNetwork(seed=5)
            group = await _group(network)
            network.loss_share = 0.3
            network.double_share = 0.3
            await _record_successes(group)
            for sent in range(12):
                await group.attempt(NAMES[sent % 3], 0, AttemptOutcome.FAILED, 2000 + sent)
                for other in range(1, 6):
                    name = NAMES[(sent + other) % 3]
                    await group.attempt(name, other, AttemptOutcome.ANSWERED, 3000 + other)
            await asyncio.sleep(1.5)
            states = _states(group)
            await group.stop()
            return states

        self.assertEqual([UpstreamState.EJECTED] * 3, self.run_paused(run()))


async def _record_successes(group: _Group) -> None:
    for digest in range(60):
        name = NAMES[digest % 3]
        await group.attempt(name, digest // 3 % 6, AttemptOutcome.ANSWERED, digest)


def _states(group: _Group) -> list[UpstreamState]:
    now_s = asyncio.get_running_loop().time()
    return [
        driver.health(SERVICE).verdict(UPSTREAMS[0], now_s).state
        for driver in group.drivers.values()
    ]
