"""Instances with keyed executors on the fake network, and a record of what actually ran."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err, Result

from egretrail.fleet import FleetView, Member, MemberState
from egretrail.idempotency import KeyLimits, parse_key
from egretrail.identity import (
    AvailabilityZone,
    CallerId,
    Incarnation,
    InstanceName,
    RouteName,
    ServiceName,
)
from egretrail.peer import Handler, PeerFailure, PeerNetwork, PeerUnresponsive
from egretrail.request import (
    Answer,
    Outcome,
    RecordedAnswer,
    Refusal,
    RefusalCause,
    RequestEnvelope,
)
from egretrail.runtime import KeyedExecutor
from egretrail.testing import FakeNetwork, FakePeer
from egretrail.wire import Message

M = TypeVar("M", bound=Message)
R = TypeVar("R", bound=Message)

FLEET_KEY = b"0123456789abcdef"
_ZONES = ("zone-1", "zone-2", "zone-3")
_REFUSED = Refusal(Outcome.NOT_RUN, RefusalCause.QUEUE_FULL, 0.5)
_LOST = Refusal(Outcome.UNKNOWN, RefusalCause.UPSTREAM_LOST)


class KillablePeer(PeerNetwork):
    """A peer that sends and handles no more messages once its process has ended."""

    def __init__(self, peer: FakePeer) -> None:
        self._peer = peer
        self.dead = False

    def on(self, cls: type[M], handler: Handler[M]) -> None:
        async def alive(sender: Incarnation, body: M) -> Message | None:
            reply = None if self.dead else await handler(sender, body)
            return None if self.dead else reply

        self._peer.on(cls, alive)

    async def ask(
        self, peer: InstanceName, body: Message, reply_type: type[R], timeout_s: float
    ) -> Result[R, PeerFailure]:
        if self.dead:
            return Err(PeerUnresponsive(peer, 0.0))
        return await self._peer.ask(peer, body, reply_type, timeout_s)

    def send(self, peer: InstanceName, body: Message) -> None:
        if not self.dead:
            self._peer.send(peer, body)


class StaleView(FleetView):
    """An outdated view: shows every instance as alive, including ended and unreachable ones."""

    def __init__(self, own: Member, fleet: "KeyedFleet") -> None:
        self._own = own
        self._fleet = fleet

    @property
    def own(self) -> Member:
        return self._own

    def members(self) -> Sequence[Member]:
        return [self._fleet.members[name] for name in sorted(self._fleet.members)]

    def member(self, name: InstanceName) -> Member | None:
        return self._fleet.members.get(name)

    def group(self, service: ServiceName) -> Sequence[Member]:
        return self.members()


@dataclass(slots=True)
class Process:
    """One run of an instance."""

    executor: KeyedExecutor
    peer: KillablePeer


@dataclass(slots=True)
class SentAnswer:
    """One answer that was sent to a client."""

    request: RequestEnvelope
    answer: Answer


@dataclass(slots=True)
class KeyedFleet:
    """Instances that can be partitioned, paused, killed and restarted, and their answers."""

    network: FakeNetwork
    rng: random.Random
    limits: KeyLimits
    #: How long an upstream works, and the possible outcomes; a test may replace both.
    work_s: float = 0.2
    endings: Sequence[str] = ("answer",)
    members: dict[InstanceName, Member] = field(default_factory=dict)
    processes: dict[InstanceName, Process] = field(default_factory=dict)
    dispatched: Counter[str] = field(default_factory=Counter)
    #: Keys that were dispatched but certainly did not run.
    not_run: set[str] = field(default_factory=set)
    sent_answers: list[SentAnswer] = field(default_factory=list)
    client_tasks: set[asyncio.Task[Answer]] = field(default_factory=set)
    starts: int = 0

    async def start(self, name: str) -> None:
        """Start a process of an instance."""
        self.starts += 1
        own = Incarnation(InstanceName(name), self.starts)
        zone = AvailabilityZone(_ZONES[ord(name[0]) % len(_ZONES)])
        member = Member(own, zone, "10.0.0.1", 1, "10.0.0.1", 2, MemberState.ALIVE)
        peer = KillablePeer(self.network.join(own))
        self.members[own.instance] = member
        view = StaleView(member, self)
        seed = random.Random(self.rng.random())
        executor = KeyedExecutor(
            own, FLEET_KEY, peer, view, self._make_execute(peer), self.limits, seed
        )
        self.processes[own.instance] = Process(executor, peer)
        await executor.start()

    async def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(InstanceName(name), None)
        if process is None:
            return
        process.peer.dead = True
        self.network.kill(InstanceName(name))
        await process.executor.stop()

    async def stop(self, name: str, deadline_s: float = 5.0) -> None:
        """Stop a process as planned."""
        until_s = asyncio.get_running_loop().time() + deadline_s
        await self.processes[InstanceName(name)].executor.drain(until_s)
        await self.kill(name)

    def send(self, name: str, request: RequestEnvelope) -> asyncio.Task[Answer]:
        """Send a client's request to an instance."""
        task = asyncio.get_running_loop().create_task(self._call(name, request))
        self.client_tasks.add(task)
        return task

    def request(self, home: str, suffix: str, caller: str = "caller") -> RequestEnvelope | None:
        """Return a request with a key of an instance; None while it issues no keys."""
        process = self.processes.get(InstanceName(home))
        prefix = process.executor.own_prefix() if process is not None else None
        if prefix is None:
            return None
        key = f"{prefix}.{suffix}"
        body = f"{key} of {caller}".encode()
        return RequestEnvelope(
            "POST",
            "/varaus",
            (),
            body,
            CallerId(caller),
            ServiceName("t/varaus"),
            RouteName("t/varaus"),
            3.0,
            key,
        )

    def witness_of(self, request: RequestEnvelope) -> str:
        """Return the instance that is the witness of a request's key."""
        witness = parse_key(request.key or "", FLEET_KEY).unwrap().prefix.witness
        assert witness is not None
        return witness.instance

    def faults(self) -> list[str]:
        """Return every violated guarantee so far."""
        found = [f"{key} dispatched {n} times" for key, n in self.dispatched.items() if n > 1]
        for sent in self.sent_answers:
            key, answer = sent.request.key or "", sent.answer
            may_have_run = key in self.dispatched and key not in self.not_run
            if isinstance(answer, RecordedAnswer):
                if answer.body != sent.request.body:
                    found.append(f"{key} got the answer {answer.body!r}")
            elif answer.outcome is (Outcome.NOT_RUN if may_have_run else Outcome.RAN):
                found.append(f"{key} got {answer}")
        return found

    async def end(self) -> None:
        """Kill every process."""
        for name in list(self.processes):
            await self.kill(name)
        for task in self.client_tasks:
            task.cancel()
        await asyncio.gather(*self.client_tasks, return_exceptions=True)

    async def _call(self, name: str, request: RequestEnvelope) -> Answer:
        process = self.processes[InstanceName(name)]
        answer = await process.executor.run(request)
        if process.peer.dead:
            await asyncio.get_running_loop().create_future()
        self.sent_answers.append(SentAnswer(request, answer))
        return answer

    def _make_execute(
        self, peer: KillablePeer
    ) -> Callable[[RequestEnvelope], "asyncio.Future[Answer]"]:
        async def work(request: RequestEnvelope) -> Answer:
            key = request.key or ""
            self.dispatched[key] += 1
            ending = self.rng.choice(self.endings)
            if ending == "refused":
                self.not_run.add(key)
            await asyncio.sleep(self.work_s)
            if ending == "refused":
                return _REFUSED
            return _LOST if ending == "lost" else RecordedAnswer(200, (), request.body)

        def execute(request: RequestEnvelope) -> "asyncio.Future[Answer]":
            return asyncio.ensure_future(work(request))

        return execute


async def keyed_fleet(
    names: Sequence[str] = ("a", "b", "c"), seed: int = 1, limits: KeyLimits | None = None
) -> KeyedFleet:
    """Start a fleet whose instances all have a witness."""
    network = FakeNetwork(seed)
    fleet = KeyedFleet(network, random.Random(seed), limits or KeyLimits())
    for name in names:
        await fleet.start(name)
    # The first instance finds its witness at its next tick; a single one serves without.
    await asyncio.sleep(1.0 if len(names) > 1 else 6.0)
    return fleet
