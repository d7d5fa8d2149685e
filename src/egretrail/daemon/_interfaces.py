"""What the request path asks of the drivers."""

import abc
from dataclasses import dataclass

from egretrail.fleet import Member
from egretrail.identity import RouteName, ServiceName
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
    async def execute(self, request: RequestEnvelope) -> Answer:
        """Queue, place and send a request; return the answer or a truthful refusal."""
