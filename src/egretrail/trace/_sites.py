"""The services of the two deployments at their present sizes, and random requests for them."""

import enum
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from egretrail.identity import (
    AvailabilityZone,
    CallerId,
    InstanceName,
    ServiceName,
    TeamName,
    UpstreamName,
)
from egretrail.settings import Detection
from egretrail.trace._records import TracedMember, TracedRequest, TracedUpstream, TraceHeader

#: Deadline and queueing time of a tight request, as a share of the typical ones.
_TIGHT_SHARE = 1.0 / 3.0


class Deployment(enum.Enum):
    """The two deployments."""

    #: Sample catalogue: patient clients, three zones, four slots per upstream.
    LAATTANAYTE = "laattanayte"
    #: Stand builders: prompt detection, three zones, three slots per upstream.
    HOANG_LIEN = "hoang-lien"


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """The size and latencies of one deployment's service."""

    #: The service's qualified name.
    service: ServiceName
    #: The service's detection setting.
    detection: Detection
    #: The availability zones.
    zones: Sequence[str]
    #: One-way latency between zones, in seconds.
    zone_latency_s: float
    #: Number of upstreams, and number of requests that each runs at once.
    upstream_count: int
    slots: int
    #: Number of connections that each upstream accepts.
    connections: int
    #: Number of instances that serve it.
    member_count: int
    #: Typical time that an upstream takes for a request, in seconds.
    work_s: float
    #: Time to the deadline and maximum time in the queue, in seconds.
    deadline_s: float
    queue_s: float


_UUSIMAA = ("vantaa-a", "espoo-b", "kerava-c")
_HO_CHI_MINH = ("binh-duong", "thu-duc", "quan-bay")

#: A read service of each deployment, with idempotent requests; gray failures use these.
READS: Mapping[Deployment, ServiceProfile] = {
    Deployment.LAATTANAYTE: ServiceProfile(
        ServiceName("naytteet/katalogi"),
        Detection.PATIENT,
        _UUSIMAA,
        0.0005,
        10,
        4,
        400,
        3,
        0.04,
        4.0,
        2.0,
    ),
    Deployment.HOANG_LIEN: ServiceProfile(
        ServiceName("messut/standplan"),
        Detection.PROMPT,
        _HO_CHI_MINH,
        0.001,
        7,
        3,
        330,
        3,
        0.04,
        2.0,
        0.5,
    ),
}
#: A write service of each deployment, whose requests may run only once.
WRITES: Mapping[Deployment, ServiceProfile] = {
    Deployment.LAATTANAYTE: ServiceProfile(
        ServiceName("naytteet/varaus"),
        Detection.PATIENT,
        _UUSIMAA,
        0.0005,
        20,
        4,
        400,
        5,
        0.15,
        6.0,
        3.0,
    ),
    Deployment.HOANG_LIEN: ServiceProfile(
        ServiceName("messut/thuphi"),
        Detection.PROMPT,
        _HO_CHI_MINH,
        0.001,
        6,
        3,
        330,
        3,
        0.1,
        2.0,
        0.5,
    ),
}


@dataclass(frozen=True, slots=True)
class Load:
    """The workload of a recipe."""

    #: Requests per second as a function of time.
    rate_per_s: Callable[[float], float]
    #: Length of the trace, in seconds.
    duration_s: float
    #: Standard deviation of the logarithm of the work: 0.5 is typical, 1.0 a heavy tail.
    work_spread: float = 0.5
    #: Share of requests that are idempotent.
    idempotent_share: float = 0.9
    #: Number of clients; their shares fall as 1, 1/2, 1/3, ...
    caller_count: int = 12
    #: Share of all requests that one further, greedy client sends.
    greedy_share: float = 0.0
    #: Share of requests that are long, and how many times longer they are.
    long_share: float = 0.0
    long_factor: float = 20.0
    #: Additional weight of the first member over the others' weight of 1.
    member_skew: float = 0.0
    #: Share of requests with a third of the deadline and of the queueing time.
    tight_share: float = 0.0
    #: Whether slow idempotent requests may be hedged.
    hedge: bool = False


def make_header(name: str, site: ServiceProfile, duration_s: float) -> TraceHeader:
    """Return the trace header of a service."""
    upstreams = [
        TracedUpstream(
            UpstreamName(f"u{index:02}"),
            AvailabilityZone(site.zones[index % len(site.zones)]),
            site.slots,
            site.slots,
            site.connections,
        )
        for index in range(site.upstream_count)
    ]
    members = [
        TracedMember(
            InstanceName(f"e{index:02}"), AvailabilityZone(site.zones[index % len(site.zones)])
        )
        for index in range(site.member_count)
    ]
    return TraceHeader(
        name,
        site.service,
        site.detection,
        0.1,
        5.0,
        site.zone_latency_s,
        duration_s,
        upstreams,
        members,
    )


def generate_requests(site: ServiceProfile, load: Load, rng: random.Random) -> list[TracedRequest]:
    """Generate the requests of a trace."""
    callers = [CallerId(f"c{index:02}") for index in range(load.caller_count)]
    shares = [1.0 / (index + 1) for index in range(load.caller_count)]
    members = list(range(site.member_count))
    member_shares = [1.0 + load.member_skew * (index == 0) for index in members]
    requests: list[TracedRequest] = []
    now_s = 0.0
    while True:
        now_s += rng.expovariate(load.rate_per_s(now_s))
        if now_s >= load.duration_s:
            return requests
        is_greedy = rng.random() < load.greedy_share
        is_long = rng.random() < load.long_share
        idempotent = rng.random() < load.idempotent_share
        deadline_share = _TIGHT_SHARE if rng.random() < load.tight_share else 1.0
        work_s = site.work_s * rng.lognormvariate(-load.work_spread**2 / 2, load.work_spread)
        kind = "report GET" if is_long else rng.choice(("list GET", "item GET"))
        requests.append(
            TracedRequest(
                now_s,
                rng.choices(members, member_shares)[0],
                CallerId("greedy") if is_greedy else rng.choices(callers, shares)[0],
                TeamName("own"),
                kind if idempotent else "order POST" if deadline_share == 1.0 else "rush POST",
                idempotent,
                work_s * (load.long_factor if is_long else 1.0),
                int(2000 * rng.lognormvariate(0.0, 1.5)),
                site.deadline_s * deadline_share,
                site.queue_s * deadline_share,
                rng.getrandbits(63),
                load.hedge,
            )
        )


def constant_rate(rate_per_s: float) -> Callable[[float], float]:
    """Return a constant rate."""
    return lambda _now_s: rate_per_s


def capacity_per_s(site: ServiceProfile) -> float:
    """Return how many requests per second the service's slots can serve."""
    return site.upstream_count * site.slots / site.work_s
