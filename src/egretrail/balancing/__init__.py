"""Balancing: which slots an instance prefers, and how much goes to other availability zones.

No module of this package performs I/O; the time is an argument.
"""

from egretrail.balancing._demand_balancer import DemandBalancer, flow_shares
from egretrail.balancing._even_assignment import EvenSlotAssignment
from egretrail.balancing._interfaces import SlotAssignment, SlotOwner, ZoneBalancer
from egretrail.balancing._zone_shares import EvenSlotShares

__all__ = [
    "DemandBalancer",
    "EvenSlotAssignment",
    "EvenSlotShares",
    "SlotAssignment",
    "SlotOwner",
    "ZoneBalancer",
    "flow_shares",
]
