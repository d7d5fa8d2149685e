"""Determines which changed settings a running process applies."""

import dataclasses
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.gateway._interfaces import GatewaySettings, StartupSettings

_STARTUP_FIELDS = [field.name for field in dataclasses.fields(StartupSettings)]


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """The difference between the settings in force and those in the file."""

    #: The new settings in force: the fields that only a restart applies keep their values.
    settings: GatewaySettings
    #: The names of the changed fields that are applied now.
    applied: Sequence[str]
    #: The names of the changed fields that only a restart applies.
    pending_restart: Sequence[str]


def compare_settings(in_force: GatewaySettings, read: GatewaySettings) -> SettingsChange:
    """Compare the settings in force with those just read from the file."""
    names = [field.name for field in dataclasses.fields(GatewaySettings)]
    changed = [name for name in names if getattr(read, name) != getattr(in_force, name)]
    kept = {name: getattr(in_force, name) for name in _STARTUP_FIELDS}
    return SettingsChange(
        dataclasses.replace(read, **kept),
        applied=[name for name in changed if name not in _STARTUP_FIELDS],
        pending_restart=[name for name in changed if name in _STARTUP_FIELDS],
    )
