"""Runs the keys of this home: recorded at the witness, dispatched once, the outcome kept."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, replace

import structlog
from result import Ok

from egretrail.idempotency import (
    DISPATCH_FAILED,
    AskWitness,
    AwaitKeyed,
    CloseGeneration,
    Dispatch,
    Home,
    IdempotencyKey,
    Join,
    KeepOutcome,
    KeyedReply,
    KeyPrefix,
    KeyStanding,
    RecordKey,
    RecordReply,
    RecordVerdict,
    Reply,
    SettledKey,
)
from egretrail.identity import Incarnation
from egretrail.peer import PeerNetwork
from egretrail.request import Answer, Outcome, Refusal, RefusalCause, RequestEnvelope
from egretrail.wire import Acknowledged

#: Places one request and returns the upstream's answer, or a refusal that tells what became of it.
Execute = Callable[[RequestEnvelope], Awaitable[Answer]]

#: A reply is held this long for an answer to come; then the asker learns that the home is alive.
#: Short, so that an asker takes a silence of twice this for an unreachable home.
HOLD_S = 0.3
#: How long one try of a record may take. Load: every non-idempotent request waits for it, so a lost
#: message must cost little; a round trip between availability zones takes some 2 ms.
_RECORD_TIMEOUT_S = 0.4
_RECORD_TRIES = 2
_KEEP_TIMEOUT_S = 1.0
#: Outcomes sent again at once. Prevents a healed cut from flooding the witness.
_KEEP_AGAIN_COUNT = 16
_DRAIN_STEP_S = 0.05
_DEADLINE_PASSED = Refusal(Outcome.NOT_RUN, RefusalCause.DEADLINE, 1.0)
_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Drained:
    """What a planned stop left behind."""

    #: Keys whose work had not ended.
    unsettled_count: int
    #: Outcomes that no witness has confirmed.
    unkept_count: int


class KeyedHome:
    """Drives the home's side of the protocol."""

    def __init__(
        self,
        network: PeerNetwork,
        home: Home,
        execute: Execute,
        on_generation_lost: Callable[[KeyPrefix, bool], None],
    ) -> None:
        self._network = network
        self._home = home
        self._execute = execute
        self._on_generation_lost = on_generation_lost
        self._waiting: dict[IdempotencyKey, asyncio.Future[Answer]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope
    ) -> asyncio.Future[Answer]:
        """Take a request; the future's answer comes whether or not somebody waits for it."""
        step = self._home.on_request(key, binding)
        if isinstance(step, Reply):
            return _settled(step.answer)
        if isinstance(step, Join):
            return self._waiting[key]
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[key] = answer
        until_s = asyncio.get_running_loop().time() + request.deadline_s
        if isinstance(step, AskWitness):
            self._spawn(self._record_and_run(key, binding, request, until_s))
        else:
            self._spawn(self._run(key, request, until_s))
        return answer

    async def reply(self, answer: asyncio.Future[Answer]) -> KeyedReply:
        """Hold a peer's question for a moment, and reply with what is known then."""
        await asyncio.wait({answer}, timeout=HOLD_S)
        if answer.done():
            return KeyedReply(KeyStanding.ANSWERED, answer.result())
        return KeyedReply(KeyStanding.RUNNING)

    async def on_await(self, _sender: Incarnation, body: AwaitKeyed) -> KeyedReply:
        """Tell a peer what became of a key, starting nothing."""
        known = self._home.on_await(body.key, body.binding)
        if known is None or not self._home.owns(body.key):
            return KeyedReply(KeyStanding.NOT_HERE)
        if isinstance(known, Reply):
            return KeyedReply(KeyStanding.ANSWERED, known.answer)
        return await self.reply(self._waiting[body.key])

    async def keep_again(self) -> bool:
        """Send outcomes that no witness has confirmed; return whether none failed."""
        settled = self._home.unkept(_KEEP_AGAIN_COUNT)
        kept = await asyncio.gather(*(self._keep(one) for one in settled))
        return all(kept)

    async def drain(self, until_s: float) -> Drained:
        """Take no new keys, finish what runs, and leave every outcome with its witness."""
        for prefix in self._home.stop():
            if prefix.witness is not None:
                self._network.send(prefix.witness.instance, CloseGeneration(prefix))
        while asyncio.get_running_loop().time() < until_s:
            if self._home.unkept(1):
                await self.keep_again()
            elif not self._home.unsettled_count():
                break
            await asyncio.sleep(_DRAIN_STEP_S)
        unkept = self._home.unkept(self._home.records.records_count)
        return Drained(self._home.unsettled_count(), len(unkept))

    async def stop(self) -> None:
        """End what still runs; its outcome is unknown."""
        while self._tasks:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _record_and_run(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope, until_s: float
    ) -> None:
        verdict = await self._record(key, binding)
        step = self._home.on_verdict(key, verdict)
        if isinstance(step, Dispatch):
            await self._run(key, request, until_s)
        elif step is not None:
            self._settle(key, step.answer)
        if verdict in (None, RecordVerdict.REFUSED):
            # Further keys of this generation would wait in vain, too: refuse them at once.
            self._home.close(key.prefix)
            self._on_generation_lost(key.prefix, verdict is not None)

    async def _record(self, key: IdempotencyKey, binding: bytes) -> RecordVerdict | None:
        assert key.prefix.witness is not None
        peer = key.prefix.witness.instance
        body = RecordKey(key, binding)
        for _ in range(_RECORD_TRIES):
            asked = await self._network.ask(peer, body, RecordReply, _RECORD_TIMEOUT_S)
            if isinstance(asked, Ok):
                return asked.ok_value.verdict
        return None

    async def _run(self, key: IdempotencyKey, request: RequestEnvelope, until_s: float) -> None:
        answer: Answer = DISPATCH_FAILED
        try:
            left_s = until_s - asyncio.get_running_loop().time()
            if left_s > 0:
                answer = await self._execute(replace(request, deadline_s=left_s))
            else:
                answer = _DEADLINE_PASSED
        except Exception:
            _log.exception("keyed_dispatch_failed", route=request.route)
        finally:
            settled = self._home.on_executed(key, answer)
            self._settle(key, settled.answer)

    def _settle(self, key: IdempotencyKey, answer: Answer) -> None:
        settled = self._home.settled(key)
        if settled is not None:
            self._spawn(self._keep_once(settled))
        waiting = self._waiting.pop(key, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def _keep_once(self, settled: SettledKey) -> None:
        await self._keep(settled)

    async def _keep(self, settled: SettledKey) -> bool:
        witness = settled.key.prefix.witness
        if witness is None:
            return True
        body = KeepOutcome(settled.key, settled.binding, settled.answer)
        asked = await self._network.ask(witness.instance, body, Acknowledged, _KEEP_TIMEOUT_S)
        if isinstance(asked, Ok):
            self._home.on_kept(settled.key)
            return True
        self._home.on_not_kept(settled.key)
        return False

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _settled(answer: Answer) -> asyncio.Future[Answer]:
    future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    future.set_result(answer)
    return future
