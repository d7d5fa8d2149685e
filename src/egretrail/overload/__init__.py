"""Overload control: who gets the room of a service that is offered more than it can take.

No module of this package performs I/O; the time is an argument.
"""

from egretrail.overload._demand import (
    DEMAND_WINDOW_S,
    AccountDemandKey,
    DemandKey,
    DemandReport,
    DemandRow,
    account_demand_key,
    service_key,
)
from egretrail.overload._fleet_policy import FleetOverloadPolicy
from egretrail.overload._policy import (
    Arrival,
    NoOverloadPolicy,
    OverloadPolicy,
    Rejection,
    ServiceRoom,
    ServiceSnapshot,
    ServiceState,
    ServiceTerms,
)
from egretrail.overload._terms import service_terms

__all__ = [
    "DEMAND_WINDOW_S",
    "AccountDemandKey",
    "Arrival",
    "DemandKey",
    "DemandReport",
    "DemandRow",
    "FleetOverloadPolicy",
    "NoOverloadPolicy",
    "OverloadPolicy",
    "Rejection",
    "ServiceRoom",
    "ServiceSnapshot",
    "ServiceState",
    "ServiceTerms",
    "account_demand_key",
    "service_key",
    "service_terms",
]
