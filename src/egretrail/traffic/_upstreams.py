"""The upstreams that the store lists, and an instance's table of them."""

import enum
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from functools import lru_cache

import xxhash

from egretrail.traffic._config import Service
from egretrail.traffic._revision import revision_era
from egretrail.traffic._slot_bounds import SLOTS_MAX, slot_bound

#: Number of keys that are cached, about 150 bytes each; an instance's services have fewer
#: upstreams.
_KEY_CACHE_SIZE = 8_192


@lru_cache(maxsize=_KEY_CACHE_SIZE)
def upstream_key(upstream_id: str) -> int:
    """Return the 32-bit number that identifies a lifetime in messages about many of them.

    It needs no agreement between instances whose lists differ. Among 1,000 upstreams two share a
    number with a probability of one in 8,600; their loads are then counted together.
    """
    return xxhash.xxh32_intdigest(upstream_id.encode())


class UpstreamState(enum.Enum):
    """The state that an upstream reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One lifetime of an upstream.

    A process that restarts under its name keeps no state and is another lifetime. The outcomes,
    connections and drain of the old lifetime say nothing about the new one.
    """

    #: The name under which it is listed and addressed in requests; its next lifetime may have it
    #: too.
    name: str
    #: The service it belongs to.
    service: str
    #: Its address, ``IP:PORT``; another upstream may have had it before.
    address: str
    #: The availability zone it runs in.
    availability_zone: str
    #: How many requests it runs at once.
    slots: int
    #: Whether it accepts new work.
    state: UpstreamState
    #: How much longer it is slow after its start, as of the time when the record was read.
    warmup_s: float = 0.0
    #: The store's revision of the record.
    revision: int = 0
    #: When it started, in milliseconds of its wall clock; 0 if unknown.
    started_ms: int = 0
    #: Unique id of the lifetime.
    id: str = field(init=False)

    def __post_init__(self) -> None:
        """Derive the lifetime's id from the name and the start time."""
        # A name that contains the separator must not read as a lifetime of another name.
        is_plain = not self.started_ms and "~" not in self.name
        lifetime = self.name if is_plain else f"{self.name}~{self.started_ms:x}"
        object.__setattr__(self, "id", lifetime)


#: Maximum number of drained lifetimes that are remembered, and of unlisted names whose last start
#: and absence are; about 100 bytes each.
_REMEMBERED_MAX = 20_000


#: A state that is further ahead than this of the known one is not taken if the store has refuted an
#: earlier position than its.
REFUTED_JUMP = 10_000
#: Maximum number of changes kept for readers of an earlier revision, about 300 bytes each.
_CHANGES_MAX = 400


@dataclass(frozen=True, slots=True)
class _Change:
    """A change of the list."""

    #: The revision from which on it is known.
    revision: int
    #: The name of the upstream.
    name: str


@dataclass(slots=True)
class UpstreamTable:
    """The listed upstreams, one lifetime for each name.

    A lifetime that was seen draining never becomes ready again. A lifetime that is older than
    another of its name is never listed again: its records may be stored or received after those of
    its successor.
    """

    #: The upstreams of the newest known state of the store, by lifetime id. Those that accept work
    #: have the slots that count; the stated ones may be more than any machine has.
    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    #: The store's revision up to which changes are known.
    revision: int = 0
    #: Increases with each change of the list, including changes without a revision of their own.
    edition: int = 0
    _by_service: dict[str, list[UpstreamRecord]] = field(default_factory=dict)
    _by_name: dict[str, UpstreamRecord] = field(default_factory=dict)
    _drained: dict[str, None] = field(default_factory=dict)
    #: The last revision at which a formerly listed name was absent, or that of its removed record.
    _absent_revisions: dict[str, int] = field(default_factory=dict)
    #: The newest start time seen of each name.
    _started_ms: dict[str, int] = field(default_factory=dict)
    #: The latest changes, oldest first, and the revision since which they are complete.
    _changes: deque[_Change] = field(default_factory=deque)
    _changes_since: int = 0
    #: The lowest position of which the store stated that it had not reached it; 0 for none.
    _refuted: int = 0
    #: The maximum connections of each upstream, by service.
    _max_connections: dict[str, int] = field(default_factory=dict)

    def ready(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that accept new work."""
        return self._by_service.get(service, [])

    def find_by_name(self, name: str) -> UpstreamRecord | None:
        """Return the listed lifetime of a name."""
        return self._by_name.get(name)

    def is_ready(self, upstream_id: str) -> bool:
        """Return whether an upstream is listed and accepts new work."""
        record = self.records.get(upstream_id)
        return record is not None and record.state is UpstreamState.READY

    def is_known_to_drain(self, upstream_id: str) -> bool:
        """Return whether a lifetime was seen draining, whether it is listed or not."""
        return upstream_id in self._drained

    def absent_since_before(self, era: int) -> set[str]:
        """Return the names that were last known to be absent in an earlier era of the store.

        A store that was restored from an older copy lists them again, alive or not.
        """
        return {
            name
            for name, revision in self._absent_revisions.items()
            if revision_era(revision) < era and name not in self._by_name
        }

    def __iter__(self) -> Iterator[UpstreamRecord]:
        """Iterate over all listed upstreams."""
        return iter(self.records.values())

    def stated(self) -> list[UpstreamRecord]:
        """Return all listed upstreams as they describe themselves, for other instances."""
        return list(self._by_name.values())

    def set_services(self, services: Iterable[Service]) -> None:
        """Set the services, whose limits of connections bound the slots that count."""
        self._max_connections = {one.name: one.max_connections for one in services}
        self._rebuild_indexes()

    def replace(self, records: Iterable[UpstreamRecord], revision: int) -> bool:
        """Replace the list by a complete state of the store; return False if it is an older one."""
        if revision < self.revision or self._is_refuted(revision):
            return False
        before, self._by_name = self._by_name, {}
        for record in records:
            self._merge_record(record, before.get(record.name), revision)
        for name in before.keys() - self._by_name.keys():
            self._remember_absent(name, revision)
        if revision == self.revision:
            names = before.keys() | self._by_name.keys()
            changed_names = [name for name in names if before.get(name) != self._by_name.get(name)]
            self._record_changes(changed_names, revision + 1)
            return True
        # The complete list does not show which upstreams were added and removed in between.
        self.revision = revision
        self._changes.clear()
        self._changes_since = revision
        self._rebuild_indexes()
        return True

    def apply_changes(self, changes: Mapping[str, UpstreamRecord | None], revision: int) -> None:
        """Apply the changes up to a revision, by name; None for a removed record.

        The changes start at the known revision or before it. If they end there or before it, they
        are known already: they arrive late, and would list again what has been removed since. A
        later lifetime of a listed name is applied even then. The complete list of the known
        revision may hold a late record of the previous lifetime in its place.
        """
        if revision <= self.revision or self._is_refuted(revision):
            self._apply_later_lifetimes(changes)
            return
        for name, record in changes.items():
            before = self._by_name.pop(name, None)
            if record is None:
                self._remember_absent(name, revision)
            else:
                self._merge_record(record, before, revision)
        self.revision = revision
        self._record_changes(changes, revision)

    def refute(self, revision: int) -> None:
        """Forget a position that the store has not reached; the listed upstreams stay in use.

        The next state of the store is taken, and no peer's that claims the position. What was
        absent then is listed again only by a later write.
        """
        if revision < self.revision:
            return
        self._refuted = min(self._refuted or revision, revision)
        self.revision = 1
        self.edition += 1
        self._changes.clear()
        self._changes_since = 1
        known = max((record.revision for record in self._by_name.values()), default=0)
        self._absent_revisions = {
            name: min(absent, known) for name, absent in self._absent_revisions.items()
        }

    def _is_refuted(self, revision: int) -> bool:
        is_claimed = 0 < self._refuted <= revision
        return is_claimed and revision - self.revision > REFUTED_JUMP

    def remove(self, names: Iterable[str]) -> None:
        """Remove records that the store has not confirmed since the known revision."""
        for name in names:
            record = self._by_name.pop(name, None)
            if record is not None:
                self._remember_absent(name, record.revision)
        # A reader that has the known revision asks only for changes after it.
        self._record_changes(names, self.revision + 1)

    def changes_since(self, revision: int) -> Mapping[str, UpstreamRecord | None] | None:
        """Return the changes since a revision, by name; None if they are no longer known.

        The upstreams of a release register one after the other, and each change makes all instances
        fetch. With 360 upstreams the complete list has 29 KB, a change 0.1 KB.
        """
        if revision < self._changes_since:
            return None
        names = dict.fromkeys(change.name for change in self._changes if change.revision > revision)
        return {name: self._by_name.get(name) for name in names}

    def mark_draining(self, upstream_id: str) -> bool:
        """Record that a lifetime accepts no more work; return False if that was known.

        A response shows this before the list does: it states draining, or comes from another
        lifetime at the address. The lifetime need not be listed now. Its entry may vanish for a
        moment, and the store lists it as ready until it accepts the upstream's own report.
        """
        if upstream_id in self._drained:
            return False
        self._remember_drained(upstream_id)
        if upstream_id in self.records:
            name = self.records[upstream_id].name
            self._by_name[name] = self._with_known_state(self._by_name[name])
            self._rebuild_indexes()
        return True

    def _apply_later_lifetimes(self, changes: Mapping[str, UpstreamRecord | None]) -> None:
        later = []
        for name, record in changes.items():
            listed = self._by_name.get(name)
            if record is None or listed is None or record.started_ms <= listed.started_ms:
                continue
            if self._is_newest(record):
                self._by_name[name] = self._with_known_state(record)
                later.append(name)
        if later:
            # A reader that has the known revision asks only for changes after it.
            self._record_changes(later, self.revision + 1)

    def _record_changes(self, names: Iterable[str], revision: int) -> None:
        self._changes.extend(_Change(revision, name) for name in names)
        while len(self._changes) > _CHANGES_MAX:
            self._changes_since = max(self._changes_since, self._changes.popleft().revision)
        self._rebuild_indexes()

    def _merge_record(
        self, record: UpstreamRecord, before: UpstreamRecord | None, revision: int
    ) -> None:
        """List a name's record of a revision, or else keep the previously listed one."""
        if 0 < record.revision <= self._absent_revisions.get(record.name, 0):
            # The sender still has a record that vanished in the store's outage.
            return
        if self._is_newest(record):
            self._by_name[record.name] = self._with_known_state(record)
        elif before is not None and not record.revision < before.revision <= revision:
            # An older lifetime's record was stored late, over the listed one. A record that was
            # stored before the listed one is in this state only if the listed one was removed.
            self._by_name[record.name] = before

    def _remember_absent(self, name: str, revision: int) -> None:
        self._absent_revisions[name] = max(self._absent_revisions.pop(name, 0), revision)
        if len(self._absent_revisions) > _REMEMBERED_MAX:
            del self._absent_revisions[next(iter(self._absent_revisions))]

    def _is_newest(self, record: UpstreamRecord) -> bool:
        """Return whether no later start of the record's name was seen, and remember this start."""
        newest_ms = max(self._started_ms.pop(record.name, 0), record.started_ms)
        self._started_ms[record.name] = newest_ms
        if len(self._started_ms) > _REMEMBERED_MAX:
            del self._started_ms[next(iter(self._started_ms))]
        return record.started_ms == newest_ms

    def _with_known_state(self, record: UpstreamRecord) -> UpstreamRecord:
        if record.state is UpstreamState.DRAINING:
            self._remember_drained(record.id)
        if record.id in self._drained and record.state is not UpstreamState.DRAINING:
            return replace(record, state=UpstreamState.DRAINING)
        return record

    def _remember_drained(self, upstream_id: str) -> None:
        self._drained[upstream_id] = None
        if len(self._drained) > _REMEMBERED_MAX:
            del self._drained[next(iter(self._drained))]

    def _rebuild_indexes(self) -> None:
        self.edition += 1
        bounds = self._slot_bounds()
        self.records = {}
        self._by_service = {}
        for record in self._by_name.values():
            counted = record
            if record.state is UpstreamState.READY:
                if record.slots > bounds[record.service]:
                    counted = replace(record, slots=bounds[record.service])
                self._by_service.setdefault(record.service, []).append(counted)
            self.records[record.id] = counted

    def _slot_bounds(self) -> dict[str, int]:
        """Return how many slots an upstream counts for at most, by service."""
        stated: dict[str, list[int]] = {}
        for record in self._by_name.values():
            stated.setdefault(record.service, []).append(record.slots)
        return {
            service: slot_bound(slots, self._max_connections.get(service, SLOTS_MAX))
            for service, slots in stated.items()
        }
