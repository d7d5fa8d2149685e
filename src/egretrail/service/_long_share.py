"""The share of slots that long requests may occupy."""

import math

#: Time constant of the average demand of short requests: the duration of a few long requests.
_AVERAGING_TIME_S = 3.0
#: Slots reserved for short requests above their average demand, in standard deviations.
_RESERVED_DEVIATIONS = 1.5
#: Long requests may always occupy a quarter of the slots and never more than nine tenths, so that
#: neither kind starves while the other is busy.
_MIN_SHARE = 0.25
_MAX_SHARE = 0.9


class LongRequestShare:
    """Reserves for short requests the slots that they typically use.

    In a mix of a few requests that take seconds and many that take milliseconds, the long ones
    could fill all slots at a moment of low load. The short ones that follow would miss their
    deadlines, because a slot occupied by a long request stays occupied for a long time.
    """

    def __init__(self) -> None:
        self._short = 0.0
        self._at_s = 0.0

    def record_short_demand(self, short_demand: float, now_s: float) -> None:
        """Record how many short requests run or wait now."""
        kept = math.exp((self._at_s - now_s) / _AVERAGING_TIME_S)
        self._short = kept * self._short + (1.0 - kept) * short_demand
        self._at_s = now_s

    def share(self, concurrency: float) -> float:
        """Return the share of the concurrency that long requests may occupy."""
        kept = self._short + _RESERVED_DEVIATIONS * math.sqrt(self._short)
        left = 1.0 - kept / max(1.0, concurrency)
        return min(_MAX_SHARE, max(_MIN_SHARE, left))
