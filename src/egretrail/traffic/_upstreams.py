"""The upstreams that the store lists, and how one instance's table of them changes."""

import enum
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from functools import lru_cache

import xxhash

from egretrail.traffic._revision import revision_era

#: Keys that are remembered, about 150 bytes each; an instance's services have fewer upstreams.
_KEYS_MAX = 8_192


@lru_cache(maxsize=_KEYS_MAX)
def upstream_key(upstream_id: str) -> int:
    """Return the number of 32 bits that stands for a lifetime where many are told at once.

    It needs no agreement between instances whose lists differ. Among 1,000 upstreams two share a
    number with a chance of one in 8,600; their loads are then told as one.
    """
    return xxhash.xxh32_intdigest(upstream_id.encode())


class UpstreamState(enum.Enum):
    """What an upstream says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """One lifetime of an upstream.

    A process that starts again under its name holds nothing of before and is another lifetime: what
    was observed of the old one, its connections and its drain say nothing about the new one.
    """

    #: What it is listed as, and what it goes by in requests; the next lifetime may have it too.
    name: str
    #: The service it belongs to.
    service: str
    #: Its address, ``IP:PORT``; another upstream may have had it before.
    address: str
    #: The availability zone it runs in.
    availability_zone: str
    #: How many requests it runs at once.
    slots: int
    #: Whether it takes new work.
    state: UpstreamState
    #: How much longer it is slow after its start, from when the record was read.
    warmup_s: float = 0.0
    #: The store's revision of the record.
    revision: int = 0
    #: When it started, in milliseconds of its wall clock; 0 where it does not say.
    started_ms: int = 0
    #: Unique to the lifetime.
    id: str = field(init=False)

    def __post_init__(self) -> None:
        """Join the name and the start to the lifetime's id."""
        lifetime = f"{self.name}~{self.started_ms:x}" if self.started_ms else self.name
        object.__setattr__(self, "id", lifetime)


#: Lifetimes that have left, and the last starts and absences of names that are no longer listed,
#: are remembered up to this number each, about 100 bytes each.
_DEPARTED_MAX = 20_000


#: Changes that are remembered for those that know an earlier revision, each some 300 bytes.
_CHANGES_MAX = 400


@dataclass(frozen=True, slots=True)
class _Change:
    """One change of the list."""

    #: The revision from which on it is known.
    revision: int
    #: The name of the upstream.
    name: str


@dataclass(slots=True)
class UpstreamTable:
    """The listed upstreams, one lifetime for each name.

    A lifetime that was seen draining never becomes ready again, and one that is older than another
    of its name never comes back: its words may be stored or told after those of its successor.
    """

    #: The upstreams of the newest known state of the store, by lifetime id.
    records: dict[str, UpstreamRecord] = field(default_factory=dict)
    #: The store's revision up to which changes are known.
    revision: int = 0
    #: Rises with each change of the list, also where no revision goes with it.
    edition: int = 0
    _by_service: dict[str, list[UpstreamRecord]] = field(default_factory=dict)
    _by_name: dict[str, UpstreamRecord] = field(default_factory=dict)
    _left: dict[str, None] = field(default_factory=dict)
    #: The last revision at which a name that was listed was not, or that of its dropped entry.
    _absent: dict[str, int] = field(default_factory=dict)
    #: The newest start that was seen of each name.
    _started_ms: dict[str, int] = field(default_factory=dict)
    #: The last changes, the oldest first, and the revision since which none is missing.
    _changes: deque[_Change] = field(default_factory=deque)
    _changes_since: int = 0

    def ready(self, service: str) -> list[UpstreamRecord]:
        """Return the upstreams of a service that take new work."""
        return self._by_service.get(service, [])

    def named(self, name: str) -> UpstreamRecord | None:
        """Return the listed lifetime of a name."""
        return self._by_name.get(name)

    def takes_work(self, upstream_id: str) -> bool:
        """Return whether an upstream is listed and takes new work."""
        record = self.records.get(upstream_id)
        return record is not None and record.state is UpstreamState.READY

    def vanished_before(self, era: int) -> set[str]:
        """Return names that were last known to be gone in an earlier era of the store.

        A copy of the store from before lists them again, alive or not.
        """
        return {
            name
            for name, revision in self._absent.items()
            if revision_era(revision) < era and name not in self._by_name
        }

    def __iter__(self) -> Iterator[UpstreamRecord]:
        """Iterate over all listed upstreams."""
        return iter(self.records.values())

    def replace(self, records: Iterable[UpstreamRecord], revision: int) -> bool:
        """Take a whole state of the store; return whether it was newer than the known one."""
        if revision < self.revision:
            return False
        before, self._by_name = self._by_name, {}
        for record in records:
            self._take(record, before.get(record.name), revision)
        for name in before.keys() - self._by_name.keys():
            self._remember_absent(name, revision)
        if revision == self.revision:
            names = before.keys() | self._by_name.keys()
            differ = [name for name in names if before.get(name) != self._by_name.get(name)]
            self._changed(differ, revision + 1)
            return True
        # The list does not tell what came and went since the known revision.
        self.revision = revision
        self._changes.clear()
        self._changes_since = revision
        self._index()
        return True

    def apply(self, changes: Mapping[str, UpstreamRecord | None], revision: int) -> None:
        """Take what changed up to a revision, by name; None for a record that was removed.

        It begins at the known revision or before it. What ends there or before it is known: its
        words arrive after newer ones, and would list again what has been removed since. A later
        lifetime of a listed name is news even then: a late word of the one before it may stand in
        its place in the whole list that told the known revision.
        """
        if revision <= self.revision:
            self._take_later_lifetimes(changes)
            return
        for name, record in changes.items():
            before = self._by_name.pop(name, None)
            if record is None:
                self._remember_absent(name, revision)
            else:
                self._take(record, before, revision)
        self.revision = revision
        self._changed(changes, revision)

    def drop(self, names: Iterable[str]) -> None:
        """Take records from the list that the store has not named since the known revision."""
        for name in names:
            record = self._by_name.pop(name, None)
            if record is not None:
                self._remember_absent(name, record.revision)
        # Whoever has the known revision asks for nothing before the next one.
        self._changed(names, self.revision + 1)

    def changes_since(self, revision: int) -> Mapping[str, UpstreamRecord | None] | None:
        """Return what changed since a revision, by name; None where that is not remembered.

        Load: the upstreams of a release list themselves in series, and each change makes all
        instances ask. With 360 listed the whole list is 29 KB, a change 0.1 KB.
        """
        if revision < self._changes_since:
            return None
        names = dict.fromkeys(one.name for one in self._changes if one.revision > revision)
        return {name: self._by_name.get(name) for name in names}

    def mark_gone(self, upstream_id: str) -> None:
        """Stop sending work to an upstream whose address answers for another lifetime.

        The answer reaches this instance sooner than the list when the store is slow.
        """
        record = self.records.get(upstream_id)
        if record is not None and record.state is UpstreamState.READY:
            self._remember_left(upstream_id)
            self._by_name[record.name] = self._admit(record)
            self._index()

    def _take_later_lifetimes(self, changes: Mapping[str, UpstreamRecord | None]) -> None:
        later = []
        for name, record in changes.items():
            listed = self._by_name.get(name)
            if record is None or listed is None or record.started_ms <= listed.started_ms:
                continue
            if self._is_newest(record):
                self._by_name[name] = self._admit(record)
                later.append(name)
        if later:
            # Whoever has the known revision asks for nothing before the next one.
            self._changed(later, self.revision + 1)

    def _changed(self, names: Iterable[str], revision: int) -> None:
        self._changes.extend(_Change(revision, name) for name in names)
        while len(self._changes) > _CHANGES_MAX:
            self._changes_since = max(self._changes_since, self._changes.popleft().revision)
        self._index()

    def _take(self, record: UpstreamRecord, before: UpstreamRecord | None, revision: int) -> None:
        """List what a name's entry was at a revision, or what was listed before."""
        if 0 < record.revision <= self._absent.get(record.name, 0):
            # Whoever told it keeps what vanished with the store's outage.
            return
        if self._is_newest(record):
            self._by_name[record.name] = self._admit(record)
        elif before is not None and not record.revision < before.revision <= revision:
            # The word of an older lifetime was stored late. One that was stored earlier would not
            # be told if the known one were still in the list.
            self._by_name[record.name] = before

    def _remember_absent(self, name: str, revision: int) -> None:
        self._absent[name] = max(self._absent.pop(name, 0), revision)
        if len(self._absent) > _DEPARTED_MAX:
            del self._absent[next(iter(self._absent))]

    def _is_newest(self, record: UpstreamRecord) -> bool:
        """Return whether no later start of the record's name was seen, and remember its own."""
        newest_ms = max(self._started_ms.pop(record.name, 0), record.started_ms)
        self._started_ms[record.name] = newest_ms
        if len(self._started_ms) > _DEPARTED_MAX:
            del self._started_ms[next(iter(self._started_ms))]
        return record.started_ms == newest_ms

    def _admit(self, record: UpstreamRecord) -> UpstreamRecord:
        if record.state is UpstreamState.DRAINING:
            self._remember_left(record.id)
        if record.id in self._left and record.state is not UpstreamState.DRAINING:
            return replace(record, state=UpstreamState.DRAINING)
        return record

    def _remember_left(self, upstream_id: str) -> None:
        self._left[upstream_id] = None
        if len(self._left) > _DEPARTED_MAX:
            del self._left[next(iter(self._left))]

    def _index(self) -> None:
        self.edition += 1
        self.records = {record.id: record for record in self._by_name.values()}
        by_service: dict[str, list[UpstreamRecord]] = {}
        for record in self.records.values():
            if record.state is UpstreamState.READY:
                by_service.setdefault(record.service, []).append(record)
        self._by_service = by_service
