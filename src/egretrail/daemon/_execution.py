"""Has an upstream answer a request: performs what the service's scheduler decides."""

import asyncio
import itertools
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import assert_never

import structlog

from egretrail.daemon._accounting import Accounting
from egretrail.daemon._interfaces import LocalExecution
from egretrail.daemon._service_state import ServiceState, ServiceStates, short_digest
from egretrail.identity import UpstreamName
from egretrail.request import (
    Answer,
    Outcome,
    RecordedAnswer,
    Refusal,
    RefusalCause,
    RequestEnvelope,
    request_digest,
)
from egretrail.runtime import (
    EvidenceDriver,
    UpstreamClient,
    UpstreamListDriver,
    UpstreamRequest,
    UpstreamResult,
)
from egretrail.service import (
    ATTEMPT_RESULTS,
    Abandon,
    Action,
    CostClass,
    Dispatch,
    Finish,
    Hedge,
    MayCrashUpstreams,
    NoUsableUpstream,
    OverFairShare,
    Refuse,
    UpstreamsDeclined,
    WaitedTooLong,
    Work,
    WorkId,
    WouldWaitTooLong,
)
from egretrail.service import Refusal as SchedulerRefusal
from egretrail.settings import RouteSettings
from egretrail.upstream import Attempt, AttemptOutcome

_CAUSES: Mapping[type[SchedulerRefusal], RefusalCause] = {
    NoUsableUpstream: RefusalCause.NO_UPSTREAM,
    WouldWaitTooLong: RefusalCause.QUEUE_FULL,
    OverFairShare: RefusalCause.QUEUE_FULL,
    WaitedTooLong: RefusalCause.DEADLINE,
    UpstreamsDeclined: RefusalCause.UPSTREAMS_DECLINED,
    MayCrashUpstreams: RefusalCause.SUSPECT_REQUEST,
}
_FAILURE_CAUSES: Mapping[AttemptOutcome, RefusalCause] = {
    AttemptOutcome.TRUNCATED: RefusalCause.ANSWER_INVALID,
    AttemptOutcome.CROSSED: RefusalCause.ANSWER_INVALID,
    AttemptOutcome.TIMED_OUT: RefusalCause.DEADLINE,
}
#: Time to come back after a loss: long enough for the upstream to be judged.
_AFTER_LOSS_S = 1.0
_log = structlog.get_logger()
_NO_SUCH_SERVICE = Refusal(Outcome.NOT_RUN, RefusalCause.NO_UPSTREAM)


@dataclass(slots=True)
class _Running:
    """One request from its arrival to its answer."""

    state: ServiceState
    envelope: RequestEnvelope
    route: RouteSettings
    idempotent: bool
    digest: int
    deadline_s: float
    answer: asyncio.Future[Answer]
    tasks: dict[UpstreamName, asyncio.Task[None]] = field(default_factory=dict)
    results: dict[UpstreamName, UpstreamResult] = field(default_factory=dict)


class Executor(LocalExecution):
    """Performs the schedulers' decisions, one task for each attempt."""

    def __init__(
        self,
        services: ServiceStates,
        source: UpstreamListDriver,
        evidence: EvidenceDriver,
        client: UpstreamClient,
        accounting: Accounting,
        request_id_prefix: str,
    ) -> None:
        self._services = services
        self._source = source
        self._evidence = evidence
        self._client = client
        self._accounting = accounting
        self._prefix = request_id_prefix
        self._serial = itertools.count(1)
        self._running: dict[WorkId, _Running] = {}
        self._wakeups: dict[str, asyncio.TimerHandle] = {}

    async def execute(self, request: RequestEnvelope, route: RouteSettings) -> Answer:
        """Queue, place and send a request; return the answer or a truthful refusal."""
        state = self._services.get(request.service)
        if state is None:
            return _NO_SUCH_SERVICE
        await self._source.fetch(request.service)
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        digest = request_digest(request)
        work_id = WorkId(f"{self._prefix}-{next(self._serial):x}")
        idempotent = request.method in route.idempotent_methods
        work = Work(
            work_id=work_id,
            caller=request.caller_id,
            team=state.team,
            route=request.route,
            idempotent=idempotent,
            deadline_s=now_s + request.deadline_s,
            queue_s=route.queue_s,
            cost_class=CostClass(f"{request.route} {request.method}"),
            digest=digest,
            hedge=route.hedge,
        )
        running = _Running(
            state,
            request,
            route,
            idempotent,
            short_digest(digest),
            work.deadline_s,
            loop.create_future(),
        )
        self._running[work_id] = running
        try:
            self._perform(state, state.scheduler.submit(work, now_s))
            return await running.answer
        except asyncio.CancelledError:
            self._perform(state, state.scheduler.cancel(work_id, loop.time()))
            raise
        finally:
            del self._running[work_id]

    def _perform(self, state: ServiceState, actions: Sequence[Action]) -> None:
        for action in actions:
            running = self._running.get(action.work_id)
            if running is None:
                continue
            match action:
                case Dispatch() | Hedge():
                    attempt = self._attempt(running, action.work_id, action.upstream)
                    task = asyncio.get_running_loop().create_task(attempt)
                    running.tasks[action.upstream] = task
                case Finish():
                    _settle(running, _answer_of(running.results[action.upstream]))
                case Abandon():
                    running.tasks[action.upstream].cancel()
                case Refuse():
                    _settle(running, self._refusal_of(running, action.refusal))
                case _:
                    assert_never(action)
        self._set_wakeup(state)

    async def _attempt(self, running: _Running, work_id: WorkId, upstream: UpstreamName) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        state = running.state
        kind = f"{running.envelope.route} {running.envelope.method}"
        ticket = self._evidence.record_attempt_start(state.name, upstream, running.digest, kind)
        result = UpstreamResult(AttemptOutcome.CANCELLED)
        try:
            result = await self._send(running, work_id, upstream)
        finally:
            running.results[upstream] = result
            attempt = Attempt(
                upstream=upstream,
                outcome=result.outcome,
                latency_s=loop.time() - started_s,
                started_s=started_s,
                request_digest=running.digest,
                request_kind=kind,
                caller=running.envelope.caller_id,
                answer_size_bytes=len(result.body),
                idempotent=running.idempotent,
            )
            self._accounting.attempted(state.name, upstream, result.outcome, started_s)
            if result.outcome is AttemptOutcome.DRAINING:
                self._source.record_drain(state.name, upstream)
            await self._evidence.record_attempt_end(state.name, ticket, attempt)
            if result.outcome is not AttemptOutcome.ANSWERED:
                state.trouble()
            ended = state.scheduler.record_attempt_end(
                work_id, upstream, ATTEMPT_RESULTS[result.outcome], loop.time()
            )
            self._perform(state, ended)

    async def _send(
        self, running: _Running, work_id: WorkId, upstream: UpstreamName
    ) -> UpstreamResult:
        state = running.state
        endpoint = state.endpoint(upstream)
        left_s = running.deadline_s - asyncio.get_running_loop().time()
        if endpoint is None or left_s <= 0:
            return UpstreamResult(AttemptOutcome.REFUSED)
        envelope = running.envelope
        request = UpstreamRequest(
            method=envelope.method,
            target=envelope.target,
            headers=envelope.headers,
            body=envelope.body,
            request_id=work_id,
            echo_header=state.settings.echo_header,
            may_reuse_connection=running.idempotent,
        )
        return await self._client.attempt(endpoint, request, left_s)

    def _refusal_of(self, running: _Running, refusal: SchedulerRefusal) -> Refusal:
        """Return what the caller is told; after an attempt that may have run, that it may have."""
        maybe_run = any(not result.certainly_not_run for result in running.results.values())
        outcome = Outcome.UNKNOWN if maybe_run else Outcome.NOT_RUN
        cause = _CAUSES[type(refusal)]
        _log.debug("refused", service=running.state.name, cause=cause.value, why=str(refusal))
        return Refusal(outcome, cause, refusal.retry_after_s)

    def _set_wakeup(self, state: ServiceState) -> None:
        at_s = state.scheduler.next_wakeup_s()
        held = self._wakeups.pop(state.name, None)
        if held is not None:
            held.cancel()
        if at_s is not None:
            loop = asyncio.get_running_loop()
            self._wakeups[state.name] = loop.call_at(at_s, self._wake, state)

    def _wake(self, state: ServiceState) -> None:
        self._wakeups.pop(state.name, None)
        self._perform(state, state.scheduler.tick(asyncio.get_running_loop().time()))


def _settle(running: _Running, answer: Answer) -> None:
    if not running.answer.done():
        running.answer.set_result(answer)


def _answer_of(result: UpstreamResult) -> Answer:
    """Return what the caller is told of the attempt that ends its request."""
    if result.too_large:
        return Refusal(Outcome.RAN, RefusalCause.ANSWER_TOO_LARGE)
    if result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
        return RecordedAnswer(result.status, result.headers, result.body)
    if result.certainly_not_run:
        return Refusal(Outcome.NOT_RUN, RefusalCause.UPSTREAMS_DECLINED, _AFTER_LOSS_S)
    cause = _FAILURE_CAUSES.get(result.outcome, RefusalCause.UPSTREAM_LOST)
    return Refusal(Outcome.UNKNOWN, cause, _AFTER_LOSS_S)
