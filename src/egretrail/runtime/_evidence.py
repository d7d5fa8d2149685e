"""Exchanges observed upstream health among the members of each service's group."""

import asyncio
from collections.abc import Callable, Sequence

from egretrail.fleet import FleetView
from egretrail.identity import Incarnation, InstanceName, ServiceName, UpstreamName
from egretrail.peer import PeerNetwork
from egretrail.runtime._request_losses import RequestLossPublisher
from egretrail.upstream import Attempt, AttemptOutcome, Evidence, ServiceHealth, SuspectRequests
from egretrail.wire import Message

#: Interval of timer processing. Overdue attempts and the ends of ejections are detected with at
#: most this delay.
TICK_S = 0.1

#: Interval at which all observations of a service are sent. Urgent ones are sent without waiting.
INTERVAL_S = 1.0

#: Shortest interval between urgent messages of a service. During an overload every upstream fails
#: continuously, and each failure would cost a message to each member.
URGENT_INTERVAL_S = 0.02

#: Bandwidth of one instance for periodic evidence, out of 9 KB/s for all control traffic. With
#: large groups or many services the interval grows so that the budget holds.
BUDGET_BYTES_PER_S = 2500.0

#: Measured size of one upstream's row, and of the rest of a message; see docs/design/health.md.
_ROW_SIZE_BYTES = 20
_HEAD_SIZE_BYTES = 160

#: Outcomes after which the upstream is suspected, and possibly the request that caused the loss.
_LOSSES = (AttemptOutcome.LOST, AttemptOutcome.TRUNCATED)


class _ServiceState:
    """State of one service that this instance serves."""

    def __init__(self, health: ServiceHealth, suspects: SuspectRequests) -> None:
        self.health = health
        self.suspects = suspects
        self.next_send_s = 0.0
        self.urgent_after_s = 0.0
        #: The members that were asked for the request losses they hold.
        self.synced_members: frozenset[InstanceName] = frozenset()


class EvidenceDriver:
    """Keeps the upstream health of each served service and shares it with the service's group."""

    def __init__(
        self,
        own: Incarnation,
        network: PeerNetwork,
        view: FleetView,
        make_health: Callable[[ServiceName], ServiceHealth],
        make_suspects: Callable[[ServiceName], SuspectRequests],
    ) -> None:
        self._own = own
        self._network = network
        self._view = view
        self._make_health = make_health
        self._make_suspects = make_suspects
        self._services: dict[ServiceName, _ServiceState] = {}
        self._incarnations: dict[InstanceName, Incarnation] = {}
        self._task: asyncio.Task[None] | None = None
        self._loss_publisher = RequestLossPublisher(
            network,
            suspects=lambda service: self._service(service).suspects,
            health=lambda service: self._service(service).health,
            peers=self._peers,
        )

    async def start(self) -> None:
        """Start exchanging evidence."""
        self._network.on(Evidence, self._on_evidence)
        self._loss_publisher.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop the exchange; the evidence held here is discarded."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._loss_publisher.stop()

    def health(self, service: ServiceName) -> ServiceHealth:
        """Return the health of a service, created at the first call."""
        return self._service(service).health

    def suspects(self, service: ServiceName) -> SuspectRequests:
        """Return the suspect requests of a service, created at the first call."""
        return self._service(service).suspects

    def record_attempt_start(
        self, service: ServiceName, upstream: UpstreamName, digest: int, request_kind: str
    ) -> int:
        """Record the start of an attempt; return the ticket to pass to ``record_attempt_end``."""
        state = self._service(service)
        state.suspects.record_start(digest, upstream)
        return state.health.record_start(upstream, request_kind, self._now_s())

    async def record_attempt_end(self, service: ServiceName, ticket: int, attempt: Attempt) -> None:
        """Record a finished attempt.

        After a loss, return once the group has acknowledged the loss or ``ACKNOWLEDGE_LIMIT_S`` has
        passed. Await this before the client gets its final response: a resend then reaches a member
        that already knows about the loss, unless that member was unreachable.
        """
        state = self._service(service)
        state.health.record_end(ticket)
        state.suspects.record_end(attempt.request_digest, attempt.upstream)
        earlier = [
            name
            for name in state.suspects.lost_upstreams(attempt.request_digest)
            if name != attempt.upstream
        ]
        state.health.record_outcome(attempt, self._now_s(), suspect=bool(earlier))
        self._send_urgent(service, state)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._loss_publisher.report_answer(service, attempt.request_digest)
        elif attempt.outcome in _LOSSES:
            lasted_s = self._now_s() - attempt.started_s
            await self._loss_publisher.report_loss(
                service, attempt.request_digest, attempt.upstream, lasted_s
            )

    async def permits_another_upstream(self, service: ServiceName, digest: int) -> bool:
        """Return whether a request may be sent to one more upstream; check before each attempt."""
        return self._service(service).suspects.permits_another_upstream(digest, self._now_s())

    def peer_in_flight(self, service: ServiceName, upstream: UpstreamName) -> int:
        """Return the attempts in flight that the group's other members last reported."""
        return self._service(service).health.peer_in_flight(upstream)

    def _service(self, service: ServiceName) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = _ServiceState(self._make_health(service), self._make_suspects(service))
            self._services[service] = state
            self._sync_new_peers(service, state)
        return state

    def _sync_new_peers(self, service: ServiceName, state: _ServiceState) -> None:
        """Exchange request losses with members that are new to this instance.

        A loss is reported to the members known at that time. Without this exchange, a member that
        joins or is discovered later would run the request again.
        """
        peers = frozenset(self._peers(service))
        for peer in peers - state.synced_members:
            self._loss_publisher.fetch_losses(peer, service)
        state.synced_members = peers

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = self._now_s()
            for service, state in list(self._services.items()):
                state.health.tick(now_s)
                self._sync_new_peers(service, state)
                self._send_urgent(service, state)
                if now_s >= state.next_send_s:
                    state.next_send_s = now_s + self._send_all(service, state, now_s)

    def _send_all(self, service: ServiceName, state: _ServiceState, now_s: float) -> float:
        """Send all observations of a service; return the delay in seconds until the next time."""
        peers = self._peers(service)
        evidence = state.health.own_evidence(now_s)
        for peer in peers:
            self._network.send(peer, evidence)
        size_bytes = _HEAD_SIZE_BYTES + _ROW_SIZE_BYTES * len(evidence.upstreams)
        cost_bytes = size_bytes * len(peers) * len(self._services)
        return max(INTERVAL_S, cost_bytes / BUDGET_BYTES_PER_S)

    def _send_urgent(self, service: ServiceName, state: _ServiceState) -> None:
        now_s = self._now_s()
        if now_s < state.urgent_after_s:
            return
        evidence = state.health.urgent_evidence(now_s)
        if evidence is None:
            return
        state.urgent_after_s = now_s + URGENT_INTERVAL_S
        for peer in self._peers(service):
            self._network.send(peer, evidence)

    def _peers(self, service: ServiceName) -> Sequence[InstanceName]:
        return [
            member.name for member in self._view.group(service) if member.name != self._own.instance
        ]

    async def _on_evidence(self, sender: Incarnation, evidence: Evidence) -> Message | None:
        if self._incarnations.get(sender.instance) != sender:
            self._incarnations[sender.instance] = sender
            for state in self._services.values():
                state.health.remove_member(sender.instance)
        served = self._services.get(evidence.service)
        if served is not None:
            served.health.apply_evidence(sender.instance, evidence, self._now_s())
            self._send_urgent(evidence.service, served)
        return None

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
