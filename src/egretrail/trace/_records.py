"""What a trace holds: a small fleet, the requests that came to it, and the faults it met."""

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

    #: Its name.
    name: UpstreamName
    #: Where it runs.
    availability_zone: AvailabilityZone
    #: Requests that it works on at once.
    slots: int
    #: Requests that the settings say it works on at once.
    stated_slots: int
    #: Requests that it accepts, those that wait for a slot included; it sheds beyond them.
    connections: int


@dataclass(frozen=True, slots=True)
class TracedMember:
    """One instance that serves the traced service."""

    #: Its name.
    name: InstanceName
    #: Where it runs.
    availability_zone: AvailabilityZone


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """The service and the instances of a trace; its first line."""

    #: Names the trace in tables.
    name: str
    #: The traced service.
    service: ServiceName
    #: The service's detection setting.
    detection: Detection
    #: The service's retry budget, a share of first tries.
    retry_budget: float
    #: How long a new or returning upstream ramps.
    ramp_s: float
    #: One-way latency between availability zones; half as much within one.
    zone_latency_s: float
    #: The length of the trace.
    duration_s: float
    #: The service's upstreams.
    upstreams: Sequence[TracedUpstream]
    #: The instances that serve the service.
    members: Sequence[TracedMember]


@dataclass(frozen=True, slots=True)
class TracedRequest:
    """One request as it came to an instance."""

    #: When it came.
    at_s: float
    #: The instance it came to, an index into the header's members.
    member: int
    #: Who sent it.
    caller: CallerId
    #: The team whose route it came by.
    team: TeamName
    #: Its route and method.
    kind: str
    #: Whether it may run more than once.
    idempotent: bool
    #: How long a healthy upstream works on it.
    work_s: float
    #: Size of its answer.
    answer_size_bytes: int
    #: How long after its arrival its answer is of use.
    deadline_s: float
    #: How long it may wait for an upstream.
    queue_s: float
    #: Equal for resends of the same request.
    digest: int
    #: Whether a second upstream may be tried while the first is slow.
    hedge: bool = False


class FaultKind(enum.Enum):
    """What goes wrong with an upstream."""

    #: A share of requests is answered with an error, after ``factor`` of their work.
    FAILS = "fails"
    #: Requests take ``factor`` times their work.
    SLOW = "slow"
    #: Answers above a size are cut.
    CUTS_LARGE = "cuts-large"
    #: One instance's connections to it are lost.
    PATH = "path"
    #: It is gone without a word: connecting takes until the connect timeout.
    UNREACHABLE = "unreachable"
    #: It runs down: it declines new work, and the instance list drops it after ``factor`` seconds.
    LEAVES = "leaves"
    #: It starts: it is listed from now on, and its first answers take ``factor`` times their work.
    STARTS = "starts"
    #: Requests with one digest crash it; it is back after ``factor`` seconds.
    CRASHES = "crashes"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of one upstream, from a time to another."""

    #: What goes wrong.
    kind: FaultKind
    #: The upstream.
    upstream: UpstreamName
    #: When it begins and ends.
    at_s: float
    until_s: float
    #: The share of requests that meet it.
    share: float = 1.0
    #: See the kinds.
    factor: float = 1.0
    #: Only requests of this kind meet it; empty: all.
    request_kind: str = ""
    #: Only answers of at least this size meet it.
    least_size_bytes: int = 0
    #: The instance whose path is bad, an index; -1: none.
    member: int = -1
    #: The digest that crashes it.
    digest: int = 0

    def active(self, now_s: float) -> bool:
        """Return whether the fault lasts at this time."""
        return self.at_s <= now_s < self.until_s


@dataclass(frozen=True, slots=True)
class MemberLost:
    """An instance is gone from this time on."""

    #: The instance, an index.
    member: int
    #: When it goes.
    at_s: float


@dataclass(frozen=True, slots=True)
class Expectation:
    """A stated outcome: a figure of the table and its bound."""

    #: The name of a figure of ``Figures``.
    figure: str
    #: Its least and greatest accepted value.
    least: float = float("-inf")
    most: float = float("inf")


@dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace."""

    #: The service and the instances.
    header: TraceHeader
    #: The requests, in the order of their arrival.
    requests: Sequence[TracedRequest]
    #: The faults.
    faults: Sequence[Fault] = ()
    #: The instances that are lost.
    lost_members: Sequence[MemberLost] = ()
    #: What is expected of egretrail.
    expectations: Sequence[Expectation] = ()
