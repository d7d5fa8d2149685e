"""What a gateway instance serves: routes, services, limits for clients, and upstreams."""

from egretrail.traffic._config import (
    ClientLimits,
    FleetConfig,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from egretrail.traffic._routing import RouteTable, choose_service
from egretrail.traffic._upstreams import (
    UpstreamRecord,
    UpstreamState,
    UpstreamTable,
    upstream_key,
)

__all__ = [
    "ClientLimits",
    "FleetConfig",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "UpstreamRecord",
    "UpstreamState",
    "UpstreamTable",
    "WeightedService",
    "choose_service",
    "upstream_key",
]
