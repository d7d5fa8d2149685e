"""Sends requests to other zones in proportion to what their own zone cannot serve."""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.balancing._interfaces import ZoneBalancer
from egretrail.traffic import UpstreamRecord

#: Multiple of a zone's slots in service that its own requests fill before any are sent elsewhere.
#: With 1.0, demand that is high by chance for a moment sends a sixth more to other zones.
_FULL_SHARE = 1.1
#: How often the demand is read anew; reports arrive ten times a second.
_INTERVAL_S = 0.1
#: Time constant of the smoothed demand.
_SMOOTHING_S = 0.3


@dataclass(slots=True)
class _ServiceFlow:
    """The flow of one service's requests from this instance."""

    #: When the flow was last computed.
    at_s: float = float("-inf")
    #: Requests in flight by the zone of their clients, smoothed.
    demand: dict[str, float] = field(default_factory=dict)
    #: The share of requests that goes to each other zone.
    shares: dict[str, float] = field(default_factory=dict)
    #: The part of a request that each other zone is owed.
    credits: dict[str, float] = field(default_factory=dict)


class DemandBalancer(ZoneBalancer):
    """Evens out the waits of zones from their demand and capacity.

    Made for zones whose demand swings by half with phases apart, so that one is full while another
    has free slots. An instance that went to another zone whenever it saw a free slot there would
    do so together with all others of its zone, on reports that are up to 0.3 s old: the slots would
    be taken several times, and the flow would swing back and forth.

    The demand of a zone is the number of requests of its clients that are in flight, wherever they
    were sent. It does not depend on the flow between zones, so the flow cannot oscillate. Each
    zone gives away what exceeds its capacity, to the others in proportion to what they have left.
    If all together are full, each keeps the same multiple of its capacity.
    """

    def __init__(
        self,
        own_zone: str,
        in_flight_by_zone: Callable[[Iterable[str]], Mapping[str, int]],
        is_in_service: Callable[[str, float], bool],
        rng: random.Random,
    ) -> None:
        """Start without known demand.

        ``in_flight_by_zone`` counts the requests at some upstreams by the zone of the instances
        that sent them; zones that do not report are missing.
        """
        self._own_zone = own_zone
        self._in_flight_by_zone = in_flight_by_zone
        self._is_in_service = is_in_service
        self._rng = rng
        self._flows: dict[str, _ServiceFlow] = {}

    def choose_zone(self, service: str, upstreams: Sequence[UpstreamRecord], now_s: float) -> str:
        """Return the zone for the next request; ``upstreams`` are those that accept it."""
        flow = self._flows.get(service)
        if flow is None:
            flow = self._flows[service] = _ServiceFlow()
        if now_s - flow.at_s >= _INTERVAL_S:
            self._update(flow, upstreams, now_s)
        chosen, most = self._own_zone, 1.0
        for zone, share in flow.shares.items():
            # Instances begin at random places, or the first requests of all would go to one zone.
            credit = flow.credits.get(zone, self._rng.random()) + share
            flow.credits[zone] = credit
            if credit >= most:
                chosen, most = zone, credit
        if chosen != self._own_zone:
            flow.credits[chosen] -= 1.0
        return chosen

    def _update(
        self, flow: _ServiceFlow, upstreams: Sequence[UpstreamRecord], now_s: float
    ) -> None:
        demand = self._in_flight_by_zone([record.id for record in upstreams])
        # Nothing is sent to a zone because it reports nothing.
        slots = dict.fromkeys(demand, 0)
        for record in upstreams:
            zone = record.availability_zone
            if zone in slots and self._is_in_service(record.id, now_s):
                slots[zone] += record.slots
        weight = min((now_s - flow.at_s) / _SMOOTHING_S, 1.0)
        flow.at_s = now_s
        flow.demand = {
            zone: (known := flow.demand.get(zone, 0.0)) + weight * (count - known)
            for zone, count in demand.items()
        }
        flow.shares = flow_shares(self._own_zone, flow.demand, slots)


def flow_shares(
    own_zone: str, demand: Mapping[str, float], slots: Mapping[str, int]
) -> dict[str, float]:
    """Return the share of a zone's requests that goes to each other zone to even out the waits."""
    total_slots = sum(slots.values())
    own_demand = demand.get(own_zone, 0.0)
    if not total_slots or own_demand <= 0.0:
        return {}
    level = max(sum(demand.get(zone, 0.0) for zone in slots) / total_slots, _FULL_SHARE)
    excess = own_demand - level * slots.get(own_zone, 0)
    if excess <= 0.0:
        return {}
    spare = {
        zone: free
        for zone, count in slots.items()
        if zone != own_zone and (free := level * count - demand.get(zone, 0.0)) > 0.0
    }
    total_spare = sum(spare.values())
    if not total_spare:
        return {}
    given = min(excess, total_spare) / own_demand
    return {zone: given * free / total_spare for zone, free in spare.items()}
