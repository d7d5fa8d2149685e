"""The records of a trace: a small fleet, the requests it received, and the faults."""

import enum
from collections.abc import Sequence
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


@dataclass(frozen=True, slots=True)
class TracedUpstream:
    """One upstream of the traced service."""

    #: The name.
    name: UpstreamName
    #: The availability zone in which it runs.
    availability_zone: AvailabilityZone
    #: Number of requests that the upstream runs at once.
    slots: int
    #: Number of requests that it runs at once according to the settings.
    stated_slots: int
    #: Number of requests that it accepts, including those waiting for a slot; it sheds the rest.
    connections: int


@dataclass(frozen=True, slots=True)
class TracedMember:
    """One instance that serves the traced service."""

    #: The name.
    name: InstanceName
    #: The availability zone in which it runs.
    availability_zone: AvailabilityZone


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """The service and the instances of a trace; its first line."""

    #: The trace's name in tables.
    name: str
    #: The traced service.
    service: ServiceName
    #: The service's detection setting.
    detection: Detection
    #: The service's retry budget, as a share of first attempts.
    retry_budget: float
    #: Time over which a new or returning upstream ramps up, in seconds.
    ramp_s: float
    #: One-way latency between availability zones, in seconds; half of it within a zone.
    zone_latency_s: float
    #: The length of the trace, in seconds.
    duration_s: float
    #: The service's upstreams.
    upstreams: Sequence[TracedUpstream]
    #: The instances that serve the service.
    members: Sequence[TracedMember]


@dataclass(frozen=True, slots=True)
class TracedRequest:
    """One request as it arrived at an instance."""

    #: Time of arrival.
    at_s: float
    #: The receiving instance, an index into the header's members.
    member: int
    #: The client that sent the request.
    caller: CallerId
    #: The team that owns the route.
    team: TeamName
    #: Route and method.
    kind: str
    #: Whether the request may run more than once.
    idempotent: bool
    #: Time that a healthy upstream takes to run it.
    work_s: float
    #: Size of the response.
    answer_size_bytes: int
    #: Time from the arrival to the deadline.
    deadline_s: float
    #: Maximum time in the queue.
    queue_s: float
    #: Digest of the request; equal for resends of the same request.
    digest: int
    #: Whether the request may be hedged to a second upstream while the first is slow.
    hedge: bool = False


class FaultKind(enum.Enum):
    """The kinds of upstream faults."""

    #: A share of requests is answered with an error, after a fixed part of ``factor`` times
    #: their work.
    FAILS = "fails"
    #: Requests take ``factor`` times their work.
    SLOW = "slow"
    #: Responses of at least a given size are truncated.
    CUTS_LARGE = "cuts-large"
    #: One instance's connections to it are lost.
    PATH = "path"
    #: The upstream is gone: connection attempts fail only at the connect timeout.
    UNREACHABLE = "unreachable"
    #: The upstream drains: it declines new requests, and is unlisted after ``factor`` seconds.
    LEAVES = "leaves"
    #: The upstream starts: it is listed from now on, and is ``factor`` times slower at first.
    STARTS = "starts"
    #: Requests with one digest crash the upstream; it is back after ``factor`` seconds.
    CRASHES = "crashes"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of one upstream for a period of time."""

    #: The kind of the fault.
    kind: FaultKind
    #: The upstream.
    upstream: UpstreamName
    #: When the fault begins and ends.
    at_s: float
    until_s: float
    #: The share of requests that the fault affects.
    share: float = 1.0
    #: Meaning depends on the kind, see there.
    factor: float = 1.0
    #: Limits the fault to requests of this kind; empty for all.
    request_kind: str = ""
    #: Limits the fault to responses of at least this size.
    least_size_bytes: int = 0
    #: Limits the fault to requests of this instance, an index; -1 for all.
    member: int = -1
    #: The digest of the requests that crash the upstream.
    digest: int = 0

    def active(self, now_s: float) -> bool:
        """Return whether the fault is active at a time."""
        return self.at_s <= now_s < self.until_s


@dataclass(frozen=True, slots=True)
class MemberLost:
    """The loss of an instance."""

    #: The instance, an index into the header's members.
    member: int
    #: When the instance is lost.
    at_s: float


@dataclass(frozen=True, slots=True)
class Expectation:
    """An expected bound on one metric."""

    #: The name of an attribute of ``Figures``.
    figure: str
    #: The smallest and largest accepted value.
    least: float = float("-inf")
    most: float = float("inf")


@dataclass(frozen=True, slots=True)
class Trace:
    """A complete trace."""

    #: The service and the instances.
    header: TraceHeader
    #: The requests, ordered by time of arrival.
    requests: Sequence[TracedRequest]
    #: The faults.
    faults: Sequence[Fault] = ()
    #: The instances that are lost.
    lost_members: Sequence[MemberLost] = ()
    #: The expected results under egretrail.
    expectations: Sequence[Expectation] = ()
