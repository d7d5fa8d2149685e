"""What the request path asks of the drivers."""

import abc

from result import Result

from egretrail.identity import RouteName, ServiceName
from egretrail.request import Answer, RequestEnvelope
from egretrail.route import RouteMatch, UnsafePath
from egretrail.settings import RouteSettings, ServiceSettings


class Routing(abc.ABC):
    """Finds routes in the settings in force."""

    @property
    @abc.abstractmethod
    def caught_up(self) -> bool:
        """Return whether requests may be served by what is held."""

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
