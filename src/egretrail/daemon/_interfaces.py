"""What the request path asks of the drivers."""

import abc
from collections.abc import Sequence

from result import Result

from egretrail.identity import RouteName, ServiceName, UpstreamName
from egretrail.platform import ListedInstance
from egretrail.request import Answer, RequestEnvelope
from egretrail.route import RouteMatch, UnsafePath
from egretrail.settings import RouteSettings, ServiceSettings


class Routing(abc.ABC):
    """Finds routes in the settings in force."""

    @abc.abstractmethod
    def match(self, host: str, path: str, method: str) -> Result[RouteMatch | None, UnsafePath]:
        """Return the route of a request; None when there is none."""

    @abc.abstractmethod
    def route(self, name: RouteName) -> RouteSettings | None:
        """Return the settings of a route in force here."""

    @abc.abstractmethod
    def service(self, name: ServiceName) -> ServiceSettings | None:
        """Return the settings of a service in force here."""


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
