"""Abstract interfaces of the settings store and of the platform's instance list."""

from egretrail.store._confirmed_store import ConfirmedStore, needs_confirmation
from egretrail.store._errors import (
    HistoryLost,
    PlatformFailure,
    ReplyUnusable,
    RevisionConflict,
    StoreRefused,
    StoreUnavailable,
    WriteUnknown,
)
from egretrail.store._follow_progress import FollowProgress
from egretrail.store._instance_list import (
    Endpoint,
    InstanceList,
    ListedInstance,
    ListedState,
)
from egretrail.store._refused_entries import RefusedEntries
from egretrail.store._store import Entry, Snapshot, Store, WatchEvents

__all__ = [
    "ConfirmedStore",
    "Endpoint",
    "Entry",
    "FollowProgress",
    "HistoryLost",
    "InstanceList",
    "ListedInstance",
    "ListedState",
    "PlatformFailure",
    "RefusedEntries",
    "ReplyUnusable",
    "RevisionConflict",
    "Snapshot",
    "Store",
    "StoreRefused",
    "StoreUnavailable",
    "WatchEvents",
    "WriteUnknown",
    "needs_confirmation",
]
