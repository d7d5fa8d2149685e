"""The section, the periodic summary message of a zone's hub.

A section contains aggregates of the zone instead of the reports of each instance. Placement
needs the number of requests in flight at each upstream, and not their senders. The data that an
instance receives therefore grows with the upstreams and failures, and not with the instances. Rows
are parallel sequences of numbers, which are decoded in bulk without an object for each row.
"""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.cluster._config_freshness import SectionEcho
from egretrail.cluster._heartbeat import DropReport, LimitReport, LossReport, OutcomeReport
from egretrail.cluster._hub_terms import HubTerm
from egretrail.cluster._instance import Instance
from egretrail.dispatch import AccountReport, RetryCounts
from egretrail.overload import DemandReport


class Scope(enum.IntEnum):
    """The receivers of a section."""

    #: The instances of the hub's own zone: changes since the previous section, ten times a second.
    ZONE = 0
    #: The hubs of the other zones, who send it to their zones: complete aggregates, twice a second.
    CROSS_ZONE = 1


@dataclass(frozen=True, slots=True)
class LoadRows:
    """Requests in flight by upstream."""

    #: The keys of upstreams.
    keys: Sequence[int] = ()
    #: The requests of the zone at each of them, at most 255.
    counts: Sequence[int] = ()


@dataclass(frozen=True, slots=True)
class LoadSlice:
    """The loads of a slice of the upstream keys; other upstreams of the slice have no requests.

    A slice repairs the loads that are wrong because of a lost datagram.
    """

    #: The index of the slice: it holds the keys whose remainder modulo the number of slices is
    #: this.
    index: int
    #: The number of slices.
    total: int
    #: The upstreams of the slice that have requests in flight.
    rows: LoadRows


@dataclass(frozen=True, slots=True)
class ChangedRows:
    """The upstreams that changed since the previous section."""

    #: The keys of upstreams.
    keys: Sequence[int] = ()
    #: The requests of the zone at each of them, at most 255.
    counts: Sequence[int] = ()
    #: The mean duration of the requests that an upstream in good health has answered since the
    #: previous section, to within 5%; 0 for none.
    durations_s: Sequence[float] = ()


@dataclass(frozen=True, slots=True)
class RosterSlice:
    """The living instances of a slice of the hub's zone."""

    #: The index of the slice: it holds the instances whose address has this remainder modulo the
    #: number of slices.
    index: int
    #: The number of slices.
    total: int
    #: Whether instances of the slice that are not listed have left. A new hub has not yet received
    #: heartbeats of all instances.
    complete: bool
    #: The instances.
    instances: Sequence[Instance]
    #: The index of each instance in the acknowledgements of sections.
    ack_indexes: Sequence[int]


@dataclass(frozen=True, slots=True)
class Section:
    """The periodic summary message of a zone's hub; omitted fields are empty and change nothing."""

    #: The receivers of the section.
    scope: Scope
    #: The hub's zone.
    availability_zone: str
    #: The hub's address.
    hub: str
    #: Increases with each start of the hub's process.
    incarnation: int
    #: Increases with each section of the hub and the scope.
    sequence: int
    #: The version of the configuration that the hub has in force; 0 for none.
    config_version: int
    #: The store's revision up to which the hub knows the upstreams; 0 for none.
    upstreams_revision: int
    #: The number of instances of the zone that are in contact with the store.
    store_readers: int
    #: The number of instances in the aggregates.
    instances: int
    #: The low byte of the sequence number of each instance's last heartbeat in the aggregates, by
    #: acknowledgement index; only inside the zone.
    acknowledged: bytes = b""
    #: Loads that changed, and durations of requests; only inside the zone.
    changed: ChangedRows = field(default_factory=ChangedRows)
    #: A slice of all loads.
    loads: LoadSlice | None = None
    #: The keys of upstreams that recently refused requests without executing them.
    refusals: Sequence[int] = ()
    #: The number of the first entry of ``outcomes``.
    first_outcome: int = 0
    #: Outcomes that bear on the health of upstreams.
    outcomes: Sequence[OutcomeReport] = ()
    #: Requests that were recently lost with the connection to their upstream.
    losses: Sequence[LossReport] = ()
    #: Upstreams that readers of the store dropped in the last seconds.
    dropped: Sequence[DropReport] = ()
    #: Requests and retries of the zone by service, since the hub started to count.
    retries: Mapping[str, RetryCounts] = field(default_factory=dict)
    #: The part of ``retries`` that was counted within the window of the retry budget.
    recent_retries: Mapping[str, RetryCounts] = field(default_factory=dict)
    #: The ids of upstreams that began to drain in the last half second. Instances learn it before
    #: they have fetched the list, which a lost datagram or a stalled stream delays.
    draining: Sequence[str] = ()
    #: The addresses of the zone's instances that reach no upstream; in every section.
    isolated: Sequence[str] = ()
    #: Retry counts of the zone's earlier hubs; only between zones.
    earlier_terms: Sequence[HubTerm] = ()
    #: Limits that upstreams advertised or withdrew in the last seconds.
    limits: Sequence[LimitReport] = ()
    #: A slice of the zone's living instances.
    roster: RosterSlice | None = None
    #: Seconds since the hub's configuration was confirmed as current; None when not reported.
    config_freshness_age_s: float | None = None
    #: The last sections received from the hubs of other zones; only between zones.
    received_sections: Sequence[SectionEcho] = ()
    #: The zone's request counts of recently active client accounts with a quota, by the key of the
    #: account.
    accounts: Mapping[int, AccountReport] = field(default_factory=dict)
    #: The zone's demand for services that are short of capacity. None leaves the demand that an
    #: earlier section reported; an empty report ends it. Rows without accounts leave the accounts.
    demand: DemandReport | None = None
    #: For how long the store has answered no instance, as reported by those of the zone whose calls
    #: fail; None if it answers one of them, or if none calls it.
    store_away_s: float | None = None
