"""Spreads the return of refused clients over the time in which there is capacity for them."""

import random
from collections.abc import Mapping

from egretrail.overload._capacity import Capacity

#: Bounds of Retry-After.
_RETRY_MIN_S = 0.05
_RETRY_MAX_S = 2.0
#: Longest random part while upstreams refuse with free slots.
_SHEDDING_SPREAD_S = 0.1
#: Part of the free capacity that the schedule brings back. Clients may come back at 1.2 times it at
#: any moment; the difference covers that instances draw times independently.
_RETURN_SHARE = 0.9
#: A client that would come back later than after this share of what it has left is not in time.
_REMAINING_SHARE = 1.0 / 3.0


def clamp_retry_after(wait_s: float) -> float:
    """Return a time within the bounds of Retry-After."""
    return min(max(wait_s, _RETRY_MIN_S), _RETRY_MAX_S)


def latest_return_s(objective_s: float, remaining_s: float) -> float:
    """Return the latest time at which a client may return and still be served in time."""
    return min(remaining_s * _REMAINING_SHARE, objective_s, _RETRY_MAX_S)


class ReturnSchedule:
    """When refused clients of one service may return.

    Made for bursts in which half of the requests are refused: told the same time, clients come back
    together and fill the service again. Each instance brings back its part of the capacity that
    more urgent requests leave, one client after the other, so all instances together bring back no
    more than that at any moment, whatever they know of each other's refusals.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        #: When the next client may return, by priority.
        self._next_s: dict[int, float] = {}

    def while_shedding_s(self) -> float:
        """Return a short time, since there is capacity at once."""
        return _RETRY_MIN_S + self._rng.random() * _SHEDDING_SPREAD_S

    def while_full_s(
        self,
        priority: int,
        capacity: Capacity,
        offered_per_s: Mapping[int, float],
        own_part: float,
        latest_s: float,
        now_s: float,
    ) -> float | None:
        """Return after what time a client may return; None if that is after ``latest_s``.

        ``offered_per_s`` are the rates by priority, and ``own_part`` is the part of the capacity
        that this instance may bring clients back to.
        """
        more_urgent_per_s = sum(per_s for other, per_s in offered_per_s.items() if other < priority)
        free_per_s = (capacity.per_s - more_urgent_per_s) * _RETURN_SHARE * own_part
        if free_per_s <= 0:
            return None
        interval_s = 1.0 / free_per_s
        excess = max(capacity.in_flight - capacity.target_in_flight, 0.0)
        first_s = now_s + _RETRY_MIN_S + excess / capacity.per_s
        next_s = self._next_s.get(priority, float("-inf"))
        if next_s < first_s:
            # All instances begin to refuse at the same time.
            next_s = first_s + self._rng.random() * interval_s
        if next_s - now_s > latest_s:
            return None
        self._next_s[priority] = next_s + interval_s
        return next_s - now_s
