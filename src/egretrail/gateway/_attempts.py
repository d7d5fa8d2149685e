"""Sends a request to one upstream and judges what comes back."""

import asyncio

from result import Err

from egretrail.dispatch import Observation, Outcome, RequestDigest
from egretrail.gateway._interfaces import AnswerKind, RequestContract
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._pool import UpstreamPool
from egretrail.gateway._view import FleetView
from egretrail.gateway._work import AttemptResult, Fate, Work
from egretrail.http1 import (
    ConnectFailed,
    ExchangeBroken,
    ExchangeFailed,
    ReceivedAnswer,
    encode_request,
)
from egretrail.traffic import UpstreamRecord

#: An upstream is told this much less than is left: the way of the answer back.
_RETURN_S = 0.01
#: A request that takes this many times the usual duration speaks against its upstream; one in a
#: hundred of ordinary work does.
_OVERDUE_FACTOR = 4.0
_OVERDUE_MIN_S = 0.8


class AttemptRunner:
    """Runs single attempts. Each outcome is observed, for this instance and the others."""

    def __init__(
        self,
        view: FleetView,
        contract: RequestContract,
        pool: UpstreamPool,
        log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._view = view
        self._contract = contract
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def run(self, work: Work, upstream: UpstreamRecord) -> AttemptResult:
        """Send a request to an upstream and say what became of it; cancelled to give it up."""
        upstream_id = upstream.id
        started_s = self._loop.time()
        try:
            connection = await self._pool.acquire(upstream_id, upstream.address)
        except ConnectFailed as error:
            self._observe(upstream_id, Outcome.UNREACHABLE, started_s)
            return AttemptResult(Fate.UNREACHABLE, cause=str(error))
        if not self._view.upstreams.takes_work(upstream_id):
            self._pool.release(upstream_id, connection)
            return AttemptResult(Fate.LEAVING, cause="the upstream leaves")
        started_s = self._loop.time()
        left_s = work.end_s - started_s - _RETURN_S
        request = work.request
        account = work.account.name if work.account is not None else None
        data = encode_request(
            request.method,
            request.target,
            self._contract.upstream_headers(request, upstream.name, left_s, account),
            request.body,
        )
        expected_s = self._expected_s(work.service, upstream)
        overdue = self._loop.call_later(
            max(expected_s * _OVERDUE_FACTOR, _OVERDUE_MIN_S),
            self._observe,
            upstream_id,
            Outcome.OVERDUE,
            started_s,
        )
        self._count_across(upstream, "requests", len(data))
        try:
            received = await connection.exchange(
                data,
                lambda answer: self._contract.belongs(answer, work.terms.attempt_id),
                without_body=request.method == b"HEAD",
            )
        except ExchangeFailed as error:
            silent = isinstance(error, ExchangeBroken) and error.silent
            outcome = Outcome.SILENT if silent else Outcome.BROKEN
            self._observe(upstream_id, outcome, started_s, work.digest)
            return AttemptResult(Fate.FAILED, cause=str(error))
        finally:
            overdue.cancel()
        self._pool.release(upstream_id, connection)
        self._count_across(upstream, "answers", len(received.body))
        return self._judge(work, upstream_id, received, started_s)

    def _judge(
        self, work: Work, upstream_id: str, received: ReceivedAnswer, started_s: float
    ) -> AttemptResult:
        now_s = self._loop.time()
        load = self._contract.reported_load(received)
        if load is not None:
            self._view.load.report(upstream_id, max(load.running + load.waiting - 1, 0), now_s)
        kind = self._contract.kind(received)
        if kind not in (AnswerKind.WRONG_UPSTREAM, AnswerKind.INVALID):
            self._note_limit(upstream_id, received)
        if kind is AnswerKind.SERVED:
            self._observe(upstream_id, Outcome.SUCCESS, started_s)
            self._view.crashers.answered(work.digest)
            return AttemptResult(Fate.SERVED, received)
        if kind is AnswerKind.NOT_RUN:
            self._observe(upstream_id, Outcome.SHED, started_s)
            return AttemptResult(Fate.NOT_RUN, received, "refused by the upstream")
        if kind is AnswerKind.WRONG_UPSTREAM:
            self._view.upstreams.mark_gone(upstream_id)
            self._log.event("upstream_replaced", upstream=upstream_id)
            return AttemptResult(Fate.NOT_RUN, received, "another upstream has the address")
        if kind is AnswerKind.EXPIRED:
            self._observe(upstream_id, Outcome.EXPIRED, started_s)
            return AttemptResult(Fate.FAILED, received, "the request's time ended")
        self._observe(upstream_id, Outcome.FAILED, started_s)
        if kind is AnswerKind.INVALID:
            return AttemptResult(Fate.FAILED, None, "no valid answer")
        return AttemptResult(Fate.FAILED, received, "the upstream failed")

    def _note_limit(self, upstream_id: str, received: ReceivedAnswer) -> None:
        named = self._contract.named_limit(received)
        if isinstance(named, Err):
            # What it named before stays in force: the upstream is in need of something.
            self._log.event("limit_refused", upstream=upstream_id, cause=named.err_value)
            return
        self._view.named_limit(upstream_id, named.ok_value)

    def _count_across(self, upstream: UpstreamRecord, kind: str, size_bytes: int) -> None:
        if upstream.availability_zone != self._view.placement.availability_zone:
            self._metrics.crossed(kind, size_bytes)

    def _expected_s(self, service: str, upstream: UpstreamRecord) -> float:
        """Return how long a request usually takes, with the wait for a slot that it begins with."""
        under_way = self._view.load.in_flight(upstream.id, self._loop.time())
        waiting = max(under_way - upstream.slots, 0) / upstream.slots
        return self._view.durations.mean_s(service) * (1.0 + waiting)

    def _observe(
        self,
        upstream_id: str,
        outcome: Outcome,
        started_s: float,
        digest: RequestDigest | None = None,
    ) -> None:
        duration_s = self._loop.time() - started_s
        self._view.observe(Observation(upstream_id, outcome, duration_s), digest)
        self._metrics.attempted(outcome.name.lower(), duration_s)
