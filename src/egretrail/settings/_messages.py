"""Messages with which instances replicate settings."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.settings._catalogue import ChangeMark
from egretrail.settings._change import ChangeRun, SettingChange
from egretrail.wire import Message, message


@message("settings.run")
@dataclass(frozen=True, slots=True)
class SettingsRun(Message):
    """Sends changes that the sender has just received."""

    #: The changes, with the revisions that they span.
    run: ChangeRun


@message("settings.compare")
@dataclass(frozen=True, slots=True)
class CompareSettings(Message):
    """Asks whether the receiver holds the same settings."""

    #: The root of the sender's hash tree.
    root: int
    #: The revision up to which the sender has seen every change.
    complete_revision: int
    #: The revision up to which the store may have lost writes, as the sender knows.
    lost_upto_revision: int


@message("settings.compared")
@dataclass(frozen=True, slots=True)
class SettingsCompared(Message):
    """Reply to ``CompareSettings``: the digests, and how current the replying instance is."""

    #: The revision up to which the replying instance has seen every change.
    complete_revision: int
    #: The revision up to which the store may have lost writes, as the replying instance knows.
    lost_upto_revision: int
    #: The digest of each bucket; empty when both instances hold the same settings.
    buckets: Sequence[int]
    #: Whether the replying instance has caught up with the store since its start.
    caught_up: bool
    #: Time since its settings were last confirmed as current by the store; None: unknown.
    confirmed_age_s: float | None


@message("settings.differ")
@dataclass(frozen=True, slots=True)
class FetchDifference(Message):
    """Asks for the differing changes of some buckets."""

    #: The indexes of the buckets.
    buckets: Sequence[int]
    #: Marks of the changes that the sender holds in these buckets.
    marks: Sequence[ChangeMark]


@message("settings.difference")
@dataclass(frozen=True, slots=True)
class SettingsDifference(Message):
    """Reply to ``FetchDifference``: missing changes, up to a size, and paths to send in return."""

    #: Changes that the requesting instance is missing.
    changes: Sequence[SettingChange]
    #: Paths for which the requesting instance has the newer change.
    wanted: Sequence[str]


@message("settings.in-force")
@dataclass(frozen=True, slots=True)
class QueryInForce(Message):
    """Asks whether a change is in force on the receiver."""

    #: The path.
    path: str
    #: The generation of the change.
    generation: int


@message("settings.in-force-reply")
@dataclass(frozen=True, slots=True)
class InForceReply(Message):
    """Reply to ``QueryInForce``: whether a change, or a later one of its path, is in force."""

    #: Whether the change or a later one is in force.
    in_force: bool
