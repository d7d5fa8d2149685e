"""What an instance knows of the operators' settings, and the rule by which it only moves forward.

Each path carries the store-wide revision of its last write as its generation. Two rules keep old
values from coming back, whatever order messages arrive in and however late:

- a change is applied only when its generation is above the one that is held for the path;
- a path that is not held takes no change at or below ``complete_revision``, the revision up to
  which this instance has seen every change: the path had been deleted by then, or never was.

The second rule also bounds memory: a deletion need not be remembered once everything up to it has
been seen.
"""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from egretrail.settings._change import ChangeRun, SettingChange
from egretrail.settings._digest import BUCKETS, DigestTree, bucket_of
from egretrail.settings._in_force import InForce


class Outcome(enum.Enum):
    """What became of a change."""

    #: It is held now.
    APPLIED = "applied"
    #: It was held already.
    KNOWN = "known"
    #: Something newer is held.
    OLDER = "older"


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """What became of a run of changes."""

    #: The changes that were applied.
    applied: Sequence[SettingChange]
    #: Whether changes before the run are missing: compare with the sender.
    gap: bool


@dataclass(frozen=True, slots=True)
class StoreBehind:
    """The store shows an older state than the fleet holds; it was restored, or a replica lags."""

    #: The revision that the store shows.
    store_revision: int
    #: The revision that this instance had seen.
    held_revision: int
    #: Paths that the store shows older than the fleet holds them.
    paths: Sequence[str]

    def __str__(self) -> str:
        return (
            f"the store is at revision {self.store_revision} and shows {len(self.paths)} path(s) "
            f"older than the fleet, which has seen revision {self.held_revision}"
        )


@dataclass(frozen=True, slots=True)
class SnapshotOutcome:
    """What became of a snapshot of the store."""

    #: The changes that were applied.
    applied: Sequence[SettingChange]
    #: Set when the store shows an older state: then nothing was taken as deleted.
    behind: StoreBehind | None


@dataclass(frozen=True, slots=True)
class HeldMark:
    """Which change of a live path an instance holds, without its text."""

    #: The path.
    path: str
    #: The generation that is held.
    generation: int
    #: The id of the change that is held.
    change_id: str


@dataclass(frozen=True, slots=True)
class Difference:
    """What two instances lack of each other in some buckets."""

    #: Changes that the other instance lacks.
    changes: Sequence[SettingChange]
    #: Paths of which the other instance has the newer change.
    wanted: Sequence[str]


class Catalogue:
    """Every path that an instance holds, with its generation."""

    def __init__(self) -> None:
        self._held: dict[str, SettingChange] = {}
        self._deleted: dict[str, SettingChange] = {}
        self._buckets: list[set[str]] = [set() for _ in range(BUCKETS)]
        self._tree = DigestTree()
        #: The held values as settings.
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
        """Return the revision up to which the store may have lost writes; 0: none were missed."""
        return self._lost_upto_revision

    def distrust_upto(self, revision: int) -> None:
        """Take what the store does not show as deleted only if it is above a revision.

        Load: a store restored from an old copy, while operators mend it path by path. Harm
        prevented: paths that the copy lacks vanishing once the mended ones look right.
        """
        self._lost_upto_revision = max(revision, self._lost_upto_revision)

    @property
    def tree(self) -> DigestTree:
        """Return the digests of the live paths."""
        return self._tree

    def __len__(self) -> int:
        return len(self._held)

    def held(self, path: str) -> SettingChange | None:
        """Return the change that is held for a path; a remembered deletion has no text."""
        return self._held.get(path) or self._deleted.get(path)

    def live(self) -> Iterable[SettingChange]:
        """Return the change of every path that is not deleted."""
        return self._held.values()

    def has_in_force(self, path: str, generation: int) -> bool:
        """Return whether a change, or a later one of its path, is in force here."""
        held = self.held(path)
        newer = held is not None and held.generation >= generation
        return newer or self._complete_revision >= generation

    def apply(self, change: SettingChange) -> Outcome:
        """Apply one change if it is newer than what is held."""
        held = self.held(change.path)
        if held is None and change.generation <= self._complete_revision:
            return Outcome.KNOWN if change.text is None else Outcome.OLDER
        if held is not None and change.order <= held.order:
            return Outcome.KNOWN if change.order == held.order else Outcome.OLDER
        self._replace(change)
        return Outcome.APPLIED

    def apply_run(self, run: ChangeRun) -> RunOutcome:
        """Apply a run of changes; it completes what is known when it follows without a gap."""
        applied = [change for change in run.changes if self.apply(change) is Outcome.APPLIED]
        if run.after_revision <= self._complete_revision:
            self.complete_upto(run.upto_revision)
        gap = self._complete_revision < run.upto_revision and run.after_revision < run.upto_revision
        return RunOutcome(applied, gap)

    def apply_snapshot(
        self, changes: Sequence[SettingChange], revision: int, asked_at_revision: int
    ) -> SnapshotOutcome:
        """Apply the store's whole content at a revision.

        ``asked_at_revision`` is the highest revision known when the store was asked: an answer
        below it, or one that shows a path older than it was by then, comes from a store that has
        lost writes. What such a store does not show is not taken as deleted.
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
            self.distrust_upto(asked_at_revision)
        shown = {change.path for change in changes}
        absent = [c for c in self._held.values() if c.path not in shown]
        older += [c.path for c in absent if c.generation <= self._lost_upto_revision]
        if older or revision < asked_at_revision:
            return SnapshotOutcome(applied, StoreBehind(revision, self.highest_revision, older))
        for held in absent:
            if held.generation <= revision:
                gone = SettingChange(held.path, revision, "", None)
                self.apply(gone)
                applied.append(gone)
        self.complete_upto(revision)
        return SnapshotOutcome(applied, None)

    def current(self, path: str) -> SettingChange:
        """Return what this instance knows of a path, to correct one who holds something older."""
        return self.held(path) or SettingChange(path, self._complete_revision, "", None)

    def complete_upto(self, revision: int) -> None:
        """Note that every change up to a revision has been seen; forget deletions up to it."""
        if revision <= self._complete_revision:
            return
        self._complete_revision = revision
        for path, change in list(self._deleted.items()):
            if change.generation <= revision:
                del self._deleted[path]

    def marks(self, buckets: Iterable[int]) -> Sequence[HeldMark]:
        """Return which changes are held in some buckets."""
        held = (self._held[path] for number in buckets for path in sorted(self._buckets[number]))
        return [HeldMark(change.path, change.generation, change.change_id) for change in held]

    def bucket_size(self, bucket: int) -> int:
        """Return how many live paths a bucket has."""
        return len(self._buckets[bucket])

    def difference(
        self, buckets: Iterable[int], marks: Sequence[HeldMark], limit_bytes: int
    ) -> Difference:
        """Compare with another instance's marks; the changes stop at a size, with one at least."""
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
        self.in_force.take(change)
