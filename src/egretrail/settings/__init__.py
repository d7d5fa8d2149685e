"""Settings: what an instance is told at its start, and what operators keep in the store."""

from egretrail.settings._catalogue import (
    Catalogue,
    Difference,
    HeldMark,
    Outcome,
    RunOutcome,
    SnapshotOutcome,
    StoreBehind,
)
from egretrail.settings._change import ChangeRun, SettingChange
from egretrail.settings._digest import BUCKETS, DigestTree, bucket_of
from egretrail.settings._envelope import (
    HISTORY_LENGTH,
    STORE_PREFIX,
    TEXT_LIMIT_BYTES,
    Envelope,
    Revised,
    change_of,
    decode_envelope,
    is_change_id,
)
from egretrail.settings._errors import InvalidSettings, SettingsFault
from egretrail.settings._fleet import (
    Detection,
    FleetSettings,
    RouteSettings,
    ServiceSettings,
    SettingKind,
    SettingPath,
    parse_setting,
)
from egretrail.settings._in_force import InForce
from egretrail.settings._instance import (
    CallersSection,
    InstanceSection,
    InstanceSettings,
    LimitsSection,
    ListenSection,
    LogSection,
    PlatformSection,
    StopSection,
    parse_instance_settings,
)

__all__ = [
    "BUCKETS",
    "HISTORY_LENGTH",
    "STORE_PREFIX",
    "TEXT_LIMIT_BYTES",
    "CallersSection",
    "Catalogue",
    "ChangeRun",
    "Detection",
    "Difference",
    "DigestTree",
    "Envelope",
    "FleetSettings",
    "HeldMark",
    "InForce",
    "InstanceSection",
    "InstanceSettings",
    "InvalidSettings",
    "LimitsSection",
    "ListenSection",
    "LogSection",
    "Outcome",
    "PlatformSection",
    "Revised",
    "RouteSettings",
    "RunOutcome",
    "ServiceSettings",
    "SettingChange",
    "SettingKind",
    "SettingPath",
    "SettingsFault",
    "SnapshotOutcome",
    "StopSection",
    "StoreBehind",
    "bucket_of",
    "change_of",
    "decode_envelope",
    "is_change_id",
    "parse_instance_settings",
    "parse_setting",
]
