"""What the platform gives: the key-value store and the instance list, behind abstract bases."""

from egretrail.platform._errors import (
    PlatformFailure,
    RevisionConflict,
    StoreRefused,
    StoreUnavailable,
    WriteUnknown,
)
from egretrail.platform._instance_list import (
    Endpoint,
    HttpInstanceList,
    InstanceList,
    ListedInstance,
    ListedState,
)
from egretrail.platform._store import Entry, HttpStore, Snapshot, Store, WatchEvents

__all__ = [
    "Endpoint",
    "Entry",
    "HttpInstanceList",
    "HttpStore",
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
]
