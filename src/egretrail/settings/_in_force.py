"""The settings in force, parsed from the held texts.

Each text is parsed once. When a new text is invalid, the last valid value of the path stays in
force.
"""

from collections.abc import Mapping

from result import Err

from egretrail.identity import RouteName, ServiceName
from egretrail.settings._change import SettingChange
from egretrail.settings._errors import InvalidSettings
from egretrail.settings._fleet import (
    FleetSettings,
    RouteSettings,
    ServiceSettings,
    SettingKind,
    SettingPath,
    parse_setting,
)


class InForce:
    """The services and routes in force on an instance."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, ServiceSettings] = {}
        self._routes: dict[RouteName, RouteSettings] = {}
        self._issues: dict[str, InvalidSettings] = {}
        self._settings: FleetSettings | None = None

    def settings(self) -> FleetSettings:
        """Return the settings in force; the same object until the next change."""
        if self._settings is None:
            self._settings = FleetSettings(dict(self._services), dict(self._routes))
        return self._settings

    def route(self, name: RouteName) -> RouteSettings | None:
        """Return one route without copying all; None when it does not exist."""
        return self._routes.get(name)

    def issues(self) -> Mapping[str, InvalidSettings]:
        """Return the errors of the held texts that are invalid, by path."""
        return dict(self._issues)

    def apply(self, change: SettingChange) -> None:
        """Apply a change to the settings in force."""
        self._issues.pop(change.path, None)
        parsed = SettingPath.parse(change.path)
        if isinstance(parsed, Err):
            self._issues[change.path] = parsed.err_value
            return
        self._settings = None
        if change.text is None:
            self._remove(parsed.ok_value)
        else:
            self._parse(parsed.ok_value, change.text)

    def _remove(self, path: SettingPath) -> None:
        if path.kind is SettingKind.SERVICE:
            self._services.pop(ServiceName(path.qualified_name), None)
        else:
            self._routes.pop(RouteName(path.qualified_name), None)

    def _parse(self, path: SettingPath, text: str) -> None:
        value = parse_setting(path, text)
        if isinstance(value, Err):
            self._issues[str(path)] = value.err_value
        elif isinstance(value.ok_value, ServiceSettings):
            self._services[ServiceName(path.qualified_name)] = value.ok_value
        else:
            self._routes[RouteName(path.qualified_name)] = value.ok_value
