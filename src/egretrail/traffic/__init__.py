"""What a gateway instance serves: routes, services, limits for clients, and upstreams."""

from egretrail.traffic._accounts import AccountTable, ClientAccount, key_digest
from egretrail.traffic._config import (
    ClientLimits,
    FleetConfig,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from egretrail.traffic._objectives import ObjectiveTable, request_priority
from egretrail.traffic._revision import revision_era, revision_number, store_revision
from egretrail.traffic._routing import RouteTable, choose_service
from egretrail.traffic._slot_bounds import SLOTS_MULTIPLE, slot_bound
from egretrail.traffic._upstreams import (
    REFUTED_JUMP,
    UpstreamRecord,
    UpstreamState,
    UpstreamTable,
    upstream_key,
)

__all__ = [
    "REFUTED_JUMP",
    "SLOTS_MULTIPLE",
    "AccountTable",
    "ClientAccount",
    "ClientLimits",
    "FleetConfig",
    "ObjectiveTable",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "UpstreamRecord",
    "UpstreamState",
    "UpstreamTable",
    "WeightedService",
    "choose_service",
    "key_digest",
    "request_priority",
    "revision_era",
    "revision_number",
    "slot_bound",
    "store_revision",
    "upstream_key",
]
