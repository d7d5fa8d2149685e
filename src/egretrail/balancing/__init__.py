"""Balancing: which slots an instance prefers, and how much goes to other availability zones.

No module of this package performs I/O; the time is an argument.
"""

from egretrail.balancing._interfaces import SlotAssignment, SlotOwner, ZoneBalancer, ZoneLoad

__all__ = ["SlotAssignment", "SlotOwner", "ZoneBalancer", "ZoneLoad"]
