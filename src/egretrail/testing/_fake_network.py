"""An in-memory peer network with one-way cuts, delay, loss, duplication and paused instances."""

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
    """The links between fake peers; every message is encoded and decoded by the real codec."""

    def __init__(self, seed: int = 0, latency_s: float = 0.001) -> None:
        self.random = random.Random(seed)
        #: Returns the one-way delay from one instance to another, in seconds; tests may replace it.
        self.latency_s: Callable[[InstanceName, InstanceName], float] = lambda _from, _to: latency_s
        #: Pairs (from, to) between which every message is dropped without an error.
        self.cut: set[tuple[InstanceName, InstanceName]] = set()
        #: Share of messages that are lost, and share that are delivered twice.
        self.loss_share = 0.0
        self.double_share = 0.0
        #: Paused instances, each with the event that resumes it. Messages from and to a paused
        #: instance wait for that event.
        self.frozen: dict[InstanceName, asyncio.Event] = {}
        self.peers: dict[InstanceName, FakePeer] = {}
        #: Number of delivered messages by type name.
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
        """Drop every message between two instances, in both directions."""
        self.cut |= {(one, other), (other, one)}

    def deliver(self, sender: Incarnation, to: InstanceName, act: Callable[[], Any]) -> None:
        """Call ``act`` after the link's delay, unless the message is lost; twice if duplicated."""
        copies = 2 if self.random.random() < self.double_share else 1
        for _ in range(copies):
            if self.random.random() >= self.loss_share:
                task = asyncio.get_running_loop().create_task(self._deliver_copy(sender, to, act))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _deliver_copy(
        self, sender: Incarnation, to: InstanceName, act: Callable[[], Any]
    ) -> None:
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
        """Register the handler of a message type."""
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
            received = await asyncio.wait_for(reply, timeout_s)
        except TimeoutError:
            return Err(PeerUnresponsive(peer, timeout_s))
        return (
            Ok(received)
            if isinstance(received, reply_type)
            else Err(PeerUnresponsive(peer, timeout_s))
        )

    def send(self, peer: InstanceName, body: Message) -> None:
        """Send a message without waiting; it is dropped when the peer cannot be reached."""
        self._deliver(peer, body, None)

    def _deliver(
        self, peer: InstanceName, body: Message, reply: asyncio.Future[Message] | None
    ) -> None:
        message = _encode_and_decode(body)

        async def arrive() -> None:
            target = self._network.peers.get(peer)
            handler = target._handlers.get(type(message)) if target is not None else None
            if target is None or handler is None:
                return
            counts = self._network.delivered
            counts[type(message).__name__] = counts.get(type(message).__name__, 0) + 1
            response = await handler(self.own, message)
            if response is not None and reply is not None:
                decoded = _encode_and_decode(response)
                self._network.deliver(
                    target.own, self.own.instance, lambda: _settle(reply, decoded)
                )

        self._network.deliver(self.own, peer, arrive)


def _settle(reply: asyncio.Future[Message], message: Message) -> None:
    if not reply.done():
        reply.set_result(message)


def _encode_and_decode(body: Message) -> Message:
    return decode_frame(encode_frame(Frame(FrameKind.NOTIFY, 0, body))).unwrap().body
