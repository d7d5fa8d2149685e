"""Scores of an upstream's window counts against those of the service's other upstreams."""

import math
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._latency import MIN_SLOWNESS
from egretrail.upstream._window import NOTHING, Counts

#: A healthy upstream may fail one request in a hundred without being compared. With a lower limit,
#: two chance failures would be an outlier against others without failures.
TOLERATED_FAILURE_SHARE = 0.01

#: An upstream must fail at this multiple of the others' share. Under a common overload the failure
#: shares of upstreams differ by chance and by placement.
_FAILURE_MARGIN = 1.5

#: One of this many others, the worst first, is excluded from the comparison, so that a second or
#: third bad upstream does not hide the first.
OTHERS_PER_OUTLIER = 4

#: Variance factor: latencies of consecutive responses are correlated (they wait in the same queue),
#: so that they carry less information than independent ones.
_CORRELATION = 1.5

#: The least number of timed responses from which slowness is scored.
_MIN_TIMED = 4.0

#: The least number of failures that is an outlier; a single failure never ejects.
_MIN_FAILURES = 1.2

#: The least number of attempts at the other upstreams that allows a comparison.
_MIN_OTHERS = 2.0

#: The others' mean log latency ratio is rarely lower than the negative of this.
_OTHERS_FASTER_LOG = 0.3

#: Lower limit on the standard deviation of log latencies.
MIN_SPREAD = 0.35


@dataclass(frozen=True, slots=True)
class Baseline:
    """The behaviour of the service's other upstreams in the same window."""

    #: Sum of the other upstreams' counts, without the worst of them.
    others: Counts
    #: From this member's latest attempts at the others: the failure share and the log latency ratio
    #: that would be no outlier.
    latest_failure_share: float = 0.0
    latest_slowness: float = MIN_SLOWNESS

    @property
    def usable(self) -> bool:
        """Return whether there are enough attempts to compare with."""
        return self.others.attempts >= _MIN_OTHERS

    @property
    def failure_share(self) -> float:
        """Return the failure share that would be no outlier now."""
        attempts = self.others.attempts + 1.0
        share = min(1.0, max(0.0, self.others.failures / attempts))
        deviation = math.sqrt(share * (1.0 - share) / attempts)
        unremarkable = _FAILURE_MARGIN * share + 2.0 * deviation
        return min(0.99, max(TOLERATED_FAILURE_SHARE, unremarkable, self.latest_failure_share))


class Comparison:
    """The counts of all upstreams of a service in one window, to compare each with the others.

    The others with the highest failure shares are excluded. Slowness needs no exclusion because the
    logarithms are clipped before they are summed.
    """

    def __init__(self) -> None:
        self._counts: dict[UpstreamName, Counts] = {}
        self._total = NOTHING
        self._worst: list[UpstreamName] | None = None

    def add(self, name: UpstreamName, counts: Counts) -> None:
        """Add an upstream's counts."""
        self._counts[name] = counts
        self._total = self._total + counts

    def others(self, name: UpstreamName) -> Counts:
        """Return the sum of the other upstreams' counts, without the worst of them."""
        others = self._total - self._counts.get(name, NOTHING)
        for outlier in self._outliers(name):
            others = others - self._counts[outlier]
        return others

    def _outliers(self, name: UpstreamName) -> list[UpstreamName]:
        left_out = (len(self._counts) - 1) // OTHERS_PER_OUTLIER
        if self._worst is None:
            by_share = sorted(self._counts, key=lambda n: -self._counts[n].failure_share)
            self._worst = by_share[: left_out + 1]
        return [outlier for outlier in self._worst if outlier != name][:left_out]


def failures_stand_out(counts: Counts) -> bool:
    """Return whether there are more failures than a healthy upstream may have."""
    few = counts.failures < _MIN_FAILURES
    return not few and counts.failures > TOLERATED_FAILURE_SHARE * counts.attempts


def slowness_stands_out(counts: Counts, tolerated_log: float) -> bool:
    """Return whether responses are slow enough that a comparison is needed."""
    return counts.slowness > (tolerated_log - _OTHERS_FASTER_LOG) * counts.timed


def failure_score(counts: Counts, baseline: Baseline) -> float:
    """Return the log likelihood ratio of the observed failure share against the baseline's.

    This is the generalised likelihood ratio: the alternative hypothesis is the observed share. One
    number thus covers complete failures (few attempts suffice) and partial ones (many are needed).
    """
    if not baseline.usable or counts.attempts <= 0.0:
        return 0.0
    expected = baseline.failure_share
    share = min(1.0, counts.failure_share)
    if share <= expected:
        return 0.0
    divergence = share * math.log(share / expected)
    if share < 1.0:
        divergence += (1.0 - share) * math.log((1.0 - share) / (1.0 - expected))
    return counts.attempts * divergence


def slowness_score(
    counts: Counts, baseline: Baseline, tolerated_log: float, spread: float
) -> float:
    """Return the log likelihood ratio of the mean log latency against a tolerated slowness.

    The logarithms are clipped, so that one response from the heavy tail has a bounded influence.
    """
    others = baseline.others
    if counts.timed < _MIN_TIMED or others.timed < _MIN_OTHERS:
        return 0.0
    others_mean = max(others.mean_slowness, baseline.latest_slowness)
    excess = counts.mean_slowness - others_mean - tolerated_log
    if excess <= 0.0:
        return 0.0
    believed = max(MIN_SPREAD, spread)
    variance = _CORRELATION * believed * believed * (1.0 + counts.timed / others.timed)
    return counts.timed * excess * excess / (2.0 * variance)
