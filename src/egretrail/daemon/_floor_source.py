"""The input for counting ejection rights: settings in force and the listed upstreams."""

from collections.abc import Callable, Sequence

from egretrail.daemon._interfaces import Routing
from egretrail.identity import ServiceName, UpstreamName
from egretrail.runtime import FloorSource, UpstreamListDriver


class SettingsFloorSource(FloorSource):
    """Takes floors from the settings and capacity from the upstream list."""

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
        """Return the minimum number of healthy upstreams that ejections must leave."""
        settings = self._routing.service(service)
        # Without settings nothing may be ejected: the floor is the number of listed upstreams.
        return settings.floor if settings is not None else len(self._source.names(service))

    def capacity(self, service: ServiceName) -> Sequence[UpstreamName]:
        """Return the upstreams that are listed live and neither draining nor departed."""
        return self._source.names(service)
