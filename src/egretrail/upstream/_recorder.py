"""Converts finished attempts into observations, and discounts failures with a known cause."""

from collections.abc import Mapping, Sequence

from egretrail.identity import UpstreamName
from egretrail.upstream._attempt import Attempt, AttemptOutcome
from egretrail.upstream._cusum import slowness_ratio
from egretrail.upstream._failure_attribution import FailureAttribution
from egretrail.upstream._latency import LatencyReference
from egretrail.upstream._latest_outcomes import LatestOutcomes
from egretrail.upstream._recent_attempts import RecentAttempts
from egretrail.upstream._score import MIN_SPREAD, TOLERATED_FAILURE_SHARE
from egretrail.upstream._thresholds import Thresholds
from egretrail.upstream._tracked import TrackedUpstream
from egretrail.upstream._verdict import UpstreamState

#: Weights of failures. Healthy upstreams almost never send truncated or mismatched responses, so
#: that one of them is as much evidence as two ordinary failures.
_FAILURE_WEIGHT: Mapping[AttemptOutcome, float] = {
    AttemptOutcome.FAILED: 1.0,
    AttemptOutcome.LOST: 1.0,
    AttemptOutcome.REFUSED: 1.0,
    AttemptOutcome.TIMED_OUT: 1.0,
    AttemptOutcome.TRUNCATED: 2.0,
    AttemptOutcome.CROSSED: 2.0,
}

#: Weight factor of a loss when the request is known to crash upstreams, or when the loss is one of
#: several in one crash.
_EXPLAINED_WEIGHT = 0.1

#: A cancelled attempt counts as a slow response from this log latency ratio on; one cancelled
#: earlier does not count.
_CANCELLED_LOG = 1.0

#: Smoothing factor of the moving average of an upstream's shed share.
_SHED_STEP = 0.2

#: From this part of the ejection score on, an upstream's latencies are not added to the
#: distribution that it is compared with.
_SUSPECT_PART = 0.5


class Recorder:
    """Records one service's attempts in the observations of their upstreams."""

    def __init__(self, thresholds: Thresholds) -> None:
        self._thresholds = thresholds
        self.reference = LatencyReference()
        self.latest = LatestOutcomes()
        self.recent = RecentAttempts()
        #: Share of recent attempts at all upstreams that were rejected because of load.
        self.shed_share = 0.0
        self._attribution = FailureAttribution()

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Set changed thresholds; observations are kept."""
        self._thresholds = thresholds

    def record(
        self, upstream: TrackedUpstream, attempt: Attempt, now_s: float, suspect: bool
    ) -> None:
        """Record a finished attempt as an observation."""
        self._record_shed(upstream, attempt.outcome)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._record_answer(upstream, attempt, now_s)
        elif attempt.outcome is AttemptOutcome.CANCELLED:
            self._record_cancelled(upstream, attempt, now_s)
        elif attempt.outcome in _FAILURE_WEIGHT:
            self._record_failure(upstream, attempt, now_s, suspect)

    def overdue_ratio(self, upstream: TrackedUpstream, slowness: float) -> float:
        """Return what an attempt in flight with this slowness adds to the CUSUM for slowness."""
        return max(0.0, slowness_ratio(self._excess(upstream, slowness), self._spread()))

    def remove_upstream(self, name: UpstreamName) -> None:
        """Remove the records of an upstream that left the service."""
        self._attribution.remove_upstream(name)
        self.latest.remove(name)

    def _record_answer(self, upstream: TrackedUpstream, attempt: Attempt, now_s: float) -> None:
        for subject in _failure_subjects(attempt):
            self._attribution.record(subject, upstream.name, False, now_s)
        slowness = self.reference.slowness(attempt.request_kind, attempt.latency_s)
        # A cold upstream is slow at first; that is not evidence against it.
        warm = upstream.lifecycle.state is not UpstreamState.RAMPING
        self._add_answer(upstream, slowness if warm else None, now_s)
        self.recent.add_answer(upstream.name, attempt.started_s, slowness)
        sound = not upstream.lifecycle.is_out and upstream.lifecycle.suspicion < _SUSPECT_PART
        if warm and sound:
            self.reference.add(attempt.request_kind, attempt.latency_s)
        upstream.lifecycle.end_crash_grace(now_s)

    def _record_cancelled(self, upstream: TrackedUpstream, attempt: Attempt, now_s: float) -> None:
        slowness = self.reference.slowness(attempt.request_kind, attempt.latency_s)
        if slowness is not None and slowness >= _CANCELLED_LOG:
            self._add_answer(upstream, slowness, now_s)

    def _add_answer(self, upstream: TrackedUpstream, slowness: float | None, now_s: float) -> None:
        upstream.observed.add_answer(slowness, now_s)
        tests = upstream.observed.tests
        tests.add_outcome(0.0, TOLERATED_FAILURE_SHARE, now_s)
        if slowness is not None:
            tests.add_slowness(self._excess(upstream, slowness), self._spread(), now_s)
        self.latest.add(upstream.name, 0.0, slowness)

    def _excess(self, upstream: TrackedUpstream, slowness: float) -> float:
        others = max(0.0, self.latest.expected_slowness(upstream.name))
        return slowness - others - self._thresholds.tolerated_log

    def _spread(self) -> float:
        return max(MIN_SPREAD, self.reference.spread)

    def _record_failure(
        self, upstream: TrackedUpstream, attempt: Attempt, now_s: float, suspect: bool
    ) -> None:
        weight = _FAILURE_WEIGHT[attempt.outcome]
        weight *= 1.0 - self._explained(upstream, attempt, now_s)
        for subject in _failure_subjects(attempt):
            self._attribution.record(subject, upstream.name, True, now_s)
        if self._is_crash(upstream, attempt.outcome, now_s, suspect):
            weight *= _EXPLAINED_WEIGHT
        upstream.observed.add_failure(weight, now_s)
        expected = self.latest.expected_failure_share(upstream.name)
        upstream.observed.tests.add_outcome(weight, expected, now_s)
        self.latest.add(upstream.name, min(1.0, weight), None)
        self.recent.add_failure(upstream.name, attempt.started_s)
        upstream.observed.mark_failing(attempt.started_s)

    def _explained(self, upstream: TrackedUpstream, attempt: Attempt, now_s: float) -> float:
        """Return the share of requests of this kind or client that fail at the other upstreams."""
        return max(
            self._attribution.explained_share(subject, upstream.name, now_s)
            for subject in _failure_subjects(attempt)
        )

    def _is_crash(
        self, upstream: TrackedUpstream, outcome: AttemptOutcome, now_s: float, suspect: bool
    ) -> bool:
        """Return whether the failure results from a crash that was already counted."""
        in_grace = upstream.lifecycle.in_crash_grace(now_s)
        if outcome is AttemptOutcome.REFUSED:
            return in_grace
        if outcome not in (AttemptOutcome.LOST, AttemptOutcome.TRUNCATED):
            return False
        if suspect:
            upstream.lifecycle.start_crash_grace(now_s)
            return True
        return outcome is AttemptOutcome.LOST and (upstream.observed.record_loss(now_s) or in_grace)

    def _record_shed(self, upstream: TrackedUpstream, outcome: AttemptOutcome) -> None:
        declined = float(outcome is AttemptOutcome.SHED)
        observed = upstream.observed
        observed.shed_share += _SHED_STEP * (declined - observed.shed_share)
        self.shed_share += _SHED_STEP / 4 * (declined - self.shed_share)


def _failure_subjects(attempt: Attempt) -> Sequence[str]:
    return (f"kind {attempt.request_kind}", f"caller {attempt.caller}")
