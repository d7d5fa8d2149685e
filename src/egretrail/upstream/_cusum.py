"""Sequential change detection: cumulative sums (CUSUM) of log likelihood ratios, never below zero.

A window shows a change only after it has filled with attempts since the change. A CUSUM accumulates
evidence from the change on. Each member sums over its own attempts; the group's score is the sum
over its members.
"""

import math
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._score import OTHERS_PER_OUTLIER

#: The failure shares that the two failure tests are designed to detect: about a third, and a tenth.
_FREQUENT_SHARE = 0.3
_RARE_SHARE = 0.1

#: The mean log latency above the tolerated one that the slowness test is designed to detect.
_SLOWER_LOG = 0.8

#: Variance factor: latencies of consecutive responses are correlated, so that they carry less
#: information than independent ones.
_CORRELATION = 1.5

#: Time constant of the exponential decay of the sums: failures that are minutes apart are not
#: evidence of one fault.
_DECAY_S = 60.0

#: Upper limit of a sum. The ejection score is far below; without a limit a recovery would take too
#: long to show.
_MAX_SCORE = 40.0


@dataclass(frozen=True, slots=True)
class CusumScores:
    """The sums of the three sequential tests; scores of several members may be added."""

    #: For an upstream that fails about a third of its requests.
    frequent: float = 0.0
    #: For an upstream that fails about a tenth of its requests.
    rare: float = 0.0
    #: For an upstream that responds slowly.
    slow: float = 0.0

    def __add__(self, other: "CusumScores") -> "CusumScores":
        return CusumScores(
            self.frequent + other.frequent, self.rare + other.rare, self.slow + other.slow
        )

    def __sub__(self, other: "CusumScores") -> "CusumScores":
        return CusumScores(
            self.frequent - other.frequent, self.rare - other.rare, self.slow - other.slow
        )

    def after(self, elapsed_s: float) -> "CusumScores":
        """Return the scores decayed by an elapsed time."""
        kept = math.exp(-max(0.0, elapsed_s) / _DECAY_S)
        return CusumScores(self.frequent * kept, self.rare * kept, self.slow * kept)

    def times(self, factor: float) -> "CusumScores":
        """Return the scores multiplied by a factor."""
        return CusumScores(self.frequent * factor, self.rare * factor, self.slow * factor)


NO_CUSUM = CusumScores()


class CusumComparison:
    """The group's scores of all upstreams of a service, to compare each with the others."""

    def __init__(self) -> None:
        self._cusum: dict[UpstreamName, CusumScores] = {}

    def add(self, name: UpstreamName, cusum: CusumScores) -> None:
        """Add an upstream's scores."""
        self._cusum[name] = cusum

    def others(self, name: UpstreamName) -> CusumScores:
        """Return the mean scores of the other upstreams, without the highest ones."""
        others = [cusum for other, cusum in self._cusum.items() if other != name]
        kept = len(others) - len(others) // OTHERS_PER_OUTLIER
        if not kept:
            return NO_CUSUM
        return CusumScores(
            sum(sorted(cusum.frequent for cusum in others)[:kept]) / kept,
            sum(sorted(cusum.rare for cusum in others)[:kept]) / kept,
            sum(sorted(cusum.slow for cusum in others)[:kept]) / kept,
        )


class SequentialTests:
    """One member's sequential tests on one upstream."""

    __slots__ = ("_at_s", "_cusum")

    def __init__(self, now_s: float) -> None:
        self._at_s = now_s
        self._cusum = NO_CUSUM

    def cusum(self, now_s: float) -> CusumScores:
        """Return the scores, decayed until now."""
        return self._cusum.after(now_s - self._at_s)

    @property
    def highest(self) -> float:
        """Return the highest score as of the last attempt, without decay since then."""
        return max(self._cusum.frequent, self._cusum.rare, self._cusum.slow)

    def add_outcome(self, failed: float, expected_share: float, now_s: float) -> None:
        """Add an attempt's outcome; ``failed`` is the failure's weight, 0 for a success."""
        held = self.cusum(now_s)
        self._at_s = now_s
        self._cusum = CusumScores(
            _step(held.frequent, _outcome_ratio(failed, expected_share, _FREQUENT_SHARE)),
            _step(held.rare, _outcome_ratio(failed, expected_share, _RARE_SHARE)),
            held.slow,
        )

    def add_slowness(self, excess_log: float, spread: float, now_s: float) -> None:
        """Add a response whose log latency exceeds the tolerated one by ``excess_log``."""
        held = self.cusum(now_s)
        self._at_s = now_s
        slow = _step(held.slow, slowness_ratio(excess_log, spread))
        self._cusum = CusumScores(held.frequent, held.rare, slow)

    def retract_failure(self) -> None:
        """Subtract the most that one failure may have added."""
        held = self._cusum
        added = -math.log(0.01)
        self._cusum = CusumScores(
            max(0.0, held.frequent - added), max(0.0, held.rare - added), held.slow
        )


def slowness_ratio(excess_log: float, spread: float) -> float:
    """Return the log likelihood ratio of one response's latency above the tolerated one."""
    variance = _CORRELATION * spread * spread
    return _SLOWER_LOG / variance * (excess_log - _SLOWER_LOG / 2.0)


def _outcome_ratio(failed: float, expected_share: float, sought_share: float) -> float:
    """Return the log likelihood ratio of one outcome.

    The ratio is 0 when failures are expected as often as the test looks for.
    """
    if expected_share >= sought_share:
        return 0.0
    if failed > 0.0:
        return failed * math.log(sought_share / expected_share)
    return math.log((1.0 - sought_share) / (1.0 - expected_share))


def _step(held: float, ratio: float) -> float:
    return min(_MAX_SCORE, max(0.0, held + ratio))
