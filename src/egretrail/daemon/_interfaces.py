"""Interfaces that request handling requires of the drivers."""

import abc

from result import Result

from egretrail.identity import RouteName, ServiceName
from egretrail.request import Answer, RequestEnvelope
from egretrail.route import RouteMatch, UnsafePath
from egretrail.settings import RouteSettings, ServiceSettings


class Routing(abc.ABC):
    """Looks up routes and services in the settings in force."""

    @property
    @abc.abstractmethod
    def caught_up(self) -> bool:
        """Return whether the settings held are recent enough to serve requests."""

    @abc.abstractmethod
    def match(self, host: str, path: str, method: str) -> Result[RouteMatch | None, UnsafePath]:
        """Return the route that matches a request, None if there is none."""

    @abc.abstractmethod
    def route(self, name: RouteName) -> RouteSettings | None:
        """Return the settings of a route in force here, None if there is no such route."""

    @abc.abstractmethod
    def service(self, name: ServiceName) -> ServiceSettings | None:
        """Return the settings of a service in force here, None if there is no such service."""


class LocalExecution(abc.ABC):
    """Sends requests to upstreams from this instance."""

    @abc.abstractmethod
    async def execute(self, request: RequestEnvelope, route: RouteSettings) -> Answer:
        """Queue, place and send a request; return the response or a refusal with its outcome."""
