"""Names and value types that all other packages share."""

from egretrail.identity._names import (
    AvailabilityZone,
    CallerId,
    Incarnation,
    InstanceName,
    RouteName,
    ServiceName,
    TeamName,
    UpstreamName,
)
from egretrail.identity._rendezvous import rendezvous_order, rendezvous_score

__all__ = [
    "AvailabilityZone",
    "CallerId",
    "Incarnation",
    "InstanceName",
    "RouteName",
    "ServiceName",
    "TeamName",
    "UpstreamName",
    "rendezvous_order",
    "rendezvous_score",
]
