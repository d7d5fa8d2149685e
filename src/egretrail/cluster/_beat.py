"""What an instance tells the hub of its zone, several times a second."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from egretrail.cluster._config_proof import SectionEcho
from egretrail.cluster._instance import Instance, InstanceState, short_incarnation
from egretrail.dispatch import AccountReport, Outcome, RepeatCounts, RequestDigest


class Finding(NamedTuple):
    """One outcome of a request at an upstream."""

    #: The key of the upstream.
    upstream_key: int
    #: What became of the request.
    outcome: Outcome
    #: From sending the request to the outcome.
    duration_s: float
    #: The address of the instance that observed it.
    observer: str


@dataclass(frozen=True, slots=True)
class LossReport:
    """An upstream whose connection broke while it ran a request."""

    #: The request.
    digest: RequestDigest
    #: The key of the upstream.
    upstream_key: int


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
class LimitReport:
    """What an upstream said of how many requests it takes from the whole fleet."""

    #: The key of the upstream.
    upstream_key: int
    #: The requests a second that it takes; None where it no longer names a limit.
    limit_per_s: float | None
    #: How long ago it said so: what was said later holds, however it is told.
    age_s: float


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
    #: Its requests under way, by the upstream's key.
    loads: Mapping[int, int] = field(default_factory=dict)
    #: The number of the first entry of ``findings``.
    first_finding: int = 0
    #: What it observed in the last moments that bears on an upstream's standing.
    findings: Sequence[Finding] = ()
    #: Successes of upstreams in good standing since the last beat; told once.
    routine: Sequence[Finding] = ()
    #: What requests cost in the last moments.
    losses: Sequence[LossReport] = ()
    #: Upstreams that it dropped in the last seconds.
    dropped: Sequence[DropReport] = ()
    #: Requests and repeats by service, since its start.
    repeats: Mapping[str, RepeatCounts] = field(default_factory=dict)
    #: Those of ``repeats`` that the zone has heard of; a hub that is new counts what is beyond.
    told_repeats: Mapping[str, RepeatCounts] = field(default_factory=dict)
    #: Limits that upstreams named or gave up in the last seconds.
    limits: Sequence[LimitReport] = ()
    #: How old its proof is that its configuration is the newest one; None where it tells of none.
    config_proof_age_s: float | None = None
    #: The last section of its hub that it heard, where it tells of a proof.
    heard: SectionEcho | None = None
    #: What it counted of accounts with a quota that asked lately, by key.
    accounts: Mapping[int, AccountReport] = field(default_factory=dict)

    def instance(self) -> Instance:
        """Return what is listed of the beat's origin."""
        return Instance(
            self.origin,
            self.availability_zone,
            short_incarnation(self.incarnation),
            self.state,
            self.capacity,
        )
