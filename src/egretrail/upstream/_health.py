"""One instance's view of the health of one service's upstreams."""

import random
from collections.abc import Mapping, Sequence

from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.settings import Detection
from egretrail.upstream._attempt import Attempt
from egretrail.upstream._evidence import Evidence, UpstreamObservation, evidence_of
from egretrail.upstream._in_flight import InFlightAttempts
from egretrail.upstream._lifecycle import Lifecycle
from egretrail.upstream._observations import GroupObservations, PeerObservation
from egretrail.upstream._outlier_detection import Conclusion, OutlierDetector
from egretrail.upstream._recorder import Recorder
from egretrail.upstream._rights import EjectionRights
from egretrail.upstream._thresholds import thresholds
from egretrail.upstream._tracked import TrackedUpstream
from egretrail.upstream._verdict import Cause, UpstreamState, Verdict

#: The least weight factor of an upstream that sheds load, so that its recovery is noticed.
_SHED_MIN_WEIGHT = 0.2

#: The excess of an upstream's shed share over the service's average that reduces its weight.
_SHED_EXCESS = 0.2

#: From this part of the ejection score on, an upstream is also evaluated on each tick, not only
#: when an attempt ends or evidence arrives.
_SUSPICIOUS = 0.5


class ServiceHealth:
    """Decides the health of one service's upstreams by its own and its group's requests.

    Self-reports of an upstream are not used: a health or load endpoint that lags or gives wrong
    values can neither cause nor prevent an ejection.
    """

    def __init__(
        self,
        service: ServiceName,
        detection: Detection,
        ramp_s: float,
        rights: EjectionRights,
        rng: random.Random,
    ) -> None:
        self.service = service
        self._thresholds = thresholds(detection)
        self._ramp_s = ramp_s
        self._rights = rights
        self._rng = rng
        self._upstreams: dict[UpstreamName, TrackedUpstream] = {}
        self._by_id: dict[int, TrackedUpstream] = {}
        self._started = False
        self._in_flight_attempts = InFlightAttempts()
        self._recorder = Recorder(self._thresholds)
        self._detector = OutlierDetector(self._thresholds, self._recorder)
        self._sequence = 0
        self._peer_sequences: dict[InstanceName, int] = {}

    def apply_settings(self, detection: Detection, ramp_s: float) -> None:
        """Apply changed settings; observations are kept."""
        self._thresholds = thresholds(detection)
        self._ramp_s = ramp_s
        self._recorder.set_thresholds(self._thresholds)
        self._detector.set_thresholds(self._thresholds)
        for upstream in self._upstreams.values():
            upstream.lifecycle.set_thresholds(self._thresholds, ramp_s)

    def set_upstreams(self, names: Sequence[UpstreamName], now_s: float) -> None:
        """Set the service's upstreams; those added after the first non-empty call ramp up."""
        for gone in set(self._upstreams) - set(names):
            del self._upstreams[gone]
            self._recorder.remove_upstream(gone)
            self._rights.release(self.service, gone, now_s)
        for name in names:
            if name not in self._upstreams:
                self._upstreams[name] = self._track(name, now_s)
        self._by_id = {upstream.id: upstream for upstream in self._upstreams.values()}
        self._started = self._started or bool(names)

    def record_start(self, upstream: UpstreamName, request_kind: str, now_s: float) -> int:
        """Record the start of an attempt; return the ticket to pass when the attempt ends."""
        known = self._upstreams.get(upstream)
        if known is not None:
            known.observed.in_flight += 1
        return self._in_flight_attempts.start(upstream, request_kind, now_s)

    def record_end(self, ticket: int) -> None:
        """Record that the attempt has ended; its outcome is recorded separately."""
        name = self._in_flight_attempts.finish(ticket)
        known = self._upstreams.get(name) if name is not None else None
        if known is not None:
            known.observed.in_flight = max(0, known.observed.in_flight - 1)

    def record_outcome(self, attempt: Attempt, now_s: float, suspect: bool = False) -> None:
        """Record the outcome of a finished attempt.

        ``suspect`` tells that connections to upstreams were lost with the same request before.
        """
        upstream = self._upstreams.get(attempt.upstream)
        if upstream is None or upstream.lifecycle.predates_return(attempt.started_s):
            return
        self._recorder.record(upstream, attempt, now_s, suspect)
        if self._changes_nothing(upstream):
            return
        self._evaluate(upstream, now_s)
        if upstream.observed.is_urgent(now_s):
            upstream.urgent = True

    def retract_loss(self, upstream: UpstreamName, observed_here: bool, now_s: float) -> None:
        """Retract a lost attempt: the request turned out to crash other upstreams as well."""
        known = self._upstreams.get(upstream)
        if known is not None:
            if observed_here:
                known.observed.subtract_loss()
            known.lifecycle.retract_ejection(now_s)
            known.lifecycle.start_crash_grace(now_s)

    def apply_evidence(self, sender: InstanceName, evidence: Evidence, now_s: float) -> None:
        """Apply another member's observations; those older than its last ones are ignored."""
        if evidence.sequence <= self._peer_sequences.get(sender, 0):
            return
        self._peer_sequences[sender] = evidence.sequence
        for row in evidence.rows():
            upstream = self._by_id.get(row.upstream)
            if upstream is not None:
                self._merge_row(upstream, sender, row, now_s)

    def remove_member(self, sender: InstanceName) -> None:
        """Remove the observations of a member that left the group or restarted."""
        self._peer_sequences.pop(sender, None)
        for upstream in self._upstreams.values():
            upstream.observed.peers.pop(sender, None)

    def own_evidence(self, now_s: float) -> Evidence:
        """Return this instance's observations of all upstreams."""
        return self._evidence(list(self._upstreams.values()), now_s)

    def urgent_evidence(self, now_s: float) -> Evidence | None:
        """Return observations to be sent to the group at once, None when there are none."""
        urgent = [upstream for upstream in self._upstreams.values() if upstream.urgent]
        return self._evidence(urgent, now_s) if urgent else None

    def tick(self, now_s: float) -> None:
        """Evaluate what depends on time: overdue attempts, ends of ejections, ramps."""
        self._in_flight_attempts.update_overdue(self._upstreams, self._recorder, now_s)
        for upstream in self._upstreams.values():
            lifecycle = upstream.lifecycle
            is_suspicious = lifecycle.suspicion >= _SUSPICIOUS or lifecycle.is_out
            if is_suspicious or upstream.observed.overdue:
                self._evaluate(upstream, now_s)
            else:
                self._advance(upstream, now_s)

    def verdict(self, upstream: UpstreamName, now_s: float) -> Verdict:
        """Return the verdict on one upstream; an unknown upstream is healthy."""
        known = self._upstreams.get(upstream)
        if known is None:
            return Verdict(UpstreamState.HEALTHY, 1.0, Cause.NONE, now_s)
        covered = known.lifecycle.is_out and self._rights.may_eject(self.service, upstream, now_s)
        return self._shifted_by_shedding(known, known.lifecycle.verdict(covered, now_s))

    def verdicts(self, now_s: float) -> Mapping[UpstreamName, Verdict]:
        """Return the verdicts on all upstreams."""
        return {name: self.verdict(name, now_s) for name in self._upstreams}

    def peer_in_flight(self, upstream: UpstreamName) -> int:
        """Return the number of attempts in flight that the other members last reported."""
        known = self._upstreams.get(upstream)
        if known is None:
            return 0
        return sum(peer.in_flight for peer in known.observed.peers.values())

    def own_in_flight(self, upstream: UpstreamName) -> int:
        """Return the number of this instance's attempts in flight."""
        known = self._upstreams.get(upstream)
        return known.observed.in_flight if known is not None else 0

    def _changes_nothing(self, upstream: TrackedUpstream) -> bool:
        """Return whether no evaluation is needed: a healthy upstream succeeded again."""
        lifecycle = upstream.lifecycle
        healthy = lifecycle.state is UpstreamState.HEALTHY and lifecycle.suspicion < _SUSPICIOUS
        return healthy and upstream.observed.is_unsuspicious() and not upstream.observed.overdue

    def _track(self, name: UpstreamName, now_s: float) -> TrackedUpstream:
        lifecycle = Lifecycle(self._thresholds, self._ramp_s, self._rng, now_s, new=self._started)
        return TrackedUpstream(name, GroupObservations(now_s), lifecycle)

    def _merge_row(
        self,
        upstream: TrackedUpstream,
        sender: InstanceName,
        row: UpstreamObservation,
        now_s: float,
    ) -> None:
        upstream.observed.peers[sender] = PeerObservation(
            row.short, row.long, row.drifts, row.in_flight, row.generation, now_s
        )
        lifecycle = upstream.lifecycle
        if row.short.failures > 0 and row.generation >= lifecycle.generation:
            upstream.observed.mark_failing(now_s)
        if row.generation > lifecycle.generation:
            upstream.observed.clear(now_s)
            if row.ejected_s > 0:
                lifecycle.adopt_ejection(row.generation, row.ejected_s, now_s)
            else:
                lifecycle.generation = row.generation
        elif upstream.observed.peers[sender].is_urgent:
            self._evaluate(upstream, now_s)

    def _evidence(self, upstreams: Sequence[TrackedUpstream], now_s: float) -> Evidence:
        self._sequence += 1
        rows = [self._row(upstream, now_s) for upstream in upstreams]
        for upstream in upstreams:
            upstream.urgent = False
        return evidence_of(self.service, self._sequence, rows)

    def _row(self, upstream: TrackedUpstream, now_s: float) -> UpstreamObservation:
        lifecycle = upstream.lifecycle
        return UpstreamObservation(
            upstream.id,
            lifecycle.generation,
            lifecycle.ejected_for_s(now_s),
            upstream.observed.in_flight,
            upstream.observed.own_short(now_s),
            upstream.observed.own_long(now_s),
            upstream.observed.own_cusum(now_s),
        )

    def _advance(self, upstream: TrackedUpstream, now_s: float) -> None:
        if upstream.lifecycle.advance(now_s):
            upstream.observed.clear(now_s)

    def _evaluate(self, upstream: TrackedUpstream, now_s: float) -> None:
        """Update one upstream's state after new evidence."""
        self._advance(upstream, now_s)
        state = upstream.lifecycle.state
        if state is UpstreamState.TRIAL:
            self._assess_trial(upstream, now_s)
        elif state is not UpstreamState.EJECTED:
            self._assess(upstream, now_s)

    def _assess(self, upstream: TrackedUpstream, now_s: float) -> None:
        lifecycle = upstream.lifecycle
        assessment = self._detector.assess(upstream, self._upstreams.values(), now_s)
        lifecycle.suspicion = assessment.suspicion
        if assessment.conclusion is Conclusion.UPSTREAM:
            self._eject(upstream, assessment.cause, now_s)
        elif assessment.conclusion is Conclusion.PATH and not lifecycle.is_path_shifted(now_s):
            lifecycle.shift_from_path(now_s)

    def _assess_trial(self, upstream: TrackedUpstream, now_s: float) -> None:
        if self._detector.has_trial_failed(upstream, now_s):
            self._eject(upstream, upstream.lifecycle.cause, now_s)
        elif self._detector.has_trial_passed(upstream, now_s):
            upstream.lifecycle.end_trial(now_s)
            self._rights.release(self.service, upstream.name, now_s)

    def _eject(self, upstream: TrackedUpstream, cause: Cause, now_s: float) -> None:
        upstream.lifecycle.eject(cause, now_s)
        upstream.observed.clear(now_s)
        upstream.urgent = True
        self._rights.may_eject(self.service, upstream.name, now_s)

    def _shifted_by_shedding(self, upstream: TrackedUpstream, verdict: Verdict) -> Verdict:
        """Reduce the weight of an upstream that sheds load that others accept; never eject it."""
        excess = upstream.observed.shed_share - self._recorder.shed_share
        if excess < _SHED_EXCESS or not verdict.in_service or verdict.idempotent_only:
            return verdict
        weight = verdict.weight * max(_SHED_MIN_WEIGHT, 1.0 - excess)
        return Verdict(UpstreamState.DEGRADED, weight, Cause.SHEDDING, verdict.since_s)
