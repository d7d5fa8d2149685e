"""Membership table of an instance, merged from probes, rumours and the platform's list."""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Final

import xxhash

from egretrail.fleet._absence import AbsenceTracker
from egretrail.fleet._messages import Rumour, RumourState
from egretrail.fleet._record import Record
from egretrail.fleet._rumours import RumourQueue
from egretrail.fleet._slowness import Slowness
from egretrail.fleet._tuning import MembershipTuning
from egretrail.fleet._view import Member, MemberState
from egretrail.identity import Incarnation, InstanceName

#: Incarnation number of a listed instance from which no message has been received.
UNKNOWN_INCARNATION = 0
_BUCKETS: Final = 32
#: Unknown processes of which the first query is recorded; eviction only delays the verdict.
_ASKED_LIMIT: Final = 4096

_MEMBER_STATES: Mapping[RumourState, MemberState] = {
    RumourState.ALIVE: MemberState.ALIVE,
    RumourState.SUSPECT: MemberState.ALIVE,
    RumourState.UNREACHABLE: MemberState.UNREACHABLE,
    RumourState.LEAVING: MemberState.LEAVING,
    RumourState.ENDED: MemberState.LEAVING,
}
_FINAL = (RumourState.LEAVING, RumourState.ENDED)


def rumour_of(member: Member, version: int = 0) -> Rumour:
    """Return the rumour in which an instance reports itself as alive."""
    return Rumour(
        member.incarnation.instance,
        member.incarnation.number,
        version,
        RumourState.ALIVE,
        member.ready,
        member.availability_zone,
        member.caller_host,
        member.caller_port,
        member.peer_host,
        member.peer_port,
    )


class MembershipTable:
    """The membership table of one instance; does no I/O and receives the time as an argument."""

    def __init__(self, own: Member, tuning: MembershipTuning, slowness: Slowness) -> None:
        self._tuning = tuning
        self._slowness = slowness
        self._own = rumour_of(own)
        self._records: dict[InstanceName, Record] = {}
        self._tombstones: dict[InstanceName, tuple[int, float]] = {}
        self._first_asked_s: dict[Incarnation, float] = {}
        self._digests = [0] * _BUCKETS
        self._last_tick_s: float | None = None
        self._absence = AbsenceTracker(tuning)
        self._started_s: float | None = None
        #: Rumours to disseminate.
        self.rumour_queue = RumourQueue()
        #: Incremented on every change that is visible in ``members``.
        self.changes = 0

    @property
    def own(self) -> Rumour:
        """Return the rumour of this instance about itself."""
        return self._own

    @property
    def size(self) -> int:
        """Return the number of known instances, this one included."""
        return len(self._records) + 1

    def member(self, name: InstanceName) -> Member | None:
        """Return an instance by name, this one included, None if it is unknown."""
        if name == self._own.instance:
            return _member(self._own)
        record = self._records.get(name)
        return _member_of(record) if record is not None else None

    def members(self) -> Sequence[Member]:
        """Return every known instance, ordered by name."""
        known = [_member(self._own), *(_member_of(record) for record in self._records.values())]
        return sorted(known, key=lambda member: member.name)

    def rumour(self, name: InstanceName) -> Rumour | None:
        """Return the newest rumour of another instance, None if it is unknown."""
        record = self._records.get(name)
        return record.rumour if record is not None else None

    def peers(self) -> Sequence[InstanceName]:
        """Return the names of other instances that may be probed, including unreachable ones."""
        return [
            name
            for name, record in self._records.items()
            if record.rumour.state is not RumourState.ENDED
        ]

    def held_until_s(self, name: InstanceName) -> float:
        """Return until when a member that returned is excluded from groups, 0 if it is not."""
        record = self._records.get(name)
        return record.held_until_s if record is not None else 0.0

    def set_own(
        self, now_s: float, *, state: RumourState | None = None, ready: bool | None = None
    ) -> None:
        """Change the state that this instance reports of itself, and disseminate it."""
        self._own = replace(
            self._own,
            version=self._own.version + 1,
            state=self._own.state if state is None else state,
            ready=self._own.ready if ready is None else ready,
        )
        self._announce(self._own)

    def merge_rumour(self, rumour: Rumour, now_s: float) -> None:
        """Merge one rumour, and disseminate it if it contains new information."""
        if rumour.instance == self._own.instance:
            self._refute_suspicion(rumour, now_s)
            return
        if rumour.number <= self._tombstones.get(rumour.instance, (UNKNOWN_INCARNATION, 0.0))[0]:
            return
        record = self._records.get(rumour.instance)
        if record is None or rumour.number > record.rumour.number:
            self._replace(rumour, now_s)
        elif rumour.number == record.rumour.number:
            self._merge(record, rumour, now_s)

    def record_contact(self, sender: Rumour, now_s: float) -> None:
        """Merge the rumour of a process about itself, received directly from it."""
        self.merge_rumour(sender, now_s)
        record = self._records.get(sender.instance)
        if record is not None and record.rumour.number == sender.number:
            record.last_contact_s = now_s

    def suspect(self, name: InstanceName, now_s: float) -> None:
        """Suspect an instance that neither this one nor its helpers could reach."""
        record = self._records.get(name)
        if record is None or record.rumour.state in _FINAL:
            return
        if record.rumour.number == UNKNOWN_INCARNATION:
            return
        accusation = replace(
            record.rumour, state=RumourState.SUSPECT, accuser=str(self._own.instance)
        )
        self._merge(record, accusation, now_s)

    def apply_list(self, members: Iterable[Member], now_s: float) -> None:
        """Apply one reading of the platform's list of the fleet's instances."""
        rows = {member.name: member for member in members}
        self._absence.record_reading(rows, now_s)
        for name, member in rows.items():
            if name == self._own.instance:
                continue
            if name not in self._records:
                listed = replace(
                    rumour_of(replace(member, ready=False)), number=UNKNOWN_INCARNATION
                )
                self._records[name] = Record(listed, now_s, now_s)
                self.changes += 1
            self._note_listed_state(self._records[name], member.state, now_s)

    def tick(self, now_s: float) -> None:
        """Expire suspicions, and remove processes that are proved to have ended."""
        self._restart_suspicions_after_pause(now_s)
        shortest_s = self._tuning.shortest_suspicion_s(self.size) * self._slowness.factor
        for name, record in list(self._records.items()):
            waited_s = now_s - record.suspected_s
            suspected = record.rumour.state is RumourState.SUSPECT
            if suspected and waited_s >= self._suspicion_s(record, shortest_s):
                self._mark_unreachable(record, now_s)
            if self._is_proved_gone(record):
                self._remove_with_tombstone(name, record, now_s)
        for name, (_, until_s) in list(self._tombstones.items()):
            if until_s < now_s:
                del self._tombstones[name]
                self._absence.remove(name)

    def is_gone(self, process: Incarnation, now_s: float) -> bool:
        """Return whether a process is proved to have ended, even if instances are unreachable.

        Proof is its own ``ENDED`` report, a later process of the same instance, or a sufficiently
        long absence from the platform's list. Unreachability is never proof.
        """
        if process.number <= self._tombstones.get(process.instance, (UNKNOWN_INCARNATION, 0.0))[0]:
            return True
        if process.instance == self._own.instance:
            return process.number < self._own.number
        record = self._records.get(process.instance)
        if record is None:
            return self._is_unrecorded_gone(process, now_s)
        if record.rumour.number != process.number:
            return record.rumour.number > process.number
        return record.rumour.state is RumourState.ENDED or self._is_proved_gone(record)

    def is_name_gone(self, name: InstanceName, now_s: float) -> bool:
        """Return whether no process of the name was running at the moment the list describes.

        A process may have started since, within the lag of the list.
        """
        if name in self._records or name == self._own.instance:
            return False
        since_s = self._started_s if self._started_s is not None else now_s
        return self._absence.is_gone(name, since_s, since_s)

    def _is_unrecorded_gone(self, process: Incarnation, now_s: float) -> bool:
        """Return whether a process without a record is proved to have ended.

        The process may have started after the moment that the list describes. Its absence from the
        list therefore counts only from the first query for it.
        """
        first_s = self._first_asked_s.setdefault(process, now_s)
        if len(self._first_asked_s) > _ASKED_LIMIT:
            del self._first_asked_s[next(iter(self._first_asked_s))]
        return self._absence.is_gone(process.instance, first_s, first_s)

    def digests(self) -> Sequence[int]:
        """Return one digest for each bucket of names, for comparison with those of a peer."""
        own = list(self._digests)
        own[_bucket(self._own.instance)] ^= _digest(self._own)
        return own

    def differing_rumours(
        self, digests: Sequence[int], limit: int, rng: random.Random
    ) -> Sequence[Rumour]:
        """Return at most ``limit`` rumours of the buckets in which the table of a peer differs."""
        mine = self.digests()
        if len(digests) != len(mine):
            return []
        differing = {index for index in range(_BUCKETS) if digests[index] != mine[index]}
        known = [self._own, *(record.rumour for record in self._records.values())]
        found = [
            rumour
            for rumour in known
            if rumour.number != UNKNOWN_INCARNATION and _bucket(rumour.instance) in differing
        ]
        return found if len(found) <= limit else rng.sample(found, limit)

    def _note_listed_state(self, record: Record, listed: MemberState, now_s: float) -> None:
        """Apply a row's "leaving" mark unless it may be a stale row of an earlier process."""
        leaving = listed is MemberState.LEAVING
        recent = now_s - record.known_since_s <= self._tuning.list_lag_s
        if leaving and recent and record.rumour.number != UNKNOWN_INCARNATION:
            return
        if leaving != record.listed_leaving:
            record.listed_leaving = leaving
            self.changes += 1

    def _refute_suspicion(self, rumour: Rumour, now_s: float) -> None:
        if rumour.number != self._own.number or self._own.state in _FINAL:
            return
        accused = rumour.state in (RumourState.SUSPECT, RumourState.UNREACHABLE)
        if accused and rumour.version >= self._own.version:
            self._slowness.record_miss()
            self._own = replace(self._own, version=rumour.version + 1)
            self._announce(self._own)

    def _replace(self, rumour: Rumour, now_s: float) -> None:
        record = self._records.get(rumour.instance)
        fresh = Record(rumour, now_s, now_s)
        if record is not None:
            self._toggle_digest(record.rumour)
            if record.rumour.number != UNKNOWN_INCARNATION and record.rumour.state not in _FINAL:
                fresh.returns = record.returns
                self._hold_back(fresh, now_s)
        if rumour.state is RumourState.SUSPECT:
            fresh.suspected_s = now_s
            fresh.accusers.add(rumour.accuser)
        self._records[rumour.instance] = fresh
        self._toggle_digest(rumour)
        self._announce(rumour)

    def _merge(self, record: Record, rumour: Rumour, now_s: float) -> None:
        known = record.rumour
        if _confirms(rumour, known):
            self._add_accuser(record, rumour)
            return
        if not _supersedes(rumour, known):
            return
        if rumour.state is RumourState.SUSPECT:
            record.suspected_s = now_s
            record.accusers = {rumour.accuser}
        if rumour.version > known.version:
            record.last_contact_s = now_s
        if known.state is RumourState.UNREACHABLE and rumour.state is RumourState.ALIVE:
            self._hold_back(record, now_s)
        self._toggle_digest(known)
        record.rumour = rumour
        self._toggle_digest(rumour)
        self._announce(rumour)

    def _add_accuser(self, record: Record, rumour: Rumour) -> None:
        if rumour.accuser in record.accusers:
            return
        if len(record.accusers) <= self._tuning.confirmations:
            record.accusers.add(rumour.accuser)
            self.rumour_queue.add(rumour)

    def _hold_back(self, record: Record, now_s: float) -> None:
        """Exclude a member that returned from groups for a while, longer at each return.

        A flapping member would move keys, connections and outcome records back and forth at each
        change, which harms the clients of healthy services. The first exclusion outlasts two
        probes; the limit lets a recovered member serve again within minutes.
        """
        record.returns += 1
        hold_s = self._tuning.return_hold_s * 2.0 ** min(record.returns - 1, 10)
        record.held_until_s = now_s + min(hold_s, self._tuning.return_hold_limit_s)

    def _suspicion_s(self, record: Record, shortest_s: float) -> float:
        confirmed = min(len(record.accusers) - 1, self._tuning.confirmations)
        share = confirmed / self._tuning.confirmations if self._tuning.confirmations else 1.0
        stretch = self._tuning.suspicion_stretch
        return shortest_s * (stretch - (stretch - 1.0) * share)

    def _mark_unreachable(self, record: Record, now_s: float) -> None:
        self._merge(
            record, replace(record.rumour, state=RumourState.UNREACHABLE, accuser=""), now_s
        )

    def _restart_suspicions_after_pause(self, now_s: float) -> None:
        """Restart all suspicions after a pause of this process: it could receive no refutation."""
        last_s = self._last_tick_s if self._last_tick_s is not None else now_s
        if self._started_s is None:
            self._started_s = now_s
        self._last_tick_s = now_s
        limit_s = 3.0 * self._tuning.probe_interval_s * self._slowness.factor
        if now_s - last_s > limit_s:
            for record in self._records.values():
                record.suspected_s = max(record.suspected_s, now_s)

    def _is_proved_gone(self, record: Record) -> bool:
        name = record.rumour.instance
        if record.rumour.number == UNKNOWN_INCARNATION:
            return self._absence.absent_for_s(name, float("-inf"), record.last_contact_s) > 0.0
        return self._absence.is_gone(name, record.known_since_s, record.last_contact_s)

    def _remove_with_tombstone(self, name: InstanceName, record: Record, now_s: float) -> None:
        if record.rumour.number != UNKNOWN_INCARNATION:
            until_s = now_s + self._tuning.tombstone_s
            self._tombstones[name] = (record.rumour.number, until_s)
        self._toggle_digest(record.rumour)
        del self._records[name]
        self.changes += 1

    def _announce(self, rumour: Rumour) -> None:
        self.rumour_queue.add(rumour)
        self.changes += 1

    def _toggle_digest(self, rumour: Rumour) -> None:
        if rumour.number != UNKNOWN_INCARNATION:
            self._digests[_bucket(rumour.instance)] ^= _digest(rumour)


def _confirms(rumour: Rumour, known: Rumour) -> bool:
    both = rumour.state is RumourState.SUSPECT and known.state is RumourState.SUSPECT
    return both and rumour.version == known.version


def _supersedes(rumour: Rumour, known: Rumour) -> bool:
    if known.state in _FINAL or rumour.state in _FINAL:
        return _finality(rumour) > _finality(known)
    return (rumour.version, rumour.state) > (known.version, known.state)


def _finality(rumour: Rumour) -> int:
    return int(rumour.state) if rumour.state in _FINAL else 0


def _member(rumour: Rumour) -> Member:
    return Member(
        rumour.incarnation,
        rumour.availability_zone,
        rumour.caller_host,
        rumour.caller_port,
        rumour.peer_host,
        rumour.peer_port,
        _MEMBER_STATES[rumour.state],
        rumour.ready,
    )


def _member_of(record: Record) -> Member:
    member = _member(record.rumour)
    return replace(member, state=MemberState.LEAVING) if record.listed_leaving else member


def _bucket(name: InstanceName) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % _BUCKETS


def _digest(rumour: Rumour) -> int:
    key = f"{rumour.instance}\x00{rumour.number}\x00{rumour.version}\x00{int(rumour.state)}"
    return xxhash.xxh3_64_intdigest(key.encode()) >> 1
