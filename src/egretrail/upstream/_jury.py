"""Judges one upstream by comparison: with the service's others, and between the group's members.

Made for every load up to saturation, where all upstreams fail and slow down together: what hits all
alike convicts none. The harm prevented is twofold: callers meeting a bad upstream, and capacity
lost to a false ejection at the moment when it is needed most.
"""

import enum
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

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

#: The other members' evidence must reach this part of the ejecting score by itself. Without it one
#: member's bad path would eject an upstream that all others find good.
_CORROBORATION = 0.3

#: When the other members saw less than this of the upstream, their silence says nothing.
_FEWEST_ELSEWHERE = 2.0

#: The comparison with the other upstreams may be this old while nothing is about to be decided;
#: computing it takes time for each upstream of the service.
_COMPARISON_LIFE_S = 0.05

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

_Score = Callable[[Counts], float]


@dataclass(frozen=True, slots=True)
class _Charge:
    """One way to look at the evidence: a window, and failures or slowness."""

    cause: Cause
    #: Each member's counts, this member's first.
    members: Sequence[Counts]
    #: Scores counts against the baseline of this window.
    score: _Score
    #: What of a member's counts speaks against the upstream.
    complaint: Callable[[Counts], float]


class Jury:
    """Judges the upstreams of one service."""

    def __init__(self, limits: Thresholds) -> None:
        self._limits = limits
        self._short = Comparison()
        self._long = Comparison()
        self._compared_s = float("-inf")

    def judge(
        self,
        upstream: TrackedUpstream,
        all_upstreams: Iterable[TrackedUpstream],
        spread: float,
        now_s: float,
    ) -> Judgement:
        """Return what the evidence says of an upstream that is in service."""
        generation = upstream.lifecycle.generation
        short = upstream.observed.members_short(generation, now_s)
        long = upstream.observed.members_long(generation, now_s)
        if not self._worth_comparing(short, long):
            return INNOCENT
        if now_s - self._compared_s > _COMPARISON_LIFE_S:
            self._compare(all_upstreams, now_s)
        judgement = self._judge(upstream, short, long, spread)
        if judgement.finding is Finding.NOTHING or now_s == self._compared_s:
            return judgement
        self._compare(all_upstreams, now_s)
        return self._judge(upstream, short, long, spread)

    def trial_failed(self, upstream: TrackedUpstream, now_s: float) -> bool:
        """Return whether the trickle of work shows the upstream to be bad still."""
        seen = upstream.observed.pooled_long(upstream.lifecycle.generation, now_s)
        if seen.failures >= _TRIAL_FAILURE:
            return True
        tolerated = 1.5 * self._limits.tolerated_log
        return seen.timed >= self._limits.trial_answers - 1 and seen.mean_slowness > tolerated

    def trial_passed(self, upstream: TrackedUpstream, now_s: float) -> bool:
        """Return whether the trickle of work was answered well, or there was none for long."""
        if now_s >= upstream.lifecycle.until_s:
            return True
        seen = upstream.observed.pooled_long(upstream.lifecycle.generation, now_s)
        return seen.attempts >= self._limits.trial_answers - 0.5

    def _worth_comparing(self, short: Sequence[Counts], long: Sequence[Counts]) -> bool:
        """Return whether any member's evidence could possibly stand out."""
        tolerated_log = self._limits.tolerated_log
        for members in (short, long):
            for counts in (members[0], sum(members, NOTHING)):
                if failures_stand_out(counts) or slowness_stands_out(counts, tolerated_log):
                    return True
        return False

    def _compare(self, all_upstreams: Iterable[TrackedUpstream], now_s: float) -> None:
        self._compared_s = now_s
        self._short = Comparison()
        self._long = Comparison()
        for upstream in all_upstreams:
            if upstream.lifecycle.state is UpstreamState.EJECTED:
                continue
            generation = upstream.lifecycle.generation
            observed = upstream.observed
            self._short.add(upstream.name, observed.pooled_short(generation, now_s))
            self._long.add(upstream.name, observed.pooled_long(generation, now_s))

    def _judge(
        self,
        upstream: TrackedUpstream,
        short: Sequence[Counts],
        long: Sequence[Counts],
        spread: float,
    ) -> Judgement:
        needed = self._limits.eject_score * upstream.lifecycle.threshold_factor
        charges = [
            *self._charges(short, self._short.baseline(upstream.name), spread),
            *self._charges(long, self._long.baseline(upstream.name), spread),
        ]
        judgements = [_try(charge, needed) for charge in charges]
        return max(judgements, key=_gravity)

    def _charges(
        self, members: Sequence[Counts], baseline: Baseline, spread: float
    ) -> Iterable[_Charge]:
        tolerated_log = self._limits.tolerated_log
        yield _Charge(
            Cause.FAILURES,
            members,
            lambda counts: failure_score(counts, baseline),
            lambda counts: counts.failures,
        )
        yield _Charge(
            Cause.SLOWNESS,
            members,
            lambda counts: slowness_score(counts, baseline, tolerated_log, spread),
            lambda counts: counts.slowness,
        )


def _try(charge: _Charge, needed: float) -> Judgement:
    """Weigh one charge: the group's evidence, then who brings it."""
    pooled = sum(charge.members, NOTHING)
    score = charge.score(pooled)
    own_score = charge.score(charge.members[0])
    if max(score, own_score) <= 0.0:
        return INNOCENT
    complaints = [charge.complaint(counts) for counts in charge.members]
    loudest = complaints.index(max(complaints))
    elsewhere = pooled - charge.members[loudest]
    elsewhere_score = charge.score(elsewhere)
    known_elsewhere = elsewhere.attempts >= _FEWEST_ELSEWHERE
    if not known_elsewhere or elsewhere_score >= _CORROBORATION * needed:
        finding = Finding.UPSTREAM if score >= needed else Finding.NOTHING
        return Judgement(finding, score / needed, charge.cause)
    if loudest == 0:
        strongest = max(score, own_score)
        finding = Finding.PATH if strongest >= needed else Finding.NOTHING
        return Judgement(finding, strongest / needed, charge.cause)
    return Judgement(Finding.NOTHING, elsewhere_score / needed, charge.cause)


_RANK = {Finding.NOTHING: 0, Finding.PATH: 1, Finding.UPSTREAM: 2}


def _gravity(judgement: Judgement) -> tuple[int, float]:
    return _RANK[judgement.finding], judgement.suspicion
