"""The fleet's configuration: an immutable value for each version."""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.traffic._accounts import ClientAccount


class RouteKind(enum.Enum):
    """Whether the requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    #: Runs at most once for each client attempt.
    AT_MOST_ONCE = "at-most-once"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A part of a route's traffic."""

    #: The service that gets this part.
    service: str
    #: The part is this weight divided by the sum of the route's weights.
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """How the requests under one prefix of one host are handled."""

    #: The route's name, unique in its configuration.
    name: str
    #: The host it belongs to, in lower case and without a port.
    host: str
    #: Begins and ends with a slash.
    prefix: str
    #: Whether its requests may be retried.
    kind: RouteKind
    #: The longest time that a client waits for a response.
    timeout_s: float
    #: Latency objective: a later response is worth less to the client.
    objective_s: float
    #: 0 is the most urgent.
    priority: int
    #: The largest number of upstreams that one client attempt is sent to.
    max_attempts: int
    #: The services that take its requests; never empty.
    parts: Sequence[WeightedService]
    #: Whether its requests need no API key.
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable upstreams."""

    #: The service's name.
    name: str
    #: The path of its health check.
    health_path: str
    #: Connections that one upstream accepts from all senders together.
    max_connections: int


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size and duration of clients' requests."""

    #: The largest size of a request's head.
    header_bytes: int = 16_384
    #: The largest size of a request's body.
    body_bytes: int = 64 * 1024 * 1024
    #: The longest time between a request's first byte and the end of its head.
    header_timeout_s: float = 3.0
    #: The longest time that a connection may be idle between requests.
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """A complete version of the configuration."""

    #: Increases with each version, not always by one.
    version: int
    #: All routes.
    routes: Sequence[Route]
    #: All services by name.
    services: Mapping[str, Service]
    #: The limits for clients.
    limits: ClientLimits
    #: All client accounts; None where requests need no API key.
    accounts: Sequence[ClientAccount] | None = None
