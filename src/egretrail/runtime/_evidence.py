"""Exchanges evidence about upstreams among the members of each service's group."""

import asyncio
from collections.abc import Callable, Sequence

from egretrail.fleet import FleetView
from egretrail.identity import Incarnation, InstanceName, ServiceName, UpstreamName
from egretrail.peer import PeerNetwork
from egretrail.runtime._request_losses import RequestLossTeller
from egretrail.upstream import Attempt, AttemptOutcome, Evidence, ServiceHealth, SuspectRequests
from egretrail.wire import Message

#: How often time is let pass: overdue attempts and ends of ejections are found this late.
TICK_S = 0.1

#: All observations of a service are sent this often; what matters at once is sent at once.
INTERVAL_S = 1.0

#: Urgent observations of a service are sent at most this often: under an overload every upstream
#: fails all the time, and each failure would be a message to each member.
URGENT_INTERVAL_S = 0.02

#: What one instance may spend on periodic evidence, of the 9 KB/s that control may cost. Longer
#: intervals keep to it when groups and services are large.
BUDGET_BYTES_PER_S = 2500.0

#: Size of one upstream's row and of the rest of a message, as measured; see docs/design/health.md.
_ROW_SIZE_BYTES = 20
_HEAD_SIZE_BYTES = 160

#: Losses after which the upstream, and so perhaps the request, is suspected.
_LOSSES = (AttemptOutcome.LOST, AttemptOutcome.TRUNCATED)


class _Service:
    """One service that this instance serves."""

    def __init__(self, health: ServiceHealth, suspects: SuspectRequests) -> None:
        self.health = health
        self.suspects = suspects
        self.next_s = 0.0
        self.urgent_after_s = 0.0
        #: The members that were asked for the losses they remember.
        self.met: frozenset[InstanceName] = frozenset()


class EvidenceDriver:
    """Keeps each served service's health, and shares it with the service's group."""

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
        self._services: dict[ServiceName, _Service] = {}
        self._incarnations: dict[InstanceName, Incarnation] = {}
        self._task: asyncio.Task[None] | None = None
        self._teller = RequestLossTeller(
            network,
            suspects=lambda service: self._service(service).suspects,
            health=lambda service: self._service(service).health,
            peers=self._peers,
        )

    async def start(self) -> None:
        """Begin to exchange evidence."""
        self._network.on(Evidence, self._on_evidence)
        self._teller.start()
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop; what is held is dropped."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._teller.stop()

    def health(self, service: ServiceName) -> ServiceHealth:
        """Return the health of a service, made at the first call."""
        return self._service(service).health

    def suspects(self, service: ServiceName) -> SuspectRequests:
        """Return the suspect requests of a service, made at the first call."""
        return self._service(service).suspects

    def begin(
        self, service: ServiceName, upstream: UpstreamName, digest: int, request_kind: str
    ) -> int:
        """Note an attempt that begins; return its ticket."""
        held = self._service(service)
        held.suspects.record_start(digest, upstream)
        return held.health.record_start(upstream, request_kind, self._now_s())

    async def finish(self, service: ServiceName, ticket: int, attempt: Attempt) -> None:
        """Take a finished attempt; for a loss, return when the group was told, or after a bound.

        Await it before the caller is answered finally: a resend to any member that could be told
        then meets a member that knows.
        """
        held = self._service(service)
        held.health.record_end(ticket)
        held.suspects.record_end(attempt.request_digest, attempt.upstream)
        others = [
            name
            for name in held.suspects.lost_upstreams(attempt.request_digest)
            if name != attempt.upstream
        ]
        held.health.record_outcome(attempt, self._now_s(), suspect=bool(others))
        self._send_urgent(service, held)
        if attempt.outcome is AttemptOutcome.ANSWERED:
            self._teller.answered(service, attempt.request_digest)
        elif attempt.outcome in _LOSSES:
            lasted_s = self._now_s() - attempt.started_s
            await self._teller.lost(service, attempt.request_digest, attempt.upstream, lasted_s)

    async def may_touch(self, service: ServiceName, digest: int) -> bool:
        """Return whether a request may be sent to one more upstream; ask before each attempt."""
        return self._service(service).suspects.permits_another_upstream(digest, self._now_s())

    def peer_in_flight(self, service: ServiceName, upstream: UpstreamName) -> int:
        """Return the attempts that the group's other members last said they have under way."""
        return self._service(service).health.peer_in_flight(upstream)

    def _service(self, service: ServiceName) -> _Service:
        held = self._services.get(service)
        if held is None:
            held = _Service(self._make_health(service), self._make_suspects(service))
            self._services[service] = held
            self._meet_peers(service, held)
        return held

    def _meet_peers(self, service: ServiceName, held: _Service) -> None:
        """Exchange losses with members that this instance sees for the first time.

        A loss is told to the members that are known when it happens. One that joins later, or is
        seen later, would run the request again.
        """
        peers = frozenset(self._peers(service))
        for peer in peers - held.met:
            self._teller.met(peer, service)
        held.met = peers

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = self._now_s()
            for service, held in list(self._services.items()):
                held.health.tick(now_s)
                self._meet_peers(service, held)
                self._send_urgent(service, held)
                if now_s >= held.next_s:
                    held.next_s = now_s + self._send_all(service, held, now_s)

    def _send_all(self, service: ServiceName, held: _Service, now_s: float) -> float:
        """Send all observations of a service; return when to do so again."""
        peers = self._peers(service)
        evidence = held.health.own_evidence(now_s)
        for peer in peers:
            self._network.send(peer, evidence)
        size_bytes = _HEAD_SIZE_BYTES + _ROW_SIZE_BYTES * len(evidence.upstreams)
        cost_bytes = size_bytes * len(peers) * len(self._services)
        return max(INTERVAL_S, cost_bytes / BUDGET_BYTES_PER_S)

    def _send_urgent(self, service: ServiceName, held: _Service) -> None:
        now_s = self._now_s()
        if now_s < held.urgent_after_s:
            return
        evidence = held.health.urgent_evidence(now_s)
        if evidence is None:
            return
        held.urgent_after_s = now_s + URGENT_INTERVAL_S
        for peer in self._peers(service):
            self._network.send(peer, evidence)

    def _peers(self, service: ServiceName) -> Sequence[InstanceName]:
        return [
            member.name for member in self._view.group(service) if member.name != self._own.instance
        ]

    async def _on_evidence(self, sender: Incarnation, evidence: Evidence) -> Message | None:
        if self._incarnations.get(sender.instance) != sender:
            self._incarnations[sender.instance] = sender
            for held in self._services.values():
                held.health.remove_member(sender.instance)
        known = self._services.get(evidence.service)
        if known is not None:
            known.health.apply_evidence(sender.instance, evidence, self._now_s())
            self._send_urgent(evidence.service, known)
        return None

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
