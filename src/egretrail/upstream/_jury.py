"""Judges one upstream by comparison: with the service's others, and between the group's members.

Made for every load up to saturation, where all upstreams fail and slow down together: what hits all
alike convicts none. The harm prevented is twofold: callers meeting a bad upstream, and capacity
lost to a false ejection at the moment when it is needed most.
"""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from egretrail.upstream._drift import NO_DRIFT, DriftComparison, Drifts
from egretrail.upstream._recorder import Recorder
from egretrail.upstream._score import (
    Baseline,
    Comparison,
    failure_score,
    failures_stand_out,
    slowness_score,
    slowness_stands_out,
)
from egretrail.upstream._since import onset_score
from egretrail.upstream._thresholds import Thresholds
from egretrail.upstream._tracked import TrackedUpstream
from egretrail.upstream._verdict import Cause, UpstreamState
from egretrail.upstream._window import NOTHING, Counts

#: The other members' evidence must reach this part of the ejecting score by itself. Without it one
#: member's bad path would eject an upstream that all others find good. One failure by chance at
#: another member must not suffice.
_CORROBORATION = 0.42

#: When the other members saw less than this of the upstream, their silence says nothing.
_FEWEST_ELSEWHERE = 2.0

#: The comparison with the other upstreams may be this old while nothing is about to be decided;
#: computing it takes time for each upstream of the service.
_COMPARISON_LIFE_S = 0.05

#: A sequential test on failures convicts only together with a window that reaches this part of the
#: ejecting score: what was summed when a fault that hits all began is not taken back by the sum.
_CONFIRMATION = 0.3

#: Failures convict only when they stand out to this part of the ejecting score against what the
#: other upstreams did since these failures began.
_ONSET = 0.85

#: Below this many failures in the group's short windows, failures have ended.
_FADED_FAILURES = 0.4

#: While the others fail to this share, a failure says nothing about a trial.
_TRIAL_OTHERS_SHARE = 0.5

#: What the sequential tests of the other upstreams reach on average counts against those of one
#: upstream, this many times: at the begin of a fault that hits all, all of them rise.
_COMMON_DRIFT = 2.0

#: Sequential tests below this decide nothing: the least ejecting score is several times higher.
_LEAST_DRIFT = 1.5

#: A failure of at least this weight ends a trial.
_TRIAL_FAILURE = 0.5


class Finding(enum.Enum):
    """What the evidence says of an upstream."""

    #: Nothing to act on.
    NOTHING = "nothing"
    #: The group sees it fail or be slow: it should be ejected.
    UPSTREAM = "upstream"
    #: Only this member does: its path is bad.
    PATH = "path"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A finding and how near the evidence is to one."""

    #: What the evidence says.
    finding: Finding
    #: Part of the ejecting score that is reached.
    suspicion: float
    #: Whether failures or slowness speak against the upstream.
    cause: Cause


INNOCENT = Judgement(Finding.NOTHING, 0.0, Cause.NONE)


@dataclass(frozen=True, slots=True)
class _Charge:
    """One way to look at the evidence, weighed."""

    #: Whether failures or slowness speak against the upstream.
    cause: Cause
    #: The group's score, and this member's alone.
    score: float
    own_score: float
    #: The score without the member whose evidence is the strongest.
    elsewhere_score: float
    #: Whether this member's evidence is the strongest.
    own_is_strongest: bool

    @property
    def strongest_score(self) -> float:
        """Return the score that convicts, of the group or of this member's path."""
        return max(self.score, self.own_score)


@dataclass(frozen=True, slots=True)
class _Testimony:
    """Everything that the members observed of one upstream, this member first."""

    short: Sequence[Counts]
    long: Sequence[Counts]
    drifts: Sequence[Drifts]


class Jury:
    """Judges the upstreams of one service."""

    def __init__(self, limits: Thresholds, recorder: Recorder) -> None:
        self._limits = limits
        self._recorder = recorder
        self._short = Comparison()
        self._long = Comparison()
        self._drifts = DriftComparison()
        self._compared_s = float("-inf")

    def use_limits(self, limits: Thresholds) -> None:
        """Go on with other thresholds; what was observed is kept."""
        self._limits = limits

    def judge(
        self, upstream: TrackedUpstream, all_upstreams: Iterable[TrackedUpstream], now_s: float
    ) -> Judgement:
        """Return what the evidence says of an upstream that is in service."""
        testimony = _testimony(upstream, now_s)
        if sum(testimony.short, NOTHING).failures < _FADED_FAILURES:
            upstream.observed.note_recovery()
        if not self._worth_comparing(testimony):
            return INNOCENT
        if now_s - self._compared_s > _COMPARISON_LIFE_S:
            self._compare(all_upstreams, now_s)
        judgement = self._judge(upstream, testimony)
        if judgement.finding is Finding.NOTHING or now_s == self._compared_s:
            return judgement
        self._compare(all_upstreams, now_s)
        return self._judge(upstream, testimony)

    def trial_failed(self, upstream: TrackedUpstream, now_s: float) -> bool:
        """Return whether the trickle of work shows the upstream to be bad still."""
        seen = upstream.observed.pooled_long(upstream.lifecycle.generation, now_s)
        if seen.failures >= _TRIAL_FAILURE:
            others_share = self._recorder.neighbours.failure_share(upstream.name)
            return others_share < _TRIAL_OTHERS_SHARE
        tolerated = 1.5 * self._limits.tolerated_log
        return seen.timed >= self._limits.trial_answers - 1 and seen.mean_slowness > tolerated

    def trial_passed(self, upstream: TrackedUpstream, now_s: float) -> bool:
        """Return whether the trickle of work was answered well, or there was none for long."""
        if now_s >= upstream.lifecycle.until_s:
            return True
        seen = upstream.observed.pooled_long(upstream.lifecycle.generation, now_s)
        return seen.attempts >= self._limits.trial_answers - 0.5

    def _worth_comparing(self, testimony: _Testimony) -> bool:
        """Return whether any member's evidence could possibly stand out."""
        drifts = sum(testimony.drifts, NO_DRIFT)
        if max(drifts.frequent, drifts.rare, drifts.slow) > _LEAST_DRIFT:
            return True
        tolerated_log = self._limits.tolerated_log
        for members in (testimony.short, testimony.long):
            for counts in (members[0], sum(members, NOTHING)):
                if failures_stand_out(counts) or slowness_stands_out(counts, tolerated_log):
                    return True
        return False

    def _compare(self, all_upstreams: Iterable[TrackedUpstream], now_s: float) -> None:
        self._compared_s = now_s
        self._short = Comparison()
        self._long = Comparison()
        self._drifts = DriftComparison()
        for upstream in all_upstreams:
            if upstream.lifecycle.state is UpstreamState.EJECTED:
                continue
            generation = upstream.lifecycle.generation
            observed = upstream.observed
            self._short.add(upstream.name, observed.pooled_short(generation, now_s))
            self._long.add(upstream.name, observed.pooled_long(generation, now_s))
            drifts = sum(observed.members_drifts(generation, now_s), NO_DRIFT)
            self._drifts.add(upstream.name, drifts)

    def _judge(self, upstream: TrackedUpstream, testimony: _Testimony) -> Judgement:
        needed = self._limits.eject_score * upstream.lifecycle.threshold_factor
        windows = self._windows(upstream, testimony)
        common = self._drifts.others(upstream.name).times(_COMMON_DRIFT)
        confirmed = _confirmed(windows, needed)
        drifts = _drift_charges(testimony.drifts, common)
        charges = [*windows, *(charge for charge in drifts if charge.cause in confirmed)]
        seen_elsewhere = min(
            sum(members, NOTHING).attempts - max(counts.attempts for counts in members)
            for members in (testimony.short, testimony.long)
        )
        known_elsewhere = seen_elsewhere >= _FEWEST_ELSEWHERE
        worst = max((_weigh(charge, needed, known_elsewhere) for charge in charges), key=_gravity)
        if self._stands_out_since(worst.cause, upstream, testimony, needed):
            return worst
        return Judgement(Finding.NOTHING, min(1.0, worst.suspicion), worst.cause)

    def _stands_out_since(
        self, cause: Cause, upstream: TrackedUpstream, testimony: _Testimony, needed: float
    ) -> bool:
        """Return whether the other upstreams did well since this one began to do badly."""
        observed = upstream.observed
        recent = self._recorder.recent
        if cause is Cause.SLOWNESS:
            others = recent.others_slowness(upstream.name)
            seen = sum(testimony.short, NOTHING).mean_slowness
            return seen - max(0.0, _COMMON_DRIFT * others) > self._limits.tolerated_log
        if observed.failing_since_s is None:
            return True
        failures = sum(testimony.long, NOTHING).failures
        others_share = recent.others_failure_share(upstream.name, observed.failing_since_s)
        return onset_score(failures, others_share) >= _ONSET * needed

    def _windows(self, upstream: TrackedUpstream, testimony: _Testimony) -> Sequence[_Charge]:
        neighbours = self._recorder.neighbours
        share = neighbours.failure_share(upstream.name)
        slowness = neighbours.common_slowness(upstream.name)
        short = Baseline(self._short.others(upstream.name), share, slowness)
        long = Baseline(self._long.others(upstream.name), share, slowness)
        return [
            *self._window_charges(testimony.short, short),
            *self._window_charges(testimony.long, long),
        ]

    def _window_charges(self, members: Sequence[Counts], baseline: Baseline) -> Iterable[_Charge]:
        pooled = sum(members, NOTHING)
        for cause, score, strength in (
            (Cause.FAILURES, self._failure_score, _failures_of),
            (Cause.SLOWNESS, self._slowness_score, _slowness_of),
        ):
            strengths = [strength(counts) for counts in members]
            strongest = strengths.index(max(strengths))
            yield _Charge(
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
        return slowness_score(counts, baseline, self._limits.tolerated_log, spread)


def _testimony(upstream: TrackedUpstream, now_s: float) -> _Testimony:
    generation = upstream.lifecycle.generation
    observed = upstream.observed
    return _Testimony(
        observed.members_short(generation, now_s),
        observed.members_long(generation, now_s),
        observed.members_drifts(generation, now_s),
    )


def _confirmed(windows: Iterable[_Charge], needed: float) -> set[Cause]:
    """Return the causes for which a window supports a sequential test."""
    confirmed = set()
    for charge in windows:
        part = _CONFIRMATION if charge.cause is Cause.FAILURES else 0.0
        if charge.strongest_score > part * needed:
            confirmed.add(charge.cause)
    return confirmed


def _failures_of(counts: Counts) -> float:
    return counts.failures


def _slowness_of(counts: Counts) -> float:
    return counts.slowness


def _drift_charges(members: Sequence[Drifts], common: Drifts) -> Iterable[_Charge]:
    for cause, values, allowance in (
        (Cause.FAILURES, [drifts.frequent for drifts in members], common.frequent),
        (Cause.FAILURES, [drifts.rare for drifts in members], common.rare),
        (Cause.SLOWNESS, [drifts.slow for drifts in members], common.slow),
    ):
        strongest = max(values)
        total = sum(values) - allowance
        yield _Charge(
            cause, total, values[0] - allowance, total - strongest, values[0] == strongest
        )


def _weigh(charge: _Charge, needed: float, known_elsewhere: bool) -> Judgement:
    """Weigh one charge: the group's evidence, then who brings it."""
    if not known_elsewhere or charge.elsewhere_score >= _CORROBORATION * needed:
        finding = Finding.UPSTREAM if charge.score >= needed else Finding.NOTHING
        return Judgement(finding, charge.score / needed, charge.cause)
    if charge.own_is_strongest:
        finding = Finding.PATH if charge.strongest_score >= needed else Finding.NOTHING
        return Judgement(finding, charge.strongest_score / needed, charge.cause)
    return Judgement(Finding.NOTHING, charge.elsewhere_score / needed, charge.cause)


_RANK = {Finding.NOTHING: 0, Finding.PATH: 1, Finding.UPSTREAM: 2}


def _gravity(judgement: Judgement) -> tuple[int, float]:
    return _RANK[judgement.finding], judgement.suspicion
