"""Exchanges evidence about upstreams among the members of each service's group."""

from collections.abc import Callable

from egretrail.fleet import FleetView
from egretrail.identity import Incarnation, ServiceName, UpstreamName
from egretrail.peer import PeerNetwork
from egretrail.upstream import Attempt, ServiceHealth, SuspectRequests


class EvidenceDriver:
    """Keeps each served service's health, and shares it with the service's group."""

    def __init__(
        self,
        own: Incarnation,
        network: PeerNetwork,
        view: FleetView,
        make_health: Callable[[ServiceName], ServiceHealth],
        make_suspects: Callable[[ServiceName], SuspectRequests],
    ) -> None:
        self._make_health = make_health
        self._make_suspects = make_suspects
        self._health: dict[ServiceName, ServiceHealth] = {}
        self._suspects: dict[ServiceName, SuspectRequests] = {}

    async def start(self) -> None:
        """Begin to exchange evidence."""

    async def stop(self) -> None:
        """Stop; what is held is dropped."""

    def health(self, service: ServiceName) -> ServiceHealth:
        """Return the health of a service, made at the first call."""
        if service not in self._health:
            self._health[service] = self._make_health(service)
        return self._health[service]

    def suspects(self, service: ServiceName) -> SuspectRequests:
        """Return the suspect requests of a service, made at the first call."""
        if service not in self._suspects:
            self._suspects[service] = self._make_suspects(service)
        return self._suspects[service]

    def begin(
        self, service: ServiceName, upstream: UpstreamName, digest: int, request_kind: str
    ) -> int:
        """Note an attempt that begins; return its ticket."""
        return 0

    async def finish(self, service: ServiceName, ticket: int, attempt: Attempt) -> None:
        """Take a finished attempt; for a loss, return when the group was told, or after a bound.

        Await it before the caller is answered finally.
        """
        return None

    async def may_touch(self, service: ServiceName, digest: int) -> bool:
        """Return whether a request may be sent to one more upstream; ask before each attempt."""
        return True

    def peer_in_flight(self, service: ServiceName, upstream: UpstreamName) -> int:
        """Return the attempts that the group's other members last said they have under way."""
        return 0
