"""The service's own latency distribution, for each kind of request.

A ring of recent logarithms and its quartiles, instead of a histogram over all time: it follows a
service whose latency changes, costs one sort of 128 numbers for 32 answers, and holds 1 KB a kind.
"""

import math
from collections import OrderedDict

#: Answers remembered for a kind.
_REMEMBERED = 128

#: Quartiles are computed anew after so many answers.
_REFRESH_EVERY = 32

#: Fewer answers make no distribution.
_FEWEST = 16

#: Kinds told apart; the least recently used is forgotten. Routes name a handful of kinds.
_KINDS = 32

#: Added to every latency: below it, differences are the network's and the scheduler's.
_NOISE_S = 0.002

#: Logarithms of latency ratios are clipped here (about 3 times faster, 9 times slower), which
#: bounds what one answer from the heavy tail can do.
SLOWNESS_LEAST = -1.1
SLOWNESS_MOST = 2.2

#: Interquartile range of a normal distribution, in standard deviations.
_IQR_PER_DEVIATION = 1.349


class _Kind:
    """Recent latencies of one kind of request."""

    __slots__ = ("_next", "_ring", "_since_refresh", "median", "spread")

    def __init__(self) -> None:
        self._ring: list[float] = []
        self._next = 0
        self._since_refresh = 0
        self.median: float | None = None
        self.spread = 1.0

    def add(self, log_latency: float) -> None:
        if len(self._ring) < _REMEMBERED:
            self._ring.append(log_latency)
        else:
            self._ring[self._next] = log_latency
            self._next = (self._next + 1) % _REMEMBERED
        self._since_refresh += 1
        due = _REFRESH_EVERY if self.median is not None else _FEWEST
        if self._since_refresh >= due:
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        ordered = sorted(self._ring)
        quarter = len(ordered) // 4
        self.median = ordered[len(ordered) // 2]
        self.spread = (ordered[-1 - quarter] - ordered[quarter]) / _IQR_PER_DEVIATION


class LatencyReference:
    """Turns a latency into its logarithm relative to the median of its kind."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _Kind] = OrderedDict()
        #: Typical spread of log latencies over the kinds seen lately.
        self.spread = 1.0

    def slowness(self, kind: str, latency_s: float) -> float | None:
        """Return the clipped log ratio to the kind's median; None while little is known."""
        known = self._kinds.get(kind)
        if known is None or known.median is None:
            return None
        ratio = math.log(latency_s + _NOISE_S) - known.median
        return min(SLOWNESS_MOST, max(SLOWNESS_LEAST, ratio))

    def add(self, kind: str, latency_s: float) -> None:
        """Let a good answer shape the kind's distribution."""
        known = self._kinds.get(kind)
        if known is None:
            known = self._kinds[kind] = _Kind()
            if len(self._kinds) > _KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        known.add(math.log(latency_s + _NOISE_S))
        if known.median is not None:
            self.spread += 0.02 * (known.spread - self.spread)
