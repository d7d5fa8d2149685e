"""What the ejection rights are counted from: settings in force and the upstreams' directory."""

from collections.abc import Callable, Sequence

from egretrail.daemon._interfaces import Routing
from egretrail.identity import ServiceName, UpstreamName
from egretrail.runtime import FloorSource, UpstreamListDriver


class SettingsFloors(FloorSource):
    """Floors out of the settings, capacity out of the directory."""

    def __init__(
        self,
        routing: Routing,
        source: UpstreamListDriver,
        services: Callable[[], Sequence[ServiceName]],
    ) -> None:
        self._routing = routing
        self._source = source
        self._services = services

    def services(self) -> Sequence[ServiceName]:
        """Return the services whose group this instance is in."""
        return self._services()

    def floor(self, service: ServiceName) -> int:
        """Return the fewest healthy upstreams that ejections may leave."""
        settings = self._routing.service(service)
        # Without settings nothing may be ejected: the floor is everything there is.
        return settings.floor if settings is not None else len(self._source.names(service))

    def capacity(self, service: ServiceName) -> Sequence[UpstreamName]:
        """Return the upstreams that are listed live and neither draining nor departed."""
        return self._source.names(service)
