"""How strongly counts speak against an upstream, in comparison with the service's others."""

import math
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._latency import SLOWNESS_LEAST
from egretrail.upstream._window import NOTHING, Counts

#: A healthy upstream may fail one request in a hundred without being compared at all: below it,
#: two unlucky failures would stand out against perfect others.
TOLERATED_FAILURE_SHARE = 0.01

#: An upstream must fail clearly more often than the others: this many times their share. Under an
#: overload that hits all, shares of upstreams differ by chance and by placement.
_FAILURE_MARGIN = 1.5

#: One of so many others is left out of the comparison, the worst first, so that a second or third
#: bad upstream does not hide the first.
OTHERS_PER_OUTLIER = 4

#: Latencies of consecutive answers are correlated (they wait in the same queue), so that they
#: carry less information than independent ones.
_CORRELATION = 1.5

#: Fewer compared answers say nothing about slowness.
_FEWEST_TIMED = 4.0

#: A single failure never convicts.
_FEWEST_FAILURES = 1.2

#: Fewer attempts at the others are no comparison.
_FEWEST_OTHERS = 2.0

#: The others' mean log latency is seldom further below their median than this.
_OTHERS_FASTER_LOG = 0.3

#: The least spread of log latencies that is believed.
LEAST_SPREAD = 0.35


@dataclass(frozen=True, slots=True)
class Baseline:
    """What the service's other upstreams do in the same window."""

    #: Their counts, without the worst of them.
    others: Counts
    #: What they did in this member's last few attempts: the share of failures that would be
    #: unremarkable, and their mean log latency ratio.
    latest_failure_share: float = 0.0
    latest_slowness: float = SLOWNESS_LEAST

    @property
    def usable(self) -> bool:
        """Return whether there is anything to compare with."""
        return self.others.attempts >= _FEWEST_OTHERS

    @property
    def failure_share(self) -> float:
        """Return the share of failures that would be unremarkable now."""
        attempts = self.others.attempts + 1.0
        share = min(1.0, max(0.0, self.others.failures / attempts))
        deviation = math.sqrt(share * (1.0 - share) / attempts)
        unremarkable = _FAILURE_MARGIN * share + 2.0 * deviation
        return min(0.99, max(TOLERATED_FAILURE_SHARE, unremarkable, self.latest_failure_share))


class Comparison:
    """The counts of all upstreams of a service in one window, to compare each with the others.

    The worst others are left out by failures. Slowness needs no such rule because the logarithms
    are clipped before they are summed.
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
        """Return the counts of the upstreams other than this one."""
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
    """Return whether there are more failures than any healthy upstream may have."""
    few = counts.failures < _FEWEST_FAILURES
    return not few and counts.failures > TOLERATED_FAILURE_SHARE * counts.attempts


def slowness_stands_out(counts: Counts, tolerated_log: float) -> bool:
    """Return whether answers are slow enough to be worth comparing."""
    return counts.slowness > (tolerated_log - _OTHERS_FASTER_LOG) * counts.timed


def failure_score(counts: Counts, baseline: Baseline) -> float:
    """Return the log likelihood ratio of the observed share of failures against the baseline's.

    It is the generalised ratio: the alternative is the share that was observed, so that one number
    serves a complete failure (few attempts suffice) and a partial one (many are needed).
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

    A mean of clipped logarithms: one answer from the heavy tail moves it by a bounded amount.
    """
    others = baseline.others
    if counts.timed < _FEWEST_TIMED or others.timed < _FEWEST_OTHERS:
        return 0.0
    others_mean = max(others.mean_slowness, baseline.latest_slowness)
    excess = counts.mean_slowness - others_mean - tolerated_log
    if excess <= 0.0:
        return 0.0
    believed = max(LEAST_SPREAD, spread)
    variance = _CORRELATION * believed * believed * (1.0 + counts.timed / others.timed)
    return counts.timed * excess * excess / (2.0 * variance)
