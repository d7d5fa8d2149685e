"""An in-memory peer network with one-way cuts, delays, losses, doubles and frozen instances."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

from result import Err, Ok, Result

from egretrail.identity import Incarnation, InstanceName
from egretrail.peer import Handler, PeerFailure, PeerNetwork, PeerUnreachable, PeerUnresponsive
from egretrail.wire import Frame, FrameKind, Message, decode_frame, encode_frame

M = TypeVar("M", bound=Message)
R = TypeVar("R", bound=Message)


class FakeNetwork:
    """The links between fake peers; every message passes through the real codec."""

    def __init__(self, seed: int = 0, latency_s: float = 0.001) -> None:
        self.random = random.Random(seed)
        #: One-way delay of each message; a test may replace it by a function of its own.
        self.latency_s: Callable[[InstanceName, InstanceName], float] = lambda _from, _to: latency_s
        #: Pairs (from, to) between which every message is lost, silently.
        self.cut: set[tuple[InstanceName, InstanceName]] = set()
        #: Share of messages lost, and delivered twice.
        self.loss_share = 0.0
        self.double_share = 0.0
        #: Instances that are paused: what reaches them waits until they are resumed.
        self.frozen: dict[InstanceName, asyncio.Event] = {}
        self.peers: dict[InstanceName, FakePeer] = {}
        #: Messages delivered, by type name.
        self.delivered: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def join(self, own: Incarnation) -> "FakePeer":
        """Add an instance; a later incarnation of the same name replaces the earlier one."""
        peer = FakePeer(self, own)
        self.peers[own.instance] = peer
        return peer

    def kill(self, name: InstanceName) -> None:
        """Remove an instance: connecting to it fails from now on."""
        self.peers.pop(name, None)

    def cut_both(self, one: InstanceName, other: InstanceName) -> None:
        """Lose every message between two instances."""
        self.cut |= {(one, other), (other, one)}

    def deliver(self, sender: Incarnation, to: InstanceName, act: Callable[[], Any]) -> None:
        """Deliver by calling ``act`` after the link's delay, unless the message is lost."""
        copies = 2 if self.random.random() < self.double_share else 1
        for _ in range(copies):
            if self.random.random() >= self.loss_share:
                task = asyncio.get_running_loop().create_task(self._carry(sender, to, act))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _carry(self, sender: Incarnation, to: InstanceName, act: Callable[[], Any]) -> None:
        await asyncio.sleep(self.latency_s(sender.instance, to))
        if (sender.instance, to) in self.cut:
            return
        for name in (sender.instance, to):
            paused = self.frozen.get(name)
            if paused is not None:
                await paused.wait()
        outcome = act()
        if asyncio.iscoroutine(outcome):
            await outcome


class FakePeer(PeerNetwork):
    """One instance's side of the fake network."""

    def __init__(self, network: FakeNetwork, own: Incarnation) -> None:
        self.own = own
        self._network = network
        self._handlers: dict[type[Message], Handler[Any]] = {}

    def on(self, cls: type[M], handler: Handler[M]) -> None:
        """Let ``handler`` act on every message of one type."""
        self._handlers[cls] = handler

    async def ask(
        self, peer: InstanceName, body: Message, reply_type: type[R], timeout_s: float
    ) -> Result[R, PeerFailure]:
        """Send a message and wait for its reply for at most ``timeout_s``."""
        if peer not in self._network.peers:
            return Err(PeerUnreachable(peer, "no such instance"))
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._deliver(peer, body, reply)
        try:
            answer = await asyncio.wait_for(reply, timeout_s)
        except TimeoutError:
            return Err(PeerUnresponsive(peer, timeout_s))
        return (
            Ok(answer) if isinstance(answer, reply_type) else Err(PeerUnresponsive(peer, timeout_s))
        )

    def send(self, peer: InstanceName, body: Message) -> None:
        """Send a message without waiting; it is dropped when the peer cannot be reached."""
        self._deliver(peer, body, None)

    def _deliver(
        self, peer: InstanceName, body: Message, reply: asyncio.Future[Message] | None
    ) -> None:
        carried = _through_codec(body)

        async def arrive() -> None:
            target = self._network.peers.get(peer)
            handler = target._handlers.get(type(carried)) if target is not None else None
            if target is None or handler is None:
                return
            counts = self._network.delivered
            counts[type(carried).__name__] = counts.get(type(carried).__name__, 0) + 1
            answer = await handler(self.own, carried)
            if answer is not None and reply is not None:
                back = _through_codec(answer)
                self._network.deliver(target.own, self.own.instance, lambda: _settle(reply, back))

        self._network.deliver(self.own, peer, arrive)


def _settle(reply: asyncio.Future[Message], answer: Message) -> None:
    if not reply.done():
        reply.set_result(answer)


def _through_codec(body: Message) -> Message:
    return decode_frame(encode_frame(Frame(FrameKind.NOTIFY, 0, body))).unwrap().body
