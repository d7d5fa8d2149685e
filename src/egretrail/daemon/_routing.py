"""Looks up routes and services in the settings that are in force on this instance."""

from result import Result

from egretrail.daemon._interfaces import Routing
from egretrail.identity import RouteName, ServiceName
from egretrail.route import RouteMatch, UnsafePath
from egretrail.runtime import SettingsDriver
from egretrail.settings import RouteSettings, ServiceSettings


class SettingsRouting(Routing):
    """Routing by the settings that the settings driver holds."""

    def __init__(self, driver: SettingsDriver) -> None:
        self._driver = driver

    @property
    def caught_up(self) -> bool:
        """Return whether the settings held are recent enough to serve requests."""
        return self._driver.caught_up

    def match(self, host: str, path: str, method: str) -> Result[RouteMatch | None, UnsafePath]:
        """Return the route that matches a request, None if there is none."""
        return self._driver.routes.match(host, path, method)

    def route(self, name: RouteName) -> RouteSettings | None:
        """Return the settings of a route in force here, None if there is no such route."""
        return self._driver.settings().routes.get(name)

    def service(self, name: ServiceName) -> ServiceSettings | None:
        """Return the settings of a service in force here, None if there is no such service."""
        return self._driver.settings().services.get(name)
