"""The health of one service's upstreams as one instance judges it."""

import random
from collections.abc import Mapping, Sequence

from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.settings import Detection
from egretrail.upstream._attempt import Attempt
from egretrail.upstream._evidence import Evidence, UpstreamObservation, evidence_of
from egretrail.upstream._jury import Finding, Jury
from egretrail.upstream._lifecycle import Lifecycle
from egretrail.upstream._observed import Observed, PeerObservation
from egretrail.upstream._recorder import Recorder
from egretrail.upstream._rights import EjectionRights
from egretrail.upstream._thresholds import thresholds
from egretrail.upstream._tracked import TrackedUpstream
from egretrail.upstream._under_way import AttemptsUnderWay
from egretrail.upstream._verdict import Cause, UpstreamState, Verdict

#: An upstream that declines work keeps at least this share, to notice that it accepts again.
_SHED_FLOOR = 0.2

#: Declining this much more often than the service's upstreams on average shifts work away.
_SHED_NOTABLE = 0.2

#: From this part of the ejecting score on, an upstream is judged as time passes, not only when
#: something happens.
_DOUBTFUL = 0.5


class ServiceHealth:
    """Judges the upstreams of one service from real work, its own and its group's.

    Nothing that an upstream says of itself enters: health and load endpoints that lag or mislead
    can neither clear nor convict it.
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
        self._limits = thresholds(detection)
        self._ramp_s = ramp_s
        self._rights = rights
        self._rng = rng
        self._upstreams: dict[UpstreamName, TrackedUpstream] = {}
        self._by_id: dict[int, TrackedUpstream] = {}
        self._started = False
        self._under_way = AttemptsUnderWay()
        self._recorder = Recorder(self._limits)
        self._jury = Jury(self._limits, self._recorder)
        self._sequence = 0
        self._peer_sequences: dict[InstanceName, int] = {}

    def retune(self, detection: Detection, ramp_s: float) -> None:
        """Go on with changed settings; what was observed is kept."""
        self._limits = thresholds(detection)
        self._ramp_s = ramp_s
        self._recorder.use_limits(self._limits)
        self._jury.use_limits(self._limits)
        for upstream in self._upstreams.values():
            upstream.lifecycle.use_limits(self._limits, ramp_s)

    def set_upstreams(self, names: Sequence[UpstreamName], now_s: float) -> None:
        """Take over the service's upstreams; ones that join later than the first call ramp."""
        for gone in set(self._upstreams) - set(names):
            del self._upstreams[gone]
            self._recorder.forget_upstream(gone)
            self._rights.release(self.service, gone, now_s)
        for name in names:
            if name not in self._upstreams:
                self._upstreams[name] = self._track(name, now_s)
        self._by_id = {upstream.id: upstream for upstream in self._upstreams.values()}
        self._started = self._started or bool(names)

    def begin(self, upstream: UpstreamName, request_kind: str, now_s: float) -> int:
        """Note an attempt that begins; return its ticket for ``end``."""
        known = self._upstreams.get(upstream)
        if known is not None:
            known.observed.in_flight += 1
        return self._under_way.begin(upstream, request_kind, now_s)

    def end(self, ticket: int) -> None:
        """Note that the attempt with this ticket has ended; call ``record`` with its outcome."""
        name = self._under_way.end(ticket)
        known = self._upstreams.get(name) if name is not None else None
        if known is not None:
            known.observed.in_flight = max(0, known.observed.in_flight - 1)

    def record(self, attempt: Attempt, now_s: float, suspect: bool = False) -> None:
        """Take a finished attempt as evidence; ``suspect``: upstreams were lost with it before."""
        upstream = self._upstreams.get(attempt.upstream)
        if upstream is None or upstream.lifecycle.predates_return(attempt.started_s):
            return
        self._recorder.record(upstream, attempt, now_s, suspect)
        if self._needs_no_judgement(upstream):
            return
        self._evaluate(upstream, now_s)
        if upstream.observed.worth_telling(now_s):
            upstream.urgent = True

    def excuse(self, upstream: UpstreamName, observed_here: bool, now_s: float) -> None:
        """Take back a loss: the request turned out to crash other upstreams as well."""
        known = self._upstreams.get(upstream)
        if known is not None:
            if observed_here:
                known.observed.excuse_loss()
            known.lifecycle.excuse(now_s)
            known.lifecycle.crashed(now_s)

    def merge(self, sender: InstanceName, evidence: Evidence, now_s: float) -> None:
        """Take another member's observations."""
        if evidence.sequence <= self._peer_sequences.get(sender, 0):
            return
        self._peer_sequences[sender] = evidence.sequence
        for row in evidence.rows():
            upstream = self._by_id.get(row.upstream)
            if upstream is not None:
                self._merge_row(upstream, sender, row, now_s)

    def forget_member(self, sender: InstanceName) -> None:
        """Drop the observations of a member that has left the group or started anew."""
        self._peer_sequences.pop(sender, None)
        for upstream in self._upstreams.values():
            upstream.observed.peers.pop(sender, None)

    def own_evidence(self, now_s: float) -> Evidence:
        """Return this instance's observations of all upstreams."""
        return self._evidence(list(self._upstreams.values()), now_s)

    def urgent_evidence(self, now_s: float) -> Evidence | None:
        """Return observations that the group should have at once, None when there are none."""
        urgent = [upstream for upstream in self._upstreams.values() if upstream.urgent]
        return self._evidence(urgent, now_s) if urgent else None

    def tick(self, now_s: float) -> None:
        """Let time pass: overdue attempts, ends of ejections, ramps."""
        self._under_way.find_overdue(self._upstreams, self._recorder, now_s)
        for upstream in self._upstreams.values():
            lifecycle = upstream.lifecycle
            doubtful = lifecycle.suspicion >= _DOUBTFUL or lifecycle.out
            if doubtful or upstream.observed.overdue:
                self._evaluate(upstream, now_s)
            else:
                self._advance(upstream, now_s)

    def verdict(self, upstream: UpstreamName, now_s: float) -> Verdict:
        """Return the decision on one upstream."""
        known = self._upstreams.get(upstream)
        if known is None:
            return Verdict(UpstreamState.HEALTHY, 1.0, Cause.NONE, now_s)
        covered = known.lifecycle.out and self._rights.may_eject(self.service, upstream, now_s)
        return self._shifted_by_shedding(known, known.lifecycle.verdict(covered, now_s))

    def verdicts(self, now_s: float) -> Mapping[UpstreamName, Verdict]:
        """Return the decisions on all upstreams."""
        return {name: self.verdict(name, now_s) for name in self._upstreams}

    def peer_in_flight(self, upstream: UpstreamName) -> int:
        """Return the attempts that the group's other members last said they have under way."""
        known = self._upstreams.get(upstream)
        if known is None:
            return 0
        return sum(peer.in_flight for peer in known.observed.peers.values())

    def own_in_flight(self, upstream: UpstreamName) -> int:
        """Return the attempts that this instance has under way."""
        known = self._upstreams.get(upstream)
        return known.observed.in_flight if known is not None else 0

    def _needs_no_judgement(self, upstream: TrackedUpstream) -> bool:
        """Return whether an attempt changes nothing: a healthy upstream did well again."""
        lifecycle = upstream.lifecycle
        healthy = lifecycle.state is UpstreamState.HEALTHY and lifecycle.suspicion < _DOUBTFUL
        return healthy and upstream.observed.is_quiet() and not upstream.observed.overdue

    def _track(self, name: UpstreamName, now_s: float) -> TrackedUpstream:
        lifecycle = Lifecycle(self._limits, self._ramp_s, self._rng, now_s, new=self._started)
        return TrackedUpstream(name, Observed(now_s), lifecycle)

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
            upstream.observed.note_failure(now_s)
        if row.generation > lifecycle.generation:
            upstream.observed.clear(now_s)
            if row.ejected_s > 0:
                lifecycle.adopt(row.generation, row.ejected_s, now_s)
            else:
                lifecycle.generation = row.generation
        elif upstream.observed.peers[sender].worth_telling:
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
            upstream.observed.own_drifts(now_s),
        )

    def _advance(self, upstream: TrackedUpstream, now_s: float) -> None:
        if upstream.lifecycle.advance(now_s):
            upstream.observed.clear(now_s)

    def _evaluate(self, upstream: TrackedUpstream, now_s: float) -> None:
        """Draw the consequences of new evidence on one upstream."""
        self._advance(upstream, now_s)
        state = upstream.lifecycle.state
        if state is UpstreamState.TRIAL:
            self._judge_trial(upstream, now_s)
        elif state is not UpstreamState.EJECTED:
            self._judge(upstream, now_s)

    def _judge(self, upstream: TrackedUpstream, now_s: float) -> None:
        lifecycle = upstream.lifecycle
        judgement = self._jury.judge(upstream, self._upstreams.values(), now_s)
        lifecycle.suspicion = judgement.suspicion
        if judgement.finding is Finding.UPSTREAM:
            self._eject(upstream, judgement.cause, now_s)
        elif judgement.finding is Finding.PATH and not lifecycle.on_path_shift(now_s):
            lifecycle.shift_from_path(now_s)

    def _judge_trial(self, upstream: TrackedUpstream, now_s: float) -> None:
        if self._jury.trial_failed(upstream, now_s):
            self._eject(upstream, upstream.lifecycle.cause, now_s)
        elif self._jury.trial_passed(upstream, now_s):
            upstream.lifecycle.end_trial(now_s)
            self._rights.release(self.service, upstream.name, now_s)

    def _eject(self, upstream: TrackedUpstream, cause: Cause, now_s: float) -> None:
        upstream.lifecycle.eject(cause, now_s)
        upstream.observed.clear(now_s)
        upstream.urgent = True
        self._rights.may_eject(self.service, upstream.name, now_s)

    def _shifted_by_shedding(self, upstream: TrackedUpstream, verdict: Verdict) -> Verdict:
        """Shift work from an upstream that declines what others accept; it stays in service."""
        excess = upstream.observed.shed_share - self._recorder.shed_share
        if excess < _SHED_NOTABLE or not verdict.in_service or verdict.idempotent_only:
            return verdict
        weight = verdict.weight * max(_SHED_FLOOR, 1.0 - excess)
        return Verdict(UpstreamState.DEGRADED, weight, Cause.SHEDDING, verdict.since_s)
