"""How many slots long requests may hold."""

import math

#: Time over which the demand of short requests is averaged: a few long requests.
_AVERAGED_S = 3.0
#: Slots kept for short requests beyond their average, in standard deviations of what runs of them.
_SPREADS = 1.5
#: Long requests may always hold a quarter of the slots, and never more than nine tenths, so that
#: neither kind stops while the other is busy.
_LEAST_SHARE = 0.25
_MOST_SHARE = 0.9


class LongShare:
    """Keeps free for short requests what they usually use.

    Load: a few requests that take seconds among many that take milliseconds. Harm prevented: the
    long ones fill all slots in a quiet moment, and short ones miss their deadlines behind them,
    because a slot that a long request holds does not come back for long.
    """

    def __init__(self) -> None:
        self._short = 0.0
        self._at_s = 0.0

    def note(self, short_demand: float, now_s: float) -> None:
        """Take how many short requests run or wait now."""
        kept = math.exp((self._at_s - now_s) / _AVERAGED_S)
        self._short = kept * self._short + (1.0 - kept) * short_demand
        self._at_s = now_s

    def share(self, concurrency: float) -> float:
        """Return the share of the concurrency that long requests may hold."""
        kept = self._short + _SPREADS * math.sqrt(self._short)
        left = 1.0 - kept / max(1.0, concurrency)
        return min(_MOST_SHARE, max(_LEAST_SHARE, left))
