"""The two deployments' services at their sizes of today, and the requests drawn for them."""

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

#: Deadline of a request in a hurry, as a share of the usual one.
_TIGHT = 1.0 / 3.0


class Deployment(enum.Enum):
    """The two deployments, at their sizes of today."""

    #: Sample catalogue: patient callers, three zones, four slots an upstream.
    LAATTANAYTE = "laattanayte"
    #: Stand builders: prompt detection, three zones, three slots an upstream.
    HOANG_LIEN = "hoang-lien"


@dataclass(frozen=True, slots=True)
class Site:
    """The size and latencies of one deployment's service."""

    #: The service's qualified name.
    service: ServiceName
    #: How eagerly it ejects.
    detection: Detection
    #: Its availability zones.
    zones: Sequence[str]
    #: One-way latency between zones.
    zone_latency_s: float
    #: Its upstreams, and how many requests each works on at once.
    upstream_count: int
    slots: int
    #: Connections that each upstream accepts.
    connections: int
    #: The instances that serve it.
    member_count: int
    #: Typical work of one request.
    work_s: float
    #: Time to the deadline and time in the queue that its callers accept.
    deadline_s: float
    queue_s: float


_UUSIMAA = ("vantaa-a", "espoo-b", "kerava-c")
_HO_CHI_MINH = ("binh-duong", "thu-duc", "quan-bay")

#: Reads of each deployment; the gray faults are played on these.
READS: Mapping[Deployment, Site] = {
    Deployment.LAATTANAYTE: Site(
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
    Deployment.HOANG_LIEN: Site(
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
#: Work that may run once of each deployment.
WRITES: Mapping[Deployment, Site] = {
    Deployment.LAATTANAYTE: Site(
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
    Deployment.HOANG_LIEN: Site(
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
    """The requests of a recipe."""

    #: Requests a second, over time.
    rate_per_s: Callable[[float], float]
    #: Length of the trace.
    duration_s: float
    #: Standard deviation of the logarithm of the work: 0.5 is usual, 1.0 a heavy tail.
    work_spread: float = 0.5
    #: Share of requests that are idempotent.
    idempotent_share: float = 0.9
    #: Callers; their shares fall as 1, 1/2, 1/3, ...
    caller_count: int = 12
    #: Share of all requests that one further, greedy caller sends.
    greedy_share: float = 0.0
    #: Share of requests that are long, and how much longer.
    long_share: float = 0.0
    long_factor: float = 20.0
    #: Share of requests to members other than evenly: the first gets this much more.
    member_skew: float = 0.0
    #: Share of requests with a third of the deadline and of the time in the queue.
    tight_share: float = 0.0
    #: Whether slow idempotent requests may be sent a second time.
    hedge: bool = False


def header_of(name: str, site: Site, duration_s: float) -> TraceHeader:
    """Return the header for a service."""
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


def requests_of(site: Site, load: Load, rng: random.Random) -> list[TracedRequest]:
    """Draw the requests of a trace."""
    callers = [CallerId(f"c{index:02}") for index in range(load.caller_count)]
    shares = [1.0 / (index + 1) for index in range(load.caller_count)]
    members = list(range(site.member_count))
    member_shares = [1.0 + load.member_skew * (index == 0) for index in members]
    found: list[TracedRequest] = []
    now_s = 0.0
    while True:
        now_s += rng.expovariate(load.rate_per_s(now_s))
        if now_s >= load.duration_s:
            return found
        greedy = rng.random() < load.greedy_share
        long = rng.random() < load.long_share
        idempotent = rng.random() < load.idempotent_share
        patience = _TIGHT if rng.random() < load.tight_share else 1.0
        work_s = site.work_s * rng.lognormvariate(-load.work_spread**2 / 2, load.work_spread)
        kind = "report GET" if long else rng.choice(("list GET", "item GET"))
        found.append(
            TracedRequest(
                now_s,
                rng.choices(members, member_shares)[0],
                CallerId("greedy") if greedy else rng.choices(callers, shares)[0],
                TeamName("own"),
                kind if idempotent else "order POST" if patience == 1.0 else "rush POST",
                idempotent,
                work_s * (load.long_factor if long else 1.0),
                int(2000 * rng.lognormvariate(0.0, 1.5)),
                site.deadline_s * patience,
                site.queue_s * patience,
                rng.getrandbits(63),
                load.hedge,
            )
        )


def steady(rate_per_s: float) -> Callable[[float], float]:
    """Return a rate that does not change."""
    return lambda _now_s: rate_per_s


def capacity_per_s(site: Site) -> float:
    """Return the requests a second that the service's slots can answer."""
    return site.upstream_count * site.slots / site.work_s
