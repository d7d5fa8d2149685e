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
#: Consecutive multiples of the golden ratio fill an interval evenly, whatever their number.
_GOLDEN_RATIO = 0.6180339887498949


def clamp_retry_after(wait_s: float) -> float:
    """Return a time within the bounds of Retry-After."""
    return min(max(wait_s, _RETRY_MIN_S), _RETRY_MAX_S)


class ReturnSchedule:
    """When refused clients may return.

    Made for bursts in which half of the requests are refused: told the same time, they come back
    together and fill the service again. The requests that were refused in the last second return
    one priority after the other, each at the rate of the capacity that more urgent requests leave.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._position = rng.random()

    def while_shedding_s(self) -> float:
        """Return a short time, since there is capacity at once."""
        return _RETRY_MIN_S + self._rng.random() * _SHEDDING_SPREAD_S

    def while_full_s(
        self,
        priority: int,
        capacity: Capacity,
        offered_per_s: Mapping[int, float],
        refused: Mapping[int, int],
    ) -> float:
        """Return a time for one of the refused; it may be infinite.

        ``offered_per_s`` and ``refused`` are the rates and the last second's refusals by priority.
        """
        more_urgent_per_s = sum(per_s for other, per_s in offered_per_s.items() if other < priority)
        free_per_s = (capacity.per_s - more_urgent_per_s) * _RETURN_SHARE
        if free_per_s <= 0:
            return float("inf")
        before = sum(count for other, count in refused.items() if other < priority)
        # The refusal at hand may not be reported yet.
        same = max(refused.get(priority, 0), 1)
        self._position = (self._position + _GOLDEN_RATIO) % 1.0
        excess = max(capacity.in_flight - capacity.target_in_flight, 0.0)
        start_s = _RETRY_MIN_S + excess / max(capacity.per_s, 1e-9)
        return start_s + (before + self._position * same) / free_per_s


def is_in_time(wait_s: float, objective_s: float, remaining_s: float) -> bool:
    """Return whether a client that returns after a time can be served in time."""
    return wait_s <= min(remaining_s * _REMAINING_SHARE, objective_s, _RETRY_MAX_S)
