"""Sequential tests: sums of log likelihood ratios that restart at zero (CUSUM).

A window needs to fill with the changed behaviour before it shows; a sequential test counts from the
change on. Each member sums over its own attempts, and the group's evidence is the sum over members.
"""

import math
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._score import OTHERS_PER_OUTLIER

#: The shares of failures that the two tests on failures look for: a third, and a tenth.
_FREQUENT_SHARE = 0.3
_RARE_SHARE = 0.1

#: The mean log latency that the test on slowness looks for, above what is tolerated.
_SLOWER_LOG = 0.8

#: Latencies of consecutive answers are correlated: they carry less than independent ones.
_CORRELATION = 1.5

#: What was summed fades with this time: evidence minutes apart is no evidence of one fault.
_LIFE_S = 60.0

#: A sum is not followed beyond this: what convicts is far below, and recovery must show.
_MOST = 40.0


@dataclass(frozen=True, slots=True)
class Drifts:
    """The sums of the three sequential tests; the sum over members is meaningful."""

    #: For an upstream that fails about a third of its requests.
    frequent: float = 0.0
    #: For an upstream that fails about a tenth of its requests.
    rare: float = 0.0
    #: For an upstream that answers slowly.
    slow: float = 0.0

    def __add__(self, other: "Drifts") -> "Drifts":
        return Drifts(
            self.frequent + other.frequent, self.rare + other.rare, self.slow + other.slow
        )

    def __sub__(self, other: "Drifts") -> "Drifts":
        return Drifts(
            self.frequent - other.frequent, self.rare - other.rare, self.slow - other.slow
        )

    def after(self, elapsed_s: float) -> "Drifts":
        """Return what remains after a time."""
        kept = math.exp(-max(0.0, elapsed_s) / _LIFE_S)
        return Drifts(self.frequent * kept, self.rare * kept, self.slow * kept)

    def times(self, factor: float) -> "Drifts":
        """Return the sums scaled by a factor."""
        return Drifts(self.frequent * factor, self.rare * factor, self.slow * factor)


NO_DRIFT = Drifts()


class DriftComparison:
    """The group's sums for all upstreams of a service, to compare each with the others."""

    def __init__(self) -> None:
        self._drifts: dict[UpstreamName, Drifts] = {}

    def add(self, name: UpstreamName, drifts: Drifts) -> None:
        """Add an upstream's sums."""
        self._drifts[name] = drifts

    def others(self, name: UpstreamName) -> Drifts:
        """Return the mean of the others' sums, without the highest of them."""
        others = [drifts for other, drifts in self._drifts.items() if other != name]
        kept = len(others) - len(others) // OTHERS_PER_OUTLIER
        if not kept:
            return NO_DRIFT
        return Drifts(
            sum(sorted(drifts.frequent for drifts in others)[:kept]) / kept,
            sum(sorted(drifts.rare for drifts in others)[:kept]) / kept,
            sum(sorted(drifts.slow for drifts in others)[:kept]) / kept,
        )


class SequentialTests:
    """The sequential tests of one member on one upstream."""

    __slots__ = ("_at_s", "_drifts")

    def __init__(self, now_s: float) -> None:
        self._at_s = now_s
        self._drifts = NO_DRIFT

    def drifts(self, now_s: float) -> Drifts:
        """Return the sums as faded by now."""
        return self._drifts.after(now_s - self._at_s)

    @property
    def most(self) -> float:
        """Return the highest sum as it was after the last attempt."""
        return max(self._drifts.frequent, self._drifts.rare, self._drifts.slow)

    def add_outcome(self, failed: float, expected_share: float, now_s: float) -> None:
        """Count an attempt that failed with a weight (0: answered)."""
        held = self.drifts(now_s)
        self._at_s = now_s
        self._drifts = Drifts(
            _step(held.frequent, _outcome_ratio(failed, expected_share, _FREQUENT_SHARE)),
            _step(held.rare, _outcome_ratio(failed, expected_share, _RARE_SHARE)),
            held.slow,
        )

    def add_slowness(self, excess_log: float, spread: float, now_s: float) -> None:
        """Count an answer whose log latency exceeds the tolerated one by this much."""
        held = self.drifts(now_s)
        self._at_s = now_s
        slow = _step(held.slow, slowness_ratio(excess_log, spread))
        self._drifts = Drifts(held.frequent, held.rare, slow)

    def excuse(self) -> None:
        """Take back what one failure may have added."""
        held = self._drifts
        added = -math.log(0.01)
        self._drifts = Drifts(
            max(0.0, held.frequent - added), max(0.0, held.rare - added), held.slow
        )


def slowness_ratio(excess_log: float, spread: float) -> float:
    """Return the log likelihood ratio of one answer's latency above the tolerated one."""
    variance = _CORRELATION * spread * spread
    return _SLOWER_LOG / variance * (excess_log - _SLOWER_LOG / 2.0)


def _outcome_ratio(failed: float, expected_share: float, sought_share: float) -> float:
    """Return the log likelihood ratio of one attempt's outcome; 0 where nothing can be told."""
    if expected_share >= sought_share:
        return 0.0
    if failed > 0.0:
        return failed * math.log(sought_share / expected_share)
    return math.log((1.0 - sought_share) / (1.0 - expected_share))


def _step(held: float, ratio: float) -> float:
    return min(_MOST, max(0.0, held + ratio))
