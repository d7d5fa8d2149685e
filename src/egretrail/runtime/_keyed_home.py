"""Runs keys of this home: records each at its witness, dispatches it once, stores the outcome."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, replace

import structlog
from result import Ok

from egretrail.idempotency import (
    DISPATCH_FAILED,
    AwaitKeyed,
    CloseGeneration,
    Dispatch,
    Home,
    IdempotencyKey,
    Join,
    KeyedReply,
    KeyOutcome,
    KeyPrefix,
    KeyStatus,
    RecordAtWitness,
    RecordKey,
    RecordReply,
    RecordVerdict,
    Reply,
    StoreOutcome,
)
from egretrail.identity import Incarnation
from egretrail.peer import PeerNetwork
from egretrail.request import Answer, Outcome, Refusal, RefusalCause, RequestEnvelope
from egretrail.wire import Acknowledged

#: Sends one request to an upstream and returns its answer, or a refusal that states the outcome.
Execute = Callable[[RequestEnvelope], Awaitable[Answer]]

#: A reply is held back this long for the answer; then the requester gets a reply that the key is
#: still running. Short, so that a requester can treat a home that is silent for more than twice
#: this time as unreachable.
HOLD_S = 0.3
#: Time limit for one attempt to record a key. Every non-idempotent request waits for the record, so
#: a lost message must cost little; a round trip between availability zones takes about 2 ms.
_RECORD_TIMEOUT_S = 0.4
_RECORD_TRIES = 2
_STORE_TIMEOUT_S = 1.0
#: Outcomes sent again at one time. Without a limit, the end of a network partition would flood the
#: witness.
_RESENT_OUTCOMES_LIMIT = 16
_DRAIN_STEP_S = 0.05
_DEADLINE_PASSED = Refusal(Outcome.NOT_RUN, RefusalCause.DEADLINE, 1.0)
_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class DrainResult:
    """What was left when a planned stop ended."""

    #: Keys whose request was still running.
    unsettled_count: int
    #: Outcomes that no witness has confirmed.
    unkept_count: int


class KeyedHome:
    """Runs the home's side of the protocol."""

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
        self._pending: dict[IdempotencyKey, asyncio.Future[Answer]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start_request(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope
    ) -> asyncio.Future[Answer]:
        """Start a request, or join one that runs; the work goes on even if nobody awaits it."""
        step = self._home.on_request(key, binding)
        if isinstance(step, Reply):
            return _completed_future(step.answer)
        if isinstance(step, Join):
            return self._pending[key]
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending[key] = answer
        until_s = asyncio.get_running_loop().time() + request.deadline_s
        if isinstance(step, RecordAtWitness):
            self._spawn(self._record_and_run(key, binding, request, until_s))
        else:
            self._spawn(self._run(key, request, until_s))
        return answer

    async def wait_and_reply(self, answer: asyncio.Future[Answer]) -> KeyedReply:
        """Wait up to ``HOLD_S`` for the answer, and reply with what is known then."""
        await asyncio.wait({answer}, timeout=HOLD_S)
        if answer.done():
            return KeyedReply(KeyStatus.ANSWERED, answer.result())
        return KeyedReply(KeyStatus.RUNNING)

    async def on_await(self, _sender: Incarnation, body: AwaitKeyed) -> KeyedReply:
        """Reply with the state of a key, without starting its request."""
        known = self._home.on_await(body.key, body.binding)
        if known is None or not self._home.owns(body.key):
            return KeyedReply(KeyStatus.NOT_HERE)
        if isinstance(known, Reply):
            return KeyedReply(KeyStatus.ANSWERED, known.answer)
        return await self.wait_and_reply(self._pending[body.key])

    async def store_outcomes_again(self) -> bool:
        """Send outcomes that no witness has confirmed again; return whether all were stored."""
        settled = self._home.unconfirmed_outcomes(_RESENT_OUTCOMES_LIMIT)
        stored = await asyncio.gather(*(self._store_outcome(outcome) for outcome in settled))
        return all(stored)

    async def drain(self, until_s: float) -> DrainResult:
        """Accept no new keys, finish running ones, and store each outcome at its witness."""
        for prefix in self._home.stop():
            if prefix.witness is not None:
                self._network.send(prefix.witness.instance, CloseGeneration(prefix))
        while asyncio.get_running_loop().time() < until_s:
            if self._home.unconfirmed_outcomes(1):
                await self.store_outcomes_again()
            elif not self._home.unsettled_count():
                break
            await asyncio.sleep(_DRAIN_STEP_S)
        unkept = self._home.unconfirmed_outcomes(self._home.records.records_count)
        return DrainResult(self._home.unsettled_count(), len(unkept))

    async def stop(self) -> None:
        """Cancel running requests; their outcome is unknown."""
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
            # Other keys of this generation would fail the same way: refuse them at once.
            self._home.close(key.prefix)
            self._on_generation_lost(key.prefix, verdict is not None)

    async def _record(self, key: IdempotencyKey, binding: bytes) -> RecordVerdict | None:
        assert key.prefix.witness is not None
        peer = key.prefix.witness.instance
        body = RecordKey(key, binding)
        for _ in range(_RECORD_TRIES):
            reply = await self._network.ask(peer, body, RecordReply, _RECORD_TIMEOUT_S)
            if isinstance(reply, Ok):
                return reply.ok_value.verdict
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
            settled = self._home.on_result(key, answer)
            self._settle(key, settled.answer)

    def _settle(self, key: IdempotencyKey, answer: Answer) -> None:
        settled = self._home.settled(key)
        if settled is not None:
            self._spawn(self._store_outcome_once(settled))
        pending = self._pending.pop(key, None)
        if pending is not None and not pending.done():
            pending.set_result(answer)

    async def _store_outcome_once(self, settled: KeyOutcome) -> None:
        await self._store_outcome(settled)

    async def _store_outcome(self, settled: KeyOutcome) -> bool:
        witness = settled.key.prefix.witness
        if witness is None:
            return True
        body = StoreOutcome(settled.key, settled.binding, settled.answer)
        reply = await self._network.ask(witness.instance, body, Acknowledged, _STORE_TIMEOUT_S)
        if isinstance(reply, Ok):
            self._home.on_outcome_confirmed(settled.key)
            return True
        self._home.on_outcome_send_failed(settled.key)
        return False

    def _spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _completed_future(answer: Answer) -> asyncio.Future[Answer]:
    future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    future.set_result(answer)
    return future
