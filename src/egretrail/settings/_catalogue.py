"""One instance's replica of the operators' settings, in which no path returns to an older value.

The generation of a path is the store-wide revision of its last write. Two rules prevent old values
from coming back, whatever the order and delay of messages:

- a change is applied only if its generation is higher than the one held for the path;
- for a path that is not held, a change at or below ``complete_revision`` is ignored. This instance
  has seen every change up to that revision, so the path was deleted by then or never existed.

The second rule also bounds memory: a deletion can be discarded once every change up to its
generation has been seen.
"""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from egretrail.settings._change import ChangeRun, SettingChange
from egretrail.settings._digest import BUCKETS, DigestTree, bucket_of
from egretrail.settings._in_force import InForce


class Outcome(enum.Enum):
    """Result of applying a change."""

    #: The change was applied.
    APPLIED = "applied"
    #: The change had already been applied.
    KNOWN = "known"
    #: A newer change is held.
    OLDER = "older"


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """Result of applying a run of changes."""

    #: The changes that were applied.
    applied: Sequence[SettingChange]
    #: Whether changes before the run are missing; then the caller compares with the sender.
    gap: bool


@dataclass(frozen=True, slots=True)
class StoreBehind:
    """The store is at an older state than the fleet: it was restored, or a replica lags."""

    #: The revision of the store.
    store_revision: int
    #: The highest revision that this instance had seen.
    held_revision: int
    #: Paths whose value in the store is older than the one the fleet holds.
    paths: Sequence[str]

    def __str__(self) -> str:
        return (
            f"the store is at revision {self.store_revision} and shows {len(self.paths)} path(s) "
            f"older than the fleet, which has seen revision {self.held_revision}"
        )


@dataclass(frozen=True, slots=True)
class SnapshotOutcome:
    """Result of applying a snapshot of the store."""

    #: The changes that were applied.
    applied: Sequence[SettingChange]
    #: Set when the store is at an older state; then no absent path was deleted.
    behind: StoreBehind | None


@dataclass(frozen=True, slots=True)
class ChangeMark:
    """Identifies the change that an instance holds for a live path, without the text."""

    #: The path.
    path: str
    #: The generation of the change.
    generation: int
    #: The id of the change.
    change_id: str


@dataclass(frozen=True, slots=True)
class Difference:
    """The changes that two instances have to exchange for some buckets."""

    #: Changes that the other instance is missing.
    changes: Sequence[SettingChange]
    #: Paths for which the other instance has a newer change.
    wanted: Sequence[str]


class Catalogue:
    """The latest known change of every path."""

    def __init__(self) -> None:
        self._held: dict[str, SettingChange] = {}
        self._deleted: dict[str, SettingChange] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._tree = DigestTree()
        #: The settings parsed from the held texts.
        self.in_force = InForce()
        self._complete_revision = 0
        self._highest_generation = 0
        self._lost_upto_revision = 0

    @property
    def complete_revision(self) -> int:
        """Return the revision up to which every change has been seen."""
        return self._complete_revision

    @property
    def highest_revision(self) -> int:
        """Return the highest revision that the store is known to have reached."""
        return max(self._highest_generation, self._complete_revision)

    @property
    def lost_upto_revision(self) -> int:
        """Return the revision up to which the store may have lost writes; 0: none known."""
        return self._lost_upto_revision

    def record_lost_writes(self, revision: int) -> None:
        """Record that the store may have lost writes up to a revision.

        A held path at or below this revision is not deleted when a snapshot lacks it. After a store
        has been restored from an old backup, operators repair it path by path. Paths missing from
        the backup must not be deleted as soon as the repaired paths are up to date.
        """
        self._lost_upto_revision = max(revision, self._lost_upto_revision)

    @property
    def tree(self) -> DigestTree:
        """Return the digests of the live paths."""
        return self._tree

    def __len__(self) -> int:
        return len(self._held)

    def held(self, path: str) -> SettingChange | None:
        """Return the latest change held for a path; None when none is held.

        A deletion that has not been discarded yet is a change without text.
        """
        return self._held.get(path) or self._deleted.get(path)

    def live(self) -> Iterable[SettingChange]:
        """Return the latest change of every path that is not deleted."""
        return self._held.values()

    def has_in_force(self, path: str, generation: int) -> bool:
        """Return whether a change, or a later one of its path, is in force here."""
        held = self.held(path)
        is_applied = held is not None and held.generation >= generation
        return is_applied or self._complete_revision >= generation

    def apply(self, change: SettingChange) -> Outcome:
        """Apply a change if it is newer than the change held for its path."""
        held = self.held(change.path)
        if held is None and change.generation <= self._complete_revision:
            return Outcome.KNOWN if change.text is None else Outcome.OLDER
        if held is not None and change.order <= held.order:
            return Outcome.KNOWN if change.order == held.order else Outcome.OLDER
        self._replace(change)
        return Outcome.APPLIED

    def apply_run(self, run: ChangeRun) -> RunOutcome:
        """Apply a run of changes; advances ``complete_revision`` if there is no gap before it."""
        applied = [change for change in run.changes if self.apply(change) is Outcome.APPLIED]
        if run.after_revision <= self._complete_revision:
            self.complete_upto(run.upto_revision)
        gap = self._complete_revision < run.upto_revision and run.after_revision < run.upto_revision
        return RunOutcome(applied, gap)

    def apply_snapshot(
        self, changes: Sequence[SettingChange], revision: int, asked_at_revision: int
    ) -> SnapshotOutcome:
        """Apply the complete content of the store at a revision.

        ``asked_at_revision`` is the highest revision that was known when the snapshot was
        requested. If the snapshot is at a lower revision, or has an older value for a path than
        was known by then, the store has lost writes: paths that are absent from the snapshot are
        then not deleted.
        """
        applied = []
        older = []
        for change in changes:
            known_revision = self.current(change.path).generation
            outcome = self.apply(change)
            if outcome is Outcome.APPLIED:
                applied.append(change)
            elif outcome is Outcome.OLDER and known_revision <= revision:
                older.append(change.path)
        if older or revision < asked_at_revision:
            self.record_lost_writes(asked_at_revision)
        present = {change.path for change in changes}
        absent = [c for c in self._held.values() if c.path not in present]
        older += [c.path for c in absent if c.generation <= self._lost_upto_revision]
        if older or revision < asked_at_revision:
            return SnapshotOutcome(applied, StoreBehind(revision, self.highest_revision, older))
        for held in absent:
            if held.generation <= revision:
                deletion = SettingChange(held.path, revision, "", None)
                self.apply(deletion)
                applied.append(deletion)
        self.complete_upto(revision)
        return SnapshotOutcome(applied, None)

    def current(self, path: str) -> SettingChange:
        """Return the latest known state of a path, as a deletion if the path is not held.

        Sent to an instance that holds an older state.
        """
        return self.held(path) or SettingChange(path, self._complete_revision, "", None)

    def complete_upto(self, revision: int) -> None:
        """Record that every change up to a revision has been seen; discard deletions up to it."""
        if revision <= self._complete_revision:
            return
        self._complete_revision = revision
        for path, change in list(self._deleted.items()):
            if change.generation <= revision:
                del self._deleted[path]

    def marks(self, buckets: Iterable[int]) -> Sequence[ChangeMark]:
        """Return marks of the changes that are held in some buckets."""
        held = (self._held[path] for number in buckets for path in sorted(self._buckets[number]))
        return [ChangeMark(change.path, change.generation, change.change_id) for change in held]

    def bucket_size(self, bucket: int) -> int:
        """Return the number of live paths in a bucket."""
        return len(self._buckets[bucket])

    def difference(
        self, buckets: Iterable[int], marks: Sequence[ChangeMark], limit_bytes: int
    ) -> Difference:
        """Compare with another instance's marks.

        The changes are cut off at ``limit_bytes``, but at least one is returned.
        """
        theirs = {mark.path: mark for mark in marks}
        changes: list[SettingChange] = []
        size_bytes = 0
        for path in (path for number in buckets for path in sorted(self._buckets[number])):
            own = self._held[path]
            mark = theirs.get(path)
            if mark is not None and (mark.generation, mark.change_id) >= own.order:
                continue
            size_bytes += len(own.path) + len(own.text or "") + len(own.change_id)
            if changes and size_bytes > limit_bytes:
                break
            changes.append(own)
        wanted = []
        for mark in marks:
            held = self.held(mark.path)
            if held is None and mark.generation <= self._complete_revision:
                changes.append(self.current(mark.path))
            elif held is None or held.order < (mark.generation, mark.change_id):
                wanted.append(mark.path)
            elif held.text is None:
                changes.append(held)
        return Difference(changes, wanted)

    def _replace(self, change: SettingChange) -> None:
        self._highest_generation = max(change.generation, self._highest_generation)
        previous = self._held.pop(change.path, None)
        if previous is not None:
            self._tree.toggle(previous)
        bucket = self._buckets[bucket_of(change.path)]
        self._deleted.pop(change.path, None)
        if change.text is None:
            self._deleted[change.path] = change
            bucket.discard(change.path)
        else:
            self._held[change.path] = change
            self._tree.toggle(change)
            bucket.add(change.path)
        self.in_force.apply(change)
