"""Abstract interfaces of the settings store and of the platform's instance list."""

from egretrail.store._confirmed_store import ConfirmedStore, needs_confirmation
from egretrail.store._errors import (
    HistoryLost,
    PlatformFailure,
    RevisionConflict,
    StoreRefused,
    StoreUnavailable,
    WriteUnknown,
)
from egretrail.store._instance_list import (
    Endpoint,
    InstanceList,
    ListedInstance,
    ListedState,
)
from egretrail.store._store import Entry, Snapshot, Store, WatchEvents

__all__ = [
    "ConfirmedStore",
    "Endpoint",
    "Entry",
    "HistoryLost",
    "InstanceList",
    "ListedInstance",
    "ListedState",
    "PlatformFailure",
    "RevisionConflict",
    "Snapshot",
    "Store",
    "StoreRefused",
    "StoreUnavailable",
    "WatchEvents",
    "WriteUnknown",
    "needs_confirmation",
]
