"""Division of the upstreams' slots among the members of a group without coordination."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from egretrail.identity import UpstreamName


@dataclass(frozen=True, slots=True)
class GroupPosition:
    """Position of this member in its group; every member derives the same positions."""

    #: Index of this member among the members of the group, ordered by name.
    index: int = 0
    #: Number of members that serve the service.
    size: int = 1


def assigned_slots(upstream: UpstreamName, slots: int, position: GroupPosition) -> int:
    """Return how many slots of an upstream are assigned to this member.

    Members that select the least loaded upstream independently would collide at some upstreams and
    leave slots of others idle: about a sixth of all slots at 4 slots per upstream. The members'
    own slots add up to all slots of the upstream without any message. The slots that remain after
    an equal division go to different members for each upstream, so no member gets all of them.
    """
    equal, left = divmod(slots, position.size)
    offset = xxhash.xxh32_intdigest(upstream.encode()) % position.size
    return equal + ((position.index + offset) % position.size < left)


def fair_share(capacity: float, own_demand: float, peer_demands: Sequence[float]) -> float:
    """Return this member's max-min fair share of the capacity for the given demands.

    When the members have different numbers of clients and together saturate the upstreams, the
    member whose own request ends is the first to see the free slot. Without a limit it would
    reuse the slot again and again, and the clients of the other members would starve. Every member
    computes the same division from the same reports, so no slot has to be requested. Capacity that
    one member does not need is divided among the others. A member never gets less than
    capacity / members.
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
