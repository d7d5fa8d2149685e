"""Settings: the file that an instance reads at its start, and the fleet's settings in the store."""

from egretrail.settings._acceptance import (
    Accepted,
    LostRace,
    SettingsRefusal,
    StoreOut,
    WriteUnresolved,
)
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
from egretrail.settings._messages import (
    AskInForce,
    CompareSettings,
    DifferSettings,
    InForceReply,
    SettingsCompared,
    SettingsDifference,
    SettingsRun,
)
from egretrail.settings._reference import settings_reference
from egretrail.settings._tokens import OperatorTokens, parse_operator_tokens
from egretrail.settings._watchers import is_watcher

__all__ = [
    "BUCKETS",
    "HISTORY_LENGTH",
    "STORE_PREFIX",
    "TEXT_LIMIT_BYTES",
    "Accepted",
    "AskInForce",
    "CallersSection",
    "Catalogue",
    "ChangeRun",
    "CompareSettings",
    "Detection",
    "DifferSettings",
    "Difference",
    "DigestTree",
    "Envelope",
    "FleetSettings",
    "HeldMark",
    "InForce",
    "InForceReply",
    "InstanceSection",
    "InstanceSettings",
    "InvalidSettings",
    "LimitsSection",
    "ListenSection",
    "LogSection",
    "LostRace",
    "OperatorTokens",
    "Outcome",
    "PlatformSection",
    "Revised",
    "RouteSettings",
    "RunOutcome",
    "ServiceSettings",
    "SettingChange",
    "SettingKind",
    "SettingPath",
    "SettingsCompared",
    "SettingsDifference",
    "SettingsFault",
    "SettingsRefusal",
    "SettingsRun",
    "SnapshotOutcome",
    "StopSection",
    "StoreBehind",
    "StoreOut",
    "WriteUnresolved",
    "bucket_of",
    "change_of",
    "decode_envelope",
    "is_change_id",
    "is_watcher",
    "parse_instance_settings",
    "parse_operator_tokens",
    "parse_setting",
    "settings_reference",
]
