"""Carries one request of a client to its final answer."""

import asyncio
import contextlib
import random

from egretrail.dispatch import Choice, PlacementQuery, Refusal, request_digest
from egretrail.gateway._attempts import AttemptRunner
from egretrail.gateway._interfaces import CallerTerms, RequestContract
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._pool import UpstreamPool
from egretrail.gateway._view import FleetView
from egretrail.gateway._work import UNSENT, AttemptResult, Fate, Work
from egretrail.http1 import Answer, Request
from egretrail.traffic import Route, choose_service, request_priority

#: The time of a client that does not say how long it waits.
_DEFAULT_WAIT_S = 30.0
#: An idempotent request is sent to a second upstream when it takes this many times the usual
#: duration: with the spread of ordinary work, one request in twenty does.
_HEDGE_FACTOR = 2.2
_HEDGE_MIN_S = 0.2
#: Upstreams that could not be reached are left out, up to this number for one request.
_UNREACHABLE_MAX = 3
#: How long a request waits for an instance that has just started to know the configuration; it
#: takes 0.3 s where the store or any peer can be reached.
_START_WAIT_S = 0.6
#: When an instance that knows no configuration expects to know it.
_STARTING_RETRY_S = 0.3
#: An instance that has just started waits so long for the proof that its keys are in force.
_PROOF_PATIENCE_S = 2.0
#: When an instance that has lost the proof expects to have it again, or callers to have gone to
#: another one.
_UNPROVED_RETRY_S = 0.5
#: When an instance that has heard of a newer configuration expects to have it.
_CONFIG_RETRY_S = 0.25
#: A request that crashes upstreams is refused for good; it is told to stay away for long.
_CRASHING_RETRY_S = 30.0


class Executor:
    """Runs requests: each at most once where its route says so, and repeated within limits else."""

    def __init__(
        self,
        view: FleetView,
        contract: RequestContract,
        pool: UpstreamPool,
        log: EventLog,
        metrics: GatewayMetrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._contract = contract
        self._pool = pool
        self._attempts = AttemptRunner(view, contract, pool, log, metrics)
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    async def serve(self, request: Request) -> Answer:
        """Return the final answer to a request; cancelled when the client leaves."""
        started_s = self._loop.time()
        terms = self._contract.caller_terms(request)
        await self._wait_for_start()
        work = self._admit(request, terms)
        if isinstance(work, Answer):
            return work
        try:
            answer, outcome = await self._run(work)
        except asyncio.CancelledError:
            self._finished(work, "client_left", 0, started_s)
            raise
        self._finished(work, outcome, answer.status, started_s)
        return answer

    async def _wait_for_start(self) -> None:
        """Wait for the configuration, which peers tell within moments of the process's start.

        Load: callers keep the address of an instance that was killed and come back at once. After
        many restarts at the same time each of their requests would be refused.
        """
        view = self._view
        if view.serving.is_set() and not self._awaits_proof():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_START_WAIT_S):
                await view.serving.wait()
                if self._awaits_proof():
                    await view.proved.wait()

    def _awaits_proof(self) -> bool:
        view = self._view
        is_new = self._loop.time() - self._started_s < _PROOF_PATIENCE_S
        return view.needs_proof and is_new and not view.proved.is_set()

    def _admit(self, request: Request, terms: CallerTerms) -> Work | Answer:
        view = self._view
        if view.configs.routes is None or view.upstreams.revision == 0:
            self._refused(terms, "", "starting", _STARTING_RETRY_S)
            return self._contract.not_run(_STARTING_RETRY_S)
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = view.configs.routes.find(terms.host, path)
        if route is None and not view.knows_config_is_current:
            self._refused(terms, "", "config_behind", _CONFIG_RETRY_S)
            return self._contract.not_run(_CONFIG_RETRY_S)
        if route is None:
            version = view.config_version
            self._log.event(
                "no_route", id=terms.attempt_id, host=terms.host, path=path, config_version=version
            )
            self._metrics.answered("none", "no_route", 0.0)
            return Answer(404)
        account = None
        if view.configs.accounts is not None and not route.is_public:
            account = view.configs.accounts.find(terms.api_key) if terms.api_key else None
            if account is None:
                return self._without_account(terms, route)
            if not view.takes_keys:
                self._refused(
                    terms,
                    route.name,
                    "key_unproved",
                    _UNPROVED_RETRY_S,
                    account=account.name,
                    proof_age_s=view.proof.age_s,
                )
                return self._contract.not_run(_UNPROVED_RETRY_S)
            over = view.admit_to_quota(account)
            if over is not None:
                self._refused(
                    terms,
                    route.name,
                    "over_quota",
                    over.retry_after_s,
                    account=account.name,
                    room=over.room,
                    demand_per_s=over.demand_per_s,
                )
                return self._contract.over_quota(over.retry_after_s)
        service = choose_service(route, self._rng)
        now_s = self._loop.time()
        view.repeats.routed(service, now_s)
        digest = request_digest((request.method, terms.host.encode(), request.target, request.body))
        if view.crashers.refuses(digest, now_s):
            self._refused(terms, route.name, "crashes_upstreams", _CRASHING_RETRY_S)
            return self._contract.not_run(_CRASHING_RETRY_S)
        wait_s = terms.wait_s if terms.wait_s is not None else _DEFAULT_WAIT_S
        end_s = request.received_s + min(wait_s, route.timeout_s)
        return Work(request, terms, route, service, account, digest, end_s)

    def _without_account(self, terms: CallerTerms, route: Route) -> Answer:
        """Answer a request whose API key no account holds, and which therefore never runs.

        401 is final to callers: an instance that may lack the newest version must not give it.
        """
        view = self._view
        if not view.knows_config_is_current:
            self._refused(terms, route.name, "config_behind", _CONFIG_RETRY_S)
            return self._contract.not_run(_CONFIG_RETRY_S)
        self._log.event(
            "key_refused",
            id=terms.attempt_id,
            route=route.name,
            reason="unknown" if terms.api_key else "missing",
            config_version=view.config_version,
        )
        self._metrics.answered(route.name, "key_refused", 0.0)
        return Answer(401)

    async def _run(self, work: Work) -> tuple[Answer, str]:
        running: dict[asyncio.Task[AttemptResult], Choice] = {}
        try:
            refusal = self._send(work, running)
            while running:
                await self._wait(work, running)
                for task in [task for task in running if task.done()]:
                    choice = running.pop(task)
                    result = task.result()
                    if result.fate is Fate.SERVED and result.received is not None:
                        self._view.sizes.observe(work.route.name, len(result.received.body))
                        return self._contract.answer(result.received), "served"
                    self._note(work, choice, result)
                    if self._may_send_again(work, result):
                        refusal = self._send(work, running) or refusal
                if self._loop.time() >= work.end_s:
                    break
            return self._unserved(work, bool(running), refusal)
        finally:
            for task in running:
                task.cancel()

    async def _wait(self, work: Work, running: dict[asyncio.Task[AttemptResult], Choice]) -> None:
        """Wait for an attempt to end, the answer's time to pass, or a second upstream's turn."""
        now_s = self._loop.time()
        left_s = work.end_s - now_s
        hedge_s = self._hedge_delay_s(work) if len(running) == 1 else None
        timeout_s = left_s if hedge_s is None else min(left_s, hedge_s)
        done, _ = await asyncio.wait(
            running, timeout=max(timeout_s, 0.0), return_when=asyncio.FIRST_COMPLETED
        )
        if done or hedge_s is None or hedge_s >= left_s:
            return
        work.hedged = True
        if self._may_repeat(work):
            self._send(work, running, spare_only=True)

    def _hedge_delay_s(self, work: Work) -> float | None:
        if not work.repeatable or work.sends != 1 or work.hedged or work.route.max_attempts < 2:
            return None
        return max(self._view.durations.mean_s(work.service) * _HEDGE_FACTOR, _HEDGE_MIN_S)

    def _send(
        self,
        work: Work,
        running: dict[asyncio.Task[AttemptResult], Choice],
        *,
        spare_only: bool = False,
    ) -> Refusal | None:
        """Begin one more attempt; return why there is none.

        Load: with all slots taken, second copies of slow requests make every request slower. A copy
        therefore takes only room that is free.
        """
        now_s = self._loop.time()
        query = PlacementQuery(
            service=work.service,
            left_s=work.end_s - now_s,
            worth_s=work.request.received_s + work.route.objective_s - now_s,
            repeatable=work.repeatable and work.sends + 1 < work.route.max_attempts,
            urgent_objective_s=self._urgent_objective_s(work),
            answer_bytes=self._view.sizes.mean_bytes(work.route.name),
            spare_only=spare_only,
            excluded=work.tried,
            connected=self._pool.connected(),
        )
        ready = self._view.upstreams.ready(work.service)
        choice = self._view.placement.choose(query, ready, now_s)
        if isinstance(choice, Refusal):
            return choice
        if work.sends > 0:
            self._view.repeats.repeated(work.service, now_s)
        if work.account is not None and not work.is_charged:
            work.is_charged = True
            self._view.quotas.sent(work.account, now_s)
        work.tried.append(choice.upstream.id)
        work.sends += 1
        self._log.event(
            "attempt",
            id=work.terms.attempt_id,
            route=work.route.name,
            service=work.service,
            upstream=choice.upstream.id,
            zone=choice.upstream.availability_zone,
            number=work.sends,
            in_flight=choice.in_flight,
            slots=choice.upstream.slots,
            considered=choice.considered,
            trial=choice.trial,
            left_s=query.left_s,
            upstreams_revision=self._view.upstreams.revision,
        )
        self._view.begin(choice.upstream.id, trial=choice.trial)
        task = self._loop.create_task(self._attempts.run(work, choice.upstream))
        # A task that is cancelled before its first step runs none of its own code.
        task.add_done_callback(lambda _: self._view.end(choice.upstream.id))
        running[task] = choice
        return None

    def _urgent_objective_s(self, work: Work) -> float | None:
        urgency = self._view.configs.urgency
        if urgency is None:
            return None
        priority = request_priority(work.route, work.account)
        return urgency.shortest_objective_s(work.service, priority)

    def _may_send_again(self, work: Work, result: AttemptResult) -> bool:
        if result.fate in UNSENT:
            return work.unreachable <= _UNREACHABLE_MAX
        if result.fate is Fate.FAILED and not work.repeatable:
            return False
        return self._may_repeat(work)

    def _may_repeat(self, work: Work) -> bool:
        if work.sends >= work.route.max_attempts:
            return False
        return self._view.permits_repeat(work.service)

    def _note(self, work: Work, choice: Choice, result: AttemptResult) -> None:
        work.last_cause = result.cause
        if result.fate is Fate.FAILED:
            work.may_have_run = True
            work.failure = result.received or work.failure
        if result.fate in UNSENT:
            work.unreachable += 1
            # Nothing was sent, so it counts neither as an attempt nor as a repeat.
            work.sends -= 1
        self._log.event(
            "attempt_failed",
            id=work.terms.attempt_id,
            upstream=choice.upstream.id,
            fate=result.fate.value,
            status=result.received.status if result.received is not None else 0,
            cause=result.cause,
        )

    def _unserved(self, work: Work, under_way: bool, refusal: Refusal | None) -> tuple[Answer, str]:
        """Return the final answer of a request that no upstream served."""
        if not work.may_have_run and not under_way:
            # Upstreams that refused it have room again when a part of their work has ended.
            pause_s = self._view.placement.pause_s(work.service)
            retry_after_s = refusal.retry_after_s if refusal is not None else pause_s
            self._refused(
                work.terms,
                work.route.name,
                refusal.reason.value if refusal is not None else "not_run",
                retry_after_s,
                service=work.service,
                attempts=work.sends,
                wait_s=refusal.wait_s if refusal is not None else 0.0,
                usual_s=self._view.durations.mean_s(work.service),
                left_s=work.end_s - self._loop.time(),
            )
            return self._contract.not_run(retry_after_s), "refused"
        if work.failure is not None:
            return self._contract.answer(work.failure), "failed"
        if under_way:
            return Answer(504), "timeout"
        return Answer(502), "broken"

    def _refused(
        self,
        terms: CallerTerms,
        route: str,
        reason: str,
        retry_after_s: float,
        **inputs: object,
    ) -> None:
        self._metrics.refused(reason)
        self._log.event(
            "refused",
            id=terms.attempt_id,
            route=route,
            reason=reason,
            retry_after_s=retry_after_s,
            **inputs,
        )

    def _finished(self, work: Work, outcome: str, status: int, started_s: float) -> None:
        duration_s = self._loop.time() - started_s
        self._metrics.answered(work.route.name, outcome, duration_s)
        version = self._view.config_version
        self._log.event(
            "answered",
            id=work.terms.attempt_id,
            outcome=outcome,
            status=status,
            attempts=work.sends,
            unreachable=work.unreachable,
            duration_s=duration_s,
            objective_s=work.route.objective_s,
            left_s=work.end_s - self._loop.time(),
            config_version=version,
            cause=work.last_cause,
        )
