"""What the hub of a zone tells: sums over its zone in place of each instance's own words.

Placing needs how many requests are under way at each upstream and not whose they are, so what an
instance receives grows with upstreams and failures and not with instances. Rows are parallel
sequences of numbers: they are decoded at once, without an object for each.
"""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.cluster._beat import DropReport, Finding, LimitReport, LossReport
from egretrail.cluster._config_proof import SectionEcho
from egretrail.cluster._instance import Instance
from egretrail.dispatch import AccountReport, RepeatCounts


class Scope(enum.IntEnum):
    """For whom a section is made."""

    #: For the instances of the hub's own zone: changes since the last one, each tenth of a second.
    ZONE = 0
    #: For the hubs of the other zones, who tell it in theirs: whole sums, twice a second.
    ACROSS = 1


@dataclass(frozen=True, slots=True)
class LoadRows:
    """Requests under way by upstream."""

    #: The keys of upstreams.
    keys: Sequence[int] = ()
    #: The requests of the zone at each of them, at most 255.
    counts: Sequence[int] = ()


@dataclass(frozen=True, slots=True)
class LoadSlice:
    """All upstreams of a part of the keys that have requests; the others of that part have none.

    It heals what a lost datagram left wrong.
    """

    #: Which part: the keys whose remainder by ``of`` it is.
    number: int
    #: The number of parts.
    of: int
    #: The upstreams of the part that have requests.
    rows: LoadRows


@dataclass(frozen=True, slots=True)
class ChangedRows:
    """What changed at upstreams since the last section."""

    #: The keys of upstreams.
    keys: Sequence[int] = ()
    #: The requests of the zone at each of them, at most 255.
    counts: Sequence[int] = ()
    #: The mean duration of those that an upstream in good standing has answered since, to within
    #: 5%; 0 where it answered none.
    durations_s: Sequence[float] = ()


@dataclass(frozen=True, slots=True)
class RosterSlice:
    """The living instances of a part of the hub's zone."""

    #: Which part: the instances whose address has this remainder by ``of``.
    number: int
    #: The number of parts.
    of: int
    #: Whether instances of the part that are not listed are gone. A new hub has not heard of all.
    complete: bool
    #: The instances.
    instances: Sequence[Instance]
    #: The place of each instance in the acknowledgements.
    places: Sequence[int]


@dataclass(frozen=True, slots=True)
class Section:
    """One message of a hub; whatever is empty was left out and changes nothing."""

    #: For whom it is made.
    scope: Scope
    #: The hub's zone.
    availability_zone: str
    #: The hub's address.
    hub: str
    #: Rises with each start of the hub's process.
    incarnation: int
    #: Rises with each section of the hub and the scope.
    sequence: int
    #: The version of the configuration that the hub has in force; 0 for none.
    config_version: int
    #: The store's revision up to which the hub knows the upstreams; 0 for none.
    upstreams_revision: int
    #: The number of instances of the zone that are in contact with the store.
    store_readers: int
    #: The number of instances whose counts are in the sums.
    instances: int
    #: The low byte of the last beat that is in the sums, by place; only inside the zone.
    acknowledged: bytes = b""
    #: Loads that changed, and answers; only inside the zone.
    changed: ChangedRows = field(default_factory=ChangedRows)
    #: A part of all loads.
    loads: LoadSlice | None = None
    #: The keys of upstreams that lately refused requests without running them.
    refusals: Sequence[int] = ()
    #: The number of the first of ``findings``.
    first_finding: int = 0
    #: What bears on upstreams' standing.
    findings: Sequence[Finding] = ()
    #: What requests cost in the last moments.
    losses: Sequence[LossReport] = ()
    #: Upstreams that readers of the store dropped in the last seconds.
    dropped: Sequence[DropReport] = ()
    #: Requests and repeats of the zone by service, since the hub began to count.
    repeats: Mapping[str, RepeatCounts] = field(default_factory=dict)
    #: Limits that upstreams named or gave up in the last seconds.
    limits: Sequence[LimitReport] = ()
    #: Who lives in the zone.
    roster: RosterSlice | None = None
    #: How old the hub's proof is that its configuration is the newest one; None for no proof.
    config_proof_age_s: float | None = None
    #: The last sections that were heard of the other zones' hubs; only between zones.
    heard: Sequence[SectionEcho] = ()
    #: What the zone counted of accounts with a quota that asked lately, by key.
    accounts: Mapping[int, AccountReport] = field(default_factory=dict)
