"""The heartbeat that an instance sends to the hub of its zone, several times a second."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from egretrail.cluster._config_freshness import SectionEcho
from egretrail.cluster._instance import Instance, InstanceState, short_incarnation
from egretrail.dispatch import AccountReport, Outcome, RequestDigest, RetryCounts
from egretrail.overload import DemandReport


class OutcomeReport(NamedTuple):
    """The observed outcome of a request at an upstream, as instances report it to each other."""

    #: The key of the upstream.
    upstream_key: int
    #: The outcome of the request.
    outcome: Outcome
    #: Seconds from sending the request to the outcome.
    duration_s: float
    #: The address of the instance that observed the outcome.
    observer: str


@dataclass(frozen=True, slots=True)
class LossReport:
    """A request during which the connection to its upstream broke."""

    #: The digest of the request.
    digest: RequestDigest
    #: The key of the upstream.
    upstream_key: int


@dataclass(frozen=True, slots=True)
class DropReport:
    """An upstream that a reader of the store dropped although the store did not change.

    The entry of the upstream disappeared during a store outage and was not restored within the
    grace period. Since then, the store's revision that the reader knows has not risen.
    """

    #: The lifetime of the upstream.
    upstream_id: str
    #: The revision of the last entry of the upstream; an entry with a newer revision is kept.
    revision: int


@dataclass(frozen=True, slots=True)
class LimitReport:
    """The rate limit that an upstream advertised for the whole fleet."""

    #: The key of the upstream.
    upstream_key: int
    #: Requests a second that the upstream accepts; None when it no longer advertises a limit.
    limit_per_s: float | None
    #: Seconds since the upstream advertised the limit. The latest advertisement takes effect, in
    #: whichever order the reports arrive.
    age_s: float


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat with the updates of the instance since its previous heartbeats.

    Loads and counts are absolute. Outcome reports are numbered. Outcome reports and losses are
    repeated in several successive heartbeats, so that a lost datagram loses none of them.
    """

    #: The address of the instance.
    origin: str
    #: The availability zone of the instance.
    availability_zone: str
    #: The incarnation of the instance; increases with each start of its process.
    incarnation: int
    #: Increases with each heartbeat of the incarnation.
    sequence: int
    #: Whether callers may be directed to the instance.
    state: InstanceState
    #: The instance's share of a CPU core multiplied by the speed of the core.
    capacity: float
    #: The version of the configuration that the instance has in force; 0 for none.
    config_version: int
    #: The store's revision up to which the instance knows the upstreams; 0 for none.
    upstreams_revision: int
    #: Whether the instance is in contact with the store now.
    store_contact: bool
    #: Requests in flight, by the key of the upstream.
    loads: Mapping[int, int] = field(default_factory=dict)
    #: The number of the first entry of ``outcomes``.
    first_outcome: int = 0
    #: Recent outcomes that bear on the health of upstreams.
    outcomes: Sequence[OutcomeReport] = ()
    #: Successes of upstreams in good health since the previous heartbeat; sent once.
    successes: Sequence[OutcomeReport] = ()
    #: Requests that were recently lost with the connection to their upstream.
    losses: Sequence[LossReport] = ()
    #: Upstreams that the instance dropped in the last seconds.
    dropped: Sequence[DropReport] = ()
    #: Requests and retries by service, since the start of the process.
    retries: Mapping[str, RetryCounts] = field(default_factory=dict)
    #: The part of ``retries`` that the zone has received. A new hub counts only what exceeds this.
    known_retries: Mapping[str, RetryCounts] = field(default_factory=dict)
    #: Limits that upstreams advertised or withdrew in the last seconds.
    limits: Sequence[LimitReport] = ()
    #: Seconds since the configuration was confirmed as current; None when not reported.
    config_freshness_age_s: float | None = None
    #: The last section received from the hub of the zone; set together with the age above.
    last_section: SectionEcho | None = None
    #: Request counts of recently active client accounts with a quota, by the key of the account.
    accounts: Mapping[int, AccountReport] = field(default_factory=dict)
    #: Whether the instance reaches no upstream; it serves its clients through other instances.
    is_isolated: bool = False
    #: The ids of upstreams whose address was found in the last seconds to belong to another one.
    replaced: Sequence[str] = ()
    #: The demand for services that are watched for overload; empty if there is none.
    demand: DemandReport = field(default_factory=DemandReport)
    #: For how long the store has answered no instance, as far as the instance knows, while its own
    #: calls fail; None otherwise.
    store_away_s: float | None = None

    def instance(self) -> Instance:
        """Return the roster entry of the heartbeat's origin."""
        return Instance(
            self.origin,
            self.availability_zone,
            short_incarnation(self.incarnation),
            self.state,
            self.capacity,
        )
