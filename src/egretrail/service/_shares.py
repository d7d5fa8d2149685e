"""How the members of a group divide the upstreams' slots without asking each other first."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from egretrail.identity import UpstreamName


@dataclass(frozen=True, slots=True)
class GroupPosition:
    """Which part of the slots is this member's own; alike at every member of the group."""

    #: Its place among the group's members, ordered by name.
    index: int = 0
    #: How many members serve the service.
    size: int = 1


def home_slots(upstream: UpstreamName, slots: int, position: GroupPosition) -> int:
    """Return how many of an upstream's slots are this member's own.

    Load: a group that fills all slots. Harm prevented: members that choose the least loaded
    upstream independently meet at some upstreams and leave slots of others idle, about a sixth of
    all slots at 4 slots an upstream. Own slots add up to the slots, without any message. Slots
    beyond an equal part go to other members for each upstream, so that no member gets them all.
    """
    equal, left = divmod(slots, position.size)
    offset = xxhash.xxh32_intdigest(upstream.encode()) % position.size
    return equal + ((position.index + offset) % position.size < left)


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
