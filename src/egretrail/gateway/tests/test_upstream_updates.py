"""The state of draining upstreams reaches all instances in time, whatever else is fetched."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from egretrail.gateway.tests.fleet import Fleet
from egretrail.gateway.tests.streams import SimulatedStreams
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

#: The link rates of weak instances, and of the two strong ones of each zone.
_WEAK_BYTES_PER_S, _STRONG_BYTES_PER_S = 1.25e6, 25e6
_UPSTREAMS = 360
#: Upstreams drain one after the other at this interval, for longer than the whole-list interval.
_INTERVAL_S = 0.2
_DRAINING = 70
#: The number of drained upstreams after which the failure starts.
_FAILURE_FROM = 25
_FIRST_REVISION = 100
#: Upstreams that drain with pauses in between, and the share of lost datagrams meanwhile.
_SINGLE_DRAINING, _LOSS = 5, 0.2
#: A draining must be known within 2.5 s. Until a reader of the store has it, 1.4 s may pass: the
#: longest pause after failed calls and the wait for several changes.
_LAST_HOP_S = 1.1

_Failure = Callable[[Fleet], None]


def _listed() -> Sequence[UpstreamRecord]:
    return [
        UpstreamRecord(
            f"upstream-{number:04d}",
            "s",
            f"10.8.{number // 250}.{number % 250}:8000",
            "zone",
            4,
            UpstreamState.READY,
            revision=_FIRST_REVISION,
            started_ms=1,
        )
        for number in range(_UPSTREAMS)
    ]


async def _known_to_all_after_s(fleet: Fleet, upstream_id: str) -> float:
    """Wait until no instance sends requests to an upstream; return how long that took."""
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    while any(view.upstreams.is_ready(upstream_id) for view in fleet.views.values()):
        await asyncio.sleep(0.02)
    return loop.time() - begin_s


class _Release:
    """Upstreams that drain one by one, and the delay with which instances learn of it."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._drained_s: list[float] = []
        #: The longest time for which an instance lacked a change that the readers had.
        self.worst_delay_s = 0.0

    def list_at_readers(self, records: Sequence[UpstreamRecord]) -> None:
        """Apply the list at the instances that read the store."""
        for zone in (0, 1):
            view = self._fleet.views[self._fleet.hub(zone)]
            view.replace_upstreams(records, _FIRST_REVISION, "store")

    async def run(self, records: Sequence[UpstreamRecord], failure: _Failure) -> None:
        """Drain upstreams, and start the failure on the way."""
        watching = asyncio.get_running_loop().create_task(self._watch())
        for number, record in enumerate(records[:_DRAINING]):
            if number == _FAILURE_FROM:
                failure(self._fleet)
            self.drain(record)
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.sleep(3.0)
        watching.cancel()

    def drain(self, record: UpstreamRecord) -> None:
        """Let the readers of the store learn that an upstream drains."""
        self._drained_s.append(asyncio.get_running_loop().time())
        revision = _FIRST_REVISION + len(self._drained_s)
        draining = replace(record, state=UpstreamState.DRAINING, revision=revision)
        for zone in (0, 1):
            view = self._fleet.views[self._fleet.hub(zone)]
            view.apply_upstream_changes({record.name: draining}, revision, "store")

    async def _watch(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            for view in self._fleet.views.values():
                known = view.upstreams.revision - _FIRST_REVISION
                if known < len(self._drained_s):
                    self.worst_delay_s = max(self.worst_delay_s, now_s - self._drained_s[known])
            await asyncio.sleep(0.02)


def _no_failure(fleet: Fleet) -> None:
    """Do nothing."""


def _full_link(fleet: Fleet) -> None:
    """Limit the link of the hub that does not read, so that it is nearly full."""
    fleet.network.limits_bytes_per_s[fleet.hub(2)] = 0.1e6


def _stalled_streams(zones: Sequence[int]) -> _Failure:
    """Stall the streams to hubs while their datagrams arrive."""

    def begin(fleet: Fleet) -> None:
        assert fleet.streams is not None
        fleet.streams.stalled_connect_s |= {fleet.hub(zone): 0.6 for zone in zones}

    return begin


class UpstreamUpdatesTest(EgretrailTestCase):
    # Guards against a draining that is known only once the list has been fetched, for which each of
    # several datagrams and segments must arrive.
    @cases(
        {
            f"{'a hub is killed, ' if is_hub_killed else ''}seed {seed}": (is_hub_killed, seed)
            for is_hub_killed in (False, True)
            for seed in (1, 2)
        }
    )
    def test_single_draining_upstreams_are_known_to_all_despite_loss(
        self, case: tuple[bool, int]
    ) -> None:
        is_hub_killed, seed = case
        rng = random.Random(seed)

        async def run() -> list[float]:
            fleet = Fleet([12] * 5)
            fleet.network.reseed(seed)
            streams = fleet.streams = SimulatedStreams(fleet.network)
            with streams.in_place_of_sockets():
                for address in fleet.addresses:
                    fleet.start(address, fleet.addresses[:1])
                await asyncio.sleep(4.0)
                release, records = _Release(fleet), _listed()
                release.list_at_readers(records)
                await asyncio.sleep(4.0)
                fleet.network.loss = _LOSS
                delays_s = []
                for record in records[:_SINGLE_DRAINING]:
                    release.drain(record)
                    await asyncio.sleep(rng.random() * 0.1)
                    killed = fleet.hub(rng.choice([2, 3, 4])) if is_hub_killed else None
                    if killed is not None:
                        fleet.kill(killed)
                    delays_s.append(await _known_to_all_after_s(fleet, record.id))
                    if killed is not None:
                        fleet.start(killed, fleet.addresses[:1])
                    await asyncio.sleep(2.0 + rng.random())
                fleet.stop()
            return delays_s

        self.assertLess(max(self.run_paused(run())), _LAST_HOP_S)

    @cases(
        {
            "strong_hubs": (True, _no_failure, 0.2),
            "weak_hubs": (False, _no_failure, 0.2),
            "a_hub_whose_link_is_nearly_full": (True, _full_link, 2.5),
            "a_hub_whose_streams_stall": (True, _stalled_streams([2]), 1.0),
            "two_hubs_whose_streams_stall": (True, _stalled_streams([0, 2]), 1.5),
        }
    )
    def test_draining_upstreams_are_known_to_all_in_time(
        self, case: tuple[bool, _Failure, float]
    ) -> None:
        strong_hubs, failure, bound_s = case

        async def run() -> float:
            fleet = Fleet([6, 6, 36])
            streams = fleet.streams = SimulatedStreams(fleet.network)
            for address in fleet.addresses:
                strong = strong_hubs and int(address.split(".")[3]) < 2
                fleet.capacities[address] = 2.15 if strong else 0.43
                rate = _STRONG_BYTES_PER_S if strong else _WEAK_BYTES_PER_S
                fleet.network.limits_bytes_per_s[address] = rate
            with streams.in_place_of_sockets():
                for address in fleet.addresses:
                    fleet.start(address, fleet.addresses[:1])
                await asyncio.sleep(4.0)
                release, records = _Release(fleet), _listed()
                release.list_at_readers(records)
                await asyncio.sleep(4.0)
                await release.run(records, failure)
                fleet.stop()
            return release.worst_delay_s

        self.assertLess(self.run_paused(run()), bound_s)
