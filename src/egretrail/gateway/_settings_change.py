"""What a running process takes over of changed settings."""

import dataclasses
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.gateway._interfaces import GatewaySettings, StartSettings

_START_FIELDS = [field.name for field in dataclasses.fields(StartSettings)]


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """What differs between the settings in force and those of the file."""

    #: What holds from now on: the running fields of the file and the others as they were.
    settings: GatewaySettings
    #: The names of fields that were taken over.
    taken: Sequence[str]
    #: The names of fields that only the next start takes over.
    waiting: Sequence[str]


def settings_change(in_force: GatewaySettings, read: GatewaySettings) -> SettingsChange:
    """Return what a process with some settings makes of those that its file holds now."""
    names = [field.name for field in dataclasses.fields(GatewaySettings)]
    changed = [name for name in names if getattr(read, name) != getattr(in_force, name)]
    kept = {name: getattr(in_force, name) for name in _START_FIELDS}
    return SettingsChange(
        dataclasses.replace(read, **kept),
        taken=[name for name in changed if name not in _START_FIELDS],
        waiting=[name for name in changed if name in _START_FIELDS],
    )
