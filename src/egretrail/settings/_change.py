"""Changes of single paths, and runs of consecutive changes."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingChange:
    """The state of a path as of one generation."""

    #: The path, ``TEAM/KIND/NAME``.
    path: str
    #: The store-wide revision of the write; higher for every later write.
    generation: int
    #: The unique id that the writer gave the change; empty for direct writes to the store.
    change_id: str
    #: The TOML text; None when the path is deleted.
    text: str | None

    @property
    def order(self) -> tuple[int, str]:
        """Return the sort key that finds the newer of two changes of a path.

        The id matters only if a restored store has assigned one revision twice: every instance then
        keeps the same one of the two changes.
        """
        return self.generation, self.change_id


@dataclass(frozen=True, slots=True)
class ChangeRun:
    """All changes of any path after one revision and up to another.

    An instance that has seen every change up to ``after_revision`` has, with this run, seen every
    change up to ``upto_revision``. A run whose two revisions are equal makes no such statement.
    """

    #: The run has every change after this revision.
    after_revision: int
    #: The run has every change up to this revision.
    upto_revision: int
    #: The changes, in any order.
    changes: Sequence[SettingChange]
