"""What becomes of an operator's change: accepted, or refused for a typed reason."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.settings._catalogue import StoreBehind
from egretrail.settings._envelope import Revised
from egretrail.settings._errors import InvalidSettings, SettingsFault


@dataclass(frozen=True, slots=True)
class Accepted:
    """A change that the store holds; it never reverts."""

    #: The path.
    path: str
    #: Its generation.
    revision: int
    #: The id that the writer gave it.
    change_id: str
    #: Contradictions with a change that another operator made at the same moment.
    conflicts: Sequence[SettingsFault] = ()


@dataclass(frozen=True, slots=True)
class StoreOut:
    """The store cannot be reached: nothing was changed, serving goes on."""

    #: The path.
    path: str
    #: The store's client's own account.
    cause: str

    def __str__(self) -> str:
        return f"{self.path} was not changed: {self.cause}; the settings in force stay as they are"


@dataclass(frozen=True, slots=True)
class WriteUnresolved:
    """The write's reply was lost and the store cannot be read back.

    Sending the same change id again resolves it: it is accepted at most once.
    """

    #: The path.
    path: str
    #: The id that the writer gave the change.
    change_id: str
    #: The store's client's own account.
    cause: str

    def __str__(self) -> str:
        return (
            f"{self.path}: whether change {self.change_id} was accepted is not known ({self.cause})"
            "; send it again with the same id"
        )


@dataclass(frozen=True, slots=True)
class LostRace:
    """Another operator's change came first."""

    #: The path.
    path: str
    #: The revision that the writer had seen; 0: absent.
    expected_revision: int
    #: The revision that the store holds; 0: absent.
    actual_revision: int
    #: The change that was refused.
    yours: Revised
    #: The change that stands.
    theirs: Revised

    def __str__(self) -> str:
        return (
            f"{self.path} is at revision {self.actual_revision}, changed by "
            f"{self.theirs.author or 'unknown'}, not at {self.expected_revision}"
        )


SettingsRefusal = InvalidSettings | StoreOut | WriteUnresolved | LostRace | StoreBehind
