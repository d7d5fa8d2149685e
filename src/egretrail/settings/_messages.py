"""What instances say to each other about settings."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.settings._catalogue import HeldMark
from egretrail.settings._change import ChangeRun, SettingChange
from egretrail.wire import Message, message


@message("settings.run")
@dataclass(frozen=True, slots=True)
class SettingsRun(Message):
    """Changes that the sender has just learned of."""

    #: The changes, and what they complete.
    run: ChangeRun


@message("settings.compare")
@dataclass(frozen=True, slots=True)
class CompareSettings(Message):
    """Asks whether the receiver holds the same settings."""

    #: The root of the asker's digests.
    root: int
    #: The revision up to which the asker has seen every change.
    complete_revision: int
    #: The revision up to which the asker knows that the store lost writes.
    lost_upto_revision: int


@message("settings.compared")
@dataclass(frozen=True, slots=True)
class SettingsCompared(Message):
    """Says whether both hold the same, and how much the answer is worth."""

    #: The revision up to which the receiver has seen every change.
    complete_revision: int
    #: The revision up to which the receiver knows that the store lost writes.
    lost_upto_revision: int
    #: The receiver's digests by bucket; empty when both hold the same.
    buckets: Sequence[int]
    #: Whether the receiver has caught up since its start.
    caught_up: bool
    #: How long ago the store confirmed what the receiver holds; None: never, or not known.
    confirmed_age_s: float | None


@message("settings.differ")
@dataclass(frozen=True, slots=True)
class DifferSettings(Message):
    """Asks for the differences in some buckets."""

    #: The numbers of the buckets.
    buckets: Sequence[int]
    #: What the asker holds in them.
    marks: Sequence[HeldMark]


@message("settings.difference")
@dataclass(frozen=True, slots=True)
class SettingsDifference(Message):
    """Answers with what the asker lacks, up to a size, and what the receiver lacks."""

    #: Changes that the asker lacks.
    changes: Sequence[SettingChange]
    #: Paths of which the asker has the newer change.
    wanted: Sequence[str]


@message("settings.in-force")
@dataclass(frozen=True, slots=True)
class AskInForce(Message):
    """Asks whether a change is in force on the receiver."""

    #: The path.
    path: str
    #: The change's generation.
    generation: int


@message("settings.in-force-reply")
@dataclass(frozen=True, slots=True)
class InForceReply(Message):
    """Says whether a change, or a later one of its path, is in force."""

    #: Whether it is.
    in_force: bool
