"""Tells the members of a group which requests upstreams were lost with."""

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

#: A caller's answer waits at most this long for the group to acknowledge a loss: some hundred
#: round trips inside a region, and little beside the loss itself.
TELL_BOUND_S = 0.25

#: A member that does not acknowledge is told again this often, for this long: it may be behind a
#: cut that heals, and may see a resend then.
_AGAIN_S = 1.0
_GIVEN_UP_AFTER_S = 60.0

#: At most this many losses travel in one message to a member that has just joined: 64 KB.
_LOSSES_PER_REPLY = 1000


class RequestLossTeller:
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
        """Begin to listen."""
        self._network.on(RequestLoss, self._on_loss)
        self._network.on(RequestAnswered, self._on_answered)
        self._network.on(FetchRequestLosses, self._on_wanted)

    async def stop(self) -> None:
        """Stop telling."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def met(self, peer: InstanceName, service: ServiceName) -> None:
        """Ask a member for what it remembers: either has just joined the group, or a cut healed."""
        self._spawn(self._learn(peer, service))

    async def lost(
        self, service: ServiceName, digest: int, upstream: UpstreamName, lasted_s: float
    ) -> None:
        """Remember a loss and tell the group; return when all know, or after the bound."""
        loss = RequestLoss(service, digest, upstream, lasted_s)
        self._note(loss, observed_here=True)
        acknowledged = [asyncio.Event() for _ in self._peers(service)]
        for peer, event in zip(self._peers(service), acknowledged, strict=True):
            self._spawn(self._tell(peer, loss, event))
        try:
            async with asyncio.timeout(TELL_BOUND_S):
                for event in acknowledged:
                    await event.wait()
        except TimeoutError:
            return

    def answered(self, service: ServiceName, digest: int) -> None:
        """Clear a request that an upstream answered, at the whole group."""
        if self._suspects(service).clear(digest):
            for peer in self._peers(service):
                self._network.send(peer, RequestAnswered(service, digest))

    def _note(self, loss: RequestLoss, observed_here: bool) -> None:
        """Remember a loss; a second one shows that the request is to blame for the first."""
        now_s = asyncio.get_running_loop().time()
        suspects = self._suspects(loss.service)
        digest = loss.request_digest
        before = [name for name in suspects.lost_upstreams(digest) if name != loss.upstream]
        suspects.record_loss(digest, loss.upstream, now_s, loss.lasted_s)
        for name in before:
            self._health(loss.service).retract_loss(name, observed_here, now_s)

    async def _tell(self, peer: InstanceName, loss: RequestLoss, event: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        while loop.time() < begin_s + _GIVEN_UP_AFTER_S:
            told = replace(loss, lasted_s=loss.lasted_s + loop.time() - begin_s)
            reply = await self._network.ask(peer, told, Acknowledged, TELL_BOUND_S)
            if isinstance(reply, Ok):
                event.set()
                return
            await asyncio.sleep(_AGAIN_S)

    async def _learn(self, peer: InstanceName, service: ServiceName) -> None:
        wanted = FetchRequestLosses(service)
        reply = await self._network.ask(peer, wanted, RequestLosses, TELL_BOUND_S)
        if isinstance(reply, Ok):
            for loss in reply.ok_value.losses:
                self._note(loss, observed_here=False)

    async def _on_loss(self, _sender: Incarnation, loss: RequestLoss) -> Message | None:
        self._note(loss, observed_here=False)
        return Acknowledged()

    async def _on_answered(self, _sender: Incarnation, told: RequestAnswered) -> Message | None:
        self._suspects(told.service).clear(told.request_digest)
        return None

    async def _on_wanted(self, _sender: Incarnation, wanted: FetchRequestLosses) -> Message | None:
        losses = self._suspects(wanted.service).losses(wanted.service)
        return RequestLosses(losses[-_LOSSES_PER_REPLY:])

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
