"""Builds the components of an instance, starts them in order and stops them gracefully."""

import asyncio
import random
import secrets
import signal
import time
from collections.abc import Awaitable, Mapping, Sequence
from typing import Any

import aiohttp
import falcon.asgi
import structlog

from egretrail.daemon._accounting import Accounting
from egretrail.daemon._client_app import ClientApp
from egretrail.daemon._execution import Executor
from egretrail.daemon._floor_source import SettingsFloorSource
from egretrail.daemon._http_server import HttpServer
from egretrail.daemon._metrics import Metrics
from egretrail.daemon._operator_api import (
    ExplainResource,
    GaugeUpdater,
    InstancesResource,
    LiveResource,
    MetricsResource,
    ReadyResource,
    RoutesResource,
    UpstreamsResource,
)
from egretrail.daemon._report_resource import ReportResource
from egretrail.daemon._request_handler import RequestHandler
from egretrail.daemon._resolver import Resolver
from egretrail.daemon._routing import SettingsRouting
from egretrail.daemon._service_state import ServiceStates
from egretrail.fleet import Member, group_size
from egretrail.idempotency import KeyLimits
from egretrail.identity import Incarnation, ServiceName
from egretrail.peer import TcpPeerNetwork
from egretrail.report import BurnRecorder, Objective
from egretrail.runtime import (
    DemandDriver,
    EvidenceDriver,
    KeyedExecutor,
    MembershipDriver,
    OperatorTokenMiddleware,
    ReportDriver,
    RightsDriver,
    SettingsDriver,
    UpstreamClient,
    UpstreamListDriver,
    add_settings_routes,
)
from egretrail.settings import InstanceSettings, OperatorTokens, ServiceSettings
from egretrail.store.http import HttpInstanceList, HttpStore
from egretrail.upstream import ServiceHealth, SuspectRequests

#: Number of random low bits of an incarnation number; the bits above are its start time in ms.
_INCARNATION_RANDOM_BITS = 20
#: A peer frame holds a complete request or response body; this leaves space for its headers.
_FRAME_OVERHEAD_BYTES = 1 << 18
_log = structlog.get_logger()


class Daemon:
    """One entry instance."""

    def __init__(
        self, settings: InstanceSettings, fleet_key: bytes, tokens: OperatorTokens | None
    ) -> None:
        self._settings = settings
        self._tokens = tokens
        self._fleet_key = fleet_key
        number = (time.time_ns() // 1_000_000 << _INCARNATION_RANDOM_BITS) | secrets.randbits(
            _INCARNATION_RANDOM_BITS
        )
        self._own = Incarnation(settings.instance.name, number)
        self._metrics = Metrics()
        self._signal_count = 0
        self._stop_requested = asyncio.Event()

    async def run(self) -> bool:
        """Serve until a signal arrives, then stop; return whether requests were aborted."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        async with aiohttp.ClientSession() as platform_session:
            await self._start(platform_session)
            await self._stop_requested.wait()
            return await self._stop()

    def _on_signal(self) -> None:
        self._signal_count += 1
        self._stop_requested.set()

    async def _start(self, platform_session: aiohttp.ClientSession) -> None:
        settings = self._settings
        platform = settings.platform
        limits = settings.limits
        rng = random.Random(self._own.number)
        frame_limit = max(limits.request_body_size_bytes, limits.answer_body_size_bytes)
        self._peers = TcpPeerNetwork(
            self._own,
            self._fleet_key,
            lambda name: self._view.address(name),
            frame_limit + _FRAME_OVERHEAD_BYTES,
        )
        peer_port = await self._peers.start(settings.peer_face.host, settings.peer_face.port)
        caller_face, operator_face = settings.caller_face, settings.operator_face
        self._client_server = HttpServer(caller_face.host, caller_face.port)
        self._operator_server = HttpServer(operator_face.host, operator_face.port)
        store = HttpStore(platform.store_url, platform_session, platform.timeout_s)
        instance_list = HttpInstanceList(
            platform.instance_list_url, platform_session, platform.timeout_s
        )
        self._view = MembershipDriver(
            Member(
                self._own,
                settings.instance.availability_zone,
                caller_face.host,
                self._client_server.port,
                settings.peer_face.host,
                peer_port,
                ready=False,
            ),
            self._peers,
            instance_list,
            group_size_of=self._group_size,
            list_interval_s=platform.list_interval_s,
            rng=rng,
        )
        self._source = UpstreamListDriver(
            self._view, self._peers, self._keeps_upstreams, self._group_services, rng
        )
        self._settings_driver = SettingsDriver(self._own, self._peers, self._view, store, rng)
        self._routing = SettingsRouting(self._settings_driver)
        self._rights = RightsDriver(
            self._view,
            self._peers,
            store,
            SettingsFloorSource(self._routing, self._source, self._group_services),
            rng=rng,
        )
        self._evidence = EvidenceDriver(
            self._own, self._peers, self._view, self._create_health, self._create_suspects
        )
        self._client = UpstreamClient(limits.answer_body_size_bytes)
        self._build_request_handling()
        self._settings_driver.subscribe(lambda _changed: self._source.request_rows_soon())
        await self._source.start()
        await self._view.start()
        await self._settings_driver.start()
        await self._rights.start()
        await self._evidence.start()
        await self._demand.start()
        await self._keyed.start()
        self._operator_server.start(self._operator_app())
        self._client_server.start(self._client_app)
        _log.info(
            "listening",
            callers=self._client_server.port,
            peers=peer_port,
            operators=self._operator_server.port,
        )
        await self._settings_driver.wait_until_caught_up()
        await self._view.announce_ready()
        _log.info("ready", instance=str(self._own))

    def _build_request_handling(self) -> None:
        settings = self._settings
        recorder = BurnRecorder()
        accounting = Accounting(self._metrics, recorder)
        self._report = ReportDriver(
            recorder,
            self._peers,
            self._view,
            lambda: self._settings_driver.status().complete_revision,
            self._objectives,
        )
        self._demand = DemandDriver(self._peers, self._view, self._demands)
        self._services = ServiceStates(
            self._routing.service,
            settings.instance.availability_zone,
            self._source,
            self._evidence,
            accounting,
            self._demand,
            self._own.number,
        )
        executor = Executor(
            self._services,
            self._source,
            self._evidence,
            self._client,
            accounting,
            f"{self._own.number:x}",
        )
        self._keyed = KeyedExecutor(
            self._own,
            self._fleet_key,
            self._peers,
            self._view,
            lambda envelope: requests.execute(envelope),
            # The limit is split evenly between the two roles, home and witness.
            KeyLimits(answers_size_bytes=settings.limits.kept_answers_size_bytes // 2),
        )
        requests = RequestHandler(
            self._routing, self._view, self._peers, self._keyed, executor, accounting
        )
        resolver = Resolver(self._routing, self._view, self._keyed, settings.callers.resolve_ttl_s)
        self._client_app = ClientApp(settings, requests, resolver)

    def _operator_app(self) -> Any:
        app = falcon.asgi.App(middleware=[OperatorTokenMiddleware(self._tokens)])
        gauges = GaugeUpdater(
            self._metrics,
            self._view,
            self._services,
            self._settings_driver.status,
            lambda: len(self._client_app.in_flight),
        )
        app.add_route("/healthz", LiveResource())
        app.add_route("/readyz", ReadyResource(self._view, self._routing))
        app.add_route("/metrics", MetricsResource(self._metrics, gauges))
        app.add_route("/v1/instances", InstancesResource(self._view))
        app.add_route("/v1/upstreams", UpstreamsResource(self._services))
        app.add_route("/v1/routes", RoutesResource(self._settings_driver.settings))
        add_settings_routes(app, self._settings_driver)
        app.add_route("/v1/report", ReportResource(self._report))
        app.add_route(
            "/v1/explain",
            ExplainResource(self._routing, self._view, self._services, self._source),
        )
        return app

    def _objectives(self) -> Mapping[ServiceName, Objective]:
        return {
            name: Objective(service.objective, service.objective_latency_s)
            for name, service in self._settings_driver.settings().services.items()
        }

    def _demands(self) -> Mapping[ServiceName, float]:
        states = self._services.states.items()
        return {service: state.scheduler.demand for service, state in states}

    def _group_size(self, service: ServiceName) -> int:
        """Return a service's group size from its settings alone.

        All instances have to compute the same group, but those outside it do not know the
        service's upstreams. The floor is therefore used in place of the number of upstreams.
        """
        settings = self._routing.service(service) or ServiceSettings(floor=0)
        return group_size(settings.floor, settings.slots, settings.group_size)

    def _is_in_group(self, service: ServiceName) -> bool:
        own = self._settings.instance.name
        return any(member.name == own for member in self._view.group(service))

    def _keeps_upstreams(self, service: ServiceName) -> bool:
        """Return whether the upstream list is kept: own groups and recently requested services."""
        return self._services.is_recent(service) or self._is_in_group(service)

    def _group_services(self) -> Sequence[ServiceName]:
        services = self._settings_driver.settings().services
        return [service for service in services if self._is_in_group(service)]

    def _create_health(self, service: ServiceName) -> ServiceHealth:
        settings = self._routing.service(service) or ServiceSettings(floor=0)
        seed = random.Random(f"{self._own.number}{service}")
        return ServiceHealth(service, settings.detection, settings.ramp_s, self._rights, seed)

    def _create_suspects(self, service: ServiceName) -> SuspectRequests:
        settings = self._routing.service(service) or ServiceSettings(floor=0)
        return SuspectRequests(settings.upstreams_per_request)

    async def _stop(self) -> bool:
        """Announce the departure, serve for one resolve TTL, then drain the requests in flight.

        Clients cache a resolve response for its TTL and connect without resolving again. The
        listener therefore stays open for that long after the instance has disappeared from resolve
        responses. The deadline bounds the wait for requests that do not end. Each request that is
        aborted is logged. Returns whether any was.
        """
        _log.info("leaving", in_flight=len(self._client_app.in_flight))
        self._client_app.is_shutting_down = True
        self._metrics.leaving.set(1)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._settings.stop.deadline_s
        await self._view.announce_leaving()
        departure = asyncio.gather(
            asyncio.sleep(self._settings.callers.resolve_ttl_s), self._rights.hand_over()
        )
        await self._wait_until_done(departure, deadline_s)
        is_drained = await self._wait_until_done(self._drain_requests(deadline_s), deadline_s)
        aborted = list(self._client_app.in_flight.values())
        for request in aborted:
            _log.warning("request_cut", request=request)
        if is_drained:
            await self._stop_components()
        _log.info("stopped", cut=len(aborted))
        return bool(aborted)

    async def _drain_requests(self, deadline_s: float) -> None:
        await self._client_server.stop()
        drained = await self._keyed.drain(deadline_s)
        if drained.unsettled_count or drained.unkept_count:
            _log.warning(
                "keys_left", unsettled=drained.unsettled_count, unkept=drained.unkept_count
            )
        await self._keyed.stop()

    async def _stop_components(self) -> None:
        await self._demand.stop()
        await self._evidence.stop()
        await self._rights.stop()
        await self._settings_driver.stop()
        await self._source.stop()
        await self._view.stop()
        await self._operator_server.stop()
        await self._client.stop()
        await self._peers.stop()

    async def _wait_until_done(self, awaitable: Awaitable[Any], deadline_s: float) -> bool:
        """Wait until done, the deadline or a second signal; return whether it finished."""
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(awaitable)
        while not task.done() and self._signal_count < 2 and loop.time() < deadline_s:
            await asyncio.wait((task,), timeout=0.05)
        is_done = task.done()
        task.cancel()
        return is_done
