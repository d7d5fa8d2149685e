"""Sends requests to upstreams by carrying out the actions of the service's scheduler."""

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

_REFUSAL_CAUSES: Mapping[type[SchedulerRefusal], RefusalCause] = {
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
#: Retry-After when an upstream lost the request: by then its health has been re-evaluated.
_RETRY_AFTER_LOSS_S = 1.0
_log = structlog.get_logger()
_NO_SUCH_SERVICE = Refusal(Outcome.NOT_RUN, RefusalCause.NO_UPSTREAM)


@dataclass(slots=True)
class _RunningRequest:
    """One request from its arrival to its response."""

    state: ServiceState
    envelope: RequestEnvelope
    route: RouteSettings
    idempotent: bool
    #: The first 64 bits of the request digest.
    short_digest: int
    deadline_s: float
    response: asyncio.Future[Answer]
    tasks: dict[UpstreamName, asyncio.Task[None]] = field(default_factory=dict)
    results: dict[UpstreamName, UpstreamResult] = field(default_factory=dict)


class Executor(LocalExecution):
    """Carries out the schedulers' actions, with one task for each attempt."""

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
        self._request_id_prefix = request_id_prefix
        self._request_numbers = itertools.count(1)
        self._running: dict[WorkId, _RunningRequest] = {}
        self._wakeup_timers: dict[str, asyncio.TimerHandle] = {}

    async def execute(self, request: RequestEnvelope, route: RouteSettings) -> Answer:
        """Queue, place and send a request; return the response or a refusal with its outcome."""
        state = self._services.get(request.service)
        if state is None:
            return _NO_SUCH_SERVICE
        await self._source.fetch(request.service)
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        digest = request_digest(request)
        work_id = WorkId(f"{self._request_id_prefix}-{next(self._request_numbers):x}")
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
        running = _RunningRequest(
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
            self._apply_actions(state, state.scheduler.submit(work, now_s))
            return await running.response
        except asyncio.CancelledError:
            self._apply_actions(state, state.scheduler.cancel(work_id, loop.time()))
            raise
        finally:
            del self._running[work_id]

    def _apply_actions(self, state: ServiceState, actions: Sequence[Action]) -> None:
        for action in actions:
            running = self._running.get(action.work_id)
            if running is None:
                continue
            match action:
                case Dispatch() | Hedge():
                    attempt = self._run_attempt(running, action.work_id, action.upstream)
                    task = asyncio.get_running_loop().create_task(attempt)
                    running.tasks[action.upstream] = task
                case Finish():
                    _resolve(running, _final_response(running.results[action.upstream]))
                case Abandon():
                    running.tasks[action.upstream].cancel()
                case Refuse():
                    _resolve(running, self._to_client_refusal(running, action.refusal))
                case _:
                    assert_never(action)
        self._set_wakeup(state)

    async def _run_attempt(
        self, running: _RunningRequest, work_id: WorkId, upstream: UpstreamName
    ) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        state = running.state
        kind = f"{running.envelope.route} {running.envelope.method}"
        ticket = self._evidence.record_attempt_start(
            state.name, upstream, running.short_digest, kind
        )
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
                request_digest=running.short_digest,
                request_kind=kind,
                caller=running.envelope.caller_id,
                answer_size_bytes=len(result.body),
                idempotent=running.idempotent,
            )
            self._accounting.record_attempt(state.name, upstream, result.outcome, started_s)
            if result.outcome is AttemptOutcome.DRAINING:
                self._source.record_drain(state.name, upstream)
            await self._evidence.record_attempt_end(state.name, ticket, attempt)
            if result.outcome is not AttemptOutcome.ANSWERED:
                state.invalidate_verdicts()
            actions = state.scheduler.record_attempt_end(
                work_id, upstream, ATTEMPT_RESULTS[result.outcome], loop.time()
            )
            self._apply_actions(state, actions)

    async def _send(
        self, running: _RunningRequest, work_id: WorkId, upstream: UpstreamName
    ) -> UpstreamResult:
        state = running.state
        endpoint = state.endpoint(upstream)
        remaining_s = running.deadline_s - asyncio.get_running_loop().time()
        if endpoint is None or remaining_s <= 0:
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
        return await self._client.attempt(endpoint, request, remaining_s)

    def _to_client_refusal(self, running: _RunningRequest, refusal: SchedulerRefusal) -> Refusal:
        """Return the refusal for the client; its outcome is UNKNOWN if an attempt may have run."""
        may_have_run = any(not result.certainly_not_run for result in running.results.values())
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        cause = _REFUSAL_CAUSES[type(refusal)]
        _log.debug("refused", service=running.state.name, cause=cause.value, why=str(refusal))
        return Refusal(outcome, cause, refusal.retry_after_s)

    def _set_wakeup(self, state: ServiceState) -> None:
        wakeup_s = state.scheduler.next_wakeup_s()
        timer = self._wakeup_timers.pop(state.name, None)
        if timer is not None:
            timer.cancel()
        if wakeup_s is not None:
            loop = asyncio.get_running_loop()
            self._wakeup_timers[state.name] = loop.call_at(wakeup_s, self._run_scheduler, state)

    def _run_scheduler(self, state: ServiceState) -> None:
        self._wakeup_timers.pop(state.name, None)
        self._apply_actions(state, state.scheduler.tick(asyncio.get_running_loop().time()))


def _resolve(running: _RunningRequest, response: Answer) -> None:
    if not running.response.done():
        running.response.set_result(response)


def _final_response(result: UpstreamResult) -> Answer:
    """Return the client's response for the attempt that ends the request."""
    if result.too_large:
        return Refusal(Outcome.RAN, RefusalCause.ANSWER_TOO_LARGE)
    if result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
        return RecordedAnswer(result.status, result.headers, result.body)
    if result.certainly_not_run:
        return Refusal(Outcome.NOT_RUN, RefusalCause.UPSTREAMS_DECLINED, _RETRY_AFTER_LOSS_S)
    cause = _FAILURE_CAUSES.get(result.outcome, RefusalCause.UPSTREAM_LOST)
    return Refusal(Outcome.UNKNOWN, cause, _RETRY_AFTER_LOSS_S)
