"""Draws shares of requests with a credit, so that the shares of few requests are exact."""

import random
from collections.abc import Hashable

#: Credits that are kept; more are dropped all at once. Each is a hundred bytes.
_CREDITS_MAX = 2000


class ShareCredits:
    """Admits a share of the requests of each kind.

    An instance sees few requests of each kind, and a random number for each request would admit
    none of them for seconds, or all. Each kind starts at a random credit: at 0, all instances would
    refuse the first requests of every account.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[Hashable, float] = {}

    def draws(self, kind: Hashable, share: float) -> bool:
        """Return whether the next request is within the share."""
        if share >= 1.0:
            return True
        credit = self._credits.get(kind)
        if credit is None:
            if len(self._credits) >= _CREDITS_MAX:
                self._credits.clear()
            credit = self._rng.random()
        credit += max(share, 0.0)
        self._credits[kind] = credit - 1.0 if credit >= 1.0 else credit
        return credit >= 1.0

    def clear(self) -> None:
        """Forget all credits."""
        self._credits.clear()
