"""Reports to a group's members which requests were in flight when an upstream was lost."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from typing import Any

from result import Ok

from egretrail.identity import Incarnation, InstanceName, ServiceName, UpstreamName
from egretrail.peer import PeerNetwork
from egretrail.upstream import (
    FetchRequestLosses,
    RequestAnswered,
    RequestLoss,
    RequestLosses,
    ServiceHealth,
    SuspectRequests,
)
from egretrail.wire import Acknowledged, Message

#: Longest time that a client's response is held back until the group acknowledges a loss. It covers
#: about a hundred round trips inside a region and is short compared with the loss itself.
ACKNOWLEDGE_LIMIT_S = 0.25

#: A loss is sent again to a member that does not acknowledge it, at this interval and for this
#: long: the member may be behind a network partition that heals, and may then receive a resend.
_RESEND_INTERVAL_S = 1.0
_RESEND_LIMIT_S = 60.0

#: Most losses in one message to a member that has just joined; they take about 64 KB.
_LOSSES_PER_REPLY = 1000


class RequestLossPublisher:
    """Keeps the group's members informed of suspect requests."""

    def __init__(
        self,
        network: PeerNetwork,
        suspects: Callable[[ServiceName], SuspectRequests],
        health: Callable[[ServiceName], ServiceHealth],
        peers: Callable[[ServiceName], Sequence[InstanceName]],
    ) -> None:
        self._network = network
        self._suspects = suspects
        self._health = health
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start handling messages of peers."""
        self._network.on(RequestLoss, self._on_request_loss)
        self._network.on(RequestAnswered, self._on_request_answered)
        self._network.on(FetchRequestLosses, self._on_fetch_request_losses)

    async def stop(self) -> None:
        """Cancel all reports in progress."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def fetch_losses(self, peer: InstanceName, service: ServiceName) -> None:
        """Start fetching a member's losses after either joined the group or a partition healed."""
        self._spawn(self._fetch_losses(peer, service))

    async def report_loss(
        self, service: ServiceName, digest: int, upstream: UpstreamName, lasted_s: float
    ) -> None:
        """Record a loss and report it; return when all acknowledged it, or after the limit."""
        loss = RequestLoss(service, digest, upstream, lasted_s)
        self._record_loss(loss, observed_here=True)
        acknowledged = [asyncio.Event() for _ in self._peers(service)]
        for peer, event in zip(self._peers(service), acknowledged, strict=True):
            self._spawn(self._send_until_acknowledged(peer, loss, event))
        try:
            async with asyncio.timeout(ACKNOWLEDGE_LIMIT_S):
                for event in acknowledged:
                    await event.wait()
        except TimeoutError:
            return

    def report_answer(self, service: ServiceName, digest: int) -> None:
        """Clear the suspicion against a request that an upstream answered, in the whole group."""
        if self._suspects(service).clear(digest):
            for peer in self._peers(service):
                self._network.send(peer, RequestAnswered(service, digest))

    def _record_loss(self, loss: RequestLoss, observed_here: bool) -> None:
        """Record a loss.

        A loss at a second upstream shows that the request caused the first one, too: that upstream
        is no longer suspected for it.
        """
        now_s = asyncio.get_running_loop().time()
        suspects = self._suspects(loss.service)
        digest = loss.request_digest
        earlier = [name for name in suspects.lost_upstreams(digest) if name != loss.upstream]
        suspects.record_loss(digest, loss.upstream, now_s, loss.lasted_s)
        for name in earlier:
            self._health(loss.service).retract_loss(name, observed_here, now_s)

    async def _send_until_acknowledged(
        self, peer: InstanceName, loss: RequestLoss, event: asyncio.Event
    ) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while loop.time() < started_s + _RESEND_LIMIT_S:
            message = replace(loss, lasted_s=loss.lasted_s + loop.time() - started_s)
            reply = await self._network.ask(peer, message, Acknowledged, ACKNOWLEDGE_LIMIT_S)
            if isinstance(reply, Ok):
                event.set()
                return
            await asyncio.sleep(_RESEND_INTERVAL_S)

    async def _fetch_losses(self, peer: InstanceName, service: ServiceName) -> None:
        wanted = FetchRequestLosses(service)
        reply = await self._network.ask(peer, wanted, RequestLosses, ACKNOWLEDGE_LIMIT_S)
        if isinstance(reply, Ok):
            for loss in reply.ok_value.losses:
                self._record_loss(loss, observed_here=False)

    async def _on_request_loss(self, _sender: Incarnation, loss: RequestLoss) -> Message | None:
        self._record_loss(loss, observed_here=False)
        return Acknowledged()

    async def _on_request_answered(
        self, _sender: Incarnation, message: RequestAnswered
    ) -> Message | None:
        self._suspects(message.service).clear(message.request_digest)
        return None

    async def _on_fetch_request_losses(
        self, _sender: Incarnation, wanted: FetchRequestLosses
    ) -> Message | None:
        losses = self._suspects(wanted.service).losses(wanted.service)
        return RequestLosses(losses[-_LOSSES_PER_REPLY:])

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
