"""The upstreams of each service: the platform's list, less those that said that they drain."""

from collections.abc import Sequence

from egretrail.daemon._interfaces import UpstreamSource
from egretrail.identity import ServiceName, UpstreamName
from egretrail.platform import ListedInstance, ListedState


class ListedUpstreams(UpstreamSource):
    """Takes the platform's list over whole, and upstreams' own word before it."""

    def __init__(self) -> None:
        self._by_service: dict[ServiceName, list[ListedInstance]] = {}
        self._draining: set[tuple[ServiceName, UpstreamName]] = set()

    async def take(self, rows: Sequence[ListedInstance]) -> None:
        """Take a reading of the list. A drained upstream is forgotten once its row has gone."""
        by_service: dict[ServiceName, list[ListedInstance]] = {}
        listed = {(ServiceName(row.service), UpstreamName(row.name)) for row in rows}
        self._draining &= listed
        for row in sorted(rows, key=lambda row: row.name):
            service = ServiceName(row.service)
            draining = (service, UpstreamName(row.name)) in self._draining
            if row.state is ListedState.LIVE and not draining:
                by_service.setdefault(service, []).append(row)
        self._by_service = by_service

    def upstreams(self, service: ServiceName) -> Sequence[ListedInstance]:
        """Return the upstreams that are live and not leaving, in a stable order."""
        return self._by_service.get(service, ())

    def note_drain(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Take an upstream's own word that it is draining."""
        self._draining.add((service, upstream))
        rows = self._by_service.get(service, [])
        self._by_service[service] = [row for row in rows if row.name != upstream]
