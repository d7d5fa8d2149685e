"""Runs client requests: admission, attempts, retries and the final response."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from egretrail.dispatch import Choice, PlacementQuery, Refusal, RefusalReason, UpstreamHealth
from egretrail.gateway._admission import Admission
from egretrail.gateway._attempts import AttemptRunner, attempt_fields
from egretrail.gateway._interfaces import RequestContract, ResponseKind, StartupSettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._pending_request import UNSENT, AttemptResult, Disposition, PendingRequest
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._relay import RelayClient, RelayServer
from egretrail.gateway._upstream_paths import UpstreamPaths
from egretrail.gateway._view import FleetView
from egretrail.http1 import Request, Response

#: An idempotent request is hedged (sent to a second upstream as well) when it takes this many times
#: the typical duration. With the normal spread of durations, one request in twenty does.
_HEDGE_FACTOR = 2.2
#: A hedge is sent no sooner than this after the first attempt.
_HEDGE_MIN_S = 0.2
#: A request is not retried after more than this many attempts that could not send anything.
_UNSENT_MAX = 3


def _is_unreached(result: AttemptResult) -> bool:
    """Return whether no other instance reaches an upstream of the service either."""
    return result.refusal is not None and result.refusal.reason is RefusalReason.ISOLATED


class RequestExecutor:
    """Runs requests: at most once where the route requires that, else retried within limits."""

    def __init__(
        self,
        view: FleetView,
        contract: RequestContract,
        pool: UpstreamConnectionPool,
        log: EventLog,
        metrics: GatewayMetrics,
        rng: random.Random,
        settings: StartupSettings,
    ) -> None:
        self._view = view
        self._contract = contract
        self._pool = pool
        #: Whether this instance reaches upstreams.
        self.paths = UpstreamPaths(view, pool, log, rng)
        self._attempt_runner = AttemptRunner(view, contract, pool, log, metrics, self.paths)
        #: Sends requests through other instances while this one reaches no upstream.
        self.relay_client = RelayClient(settings, view, log, rng)
        #: Serves the requests of instances that reach no upstream.
        self.relay_server = RelayServer(view, self._attempt_runner, pool, log, self.paths)
        self._log = log
        self._metrics = metrics
        self._admission = Admission(view, contract, log, metrics, rng)
        self._loop = asyncio.get_running_loop()

    async def serve(self, request: Request) -> Response:
        """Return the final response to a request; cancelled when the client disconnects."""
        started_s = self._loop.time()
        metadata = self._contract.request_metadata(request)
        await self._admission.wait_for_config()
        pending = self._admission.admit(request, metadata)
        if isinstance(pending, Response):
            return pending
        try:
            response, outcome = await self._run_attempts(pending)
        except asyncio.CancelledError:
            self._record_finish(pending, "client_left", 0, started_s)
            raise
        self._record_finish(pending, outcome, response.status, started_s)
        return response

    async def _run_attempts(self, pending: PendingRequest) -> tuple[Response, str]:
        running: set[asyncio.Task[AttemptResult]] = set()
        try:
            refusal = self._start_attempt(pending, running)
            while running:
                await self._wait_for_attempts(pending, running)
                for task in [task for task in running if task.done()]:
                    running.remove(task)
                    result = pending.last_result = task.result()
                    if result.disposition is not Disposition.REFUSED:
                        self._charge_account(pending)
                    if result.disposition is Disposition.SERVED and result.received is not None:
                        self._view.response_sizes.record(
                            pending.route.name, len(result.received.body)
                        )
                        return self._contract.forwarded_response(result.received), "served"
                    self._record_failed_attempt(pending, result)
                    if result.refusal is not None:
                        refusal = result.refusal
                    elif self._may_retry_after_failure(pending, result):
                        refusal = self._start_attempt(pending, running) or refusal
                if self._loop.time() >= pending.deadline_s:
                    break
            return self._failure_response(pending, bool(running), refusal)
        finally:
            for task in running:
                task.cancel()

    async def _wait_for_attempts(
        self, pending: PendingRequest, running: set[asyncio.Task[AttemptResult]]
    ) -> None:
        """Wait until an attempt ends, the deadline passes or the request is due for hedging.

        A request that may be retried is also sent through another instance when this one finds that
        it reaches no upstream: the response to its attempt may never arrive.
        """
        now_s = self._loop.time()
        remaining_s = pending.deadline_s - now_s
        hedge_s = self._hedge_delay_s(pending) if len(running) == 1 else None
        timeout_s = remaining_s if hedge_s is None else min(remaining_s, hedge_s)
        isolation = self.paths.isolation
        may_relay = pending.is_retryable and not isolation.done()
        awaited: set[asyncio.Future[Any]] = {*running}
        if may_relay:
            awaited.add(isolation)
        done, _ = await asyncio.wait(
            awaited,
            timeout=max(timeout_s, 0.0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if may_relay and done == {isolation}:
            if len(running) == 1 and self._may_retry(pending):
                self._start_attempt(pending, running)
            return
        if done or hedge_s is None or hedge_s >= remaining_s:
            return
        pending.is_hedge_decided = True
        if self._may_hedge(pending):
            self._start_attempt(pending, running, spare_only=True)

    def _hedge_delay_s(self, pending: PendingRequest) -> float | None:
        if (
            not pending.is_retryable
            or pending.send_count != 1
            or pending.is_hedge_decided
            or pending.route.max_attempts < 2
        ):
            return None
        return max(self._view.durations.mean_s(pending.service) * _HEDGE_FACTOR, _HEDGE_MIN_S)

    def _start_attempt(
        self,
        pending: PendingRequest,
        running: set[asyncio.Task[AttemptResult]],
        *,
        spare_only: bool = False,
    ) -> Refusal | None:
        """Start an attempt; return the refusal if no upstream can be chosen.

        An instance that reaches no upstream of the service lets another one choose, which may
        refuse later.

        With all slots occupied, hedging slow requests would slow down every request. A hedge is
        therefore sent only to an upstream with a free slot (``spare_only``).
        """
        now_s = self._loop.time()
        query = PlacementQuery(
            service=pending.service,
            remaining_s=pending.deadline_s - now_s,
            objective_remaining_s=pending.request.received_s + pending.route.objective_s - now_s,
            is_retryable=pending.is_retryable
            and pending.send_count + 1 < pending.route.max_attempts,
            urgent_objective_s=self._urgent_objective_s(pending),
            urgent_slot_share=self._view.overload.urgent_slot_share(
                pending.service, pending.priority, now_s
            ),
            response_bytes=self._view.response_sizes.mean_bytes(pending.route.name),
            spare_only=spare_only,
            excluded=pending.tried,
            connected=self._pool.idle_upstreams(),
        )
        choice: Choice | None = None
        if not self.paths.reaches_none(pending.service):
            ready = self._view.upstreams.ready(pending.service)
            found = self._view.placement.choose(query, ready, now_s)
            if isinstance(found, Refusal):
                return found
            choice = found
        if pending.send_count > 0:
            self._view.retry_budget.record_retry(pending.service, now_s)
        pending.send_count += 1
        if choice is None:
            running.add(self._loop.create_task(self._run_relayed(pending, query)))
            return None
        self._charge_account(pending)
        upstream_id = choice.upstream.id
        pending.tried.append(upstream_id)
        self._log.event(
            "attempt",
            id=pending.metadata.attempt_id,
            route=pending.route.name,
            number=pending.send_count,
            priority=pending.priority,
            account=pending.account_name,
            **attempt_fields(choice, query, self._view.upstreams.revision),
            **self._budget_fields(pending),
        )
        self._view.record_request_start(upstream_id, trial=choice.is_trial)
        task = self._loop.create_task(self._attempt_runner.run(pending.attempt(), choice.upstream))
        # A callback, since a task that is cancelled before its first step runs none of its code.
        task.add_done_callback(lambda _: self._view.record_request_end(upstream_id))
        running.add(task)
        return None

    async def _run_relayed(self, pending: PendingRequest, query: PlacementQuery) -> AttemptResult:
        """Send a request through another instance, as this one reaches no upstream of the service.

        What upstreams state in responses binds this instance although it did not send the request:
        the instance that it chooses next may not know it.
        """
        excluded = [*query.excluded, *self._view.refusing_upstreams(pending.service)]
        query = replace(query, excluded=excluded)
        attempt = pending.attempt()
        result = await self.relay_client.run(attempt, query)
        if _is_unreached(result) and not self.paths.is_isolated:
            # Last resort: paths that lose packets still deliver some requests.
            here = await self.relay_server.run_here(attempt, query, is_relayed=False)
            return result if here is None else here
        received = result.received
        if received is not None:
            notices = self._contract.notices(received)
            self._view.notices.record(result.upstream_id, received.status, notices)
        return result

    def _charge_account(self, pending: PendingRequest) -> None:
        """Count a request that is sent against its account's quota, once."""
        if pending.account is not None and not pending.is_charged:
            pending.is_charged = True
            self._view.quotas.record_send(pending.account, self._loop.time())

    def _budget_fields(self, pending: PendingRequest) -> Mapping[str, object]:
        """Return the log fields that show on which counts of the fleet a retry was permitted."""
        if pending.send_count < 2:
            return {}
        usage = self._view.retry_budget.service_usage(
            pending.service, self._loop.time(), self._view.known_share()
        )
        return {
            "fleet_requests": usage.requests,
            "fleet_retries": usage.retries,
            "retries_allowed": usage.allowed,
        }

    def _urgent_objective_s(self, pending: PendingRequest) -> float | None:
        urgency = self._view.configs.urgency
        if urgency is None:
            return None
        return urgency.shortest_objective_s(pending.service, pending.priority)

    def _may_retry_after_failure(self, pending: PendingRequest, result: AttemptResult) -> bool:
        if result.disposition in UNSENT:
            return pending.unsent_count <= _UNSENT_MAX
        if result.disposition is Disposition.FAILED and not pending.is_retryable:
            return False
        return self._may_retry(pending)

    def _may_retry(self, pending: PendingRequest) -> bool:
        if pending.send_count >= pending.route.max_attempts:
            return False
        view, now_s = self._view, self._loop.time()
        retries_per_s = view.retry_budget.retries_per_s(pending.service, now_s, view.known_share())
        return view.overload.permits_retry(
            pending.service, pending.priority, retries_per_s, now_s
        ) and view.permits_retry(pending.service)

    def _may_hedge(self, pending: PendingRequest) -> bool:
        """Return whether a request that takes long may be sent to a second upstream as well.

        A hedge is not counted as a wanted retry: the response to the first attempt may still come.
        """
        return (
            pending.send_count < pending.route.max_attempts
            and self._view.overload.permits_hedge(pending.service, self._loop.time())
            and self._view.permits_retry(pending.service)
        )

    def _record_failed_attempt(self, pending: PendingRequest, result: AttemptResult) -> None:
        pending.last_cause = result.cause
        if result.upstream_id and result.upstream_id not in pending.tried:
            pending.tried.append(result.upstream_id)
        if result.disposition is Disposition.FAILED:
            pending.may_have_run = True
            pending.failure_response = result.received or pending.failure_response
        if self._is_shed(result):
            self._view.overload.record_shed(pending.service, pending.priority, self._loop.time())
        if result.disposition in UNSENT:
            pending.unsent_count += 1
        if result.disposition in UNSENT or result.disposition is Disposition.REFUSED:
            # Nothing was sent, so this counts neither as an attempt nor as a retry.
            pending.send_count -= 1
        self._log.event(
            "attempt_failed",
            id=pending.metadata.attempt_id,
            upstream=result.upstream_id,
            fate=result.disposition.value,
            status=result.received.status if result.received is not None else 0,
            cause=result.cause,
            **result.exchange_fields(),
        )

    def _is_shed(self, result: AttemptResult) -> bool:
        """Return whether the chosen upstream refused an attempt, not another at its address."""
        return (
            result.disposition is Disposition.NOT_RUN
            and result.received is not None
            and self._contract.classify(result.received) is ResponseKind.NOT_RUN
        )

    def _retry_after_s(self, pending: PendingRequest, refusal: Refusal | None) -> float:
        """Return when the client of a refused request may return.

        Overload control spreads the clients that wait for slots, and those that upstreams refused
        although they have slots. Limits and backoffs of upstreams state a time of their own.
        """
        view, now_s = self._view, self._loop.time()
        all_refused = (
            refusal is not None and refusal.reason is RefusalReason.NO_UPSTREAM and pending.tried
        )
        if refusal is not None and refusal.reason is not RefusalReason.NO_TIME and not all_refused:
            return refusal.retry_after_s
        # Upstreams that refused have capacity again when some of their requests have ended.
        ready = view.upstreams.ready(pending.service)
        typical_s = view.placement.retry_after_s(pending.service, ready, now_s)
        if refusal is not None:
            typical_s = refusal.retry_after_s
        expected_s = view.overload.retry_after_s(pending.arrival(now_s), typical_s, now_s)
        if expected_s == typical_s:
            return typical_s
        return max(expected_s, view.backoffs.shortest_remaining_s(ready, now_s))

    def _failure_response(
        self, pending: PendingRequest, has_running_attempts: bool, refusal: Refusal | None
    ) -> tuple[Response, str]:
        """Return the final response to a request that was not served, and its logged outcome."""
        if not pending.may_have_run and not has_running_attempts:
            ready = self._view.upstreams.ready(pending.service)
            retry_after_s = self._retry_after_s(pending, refusal)
            by_health = self._view.count_by_health(ready)
            self._admission.record_refusal(
                pending.metadata,
                pending.route.name,
                refusal.reason.value if refusal is not None else "not_run",
                retry_after_s,
                priority=pending.priority,
                account=pending.account_name,
                service=pending.service,
                attempts=pending.send_count,
                wait_s=refusal.wait_s if refusal is not None else 0.0,
                usual_s=self._view.durations.mean_s(pending.service),
                left_s=pending.deadline_s - self._loop.time(),
                listed=len(ready),
                suspects=by_health[UpstreamHealth.SUSPECT] + by_health[UpstreamHealth.PROBATION],
                unreached=by_health[UpstreamHealth.UNREACHABLE_FROM_HERE],
                connects_failed=self._pool.failed_in_a_row,
            )
            return self._contract.not_run_response(retry_after_s), "refused"
        if pending.failure_response is not None:
            return self._contract.forwarded_response(pending.failure_response), "failed"
        if has_running_attempts:
            return Response(504), "timeout"
        return Response(502), "broken"

    def _record_finish(
        self, pending: PendingRequest, outcome: str, status: int, started_s: float
    ) -> None:
        duration_s = self._loop.time() - started_s
        self._metrics.count_request(pending.route.name, outcome, duration_s)
        version, last = self._view.config_version, pending.last_result
        self._log.event(
            "answered",
            id=pending.metadata.attempt_id,
            outcome=outcome,
            status=status,
            attempts=pending.send_count,
            unreachable=pending.unsent_count,
            duration_s=duration_s,
            objective_s=pending.route.objective_s,
            left_s=pending.deadline_s - self._loop.time(),
            config_version=version,
            cause=pending.last_cause,
            upstream=last.upstream_id if last is not None else "",
            upstream_status=last.received.status if last is not None and last.received else 0,
            **(last.exchange_fields() if last is not None else {}),
        )
