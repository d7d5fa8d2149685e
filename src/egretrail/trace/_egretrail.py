"""One instance with the decisions that the daemon runs."""

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

#: All evidence is sent this often, as by the daemon; urgent evidence at once, but not in a storm.
_EVIDENCE_S = 1.0
_URGENT_S = 0.02
#: How often health is given the time, as by the daemon.
_HEALTH_S = 0.0999
#: Upstreams that one request may be lost with, the settings' default.
_UPSTREAMS_PER_REQUEST = 2
#: Verdicts are taken anew after this long, or at once after a failure or a peer's evidence.
_VERDICTS_VALID_S = 0.1


@dataclass(frozen=True, slots=True)
class DrainNotice:
    """Tells the other members that an upstream is leaving."""

    #: The upstream.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Variant:
    """A choice inside the decisions that the measure compares."""

    #: Names the variant in tables.
    name: str = "egretrail"
    #: The queue's order.
    order: Callable[[], QueueOrder] = FairQueueing
    #: Whether members tell each other their demand and divide the slots by it.
    share_slots: bool = True
    #: Whether each member has own slots.
    home_slots: bool = True
    #: Whether the members share evidence.
    share_evidence: bool = True


class _Weights(UpstreamWeights):
    """Shows health, the instance list and the peers' reports to the scheduler."""

    def __init__(
        self, header: TraceHeader, member: int, variant: Variant, health: ServiceHealth
    ) -> None:
        self._member = member
        self._size = len(header.members)
        self._traced = {each.name: each for each in header.upstreams}
        self._variant = variant
        self._health = health
        self._cached: list[Candidate] = []
        self._cached_s = float("-inf")
        self.listed: list[UpstreamName] = []
        self.draining: set[UpstreamName] = set()
        self.suspects = SuspectRequests(_UPSTREAMS_PER_REQUEST)
        self.demands = PeerDemands()

    def expire(self) -> None:
        """Take the verdicts anew at the next use."""
        self._cached_s = float("-inf")

    def usable(self, now_s: float) -> Sequence[Candidate]:
        """Return the listed upstreams in service."""
        if now_s - self._cached_s >= _VERDICTS_VALID_S:
            self._cached_s = now_s
            names = [name for name in self.listed if name not in self.draining]
            found = [self._candidate(name, now_s) for name in names]
            self._cached = [each for each in found if each is not None]
        return self._cached

    def _candidate(self, name: UpstreamName, now_s: float) -> Candidate | None:
        verdict = self._health.verdict(name, now_s)
        if not verdict.in_service:
            return None
        traced = self._traced[name]
        return Candidate(
            name,
            traced.availability_zone,
            verdict.weight,
            verdict.state is UpstreamState.TRIAL,
            traced.stated_slots,
            self._health.peer_in_flight(name),
        )

    def group_position(self) -> GroupPosition:
        """Return the instance's place in the group."""
        if not self._variant.home_slots:
            return GroupPosition()
        return GroupPosition(self._member, self._size)

    def peer_demands(self, now_s: float) -> Sequence[float]:
        """Return the demands that peers reported."""
        return self.demands.demands(now_s) if self._variant.share_slots else ()

    def permits_another_upstream(self, digest: bytes, now_s: float) -> bool:
        """Return whether fewer upstreams than allowed were lost with the request."""
        return self.suspects.permits_another_upstream(int.from_bytes(digest, "big"), now_s)


class EgretrailPolicy(Policy):
    """The scheduler and the health of one instance, and what it tells its peers."""

    def __init__(
        self, header: TraceHeader, member: int, peers: Peers, seed: int, variant: Variant
    ) -> None:
        rng = random.Random(seed)
        self._peers = peers
        self._names = [each.name for each in header.members]
        self._variant = variant
        self._health = ServiceHealth(
            header.service, header.detection, header.ramp_s, UnlimitedRights(), rng
        )
        self._weights = _Weights(header, member, variant, self._health)
        zone = header.members[member].availability_zone
        self.scheduler = Scheduler(zone, self._weights, header.retry_budget, rng, variant.order)
        self._reporter = DemandReporter(header.service)
        self._service = header.service
        self._report_s = 0.0
        self._health_s = 0.0
        self._urgent_s = 0.0
        self._evidence_s = _EVIDENCE_S * rng.random()
        self._tickets: dict[tuple[WorkId, UpstreamName], int] = {}

    def listed(self, upstreams: Sequence[UpstreamName], now_s: float) -> None:
        """Take a new state of the instance list."""
        self._weights.listed = list(upstreams)
        self._health.set_upstreams(upstreams, now_s)
        self._weights.expire()

    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Take a request that has just come."""
        return self.scheduler.submit(work, now_s)

    def started(self, upstream: UpstreamName, work: Work, now_s: float) -> None:
        """Note an attempt that was sent."""
        ticket = self._health.record_start(upstream, str(work.cost_class), now_s)
        self._tickets[(work.work_id, upstream)] = ticket
        self._weights.suspects.record_start(int.from_bytes(work.digest, "big"), upstream)

    def finished(self, work_id: WorkId, attempt: Attempt, now_s: float) -> Sequence[Action]:
        """Take the end of an attempt as evidence, tell the peers, and go on."""
        self._health.record_end(self._tickets.pop((work_id, attempt.upstream)))
        suspects = self._weights.suspects
        suspects.record_end(attempt.request_digest, attempt.upstream)
        touched = suspects.lost_upstreams(attempt.request_digest)
        suspect = any(name != attempt.upstream for name in touched)
        self._health.record_outcome(attempt, now_s, suspect)
        self._tell_of_request(attempt, now_s)
        if attempt.outcome is AttemptOutcome.DRAINING:
            self._drains(attempt.upstream)
            self._peers.tell(DrainNotice(attempt.upstream))
        if attempt.outcome is not AttemptOutcome.ANSWERED:
            self._weights.expire()
            self._tell_urgent(now_s)
        return self.scheduler.record_attempt_end(
            work_id, attempt.upstream, ATTEMPT_RESULTS[attempt.outcome], now_s
        )

    def received(self, sender: int, message: object, now_s: float) -> Sequence[Action]:
        """Take a message from another member."""
        match message:
            case Evidence():
                self._health.apply_evidence(self._names[sender], message, now_s)
            case RequestLoss():
                self._note_loss(message.request_digest, message.upstream, False, now_s)
            case RequestAnswered():
                self._weights.suspects.clear(message.request_digest)
            case DrainNotice():
                self._drains(message.upstream)
            case DemandReport():
                self._weights.demands.record_report(InstanceName(str(sender)), message, now_s)
                return self.scheduler.tick(now_s)
            case _:
                raise TypeError(f"unexpected message {message!r}")
        self._weights.expire()
        return self.scheduler.tick(now_s)

    def tick(self, now_s: float) -> Sequence[Action]:
        """Let time pass for health and the scheduler, and send what is due."""
        if now_s >= self._health_s:
            self._health_s = now_s + _HEALTH_S
            self._health.tick(now_s)
            self._tell_urgent(now_s)
        if now_s >= self._report_s:
            self._report_s = now_s + REPORT_INTERVAL_S
            self._tell_demand(now_s)
        if now_s >= self._evidence_s and self._variant.share_evidence:
            self._evidence_s = now_s + _EVIDENCE_S
            self._peers.tell(self._health.own_evidence(now_s))
        return self.scheduler.tick(now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when the scheduler is due; the player ticks besides."""
        return self.scheduler.next_wakeup_s()

    def ejected(self, now_s: float) -> frozenset[UpstreamName]:
        """Return the upstreams that health has ejected."""
        usable = {each.name for each in self._weights.usable(now_s)}
        listed = set(self._weights.listed) - self._weights.draining
        return frozenset(listed - usable)

    def _tell_of_request(self, attempt: Attempt, now_s: float) -> None:
        """Tell the peers of a request that upstreams are lost with, or that it was answered."""
        digest = attempt.request_digest
        if attempt.outcome in (AttemptOutcome.LOST, AttemptOutcome.TRUNCATED):
            self._note_loss(digest, attempt.upstream, True, now_s)
            self._peers.tell(RequestLoss(self._service, digest, attempt.upstream))
            return
        answered = attempt.outcome is AttemptOutcome.ANSWERED
        if answered and self._weights.suspects.clear(digest):
            self._peers.tell(RequestAnswered(self._service, digest))

    def _note_loss(
        self, digest: int, upstream: UpstreamName, observed_here: bool, now_s: float
    ) -> None:
        """Remember a loss; a second one shows that the request is to blame for the first."""
        suspects = self._weights.suspects
        before = [name for name in suspects.lost_upstreams(digest) if name != upstream]
        suspects.record_loss(digest, upstream, now_s)
        for name in before:
            self._health.retract_loss(name, observed_here, now_s)

    def _drains(self, upstream: UpstreamName) -> None:
        self._weights.draining.add(upstream)
        self._weights.expire()

    def _tell_urgent(self, now_s: float) -> None:
        if now_s < self._urgent_s:
            return
        evidence = self._health.urgent_evidence(now_s)
        if evidence is not None and self._variant.share_evidence:
            self._urgent_s = now_s + _URGENT_S
            self._peers.tell(evidence)

    def _tell_demand(self, now_s: float) -> None:
        report = self._reporter.next_report(self.scheduler.demand, now_s)
        if report is not None and self._variant.share_slots:
            self._peers.tell(report)


class EgretrailFactory(PolicyFactory):
    """Makes instances with the daemon's decisions, in one of their variants."""

    def __init__(self, variant: Variant | None = None) -> None:
        self._variant = variant or Variant()
        self.name = self._variant.name

    def make(self, header: TraceHeader, member: int, peers: Peers, seed: int) -> Policy:
        """Return the policy of one instance."""
        return EgretrailPolicy(header, member, peers, seed, self._variant)
