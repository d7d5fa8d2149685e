"""What instances cost each other: the control plane of N gateways over a simulated network.

``python -m benchmarks.fleet 44 133 300`` runs the datagrams of fleets of these sizes on a paused
clock, with requests that begin and end at each instance and some failures, and prints for each
size what an instance receives, sends across zones and computes, and how soon all know a failure.
"""

import argparse
import asyncio
import cProfile
import os
import pstats
import random
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.dispatch import Observation, Outcome, UpstreamHealth
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.network import SimulatedLinks, SimulatedNetwork, Traffic
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import PausedLoop
from egretrail.traffic import UpstreamRecord, UpstreamState

#: Zones of the fleet, and the one-way time between two instances of one and of two zones.
_ZONES = 4
_INSIDE_S, _ACROSS_S = 0.0001, 0.0005
#: The share of datagrams that is lost.
_LOSS = 0.001
#: Requests a second at each instance, and how long each takes.
_REQUESTS_PER_S = 4.7
_WORK_S = 0.2
#: Failures a second over the whole fleet, as of a service with three upstreams in ten in a spell.
_FAILURES_PER_S = 6.0
_GOOD = UpstreamHealth.GOOD
#: How often it is looked whether an instance knows a failure, and after which time it does not.
_LOOK_S = 0.01
_UNKNOWN_S = 2.0
#: The fleet settles for this long before it is measured for the time after it.
_SETTLE_S = 3.0
_MEASURE_S = 6.0


@dataclass(frozen=True, slots=True)
class Figures:
    """What one instance costs in a second, and how fast news travel."""

    #: Instances.
    instances: int
    #: Datagrams that an instance receives in a second.
    datagrams_per_s: float
    #: Bytes that an instance receives in a second, all of them.
    received_bytes_per_s: float
    #: Bytes between zones in a second, over the whole fleet.
    across_bytes_per_s: float
    #: Processor time of an instance, as a share of this machine's core; the network's included.
    cpu_share: float
    #: The time until an instance of its observer's zone doubts an upstream that failed, at the 99th
    #: percentile of all instances and failures.
    zone_news_s: float
    #: The same for the instances of the other zones.
    far_news_s: float
    #: The longest time of the run, 2 s for an instance that did not learn it.
    longest_s: float


class Fleet:
    """Instances ``10.0.Z.N`` that all know each other's seeds and the same upstreams."""

    def __init__(self, size: int, upstreams: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(_INSIDE_S, _ACROSS_S, _LOSS, seed + 1)
        self.addresses = [f"10.0.{n % _ZONES}.{n // _ZONES}" for n in range(size)]
        self.upstreams = [
            UpstreamRecord(
                f"i-{self.rng.randrange(16**8):08x}",
                "s",
                "10.9.0.1:1",
                f"z{n % _ZONES}",
                3,
                UpstreamState.READY,
                started_ms=1_790_000_000_000 + n,
            )
            for n in range(upstreams)
        ]
        self.views: dict[str, FleetView] = {}
        self.tasks: list[asyncio.Task[None]] = []
        #: How long failures took to be known, for each instance of the observer's zone and others.
        self.zone_news_s: list[float] = []
        self.far_news_s: list[float] = []

    def start(self) -> None:
        """Start all instances."""
        loop = asyncio.get_running_loop()
        for address in self.addresses:
            log = EventLog(address, descriptor=os.open(os.devnull, os.O_WRONLY))
            settings = gateway_settings(address, f"z{address.split('.')[2]}")
            rng = random.Random(address)
            view = FleetView(settings, 1, loop.time, log, rng)
            view.replace_upstreams(self.upstreams, 5, "benchmark")
            links = SimulatedLinks(settings, view, log, rng)
            links.join(self.network, address)
            links.add_seeds(self.addresses[:8])
            self.views[address] = view
            self.tasks.append(loop.create_task(links.run()))
            self.tasks.append(loop.create_task(self._requests(view)))

    async def fail_upstreams(self) -> None:
        """Let upstreams fail one after the other, seen by one instance each."""
        for upstream in self.rng.sample(self.upstreams, len(self.upstreams)):
            await asyncio.sleep(self.rng.expovariate(_FAILURES_PER_S))
            view = self.views[self.rng.choice(self.addresses)]
            view.record_outcome(Observation(upstream.id, Outcome.FAILED, 0.01))
            for other in self.views.values():
                times = self.zone_news_s if other.own_zone == view.own_zone else self.far_news_s
                self.tasks.append(asyncio.create_task(self._until_known(upstream.id, other, times)))

    async def _until_known(self, upstream_id: str, view: FleetView, times_s: list[float]) -> None:
        loop = asyncio.get_running_loop()
        since_s = loop.time()
        while view.suspicion.health(upstream_id, loop.time()) is _GOOD:
            await asyncio.sleep(_LOOK_S)
            if loop.time() - since_s >= _UNKNOWN_S:
                break
        times_s.append(loop.time() - since_s)

    async def _requests(self, view: FleetView) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(_REQUESTS_PER_S))
            upstream = self.rng.choice(self.upstreams)
            if view.suspicion.health(upstream.id, asyncio.get_running_loop().time()) is not _GOOD:
                continue
            view.record_request_start(upstream.id, trial=False)
            duration_s = _WORK_S * (0.5 + self.rng.random())
            asyncio.get_running_loop().call_later(
                duration_s, _answered, view, upstream.id, duration_s
            )


def _answered(view: FleetView, upstream_id: str, duration_s: float) -> None:
    view.record_outcome(Observation(upstream_id, Outcome.SUCCESS, duration_s))
    view.record_request_end(upstream_id)


async def measure(size: int, upstreams: int, seed: int) -> Figures:
    """Run a fleet and return what an instance costs."""
    fleet = Fleet(size, upstreams, seed)
    fleet.start()
    await asyncio.sleep(_SETTLE_S)
    fleet.network.traffic = Traffic()
    began_s = time.process_time()
    failures = asyncio.create_task(fleet.fail_upstreams())
    await asyncio.sleep(_MEASURE_S)
    cpu_s = time.process_time() - began_s
    for task in [failures, *fleet.tasks]:
        task.cancel()
    traffic = fleet.network.traffic
    datagrams = traffic.datagrams_within_zone + traffic.cross_zone_datagrams
    received_bytes = traffic.bytes_within_zone + traffic.cross_zone_bytes
    return Figures(
        instances=size,
        datagrams_per_s=datagrams / size / _MEASURE_S,
        received_bytes_per_s=received_bytes / size / _MEASURE_S,
        across_bytes_per_s=traffic.cross_zone_bytes / _MEASURE_S,
        cpu_share=cpu_s / size / _MEASURE_S,
        zone_news_s=_percentile_99(fleet.zone_news_s),
        far_news_s=_percentile_99(fleet.far_news_s),
        longest_s=max([*fleet.zone_news_s, *fleet.far_news_s], default=0.0),
    )


def _percentile_99(times_s: Sequence[float]) -> float:
    return statistics.quantiles(times_s, n=100)[98] if len(times_s) > 1 else 0.0


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the figures of fleets of the sizes given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="*", default=[44, 133, 300])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true", help="show where the time goes")
    chosen = parser.parse_args(arguments)
    print(
        "instances  datagrams/s  received B/s  across B/s (fleet)  core share"
        "  zone knows p99 s  others know p99 s  longest s"
    )
    for size in chosen.sizes:
        profile = cProfile.Profile() if chosen.profile else None
        if profile is not None:
            profile.enable()
        with asyncio.Runner(loop_factory=PausedLoop) as runner:
            one = runner.run(measure(size, size, chosen.seed))
        if profile is not None:
            profile.disable()
            pstats.Stats(profile).sort_stats("tottime").print_stats(25)
        print(
            f"{one.instances:9d}  {one.datagrams_per_s:11.0f}  {one.received_bytes_per_s:12.0f}  "
            f"{one.across_bytes_per_s:18.0f}  {one.cpu_share:10.4f}  "
            f"{one.zone_news_s:16.3f}  {one.far_news_s:17.3f}  {one.longest_s:9.3f}"
        )


if __name__ == "__main__":
    main()
