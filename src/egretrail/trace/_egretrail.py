"""The policy of one instance, made of the daemon's scheduler and health code."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from egretrail.identity import InstanceName, UpstreamName
from egretrail.service import (
    ATTEMPT_RESULTS,
    REPORT_INTERVAL_S,
    Action,
    Candidate,
    DemandReport,
    DemandReporter,
    FairQueueing,
    GroupPosition,
    PeerDemands,
    QueueOrder,
    Scheduler,
    UpstreamWeights,
    Work,
    WorkId,
)
from egretrail.trace._policy import Peers, Policy, PolicyFactory
from egretrail.trace._records import TraceHeader
from egretrail.upstream import (
    Attempt,
    AttemptOutcome,
    Evidence,
    RequestAnswered,
    RequestLoss,
    ServiceHealth,
    SuspectRequests,
    UnlimitedRights,
    UpstreamState,
)

#: Interval at which all evidence is sent, as in the daemon.
_EVIDENCE_INTERVAL_S = 1.0
#: Urgent evidence is sent at once, but not more often than this.
_URGENT_INTERVAL_S = 0.02
#: Interval of the health ticks, as in the daemon.
_HEALTH_TICK_S = 0.0999
#: Number of upstreams that may be lost with one request; the settings' default.
_UPSTREAMS_PER_REQUEST = 2
#: Verdicts are cached for this long; failures and peers' evidence invalidate them at once.
_VERDICT_TTL_S = 0.1


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """Message to the other members that an upstream is draining."""

    #: The upstream.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Variant:
    """A variant of the decisions, for comparison."""

    #: Names the variant in tables.
    name: str = "egretrail"
    #: The queue's order.
    order: Callable[[], QueueOrder] = FairQueueing
    #: Whether members exchange their demand and divide the slots by it.
    share_slots: bool = True
    #: Whether each member has slots of its own.
    assigned_slots: bool = True
    #: Whether the members share evidence.
    share_evidence: bool = True


class _SchedulerView(UpstreamWeights):
    """Gives the scheduler the health, the listed upstreams and the peers' reports."""

    def __init__(
        self, header: TraceHeader, member: int, variant: Variant, health: ServiceHealth
    ) -> None:
        self._member = member
        self._size = len(header.members)
        self._traced_by_name = {each.name: each for each in header.upstreams}
        self._variant = variant
        self._health = health
        self._cached: list[Candidate] = []
        self._cached_s = float("-inf")
        self.listed: list[UpstreamName] = []
        self.draining: set[UpstreamName] = set()
        self.suspects = SuspectRequests(_UPSTREAMS_PER_REQUEST)
        self.demands = PeerDemands()

    def invalidate_verdicts(self) -> None:
        """Evaluate the upstreams again at the next use."""
        self._cached_s = float("-inf")

    def usable(self, now_s: float) -> Sequence[Candidate]:
        """Return the listed upstreams in service."""
        if now_s - self._cached_s >= _VERDICT_TTL_S:
            self._cached_s = now_s
            names = [name for name in self.listed if name not in self.draining]
            candidates = [self._candidate(name, now_s) for name in names]
            self._cached = [each for each in candidates if each is not None]
        return self._cached

    def _candidate(self, name: UpstreamName, now_s: float) -> Candidate | None:
        verdict = self._health.verdict(name, now_s)
        if not verdict.in_service:
            return None
        traced = self._traced_by_name[name]
        return Candidate(
            name,
            traced.availability_zone,
            verdict.weight,
            verdict.state is UpstreamState.TRIAL,
            traced.stated_slots,
            self._health.peer_in_flight(name),
        )

    def group_position(self) -> GroupPosition:
        """Return the instance's position in the group."""
        if not self._variant.assigned_slots:
            return GroupPosition()
        return GroupPosition(self._member, self._size)

    def peer_demands(self, now_s: float) -> Sequence[float]:
        """Return the demands that peers reported."""
        return self.demands.demands(now_s) if self._variant.share_slots else ()

    def permits_another_upstream(self, digest: bytes, now_s: float) -> bool:
        """Return whether the request may be sent to one more upstream."""
        return self.suspects.permits_another_upstream(int.from_bytes(digest, "big"), now_s)


class EgretrailPolicy(Policy):
    """The scheduler and the health of one instance, and its messages to peers."""

    def __init__(
        self, header: TraceHeader, member: int, peers: Peers, seed: int, variant: Variant
    ) -> None:
        rng = random.Random(seed)
        self._peers = peers
        self._member_names = [each.name for each in header.members]
        self._variant = variant
        self._health = ServiceHealth(
            header.service, header.detection, header.ramp_s, UnlimitedRights(), rng
        )
        self._view = _SchedulerView(header, member, variant, self._health)
        zone = header.members[member].availability_zone
        self.scheduler = Scheduler(zone, self._view, header.retry_budget, rng, variant.order)
        self._reporter = DemandReporter(header.service)
        self._service = header.service
        self._next_report_s = 0.0
        self._next_health_s = 0.0
        self._next_urgent_s = 0.0
        self._next_evidence_s = _EVIDENCE_INTERVAL_S * rng.random()
        self._tickets: dict[tuple[WorkId, UpstreamName], int] = {}

    def set_upstreams(self, upstreams: Sequence[UpstreamName], now_s: float) -> None:
        """Replace the listed upstreams."""
        self._view.listed = list(upstreams)
        self._health.set_upstreams(upstreams, now_s)
        self._view.invalidate_verdicts()

    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Submit a request that has just arrived."""
        return self.scheduler.submit(work, now_s)

    def record_attempt_start(self, upstream: UpstreamName, work: Work, now_s: float) -> None:
        """Record an attempt that was sent."""
        ticket = self._health.record_start(upstream, str(work.cost_class), now_s)
        self._tickets[(work.work_id, upstream)] = ticket
        self._view.suspects.record_start(int.from_bytes(work.digest, "big"), upstream)

    def record_attempt_end(
        self, work_id: WorkId, attempt: Attempt, now_s: float
    ) -> Sequence[Action]:
        """Record the outcome of an attempt and report it to the peers as needed."""
        self._health.record_end(self._tickets.pop((work_id, attempt.upstream)))
        suspects = self._view.suspects
        suspects.record_end(attempt.request_digest, attempt.upstream)
        lost_upstreams = suspects.lost_upstreams(attempt.request_digest)
        is_suspect = any(name != attempt.upstream for name in lost_upstreams)
        self._health.record_outcome(attempt, now_s, is_suspect)
        self._report_request(attempt, now_s)
        if attempt.outcome is AttemptOutcome.DRAINING:
            self._mark_draining(attempt.upstream)
            self._peers.broadcast(DrainNotice(attempt.upstream))
        if attempt.outcome is not AttemptOutcome.ANSWERED:
            self._view.invalidate_verdicts()
            self._send_urgent_evidence(now_s)
        return self.scheduler.record_attempt_end(
            work_id, attempt.upstream, ATTEMPT_RESULTS[attempt.outcome], now_s
        )

    def handle_message(self, sender: int, message: object, now_s: float) -> Sequence[Action]:
        """Handle a message from another member."""
        match message:
            case Evidence():
                self._health.apply_evidence(self._member_names[sender], message, now_s)
            case RequestLoss():
                self._record_loss(message.request_digest, message.upstream, False, now_s)
            case RequestAnswered():
                self._view.suspects.clear(message.request_digest)
            case DrainNotice():
                self._mark_draining(message.upstream)
            case DemandReport():
                self._view.demands.record_report(InstanceName(str(sender)), message, now_s)
                return self.scheduler.tick(now_s)
            case _:
                raise TypeError(f"unexpected message {message!r}")
        self._view.invalidate_verdicts()
        return self.scheduler.tick(now_s)

    def tick(self, now_s: float) -> Sequence[Action]:
        """Advance health and the scheduler, and send the reports that are due."""
        if now_s >= self._next_health_s:
            self._next_health_s = now_s + _HEALTH_TICK_S
            self._health.tick(now_s)
            self._send_urgent_evidence(now_s)
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + REPORT_INTERVAL_S
            self._send_demand(now_s)
        if now_s >= self._next_evidence_s and self._variant.share_evidence:
            self._next_evidence_s = now_s + _EVIDENCE_INTERVAL_S
            self._peers.broadcast(self._health.own_evidence(now_s))
        return self.scheduler.tick(now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the scheduler is due; the player also ticks at a fixed interval."""
        return self.scheduler.next_wakeup_s()

    def ejected(self, now_s: float) -> frozenset[UpstreamName]:
        """Return the upstreams that health has ejected."""
        usable = {each.name for each in self._view.usable(now_s)}
        listed = set(self._view.listed) - self._view.draining
        return frozenset(listed - usable)

    def _report_request(self, attempt: Attempt, now_s: float) -> None:
        """Report to the peers that a request lost an upstream or that it was answered."""
        digest = attempt.request_digest
        if attempt.outcome in (AttemptOutcome.LOST, AttemptOutcome.TRUNCATED):
            self._record_loss(digest, attempt.upstream, True, now_s)
            self._peers.broadcast(RequestLoss(self._service, digest, attempt.upstream))
            return
        is_answered = attempt.outcome is AttemptOutcome.ANSWERED
        if is_answered and self._view.suspects.clear(digest):
            self._peers.broadcast(RequestAnswered(self._service, digest))

    def _record_loss(
        self, digest: int, upstream: UpstreamName, observed_here: bool, now_s: float
    ) -> None:
        """Record a loss; a second one shows that the request, not the upstream, caused both."""
        suspects = self._view.suspects
        earlier = [name for name in suspects.lost_upstreams(digest) if name != upstream]
        suspects.record_loss(digest, upstream, now_s)
        for name in earlier:
            self._health.retract_loss(name, observed_here, now_s)

    def _mark_draining(self, upstream: UpstreamName) -> None:
        self._view.draining.add(upstream)
        self._view.invalidate_verdicts()

    def _send_urgent_evidence(self, now_s: float) -> None:
        if now_s < self._next_urgent_s:
            return
        evidence = self._health.urgent_evidence(now_s)
        if evidence is not None and self._variant.share_evidence:
            self._next_urgent_s = now_s + _URGENT_INTERVAL_S
            self._peers.broadcast(evidence)

    def _send_demand(self, now_s: float) -> None:
        report = self._reporter.next_report(self.scheduler.demand, now_s)
        if report is not None and self._variant.share_slots:
            self._peers.broadcast(report)


class EgretrailFactory(PolicyFactory):
    """Creates policies with the daemon's decisions, in one of their variants."""

    def __init__(self, variant: Variant | None = None) -> None:
        self._variant = variant or Variant()
        self.name = self._variant.name

    def make(self, header: TraceHeader, member: int, peers: Peers, seed: int) -> Policy:
        """Return the policy of one instance."""
        return EgretrailPolicy(header, member, peers, seed, self._variant)
