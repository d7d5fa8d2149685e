"""Whether a change may be accepted beside the settings that stand."""

from collections.abc import Sequence

from result import Err

from egretrail.identity import RouteName, ServiceName
from egretrail.route._path import path_segments
from egretrail.route._table import RouteTable
from egretrail.settings import (
    FleetSettings,
    RouteSettings,
    ServiceSettings,
    SettingKind,
    SettingPath,
    SettingsFault,
)


def acceptance_faults(
    path: SettingPath,
    value: ServiceSettings | RouteSettings | None,
    settings: FleetSettings,
    table: RouteTable,
) -> Sequence[SettingsFault]:
    """Return why a new value (None: a deletion) contradicts the settings in force."""
    if value is None and path.kind is SettingKind.SERVICE:
        return _used_by(path, settings)
    if isinstance(value, RouteSettings):
        return [*_service_faults(path, value, settings), *_prefix_faults(path, value, table)]
    return []


def _used_by(path: SettingPath, settings: FleetSettings) -> Sequence[SettingsFault]:
    own = f"{path.team}/"
    users = sorted(
        name
        for name, route in settings.routes.items()
        if name.startswith(own) and route.service == path.name
    )
    return [SettingsFault("", f"the service is in use by {', '.join(users)}")] if users else []


def _service_faults(
    path: SettingPath, route: RouteSettings, settings: FleetSettings
) -> Sequence[SettingsFault]:
    if ServiceName(f"{path.team}/{route.service}") in settings.services:
        return []
    return [SettingsFault("service", f"team {path.team} has no service {route.service!r}")]


def _prefix_faults(
    path: SettingPath, route: RouteSettings, table: RouteTable
) -> Sequence[SettingsFault]:
    parsed = path_segments(route.path_prefix)
    if isinstance(parsed, Err):
        return [SettingsFault("path_prefix", str(parsed.err_value))]
    own = RouteName(path.qualified_name)
    others = [name for name in table.holders(route.host, route.path_prefix) if name != own]
    return [SettingsFault("path_prefix", f"{name} has this host and prefix") for name in others]
