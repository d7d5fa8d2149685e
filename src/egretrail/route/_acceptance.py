"""Checks whether a settings change is consistent with the settings in force."""

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
    """Return the conflicts of a new value (None for a deletion) with the settings in force."""
    if value is None and path.kind is SettingKind.SERVICE:
        return _service_use_faults(path, settings)
    if isinstance(value, RouteSettings):
        return [*_service_faults(path, value, settings), *_prefix_faults(path, value, table)]
    return []


def _service_use_faults(path: SettingPath, settings: FleetSettings) -> Sequence[SettingsFault]:
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
    others = [
        name for name in table.routes_with_prefix(route.host, route.path_prefix) if name != own
    ]
    return [SettingsFault("path_prefix", f"{name} has this host and prefix") for name in others]


def existing_conflicts(settings: FleetSettings, team: str | None = None) -> Sequence[SettingsFault]:
    """Return a fault for each route in force whose service does not exist, of one team or of all.

    Such a route results only from the deletion of a service and the creation of a route to it that
    are accepted concurrently. Its requests are refused until an operator corrects the settings.
    """
    faults = []
    for name, route in sorted(settings.routes.items()):
        owner, _, short = name.partition("/")
        dangling = ServiceName(f"{owner}/{route.service}") not in settings.services
        if dangling and team in (None, owner):
            reason = f"team {owner} has no service {route.service!r}"
            faults.append(SettingsFault(f"{owner}/routes/{short}", reason))
    return faults
