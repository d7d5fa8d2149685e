"""Admits requests: finds the route, account and service, and refuses what must not run."""

import asyncio
import contextlib
import random

from egretrail.dispatch import request_digest
from egretrail.gateway._interfaces import RequestContract, RequestMetadata
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._pending_request import PendingRequest
from egretrail.gateway._view import FleetView
from egretrail.http1 import Request, Response
from egretrail.traffic import Route, choose_service, request_priority

#: The time-out of a request whose client does not state how long it waits.
_DEFAULT_WAIT_S = 30.0
#: How long a request waits for the configuration at an instance that has just started. Loading the
#: configuration takes 0.3 s where the store or a peer can be reached.
_START_CONFIG_WAIT_S = 0.6
#: Retry-After of an instance without a configuration: when it expects to have one.
_STARTING_RETRY_S = 0.3
#: For this long after the start, arriving requests wait until the configuration is confirmed as
#: current. A request waits at most ``_START_CONFIG_WAIT_S`` in all.
_START_FRESHNESS_PERIOD_S = 2.0
#: Retry-After of an instance that cannot accept API keys since its configuration is not confirmed
#: as current. By then it is confirmed again, or clients use another instance.
_UNCONFIRMED_RETRY_S = 0.5
#: Retry-After of an instance that may lack the newest configuration: when it expects to have it.
_CONFIG_RETRY_S = 0.25
#: Retry-After of a request that crashes upstreams. It stays refused, so the time is long.
_CRASHING_RETRY_S = 30.0


class Admission:
    """Decides on arrival whether a request may run, before it costs anything."""

    def __init__(
        self,
        view: FleetView,
        contract: RequestContract,
        log: EventLog,
        metrics: GatewayMetrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._contract = contract
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()

    async def wait_for_config(self) -> None:
        """Wait for the configuration, which arrives from peers shortly after the process starts.

        Clients keep the address of an instance that was killed and reconnect as soon as it is back.
        Without the wait, all their requests would be refused after many instances restart at once.
        """
        view = self._view
        if view.serving.is_set() and not self._awaits_freshness():
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_START_CONFIG_WAIT_S):
                await view.serving.wait()
                if self._awaits_freshness():
                    await view.config_confirmed.wait()

    def _awaits_freshness(self) -> bool:
        view = self._view
        has_just_started = self._loop.time() - self._started_s < _START_FRESHNESS_PERIOD_S
        return (
            view.requires_fresh_config and has_just_started and not view.config_confirmed.is_set()
        )

    def admit(self, request: Request, metadata: RequestMetadata) -> PendingRequest | Response:
        """Return the request to run, or the final response to one that must not run."""
        view = self._view
        if view.configs.routes is None or view.upstreams.revision == 0:
            self.record_refusal(metadata, "", "starting", _STARTING_RETRY_S)
            return self._contract.not_run_response(_STARTING_RETRY_S)
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = view.configs.routes.find(metadata.host, path)
        if route is None and not view.is_config_current:
            self.record_refusal(metadata, "", "config_behind", _CONFIG_RETRY_S)
            return self._contract.not_run_response(_CONFIG_RETRY_S)
        if route is None:
            version = view.config_version
            self._log.event(
                "no_route",
                id=metadata.attempt_id,
                host=metadata.host,
                path=path,
                config_version=version,
            )
            self._metrics.count_request("none", "no_route", 0.0)
            return Response(404)
        account = None
        if view.configs.accounts is not None and not route.is_public:
            account = view.configs.accounts.find(metadata.api_key) if metadata.api_key else None
            if account is None:
                return self._reject_api_key(metadata, route)
            if not view.accepts_keys:
                self.record_refusal(
                    metadata,
                    route.name,
                    "key_unproved",
                    _UNCONFIRMED_RETRY_S,
                    priority=request_priority(route, account),
                    account=account.name,
                    proof_age_s=view.config_freshness.age_s,
                )
                return self._contract.not_run_response(_UNCONFIRMED_RETRY_S)
            excess = view.admit_to_quota(account)
            if excess is not None:
                self.record_refusal(
                    metadata,
                    route.name,
                    "over_quota",
                    excess.retry_after_s,
                    priority=request_priority(route, account),
                    account=account.name,
                    room=excess.remaining,
                    demand_per_s=excess.demand_per_s,
                )
                return self._contract.over_quota_response(excess.retry_after_s)
        service = choose_service(route, self._rng)
        now_s = self._loop.time()
        view.retry_budget.record_request(service, now_s)
        digest = request_digest(
            (request.method, metadata.host.encode(), request.target, request.body)
        )
        if view.crashing_requests.is_blocked(digest, now_s):
            self.record_refusal(
                metadata,
                route.name,
                "crashes_upstreams",
                _CRASHING_RETRY_S,
                priority=request_priority(route, account),
                account=account.name if account is not None else "",
            )
            return self._contract.not_run_response(_CRASHING_RETRY_S)
        wait_s = metadata.wait_s if metadata.wait_s is not None else _DEFAULT_WAIT_S
        deadline_s = request.received_s + min(wait_s, route.timeout_s)
        pending = PendingRequest(request, metadata, route, service, account, digest, deadline_s)
        return self._refuse_over_share(pending, now_s) or pending

    def _refuse_over_share(self, pending: PendingRequest, now_s: float) -> Response | None:
        """Return the response to a request that others precede at a service without room."""
        view = self._view
        if not view.overload.policy.watches(pending.service):
            return None
        rejection = view.overload.admit(pending.arrival(now_s), now_s)
        if rejection is None:
            return None
        self.record_refusal(
            pending.metadata,
            pending.route.name,
            "over_share",
            rejection.retry_after_s,
            priority=pending.priority,
            account=pending.account_name,
            service=pending.service,
            state=rejection.state.value,
            level=rejection.admitted_share,
            offered_per_s=rejection.offered_per_s,
            room_per_s=rejection.room_per_s,
            age_s=rejection.age_s,
        )
        return self._contract.not_run_response(rejection.retry_after_s)

    def _reject_api_key(self, metadata: RequestMetadata, route: Route) -> Response:
        """Return the response to a request whose API key belongs to no account; it never runs.

        Clients treat 401 as final. An instance whose configuration may not be the newest must
        therefore not give it.
        """
        view = self._view
        if not view.is_config_current:
            self.record_refusal(
                metadata, route.name, "config_behind", _CONFIG_RETRY_S, priority=route.priority
            )
            return self._contract.not_run_response(_CONFIG_RETRY_S)
        self._log.event(
            "key_refused",
            id=metadata.attempt_id,
            route=route.name,
            reason="unknown" if metadata.api_key else "missing",
            config_version=view.config_version,
        )
        self._metrics.count_request(route.name, "key_refused", 0.0)
        return Response(401)

    def record_refusal(
        self,
        metadata: RequestMetadata,
        route: str,
        reason: str,
        retry_after_s: float,
        *,
        priority: int | str = "",
        account: str = "",
        **fields: object,
    ) -> None:
        """Log and count a refused request; priority and account are empty where unknown."""
        self._metrics.count_refusal(reason)
        self._log.event(
            "refused",
            id=metadata.attempt_id,
            route=route,
            reason=reason,
            retry_after_s=retry_after_s,
            priority=priority,
            account=account,
            **fields,
        )
