"""Sends a request to one upstream and interprets the response."""

import asyncio
from collections.abc import Mapping
from dataclasses import replace

from result import Err

from egretrail.dispatch import (
    PATH_OUTCOMES,
    Choice,
    Observation,
    Outcome,
    PlacementQuery,
    RequestDigest,
)
from egretrail.gateway._interfaces import RequestContract, ResponseKind
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._pending_request import AttemptRequest, AttemptResult, Disposition
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._upstream_paths import UpstreamPaths
from egretrail.gateway._view import FleetView
from egretrail.http1 import (
    ClientConnection,
    ConnectFailed,
    ExchangeBroken,
    ExchangeFailed,
    ReceivedResponse,
    encode_request,
)
from egretrail.traffic import UpstreamRecord

#: Subtracted from the remaining time that is sent to an upstream: the response's time in transit.
_RESPONSE_TRANSIT_S = 0.01
#: A request that takes this many times the typical duration counts as overdue, which is evidence
#: against its upstream. One in a hundred normal requests takes that long.
_OVERDUE_FACTOR = 4.0
_OVERDUE_MIN_S = 0.8


def attempt_fields(
    choice: Choice, query: PlacementQuery, upstreams_revision: int
) -> Mapping[str, object]:
    """Return the log fields of an attempt that show why its upstream was chosen."""
    return {
        "service": query.service,
        "upstream": choice.upstream.id,
        "zone": choice.upstream.availability_zone,
        "in_flight": choice.in_flight,
        "slots": choice.upstream.slots,
        "considered": choice.candidate_count,
        "trial": choice.is_trial,
        "left_s": query.remaining_s,
        "upstreams_revision": upstreams_revision,
    }


class AttemptRunner:
    """Runs single attempts and records each outcome for this instance and its peers."""

    def __init__(
        self,
        view: FleetView,
        contract: RequestContract,
        pool: UpstreamConnectionPool,
        log: EventLog,
        metrics: GatewayMetrics,
        paths: UpstreamPaths,
    ) -> None:
        self._view = view
        self._contract = contract
        self._pool = pool
        pool.on_idle_bytes = self._log_idle_bytes
        self._paths = paths
        self._log = log
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    async def run(self, attempt: AttemptRequest, upstream: UpstreamRecord) -> AttemptResult:
        """Send a request to an upstream and return the result; cancel to abandon the attempt."""
        return replace(await self._run(attempt, upstream), upstream_id=upstream.id)

    async def _run(self, attempt: AttemptRequest, upstream: UpstreamRecord) -> AttemptResult:
        upstream_id = upstream.id
        started_s = self._loop.time()
        try:
            connection = await self._pool.acquire(upstream_id, upstream.address)
        except ConnectFailed as error:
            self._record_outcome(upstream_id, Outcome.UNREACHABLE, started_s)
            return AttemptResult(Disposition.UNREACHABLE, cause=str(error))
        unsent = self._unsent_disposition(upstream_id)
        if unsent is not None:
            self._pool.release(upstream_id, connection)
            return AttemptResult(unsent, cause="the upstream takes no requests; nothing was sent")
        started_s = self._loop.time()
        remaining_s = attempt.deadline_s - started_s - _RESPONSE_TRANSIT_S
        request = attempt.request
        data = encode_request(
            request.method,
            request.target,
            self._contract.upstream_headers(request, upstream.name, remaining_s, attempt.account),
            request.body,
        )
        expected_s = self._expected_duration_s(attempt.service, upstream)
        overdue = self._loop.call_later(
            max(expected_s * _OVERDUE_FACTOR, _OVERDUE_MIN_S),
            self._record_outcome,
            upstream_id,
            Outcome.OVERDUE,
            started_s,
        )
        self._count_cross_zone_bytes(upstream, "requests", len(data))
        try:
            received = await connection.exchange(
                data,
                lambda head: self._contract.response_owner(head, attempt.attempt_id),
                on_head=lambda head: self._record_head(upstream_id, head),
                without_body=request.method == b"HEAD",
            )
        except ExchangeFailed as error:
            outcome, digest = Outcome.BROKEN, None
            if isinstance(error, ExchangeBroken):
                outcome = Outcome.SILENT if error.path_failed else Outcome.BROKEN
                # An upstream that sent bytes which are no response was not crashed by the request.
                digest = attempt.digest
            self._record_outcome(upstream_id, outcome, started_s, digest)
            return AttemptResult(Disposition.FAILED, cause=str(error), trace=connection.trace())
        finally:
            overdue.cancel()
        self._pool.release(upstream_id, connection)
        self._count_cross_zone_bytes(upstream, "answers", len(received.body))
        result = self._interpret(attempt, upstream_id, received, started_s)
        return replace(result, trace=connection.trace())

    def _log_idle_bytes(
        self, upstream_id: str, connection: ClientConnection, size_bytes: int
    ) -> None:
        """Log bytes that belong to no request; they may be a late second response."""
        self._log.event(
            "idle_bytes",
            upstream=upstream_id,
            connection=connection.number,
            exchanges=connection.exchange_count,
            size_bytes=size_bytes,
        )

    def _record_head(self, upstream_id: str, head: ReceivedResponse) -> None:
        self._paths.record_contact(upstream_id)
        self._view.notices.record(upstream_id, head.status, self._contract.notices(head))

    def _unsent_disposition(self, upstream_id: str) -> Disposition | None:
        """Return why a request must not be sent to its upstream any more; None if it may be."""
        if not self._view.upstreams.is_ready(upstream_id):
            return Disposition.DRAINING
        if self._view.backoffs.remaining_s(upstream_id, self._loop.time()) > 0:
            return Disposition.BACKING_OFF
        return None

    def _interpret(
        self,
        attempt: AttemptRequest,
        upstream_id: str,
        received: ReceivedResponse,
        started_s: float,
    ) -> AttemptResult:
        now_s = self._loop.time()
        load = self._contract.reported_load(received)
        if load is not None:
            self._view.load.record_reported_load(
                upstream_id, max(load.running + load.waiting - 1, 0), now_s
            )
        response_kind = self._contract.classify(received)
        if response_kind not in (ResponseKind.WRONG_UPSTREAM, ResponseKind.INVALID):
            self._record_advertised_limit(upstream_id, received)
        if response_kind is ResponseKind.SERVED:
            self._record_outcome(upstream_id, Outcome.SUCCESS, started_s)
            self._view.crashing_requests.clear(attempt.digest)
            return AttemptResult(Disposition.SERVED, received)
        if response_kind is ResponseKind.NOT_RUN:
            self._record_outcome(upstream_id, Outcome.SHED, started_s)
            return AttemptResult(
                Disposition.NOT_RUN, received, "refused by the upstream without running"
            )
        if response_kind is ResponseKind.WRONG_UPSTREAM:
            self._view.record_replaced(upstream_id)
            self._log.event("upstream_replaced", upstream=upstream_id)
            return AttemptResult(Disposition.NOT_RUN, received, "another upstream uses the address")
        if response_kind is ResponseKind.EXPIRED:
            self._record_outcome(upstream_id, Outcome.EXPIRED, started_s)
            return AttemptResult(
                Disposition.FAILED, received, "the request's deadline passed at the upstream"
            )
        self._record_outcome(upstream_id, Outcome.FAILED, started_s)
        if response_kind is ResponseKind.INVALID:
            return AttemptResult(Disposition.FAILED, None, "not a valid response of an upstream")
        return AttemptResult(Disposition.FAILED, received, "the upstream failed")

    def _record_advertised_limit(self, upstream_id: str, received: ReceivedResponse) -> None:
        advertised = self._contract.advertised_limit(received)
        if isinstance(advertised, Err):
            # The limit that was advertised before stays in force, to protect the upstream.
            self._log.event("limit_refused", upstream=upstream_id, cause=advertised.err_value)
            return
        self._view.record_advertised_limit(upstream_id, advertised.ok_value)

    def _count_cross_zone_bytes(
        self, upstream: UpstreamRecord, direction: str, size_bytes: int
    ) -> None:
        if upstream.availability_zone != self._view.placement.availability_zone:
            self._metrics.count_cross_zone_bytes(direction, size_bytes)

    def _expected_duration_s(self, service: str, upstream: UpstreamRecord) -> float:
        """Return the typical duration of a request, with its wait for a slot of the upstream."""
        in_flight_count = self._view.load.in_flight(upstream.id, self._loop.time())
        queue_rounds = max(in_flight_count - upstream.slots, 0) / upstream.slots
        return self._view.durations.mean_s(service) * (1.0 + queue_rounds)

    def _record_outcome(
        self,
        upstream_id: str,
        outcome: Outcome,
        started_s: float,
        digest: RequestDigest | None = None,
    ) -> None:
        duration_s = self._loop.time() - started_s
        observation = Observation(upstream_id, outcome, duration_s)
        if outcome in PATH_OUTCOMES:
            self._paths.record_failure(observation, digest)
        else:
            self._view.record_outcome(observation, digest)
        self._metrics.count_attempt(outcome.name.lower(), duration_s)
