"""How the members of a group divide an upstream's slots without asking each other first."""

from collections.abc import Sequence


def fair_share(capacity: float, own_demand: float, peer_demands: Sequence[float]) -> float:
    """Return this member's part of the capacity, the max-min fair share for the demands.

    Load: members whose callers are unlike in number, before upstreams that all of them fill.
    Harm prevented: the member that hears of a free slot first, because its own request ended,
    takes it again and again, and the callers of the other members starve. Every member computes
    the same division from the same reports, so no slot has to be asked for; what a member does
    not need is divided between the others. A member never gets less than capacity / members.
    """
    left = capacity
    remaining = len(peer_demands) + 1
    for demand in sorted(peer_demands):
        part = left / remaining
        if demand >= part:
            break
        left -= demand
        remaining -= 1
    return left / remaining
