"""Measures the control-plane cost of N gateways over a simulated network.

``python -m benchmarks.fleet 44 133 300`` simulates fleets of these sizes on a paused clock, with
requests at each instance and some failures. For each size it prints the traffic that an instance
receives, the cross-zone traffic, the CPU share and the time until instances detect a failure.
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

#: Number of zones, and the one-way latency between instances within a zone and cross-zone.
_ZONES = 4
_WITHIN_ZONE_S, _CROSS_ZONE_S = 0.0001, 0.0005
#: Share of datagrams that are lost.
_LOSS_SHARE = 0.001
#: Requests per second at each instance, and the typical duration of a request.
_REQUESTS_PER_S = 4.7
_WORK_S = 0.2
#: Failures per second over the whole fleet: those of a service with 3 of 10 upstreams failing.
_FAILURES_PER_S = 6.0
_GOOD = UpstreamHealth.GOOD
#: Interval of the checks whether an instance has detected a failure, and the time after which the
#: check gives up.
_POLL_S = 0.01
_POLL_LIMIT_S = 2.0
#: Time before the measurement in which the fleet settles, and the duration of the measurement.
_SETTLE_S = 3.0
_MEASURE_S = 6.0


@dataclass(frozen=True, slots=True)
class FleetCost:
    """The cost of one instance per second, and the propagation time of failures."""

    #: Number of instances.
    instances: int
    #: Datagrams that an instance receives per second.
    datagrams_per_s: float
    #: Bytes that an instance receives per second, within the zone and cross-zone.
    received_bytes_per_s: float
    #: Cross-zone bytes per second of the whole fleet.
    cross_zone_bytes_per_s: float
    #: CPU time of an instance as a share of one core, including the simulated network.
    cpu_share: float
    #: The 99th percentile time until an instance in the observer's zone suspects a failed upstream,
    #: over all instances and failures.
    same_zone_p99_s: float
    #: The same time for instances in other zones.
    cross_zone_p99_s: float
    #: The longest time of the run; 2 s stands for an instance that did not learn of a failure.
    longest_s: float


class Fleet:
    """Instances ``10.0.Z.N`` with the same seed addresses and the same upstreams."""

    def __init__(self, size: int, upstreams: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.network = SimulatedNetwork(_WITHIN_ZONE_S, _CROSS_ZONE_S, _LOSS_SHARE, seed + 1)
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
        #: Times until instances in the observer's zone, and in other zones, knew of a failure.
        self.same_zone_delays_s: list[float] = []
        self.cross_zone_delays_s: list[float] = []

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
            self.tasks.append(loop.create_task(self._run_requests(view)))

    async def fail_upstreams(self) -> None:
        """Record a failure of each upstream, one after the other, at one instance each."""
        for upstream in self.rng.sample(self.upstreams, len(self.upstreams)):
            await asyncio.sleep(self.rng.expovariate(_FAILURES_PER_S))
            view = self.views[self.rng.choice(self.addresses)]
            view.record_outcome(Observation(upstream.id, Outcome.FAILED, 0.01))
            for other in self.views.values():
                delays_s = (
                    self.same_zone_delays_s
                    if other.own_zone == view.own_zone
                    else self.cross_zone_delays_s
                )
                self.tasks.append(
                    asyncio.create_task(self._measure_delay(upstream.id, other, delays_s))
                )

    async def _measure_delay(
        self, upstream_id: str, view: FleetView, delays_s: list[float]
    ) -> None:
        loop = asyncio.get_running_loop()
        since_s = loop.time()
        while view.suspicion.health(upstream_id, loop.time()) is _GOOD:
            await asyncio.sleep(_POLL_S)
            if loop.time() - since_s >= _POLL_LIMIT_S:
                break
        delays_s.append(loop.time() - since_s)

    async def _run_requests(self, view: FleetView) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(_REQUESTS_PER_S))
            upstream = self.rng.choice(self.upstreams)
            if view.suspicion.health(upstream.id, asyncio.get_running_loop().time()) is not _GOOD:
                continue
            view.record_request_start(upstream.id, trial=False)
            duration_s = _WORK_S * (0.5 + self.rng.random())
            asyncio.get_running_loop().call_later(
                duration_s, _record_success, view, upstream.id, duration_s
            )


def _record_success(view: FleetView, upstream_id: str, duration_s: float) -> None:
    view.record_outcome(Observation(upstream_id, Outcome.SUCCESS, duration_s))
    view.record_request_end(upstream_id)


async def measure(size: int, upstreams: int, seed: int) -> FleetCost:
    """Run a fleet and return the cost of an instance."""
    fleet = Fleet(size, upstreams, seed)
    fleet.start()
    await asyncio.sleep(_SETTLE_S)
    fleet.network.traffic = Traffic()
    started_s = time.process_time()
    failures = asyncio.create_task(fleet.fail_upstreams())
    await asyncio.sleep(_MEASURE_S)
    cpu_s = time.process_time() - started_s
    for task in [failures, *fleet.tasks]:
        task.cancel()
    traffic = fleet.network.traffic
    datagrams = traffic.datagrams_within_zone + traffic.cross_zone_datagrams
    received_bytes = traffic.bytes_within_zone + traffic.cross_zone_bytes
    return FleetCost(
        instances=size,
        datagrams_per_s=datagrams / size / _MEASURE_S,
        received_bytes_per_s=received_bytes / size / _MEASURE_S,
        cross_zone_bytes_per_s=traffic.cross_zone_bytes / _MEASURE_S,
        cpu_share=cpu_s / size / _MEASURE_S,
        same_zone_p99_s=_percentile_99(fleet.same_zone_delays_s),
        cross_zone_p99_s=_percentile_99(fleet.cross_zone_delays_s),
        longest_s=max([*fleet.same_zone_delays_s, *fleet.cross_zone_delays_s], default=0.0),
    )


def _percentile_99(delays_s: Sequence[float]) -> float:
    return statistics.quantiles(delays_s, n=100)[98] if len(delays_s) > 1 else 0.0


def main(arguments: Sequence[str] | None = None) -> None:
    """Print one line of costs for each given fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", type=int, nargs="*", default=[44, 133, 300])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true", help="show where the time goes")
    options = parser.parse_args(arguments)
    print(
        "instances  datagrams/s  received B/s  across B/s (fleet)  core share"
        "  zone knows p99 s  others know p99 s  longest s"
    )
    for size in options.sizes:
        profile = cProfile.Profile() if options.profile else None
        if profile is not None:
            profile.enable()
        with asyncio.Runner(loop_factory=PausedLoop) as runner:
            cost = runner.run(measure(size, size, options.seed))
        if profile is not None:
            profile.disable()
            pstats.Stats(profile).sort_stats("tottime").print_stats(25)
        print(
            f"{cost.instances:9d}  {cost.datagrams_per_s:11.0f}  "
            f"{cost.received_bytes_per_s:12.0f}  "
            f"{cost.cross_zone_bytes_per_s:18.0f}  {cost.cpu_share:10.4f}  "
            f"{cost.same_zone_p99_s:16.3f}  {cost.cross_zone_p99_s:17.3f}  "
            f"{cost.longest_s:9.3f}"
        )


if __name__ == "__main__":
    main()
