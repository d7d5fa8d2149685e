"""What the request path asks of the drivers."""

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.fleet import Member
from egretrail.identity import RouteName, ServiceName, UpstreamName
from egretrail.platform import ListedInstance
from egretrail.request import Answer, RequestEnvelope
from egretrail.settings import RouteSettings


@dataclass(frozen=True, slots=True)
class MatchedRoute:
    """The route that a request takes."""

    #: The route's qualified name.
    name: RouteName
    #: The qualified name of its service.
    service: ServiceName
    #: The route's settings.
    settings: RouteSettings


class Routing(abc.ABC):
    """Finds routes in the settings in force."""

    @abc.abstractmethod
    def match(self, host: str, path: str) -> MatchedRoute | None:
        """Return the route of a request; None when there is none."""


class KeyedRequests(abc.ABC):
    """Runs requests that are not idempotent at most once."""

    @abc.abstractmethod
    async def run(self, request: RequestEnvelope) -> Answer:
        """Answer a request by its key, here or at the key's home."""

    @abc.abstractmethod
    def prefix_for(self, member: Member, service: ServiceName) -> str | None:
        """Return a key prefix that names ``member`` as home; None when it can have none now."""


class LocalExecution(abc.ABC):
    """Has an upstream answer a request, from this instance."""

    @abc.abstractmethod
    async def execute(self, request: RequestEnvelope, route: RouteSettings) -> Answer:
        """Queue, place and send a request; return the answer or a truthful refusal."""


class UpstreamSource(abc.ABC):
    """Tells which upstreams of a service may be given work."""

    @abc.abstractmethod
    def upstreams(self, service: ServiceName) -> Sequence[ListedInstance]:
        """Return the upstreams that are live and not leaving, in a stable order."""

    @abc.abstractmethod
    def note_drain(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Take an upstream's own word that it is draining."""
