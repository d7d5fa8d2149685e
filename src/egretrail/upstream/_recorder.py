"""Turns finished attempts into observations, and finds what explains a failure."""

from collections.abc import Mapping, Sequence

from egretrail.identity import UpstreamName
from egretrail.upstream._attempt import Attempt, AttemptOutcome
from egretrail.upstream._blame import SharedFailures
from egretrail.upstream._drift import slowness_ratio
from egretrail.upstream._latency import LatencyReference
from egretrail.upstream._neighbours import Neighbours
from egretrail.upstream._score import LEAST_SPREAD, TOLERATED_FAILURE_SHARE
from egretrail.upstream._since import RecentAttempts
from egretrail.upstream._thresholds import Thresholds
from egretrail.upstream._tracked import TrackedUpstream
from egretrail.upstream._verdict import UpstreamState

#: How much a failure counts. Wrong and cut answers have almost no innocent share, so that one of
#: them says as much as two ordinary failures.
_FAILURE_WEIGHT: Mapping[AttemptOutcome, float] = {
    AttemptOutcome.FAILED: 1.0,
    AttemptOutcome.LOST: 1.0,
    AttemptOutcome.REFUSED: 1.0,
    AttemptOutcome.TIMED_OUT: 1.0,
    AttemptOutcome.TRUNCATED: 2.0,
    AttemptOutcome.CROSSED: 2.0,
}

#: What a loss counts when the request is known to crash upstreams, or when it is one of several
#: losses of one crash.
_EXPLAINED_WEIGHT = 0.1

#: A cancelled attempt counts as an answer that came this late; a younger one does not count.
_CANCELLED_LOG = 1.0

#: What one more attempt contributes to the share of declined ones.
_SHED_STEP = 0.2

#: Above this part of the ejecting score an upstream's answers no longer shape the distribution
#: that it is compared with.
_SUSPECT_PART = 0.5


class Recorder:
    """Records the attempts of one service."""

    def __init__(self, limits: Thresholds) -> None:
        self._limits = limits
        self.reference = LatencyReference()
        self.neighbours = Neighbours()
        self.recent = RecentAttempts()
        #: Share of recent attempts that any upstream declined because of its load.
        self.shed_share = 0.0
        self._shared = SharedFailures()

    def use_limits(self, limits: Thresholds) -> None:
        """Go on with other thresholds; what was observed is kept."""
        self._limits = limits

    def record(
        self, upstream: TrackedUpstream, attempt: Attempt, now_s: float, suspect: bool
    ) -> None:
        """Take a finished attempt as an observation."""
        self._note_shed(upstream, attempt.outcome)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._answer(upstream, attempt, now_s)
        elif attempt.outcome is AttemptOutcome.CANCELLED:
            self._cancelled(upstream, attempt, now_s)
        elif attempt.outcome in _FAILURE_WEIGHT:
            self._failure(upstream, attempt, now_s, suspect)

    def overdue_ratio(self, upstream: TrackedUpstream, slowness: float) -> float:
        """Return what an attempt under way for so long adds to the test on slowness."""
        return max(0.0, slowness_ratio(self._excess(upstream, slowness), self._spread()))

    def forget_upstream(self, name: UpstreamName) -> None:
        """Drop what is known of an upstream that has left."""
        self._shared.forget_upstream(name)
        self.neighbours.forget(name)

    def _answer(self, upstream: TrackedUpstream, attempt: Attempt, now_s: float) -> None:
        for subject in _subjects(attempt):
            self._shared.note(subject, upstream.name, False, now_s)
        slowness = self.reference.slowness(attempt.request_kind, attempt.latency_s)
        # A cold upstream is slow for a while, which is no fault.
        warm = upstream.lifecycle.state is not UpstreamState.RAMPING
        self._observe_answer(upstream, slowness if warm else None, now_s)
        self.recent.add_answer(upstream.name, attempt.started_s, slowness)
        sound = not upstream.lifecycle.out and upstream.lifecycle.suspicion < _SUSPECT_PART
        if warm and sound:
            self.reference.add(attempt.request_kind, attempt.latency_s)
        upstream.lifecycle.answered(now_s)

    def _cancelled(self, upstream: TrackedUpstream, attempt: Attempt, now_s: float) -> None:
        slowness = self.reference.slowness(attempt.request_kind, attempt.latency_s)
        if slowness is not None and slowness >= _CANCELLED_LOG:
            self._observe_answer(upstream, slowness, now_s)

    def _observe_answer(
        self, upstream: TrackedUpstream, slowness: float | None, now_s: float
    ) -> None:
        upstream.observed.add_answer(slowness, now_s)
        tests = upstream.observed.tests
        tests.add_outcome(0.0, TOLERATED_FAILURE_SHARE, now_s)
        if slowness is not None:
            tests.add_slowness(self._excess(upstream, slowness), self._spread(), now_s)
        self.neighbours.add(upstream.name, 0.0, slowness)

    def _excess(self, upstream: TrackedUpstream, slowness: float) -> float:
        others = max(0.0, self.neighbours.common_slowness(upstream.name))
        return slowness - others - self._limits.tolerated_log

    def _spread(self) -> float:
        return max(LEAST_SPREAD, self.reference.spread)

    def _failure(
        self, upstream: TrackedUpstream, attempt: Attempt, now_s: float, suspect: bool
    ) -> None:
        weight = _FAILURE_WEIGHT[attempt.outcome]
        weight *= 1.0 - self._explained(upstream, attempt, now_s)
        for subject in _subjects(attempt):
            self._shared.note(subject, upstream.name, True, now_s)
        if self._is_crash(upstream, attempt.outcome, now_s, suspect):
            weight *= _EXPLAINED_WEIGHT
        upstream.observed.add_failure(weight, now_s)
        expected = self.neighbours.failure_share(upstream.name)
        upstream.observed.tests.add_outcome(weight, expected, now_s)
        self.neighbours.add(upstream.name, min(1.0, weight), None)
        self.recent.add_failure(upstream.name, attempt.started_s)
        upstream.observed.note_failure(attempt.started_s)

    def _explained(self, upstream: TrackedUpstream, attempt: Attempt, now_s: float) -> float:
        """Return the share of such requests that fail at the other upstreams as well."""
        return max(
            self._shared.explained(subject, upstream.name, now_s) for subject in _subjects(attempt)
        )

    def _is_crash(
        self, upstream: TrackedUpstream, outcome: AttemptOutcome, now_s: float, suspect: bool
    ) -> bool:
        """Return whether a crash that is already accounted for explains the failure."""
        in_grace = upstream.lifecycle.in_crash_grace(now_s)
        if outcome is AttemptOutcome.REFUSED:
            return in_grace
        if outcome not in (AttemptOutcome.LOST, AttemptOutcome.TRUNCATED):
            return False
        if suspect:
            upstream.lifecycle.crashed(now_s)
            return True
        return outcome is AttemptOutcome.LOST and (upstream.observed.same_crash(now_s) or in_grace)

    def _note_shed(self, upstream: TrackedUpstream, outcome: AttemptOutcome) -> None:
        declined = float(outcome is AttemptOutcome.SHED)
        observed = upstream.observed
        observed.shed_share += _SHED_STEP * (declined - observed.shed_share)
        self.shed_share += _SHED_STEP / 4 * (declined - self.shed_share)


def _subjects(attempt: Attempt) -> Sequence[str]:
    return (f"kind {attempt.request_kind}", f"caller {attempt.caller}")
