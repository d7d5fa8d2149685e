"""Settings: what an instance is told at its start, and what operators keep in the store."""

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
    "CallersSection",
    "Detection",
    "FleetSettings",
    "InstanceSection",
    "InstanceSettings",
    "InvalidSettings",
    "LimitsSection",
    "ListenSection",
    "LogSection",
    "PlatformSection",
    "RouteSettings",
    "ServiceSettings",
    "SettingKind",
    "SettingPath",
    "SettingsFault",
    "StopSection",
    "parse_instance_settings",
    "parse_setting",
]
