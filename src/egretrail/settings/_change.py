"""One path's state at one generation, and runs of such changes."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingChange:
    """What a path holds from one generation on."""

    #: The path, ``TEAM/KIND/NAME``.
    path: str
    #: The store-wide revision of the write; it only rises.
    generation: int
    #: The unique id that the writer gave the change; empty for writes around the tool.
    change_id: str
    #: The TOML text; None once the path is deleted.
    text: str | None

    @property
    def order(self) -> tuple[int, str]:
        """Return what decides between two changes of one path.

        The id only decides after a store was restored and gave one revision out twice; every
        instance then keeps the same one of the two.
        """
        return self.generation, self.change_id


@dataclass(frozen=True, slots=True)
class ChangeRun:
    """All changes of any path after one revision and up to another.

    Who was complete up to ``after_revision`` is complete up to ``upto_revision`` with these. A run
    whose two revisions are equal says nothing about other changes.
    """

    #: The revision after which nothing is missing.
    after_revision: int
    #: The revision up to which nothing is missing.
    upto_revision: int
    #: The changes in between, in any order.
    changes: Sequence[SettingChange]
