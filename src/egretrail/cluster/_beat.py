"""What an instance says of itself, several times a second."""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.dispatch import Observation, RepeatCounts, RequestDigest


class InstanceState(enum.IntEnum):
    """Whether callers may be sent to an instance."""

    #: It does not know the configuration yet.
    STARTING = 0
    #: It serves.
    READY = 1
    #: It was told to stop; it serves those who still come.
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class LossReport:
    """An upstream whose connection broke while it ran a request."""

    #: The request.
    digest: RequestDigest
    #: The lifetime of the upstream.
    upstream_id: str


@dataclass(frozen=True, slots=True)
class DropReport:
    """An upstream that a reader of the store dropped without a change of the store.

    Its entry vanished while the store was away, was kept for the time in which it should have been
    back, and the revision up to which the reader knows the store has not risen since.
    """

    #: The lifetime of the upstream.
    upstream_id: str
    #: The revision of its last entry; a newer entry stays.
    revision: int


@dataclass(frozen=True, slots=True)
class Beat:
    """One heartbeat with the news since the last ones.

    Loads and counts are absolute. Observations and losses are numbered and repeated in the beats of
    the next moments, so that a lost datagram loses none of them.
    """

    #: The instance's address.
    origin: str
    #: Its availability zone.
    availability_zone: str
    #: Rises with each start of its process.
    incarnation: int
    #: Rises with each beat of the incarnation.
    sequence: int
    #: Whether callers may be sent to it.
    state: InstanceState
    #: Its share of a core times the core's speed.
    capacity: float
    #: The version of the configuration that it has in force; 0 for none.
    config_version: int
    #: The store's revision up to which it knows the upstreams; 0 for none.
    upstreams_revision: int
    #: Whether it is in contact with the store now.
    store_contact: bool
    #: Its requests under way, by upstream.
    loads: Mapping[str, int] = field(default_factory=dict)
    #: The number of the first entry of ``observations``.
    first_observation: int = 0
    #: What it observed in the last moments that bears on an upstream's standing.
    observations: Sequence[Observation] = ()
    #: Successes of upstreams in good standing since the last beat; told in the own zone only, once.
    routine: Sequence[Observation] = ()
    #: What requests cost in the last moments.
    losses: Sequence[LossReport] = ()
    #: Upstreams that it dropped in the last seconds.
    dropped: Sequence[DropReport] = ()
    #: Requests and repeats by service, since its start.
    repeats: Mapping[str, RepeatCounts] = field(default_factory=dict)
