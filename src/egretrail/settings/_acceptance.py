"""Results of an operator's change: accepted, or refused with a typed reason."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.settings._catalogue import StoreBehind
from egretrail.settings._envelope import ChangeRecord
from egretrail.settings._errors import InvalidSettings, SettingsFault


@dataclass(frozen=True, slots=True)
class Accepted:
    """The store has the change; the change is never reverted."""

    #: The path.
    path: str
    #: Its generation.
    revision: int
    #: The id that the writer gave the change.
    change_id: str
    #: Contradictions with a concurrent change by another operator.
    conflicts: Sequence[SettingsFault] = ()


@dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """The store is unreachable: nothing was changed, requests are still served."""

    #: The path.
    path: str
    #: The store client's description of the failure.
    cause: str

    def __str__(self) -> str:
        return f"{self.path} was not changed: {self.cause}; the settings in force stay as they are"


@dataclass(frozen=True, slots=True)
class WriteUnresolved:
    """The response to the write was lost, and the store could not be read afterwards.

    A retry with the same change id resolves this: a change id is accepted at most once.
    """

    #: The path.
    path: str
    #: The id that the writer gave the change.
    change_id: str
    #: The store client's description of the failure.
    cause: str

    def __str__(self) -> str:
        return (
            f"{self.path}: whether change {self.change_id} was accepted is not known ({self.cause})"
            "; send it again with the same id"
        )


@dataclass(frozen=True, slots=True)
class ConcurrentChange:
    """Another operator changed the path first."""

    #: The path.
    path: str
    #: The revision that the writer expected; 0: absent.
    expected_revision: int
    #: The revision in the store; 0: absent.
    actual_revision: int
    #: The change that was refused.
    yours: ChangeRecord
    #: The change that is in the store.
    theirs: ChangeRecord

    def __str__(self) -> str:
        return (
            f"{self.path} is at revision {self.actual_revision}, changed by "
            f"{self.theirs.author or 'unknown'}, not at {self.expected_revision}"
        )


SettingsRefusal = (
    InvalidSettings | StoreUnreachable | WriteUnresolved | ConcurrentChange | StoreBehind
)
