"""A service's latency distribution for each kind of request.

A ring buffer of recent log latencies with its quartiles is used instead of a histogram over all
time: it adapts when the service's latency changes. It costs one sort of 128 numbers for every 32
responses, and 1 KB of memory for each kind.
"""

import math
from collections import OrderedDict

#: Responses kept for each kind.
_CAPACITY = 128

#: Quartiles are recomputed after this many responses.
_REFRESH_EVERY = 32

#: The least number of responses from which quartiles are computed.
_MIN_ANSWERS = 16

#: Limit on the kinds kept; the least recently used one is evicted. Routes define only a few kinds.
_MAX_KINDS = 32

#: Added to every latency: smaller differences are noise of the network and the scheduler.
_NOISE_S = 0.002

#: Log latency ratios are clipped to this range (about 3 times faster, 9 times slower), which bounds
#: the influence of one response from the heavy tail.
MIN_SLOWNESS = -1.1
MAX_SLOWNESS = 2.2

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
        if len(self._ring) < _CAPACITY:
            self._ring.append(log_latency)
        else:
            self._ring[self._next] = log_latency
            self._next = (self._next + 1) % _CAPACITY
        self._since_refresh += 1
        due = _REFRESH_EVERY if self.median is not None else _MIN_ANSWERS
        if self._since_refresh >= due:
            self._refresh()

    def _refresh(self) -> None:
        self._since_refresh = 0
        ordered = sorted(self._ring)
        quarter = len(ordered) // 4
        self.median = ordered[len(ordered) // 2]
        self.spread = (ordered[-1 - quarter] - ordered[quarter]) / _IQR_PER_DEVIATION


class LatencyReference:
    """Converts a latency into its log ratio to the median of its kind."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _Kind] = OrderedDict()
        #: Typical standard deviation of log latencies, averaged over recent kinds.
        self.spread = 1.0

    def slowness(self, kind: str, latency_s: float) -> float | None:
        """Return the clipped log ratio to the kind's median; None while the median is unknown."""
        known = self._kinds.get(kind)
        if known is None or known.median is None:
            return None
        ratio = math.log(latency_s + _NOISE_S) - known.median
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))

    def add(self, kind: str, latency_s: float) -> None:
        """Add a successful response's latency to its kind's distribution."""
        known = self._kinds.get(kind)
        if known is None:
            known = self._kinds[kind] = _Kind()
            if len(self._kinds) > _MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        known.add(math.log(latency_s + _NOISE_S))
        if known.median is not None:
            self.spread += 0.02 * (known.spread - self.spread)
