"""Detects whether a service refuses, or is full."""

from egretrail.overload._capacity import Capacity
from egretrail.overload._fleet_totals import ServiceDemand
from egretrail.overload._policy import ServiceState

#: A service sheds from this share of refused attempts on, and until it falls below the other one.
#: At 300 attempts a second the share varies by 0.02 from one second to the next.
_SHEDDING_FROM = 0.2
_SHEDDING_UNTIL = 0.15
#: Refusals are over when they fall below this share of recent requests, if there are this many. The
#: share of a whole second shows it half a second later.
_SHED_END_SHARE = 0.15
_RECENT_MIN_PER_S = 100.0
#: With fewer refusals in a second nothing is concluded: an upstream that restarts refuses a few.
_SHED_MIN = 3
#: What is known of other instances is this old on average. Meanwhile the queue grows by
#: what is offered beyond the capacity, which in a burst of 2.5 times the load is half of the slots.
_VIEW_AGE_S = 0.25
#: Slots are free while less than this share of them is taken. Requests in flight are known as of
#: some tenths of a second ago.
_FREE_SHARE = 0.9
#: Slots of which less than this share is taken are free whatever the demand seemed to be.
_IDLE_SHARE = 0.7
#: A queue below this share of its target, with less demand than capacity, is that of a service with
#: enough capacity.
_QUEUE_END_SHARE = 0.25
#: Part of the capacity below which demand no longer needs to be limited.
_DEMAND_END_SHARE = 0.95
#: Attempts that were refused in this time after a service was full were refused for want of slots.
_AFTER_FULL_S = 1.0


class StateDetector:
    """The state of one service, with hysteresis.

    Made for upstreams that refuse half of what they get, and for bursts of 2.5 times the load; an
    instance that took failing or slow upstreams for either would refuse what can be served. Each
    state ends at a lower threshold than it starts, since reports are old by more than the counts
    need to cross one threshold back and forth.
    """

    def __init__(self) -> None:
        self._state = ServiceState.NORMAL
        self._full_until_s = float("-inf")

    def update(
        self,
        capacity: Capacity,
        demand: ServiceDemand,
        retries_per_s: float,
        now_s: float,
        *,
        margin: float = 0.0,
    ) -> ServiceState:
        """Return the state.

        ``retries_per_s`` is how many retries the budget allows. A full service has more requests in
        flight than the target by the ``margin``.
        """
        if self._is_full(capacity, demand, margin):
            self._state = ServiceState.FULL
            self._full_until_s = now_s
        elif self._is_shedding(capacity, demand, retries_per_s, now_s):
            self._state = ServiceState.SHEDDING
        else:
            self._state = ServiceState.NORMAL
        return self._state

    def _is_full(self, capacity: Capacity, demand: ServiceDemand, margin: float) -> bool:
        if capacity.slots <= 0:
            return False
        was_full = self._state is ServiceState.FULL
        offered_per_s = sum(demand.offered_per_s.values())
        expected = capacity.in_flight
        if capacity.in_flight >= capacity.slots and not was_full:
            expected += max(offered_per_s - capacity.per_s, 0.0) * _VIEW_AGE_S
        if expected > capacity.target_in_flight + margin:
            return True
        if not was_full or capacity.in_flight < _IDLE_SHARE * capacity.slots:
            return False
        if capacity.in_flight < _FREE_SHARE * capacity.slots:
            return offered_per_s > capacity.per_s
        queue_end = _QUEUE_END_SHARE * (capacity.target_in_flight - capacity.slots)
        if capacity.in_flight < capacity.slots + queue_end:
            return offered_per_s > _DEMAND_END_SHARE * capacity.per_s
        return True

    def _is_shedding(
        self, capacity: Capacity, demand: ServiceDemand, retries_per_s: float, now_s: float
    ) -> bool:
        was_shedding = self._state is ServiceState.SHEDDING
        free_share = 1.0 if was_shedding else _FREE_SHARE
        if capacity.in_flight >= free_share * capacity.slots:
            return False
        if now_s - self._full_until_s < _AFTER_FULL_S:
            return False
        offered_per_s = sum(demand.offered_per_s.values())
        shed_per_s = sum(demand.shed_per_s.values())
        if offered_per_s >= _RECENT_MIN_PER_S and shed_per_s < _SHED_END_SHARE * offered_per_s:
            return False
        total = demand.total
        if total.shed < _SHED_MIN:
            return False
        attempts = total.offered - total.refused + min(total.retries_wanted, retries_per_s)
        # The counts end before now; meanwhile recent refusals went on.
        shed = total.shed + (shed_per_s - total.shed) * _VIEW_AGE_S
        return shed >= (_SHEDDING_UNTIL if was_shedding else _SHEDDING_FROM) * attempts
