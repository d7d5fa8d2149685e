"""The fleet's own instances: who is there, who serves which service."""

from egretrail.fleet._view import FleetView, Member, MemberState

__all__ = ["FleetView", "Member", "MemberState"]
