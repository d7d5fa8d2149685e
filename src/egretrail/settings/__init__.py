"""Settings: the file that an instance reads at its start, and the fleet's settings in the store."""

from egretrail.settings._acceptance import (
    Accepted,
    ConcurrentChange,
    SettingsRefusal,
    StoreUnreachable,
    WriteUnresolved,
)
from egretrail.settings._catalogue import (
    Catalogue,
    ChangeMark,
    Difference,
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
    ChangeRecord,
    Envelope,
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
    CompareSettings,
    FetchDifference,
    InForceReply,
    QueryInForce,
    SettingsCompared,
    SettingsDifference,
    SettingsRun,
)
from egretrail.settings._reference import settings_reference
from egretrail.settings._tokens import OperatorTokens, parse_operator_tokens
from egretrail.settings._watchers import is_store_watcher

__all__ = [
    "BUCKETS",
    "HISTORY_LENGTH",
    "STORE_PREFIX",
    "TEXT_LIMIT_BYTES",
    "Accepted",
    "CallersSection",
    "Catalogue",
    "ChangeMark",
    "ChangeRecord",
    "ChangeRun",
    "CompareSettings",
    "ConcurrentChange",
    "Detection",
    "Difference",
    "DigestTree",
    "Envelope",
    "FetchDifference",
    "FleetSettings",
    "InForce",
    "InForceReply",
    "InstanceSection",
    "InstanceSettings",
    "InvalidSettings",
    "LimitsSection",
    "ListenSection",
    "LogSection",
    "OperatorTokens",
    "Outcome",
    "PlatformSection",
    "QueryInForce",
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
    "StoreUnreachable",
    "WriteUnresolved",
    "bucket_of",
    "change_of",
    "decode_envelope",
    "is_change_id",
    "is_store_watcher",
    "parse_instance_settings",
    "parse_operator_tokens",
    "parse_setting",
    "settings_reference",
]
