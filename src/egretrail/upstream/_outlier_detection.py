"""Outlier detection: compares an upstream with the service's others, and members with each other.

Under saturation all upstreams fail and slow down together. A fault that affects all of them alike
must eject none: a false ejection would remove capacity at the moment when it is needed most. A
missed outlier, on the other hand, exposes clients to a bad upstream.
"""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from egretrail.upstream._cusum import NO_CUSUM, CusumComparison, CusumScores
from egretrail.upstream._recent_attempts import onset_score
from egretrail.upstream._recorder import Recorder
from egretrail.upstream._score import (
    Baseline,
    Comparison,
    failure_score,
    failures_stand_out,
    slowness_score,
    slowness_stands_out,
)
from egretrail.upstream._thresholds import Thresholds
from egretrail.upstream._tracked import TrackedUpstream
from egretrail.upstream._verdict import Cause, UpstreamState
from egretrail.upstream._window import NOTHING, Counts

#: The other members' evidence alone must reach this part of the ejection score. Otherwise one
#: member's bad network path would eject an upstream that works for all others. A single chance
#: failure at another member must not suffice.
_CORROBORATION_SHARE = 0.42

#: With fewer attempts than this at the other members, missing evidence there does not clear the
#: upstream.
_MIN_ATTEMPTS_ELSEWHERE = 2.0

#: The comparison with the other upstreams may be this old while no decision depends on it; the
#: cost of computing it is proportional to the number of upstreams.
_COMPARISON_MAX_AGE_S = 0.05

#: A sequential failure test counts only when a window reaches this part of the ejection score: the
#: sum keeps what was added at the onset of a fault that affects all upstreams.
_CONFIRMATION_SHARE = 0.3

#: Failures eject only when their score against the other upstreams' attempts since the onset of
#: these failures reaches this part of the ejection score.
_ONSET_SHARE = 0.85

#: With fewer failures than this in the group's short windows, the failure period has ended. The
#: counts of a window decay, so they are not whole numbers.
_FADED_FAILURES = 0.4

#: While the other upstreams fail at this share, a failure does not fail a trial.
_TRIAL_OTHERS_SHARE = 0.5

#: The other upstreams' mean CUSUM score is subtracted this many times from one upstream's score: at
#: the onset of a fault that affects all upstreams, all scores rise. Their slowness is subtracted
#: with the same factor.
_COMMON_FACTOR = 2.0

#: CUSUM scores below this are not evaluated: the lowest ejection score is several times higher.
_MIN_CUSUM = 1.5

#: A trial fails at this many failures: one failure is enough, even after its count has decayed.
_TRIAL_MIN_FAILURES = 0.5


class Conclusion(enum.Enum):
    """The conclusion that the evidence on an upstream supports."""

    #: No action.
    NOTHING = "nothing"
    #: The group observes failures or slowness: the upstream should be ejected.
    UPSTREAM = "upstream"
    #: Only this member does: its network path to the upstream is bad.
    PATH = "path"


@dataclass(frozen=True, slots=True)
class Assessment:
    """A conclusion, and how near the evidence is to the ejection score."""

    #: The conclusion.
    conclusion: Conclusion
    #: The score as a share of the ejection score.
    suspicion: float
    #: Whether the evidence consists of failures or of slowness.
    cause: Cause


NO_SUSPICION = Assessment(Conclusion.NOTHING, 0.0, Cause.NONE)


@dataclass(frozen=True, slots=True)
class _TestResult:
    """The scores of one statistical test on the evidence."""

    #: Whether the evidence consists of failures or of slowness.
    cause: Cause
    #: The group's score.
    score: float
    #: This member's score alone.
    own_score: float
    #: The score without the member whose evidence is the strongest.
    elsewhere_score: float
    #: Whether this member's evidence is the strongest.
    own_is_strongest: bool

    @property
    def strongest_score(self) -> float:
        """Return the higher of the group's and this member's score."""
        return max(self.score, self.own_score)


@dataclass(frozen=True, slots=True)
class _MemberObservations:
    """All members' observations of one upstream, this member's first."""

    short: Sequence[Counts]
    long: Sequence[Counts]
    cusum: Sequence[CusumScores]


class OutlierDetector:
    """Detects outliers among the upstreams of one service."""

    def __init__(self, thresholds: Thresholds, recorder: Recorder) -> None:
        self._thresholds = thresholds
        self._recorder = recorder
        self._short = Comparison()
        self._long = Comparison()
        self._cusum = CusumComparison()
        self._compared_s = float("-inf")

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Set changed thresholds; observations are kept."""
        self._thresholds = thresholds

    def assess(
        self, upstream: TrackedUpstream, all_upstreams: Iterable[TrackedUpstream], now_s: float
    ) -> Assessment:
        """Return the assessment of an upstream that is in service."""
        observations = _member_observations(upstream, now_s)
        if sum(observations.short, NOTHING).failures < _FADED_FAILURES:
            upstream.observed.mark_recovered()
        if not self._is_worth_comparing(observations):
            return NO_SUSPICION
        if now_s - self._compared_s > _COMPARISON_MAX_AGE_S:
            self._compare(all_upstreams, now_s)
        assessment = self._assess(upstream, observations)
        if assessment.conclusion is Conclusion.NOTHING or now_s == self._compared_s:
            return assessment
        self._compare(all_upstreams, now_s)
        return self._assess(upstream, observations)

    def has_trial_failed(self, upstream: TrackedUpstream, now_s: float) -> bool:
        """Return whether the trial's requests show that the upstream still fails or is slow."""
        seen = upstream.observed.pooled_long(upstream.lifecycle.generation, now_s)
        if seen.failures >= _TRIAL_MIN_FAILURES:
            others_share = self._recorder.latest.expected_failure_share(upstream.name)
            return others_share < _TRIAL_OTHERS_SHARE
        tolerated = 1.5 * self._thresholds.tolerated_log
        return seen.timed >= self._thresholds.trial_answers - 1 and seen.mean_slowness > tolerated

    def has_trial_passed(self, upstream: TrackedUpstream, now_s: float) -> bool:
        """Return whether enough of the trial's requests succeeded, or the trial's time is over."""
        if now_s >= upstream.lifecycle.until_s:
            return True
        seen = upstream.observed.pooled_long(upstream.lifecycle.generation, now_s)
        return seen.attempts >= self._thresholds.trial_answers - 0.5

    def _is_worth_comparing(self, observations: _MemberObservations) -> bool:
        """Return whether any evidence could be an outlier, before the costly comparison."""
        cusum = sum(observations.cusum, NO_CUSUM)
        if max(cusum.frequent, cusum.rare, cusum.slow) > _MIN_CUSUM:
            return True
        tolerated_log = self._thresholds.tolerated_log
        for members in (observations.short, observations.long):
            for counts in (members[0], sum(members, NOTHING)):
                if failures_stand_out(counts) or slowness_stands_out(counts, tolerated_log):
                    return True
        return False

    def _compare(self, all_upstreams: Iterable[TrackedUpstream], now_s: float) -> None:
        self._compared_s = now_s
        self._short = Comparison()
        self._long = Comparison()
        self._cusum = CusumComparison()
        for upstream in all_upstreams:
            if upstream.lifecycle.state is UpstreamState.EJECTED:
                continue
            generation = upstream.lifecycle.generation
            observed = upstream.observed
            self._short.add(upstream.name, observed.pooled_short(generation, now_s))
            self._long.add(upstream.name, observed.pooled_long(generation, now_s))
            cusum = sum(observed.members_cusum(generation, now_s), NO_CUSUM)
            self._cusum.add(upstream.name, cusum)

    def _assess(self, upstream: TrackedUpstream, observations: _MemberObservations) -> Assessment:
        needed = self._thresholds.eject_score * upstream.lifecycle.threshold_factor
        windows = self._windows(upstream, observations)
        common = self._cusum.others(upstream.name).times(_COMMON_FACTOR)
        confirmed = _confirmed_causes(windows, needed)
        cusum = _cusum_results(observations.cusum, common)
        results = [*windows, *(result for result in cusum if result.cause in confirmed)]
        seen_elsewhere = min(
            sum(members, NOTHING).attempts - max(counts.attempts for counts in members)
            for members in (observations.short, observations.long)
        )
        known_elsewhere = seen_elsewhere >= _MIN_ATTEMPTS_ELSEWHERE
        worst = max(
            (_conclude(result, needed, known_elsewhere) for result in results), key=_severity
        )
        if self._stands_out_since(worst.cause, upstream, observations, needed):
            return worst
        return Assessment(Conclusion.NOTHING, min(1.0, worst.suspicion), worst.cause)

    def _stands_out_since(
        self,
        cause: Cause,
        upstream: TrackedUpstream,
        observations: _MemberObservations,
        needed: float,
    ) -> bool:
        """Return whether the other upstreams performed well since this one's fault began."""
        observed = upstream.observed
        recent = self._recorder.recent
        if cause is Cause.SLOWNESS:
            others = recent.others_slowness(upstream.name)
            seen = sum(observations.short, NOTHING).mean_slowness
            return seen - max(0.0, _COMMON_FACTOR * others) > self._thresholds.tolerated_log
        if observed.failing_since_s is None:
            return True
        failures = sum(observations.long, NOTHING).failures
        others_share = recent.others_failure_share(upstream.name, observed.failing_since_s)
        return onset_score(failures, others_share) >= _ONSET_SHARE * needed

    def _windows(
        self, upstream: TrackedUpstream, observations: _MemberObservations
    ) -> Sequence[_TestResult]:
        latest = self._recorder.latest
        share = latest.expected_failure_share(upstream.name)
        slowness = latest.expected_slowness(upstream.name)
        short = Baseline(self._short.others(upstream.name), share, slowness)
        long = Baseline(self._long.others(upstream.name), share, slowness)
        return [
            *self._window_results(observations.short, short),
            *self._window_results(observations.long, long),
        ]

    def _window_results(
        self, members: Sequence[Counts], baseline: Baseline
    ) -> Iterable[_TestResult]:
        pooled = sum(members, NOTHING)
        for cause, score, strength in (
            (Cause.FAILURES, self._failure_score, _failures_of),
            (Cause.SLOWNESS, self._slowness_score, _slowness_of),
        ):
            strengths = [strength(counts) for counts in members]
            strongest = strengths.index(max(strengths))
            yield _TestResult(
                cause,
                score(pooled, baseline),
                score(members[0], baseline),
                score(pooled - members[strongest], baseline),
                strongest == 0,
            )

    def _failure_score(self, counts: Counts, baseline: Baseline) -> float:
        return failure_score(counts, baseline)

    def _slowness_score(self, counts: Counts, baseline: Baseline) -> float:
        spread = self._recorder.reference.spread
        return slowness_score(counts, baseline, self._thresholds.tolerated_log, spread)


def _member_observations(upstream: TrackedUpstream, now_s: float) -> _MemberObservations:
    generation = upstream.lifecycle.generation
    observed = upstream.observed
    return _MemberObservations(
        observed.members_short(generation, now_s),
        observed.members_long(generation, now_s),
        observed.members_cusum(generation, now_s),
    )


def _confirmed_causes(windows: Iterable[_TestResult], needed: float) -> set[Cause]:
    """Return the causes whose sequential tests are confirmed by a window."""
    confirmed = set()
    for result in windows:
        part = _CONFIRMATION_SHARE if result.cause is Cause.FAILURES else 0.0
        if result.strongest_score > part * needed:
            confirmed.add(result.cause)
    return confirmed


def _failures_of(counts: Counts) -> float:
    return counts.failures


def _slowness_of(counts: Counts) -> float:
    return counts.slowness


def _cusum_results(members: Sequence[CusumScores], common: CusumScores) -> Iterable[_TestResult]:
    for cause, values, allowance in (
        (Cause.FAILURES, [cusum.frequent for cusum in members], common.frequent),
        (Cause.FAILURES, [cusum.rare for cusum in members], common.rare),
        (Cause.SLOWNESS, [cusum.slow for cusum in members], common.slow),
    ):
        strongest = max(values)
        total = sum(values) - allowance
        yield _TestResult(
            cause, total, values[0] - allowance, total - strongest, values[0] == strongest
        )


def _conclude(result: _TestResult, needed: float, known_elsewhere: bool) -> Assessment:
    """Return the assessment that follows from one test: upstream, this member's path, or none."""
    if not known_elsewhere or result.elsewhere_score >= _CORROBORATION_SHARE * needed:
        conclusion = Conclusion.UPSTREAM if result.score >= needed else Conclusion.NOTHING
        return Assessment(conclusion, result.score / needed, result.cause)
    if result.own_is_strongest:
        conclusion = Conclusion.PATH if result.strongest_score >= needed else Conclusion.NOTHING
        return Assessment(conclusion, result.strongest_score / needed, result.cause)
    return Assessment(Conclusion.NOTHING, result.elsewhere_score / needed, result.cause)


_RANK = {Conclusion.NOTHING: 0, Conclusion.PATH: 1, Conclusion.UPSTREAM: 2}


def _severity(assessment: Assessment) -> tuple[int, float]:
    return _RANK[assessment.conclusion], assessment.suspicion
