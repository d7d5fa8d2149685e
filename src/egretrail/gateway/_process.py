"""Assembles a gateway process and runs it until a termination signal."""

import asyncio
import gc
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from pathlib import Path

from result import Err

from egretrail.cluster import InstanceState
from egretrail.dispatch import UpstreamHealth
from egretrail.gateway._directory import DIRECTORY_TTL_S, Candidate, directory_addresses
from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._interfaces import (
    GatewaySettings,
    RequestContract,
    StoreLayout,
)
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics, label_value, resident_memory_bytes
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._relay import RELAY_ID_FIELD, RELAY_LIMITS
from egretrail.gateway._settings_change import compare_settings
from egretrail.gateway._settings_file import SettingsFile, SettingsFileWatcher, read_at_start
from egretrail.gateway._store_sync import StoreSync
from egretrail.gateway._view import FleetView
from egretrail.http1 import BodyBudget, Handler, Request, Response, ServerConnection, ServerLimits
from egretrail.store import Store
from egretrail.supervision import LoopErrors, Supervisor, open_when_free
from egretrail.traffic import ClientLimits

#: Backlog of a listener. A full backlog drops a client's SYN, which is resent after a second.
_BACKLOG = 512
#: The share of the memory for request bodies. A body is in memory twice while it is sent.
_BODY_MEMORY_SHARE = 0.25
#: How often log lines are written and the settings file is polled.
_HOUSEKEEPING_S = 0.1
#: How often connections that were idle for too long are closed.
_POOL_EXPIRY_S = 1.0
#: After a termination signal, requests are accepted for this share of the stop grace period. Later
#: ones are refused so that clients use another instance. The last accepted request thus has half of
#: the grace period to finish.
_ACCEPTING_SHARE = 0.5
#: The process exits this long before the stop grace period ends.
_STOP_MARGIN_S = 0.7
#: After this many directory TTLs, no client uses a cached directory response any more.
_DIRECTORY_CACHE_TTLS = 3.0
#: Retry-After of a stopping instance. It is short since other instances are ready.
_STOPPING_RETRY_S = 0.02


@dataclass(frozen=True, slots=True)
class Platform:
    """What the platform provides: the settings file, the store and the request contract."""

    #: The settings file.
    settings_file: SettingsFile
    #: Opens a client of the store.
    open_store: Callable[[GatewaySettings], Store]
    #: The paths and the encoding of the store's entries.
    layout: StoreLayout
    #: The headers and statuses of requests.
    contract: RequestContract


class Gateway:
    """One gateway process."""

    def __init__(self, settings: GatewaySettings, platform: Platform) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(os.urandom(8))
        incarnation = time.time_ns() // 1_000_000
        self._settings = settings
        self._platform = platform
        self._loop = loop
        self._connections: set[ServerConnection] = set()
        self._body_budget = BodyBudget(_body_budget_bytes(settings))
        self._servers: list[asyncio.Server] = []
        self._expired_s = loop.time()
        self._stop_requested = asyncio.Event()
        self._stopping_since_s: float | None = None
        self._settings_watcher = SettingsFileWatcher(platform.settings_file, settings, loop.time())
        self.log = EventLog(settings.name)
        self._rng = rng
        self._supervisor = tasks = Supervisor(self.log.event, rng)
        self._loop_errors = LoopErrors(self.log.event)
        self._metrics = GatewayMetrics()
        self._view = FleetView(settings, incarnation, loop.time, self.log, rng, _elapsed_s)
        self._pool = UpstreamConnectionPool()
        self._view.on_upstreams_changed = self._pool.retain_only
        self._store = platform.open_store(settings)
        self._peers = PeerLinks(settings, self._view, self.log, rng)
        self._sync = StoreSync(
            settings, self._view, self._store, platform.layout, self._peers, self.log, rng, tasks
        )
        self._executor = RequestExecutor(
            self._view, platform.contract, self._pool, self.log, self._metrics, rng, settings
        )

    async def run(self) -> None:
        """Serve until a termination signal, then finish the running requests."""
        self.log.event(
            "start", zone=self._settings.availability_zone, address=self._settings.traffic_address
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop_requested.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._settings_watcher.request_read)
        self._loop.set_exception_handler(self._loop_errors.handle)
        metrics_address = f"{self._settings.ip}:{self._settings.metrics_port}"
        tasks = [
            self._supervise("housekeeping", self._run_housekeeping),
            self._loop.create_task(self._listen(metrics_address, self._handle_metrics)),
        ]
        has_opened = await self._has_opened()
        if has_opened:
            # Objects created so far live as long as the process; scanning them costs time.
            gc.collect()
            gc.freeze()
            tasks.append(self._supervise("peers", self._peers.run))
            tasks.append(self._supervise("store", self._sync.run))
            await self._stop_requested.wait()
        await self._shut_down(is_known=has_opened)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.log.event(
            "stop",
            store_calls=self._store.calls_total,
            bytes_across=sum(self._peers.cross_zone_bytes.values()),
            connections_opened=self._pool.opened_total,
        )
        self.log.flush()
        # Once the event loop is closed, a signal would kill the process as if it had failed.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})

    def _supervise(self, name: str, work: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        return self._loop.create_task(self._supervisor.run(name, work))

    async def _has_opened(self) -> bool:
        """Open all listeners that requests need; return False if the process is to stop before.

        The peers come last: what they send makes this instance ready.
        """
        opening = self._loop.create_task(self._open())
        stopping = self._loop.create_task(self._stop_requested.wait())
        await asyncio.wait([opening, stopping], return_when=asyncio.FIRST_COMPLETED)
        stopping.cancel()
        if not opening.done():
            opening.cancel()
            return False
        try:
            await opening
        finally:
            # An error ends the process; its reason must not stay in the buffer.
            self.log.flush()
        return True

    async def _open(self) -> None:
        relay_address = f"{self._settings.ip}:{self._settings.relay_port}"
        relay = self._executor.relay_server.handle
        await asyncio.gather(
            self._listen(self._settings.traffic_address, self._handle_request),
            self._listen(self._settings.ready_address, self._handle_readiness),
            self._listen(self._settings.directory_address, self._handle_directory),
            self._listen(relay_address, relay, lambda: RELAY_LIMITS, repeated_field=RELAY_ID_FIELD),
        )
        address = f"{self._settings.ip}:{self._settings.peer_port}"
        await open_when_free(address, self._peers.open, self.log.event, self._rng)

    async def _listen(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ServerLimits] | None = None,
        *,
        repeated_field: bytes | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")

        def connection() -> ServerConnection:
            return ServerConnection(
                handler,
                limits or self._limits,
                self._connections,
                self._body_budget,
                repeated_field=repeated_field,
            )

        def listen() -> Awaitable[asyncio.Server]:
            return self._loop.create_server(connection, host, int(port), backlog=_BACKLOG)

        self._servers.append(await open_when_free(address, listen, self.log.event, self._rng))

    def _limits(self) -> ServerLimits:
        config = self._view.config
        limits = config.limits if config is not None else ClientLimits()
        return ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _handle_request(self, request: Request) -> Response:
        stopping_since_s = self._stopping_since_s
        if stopping_since_s is not None:
            accepting_s = self._settings.stop_grace_s * _ACCEPTING_SHARE
            if self._loop.time() - stopping_since_s > accepting_s:
                metadata = self._platform.contract.request_metadata(request)
                self.log.event(
                    "refused",
                    id=metadata.attempt_id,
                    route="",
                    reason="stopping",
                    priority="",
                    account="",
                )
                self._metrics.count_refusal("stopping")
                return self._platform.contract.not_run_response(_STOPPING_RETRY_S, close=True)
        return await self._executor.serve(request)

    async def _handle_readiness(self, request: Request) -> Response:
        if not self._platform.contract.is_readiness_check(request):
            return Response(404)
        return Response(200 if self._view.ready else 503)

    async def _handle_directory(self, request: Request) -> Response:
        zone = self._platform.contract.directory_zone(request)
        if zone is None:
            return Response(404)
        addresses = directory_addresses(self._candidates(), zone)
        if not addresses:
            return Response(503)
        ttl_s = min(DIRECTORY_TTL_S, self._settings.directory_ttl_max_s)
        return self._platform.contract.directory_response(addresses, ttl_s)

    async def _handle_metrics(self, request: Request) -> Response:
        by_health = self._view.count_by_health(self._view.upstreams.records.values())
        gauges = {
            "members": float(self._view.membership.size()),
            "upstreams": float(len(self._view.upstreams.records)),
            "upstreams_limited": float(self._view.limit_exchange.limits.count()),
            "upstreams_backing_off": float(self._view.backoffs.count(self._loop.time())),
            "config_version": float(self._view.config_version),
            "config_behind_seconds": self._view.configs.behind_s,
            "state_fetched_bytes_total": float(self._peers.state_exchange.streams.fetched_bytes),
            "state_fetches_failed_total": float(self._peers.state_exchange.streams.fetches_failed),
            "isolated": float(self._view.is_isolated),
            "instances_isolated": float(len(self._view.membership.isolated())),
            "store_contact": float(self._view.store_contact),
            "config_proof_age_seconds": self._view.config_freshness.age_s,
            "upstream_connections_opened_total": float(self._pool.opened_total),
            "upstream_connections_failed_total": float(self._pool.failed_total),
            "upstreams_suspect": float(by_health[UpstreamHealth.SUSPECT]),
            "upstreams_unreached": float(by_health[UpstreamHealth.UNREACHABLE_FROM_HERE]),
            "resident_memory_bytes": resident_memory_bytes(),
            "log_lines_suppressed_total": float(self.log.suppressed_total),
            "loop_errors_total": float(self._loop_errors.total),
            **self._supervisor.gauges(),
        }
        for part, refused in (
            ("config", self._sync.refused_configs),
            ("upstreams", self._sync.refused_upstreams),
        ):
            gauges[f'store_entries_refused{{part="{part}"}}'] = float(refused.present)
            gauges[f'store_entries_refused_total{{part="{part}"}}'] = float(refused.total)
        for kind, size_bytes in self._peers.cross_zone_bytes.items():
            gauges[f'peer_bytes_across_zones_total{{kind="{kind}"}}'] = float(size_bytes)
        gauges.update(self._sync.progress.gauges())
        known_share = self._view.known_share()
        for service, use in self._view.retry_budget.usage(self._loop.time(), known_share).items():
            labels = f'{{service="{label_value(service)}"}}'
            gauges[f"repeats_in_window{labels}"] = float(use.retries)
            gauges[f"repeats_allowed{labels}"] = use.allowed
        gauges.update(self._view.overload.metrics(self._loop.time()))
        return Response(200, self._metrics.render(gauges), [(b"Content-Type", b"text/plain")])

    def _candidates(self) -> list[Candidate]:
        port = self._settings.traffic_address.rpartition(":")[2]
        isolated = self._view.membership.isolated()
        candidates = [
            Candidate(
                f"{instance.address}:{port}",
                instance.availability_zone,
                instance.state,
                is_isolated=instance.address in isolated,
            )
            for instance in self._view.membership.instances()
        ]
        accepts_clients = self._view.ready and self._view.accepts_keys
        own_state = InstanceState.READY if accepts_clients else InstanceState.STARTING
        own_zone = self._settings.availability_zone
        own = Candidate(
            self._settings.traffic_address, own_zone, own_state, is_isolated=self._view.is_isolated
        )
        return [*candidates, own]

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            self.log.flush()
            now_s = self._loop.time()
            if now_s - self._expired_s >= _POOL_EXPIRY_S:
                self._expired_s = now_s
                self._pool.close_expired()
                self._executor.relay_client.close_expired()
            read = self._settings_watcher.poll(now_s)
            if isinstance(read, Err):
                self.log.event("settings_refused", cause=read.err_value)
            elif read is not None:
                self._change_settings(read.ok_value)

    def _change_settings(self, settings: GatewaySettings) -> None:
        change = compare_settings(self._settings, settings)
        try:
            self._apply_settings(change.settings)
        except Exception:
            self._settings_watcher.withdraw(self._settings)
            raise
        self.log.event(
            "reload", taken=",".join(change.applied), waiting=",".join(change.pending_restart)
        )

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Put changed settings in force without interrupting running requests."""
        before = self._settings
        if self._stopping_since_s is not None:
            # It is not known which of the two grace periods the kill follows.
            shorter_grace_s = min(before.stop_grace_s, settings.stop_grace_s)
            settings = replace(settings, stop_grace_s=shorter_grace_s)
        self._body_budget.set_limit(_body_budget_bytes(settings))
        self._view.apply_settings(settings)
        self._peers.apply_settings(settings)
        if settings.store_address != before.store_address:
            old, self._store = self._store, self._platform.open_store(settings)
            self._store.calls_total = old.calls_total
            self._sync.use_store(self._store)
            old.close()
        self._settings = settings

    async def _shut_down(self, *, is_known: bool = True) -> None:
        """Leave the directory at once, serve remaining requests, then close all connections.

        An instance that peers do not know yet is in no directory that clients may still hold.
        """
        self._stopping_since_s = self._loop.time()
        self.log.event("stopping", connections=len(self._connections))
        self._view.leaving = True
        try:
            self._peers.leave()
        except Exception as error:
            # Peers notice the silence; what remains to be served comes first.
            self._loop_errors.handle(self._loop, {"exception": error})
        for connection in self._connections:
            connection.close_after_responses()
        directory_cache_s = DIRECTORY_TTL_S * _DIRECTORY_CACHE_TTLS if is_known else 0.0
        earliest_end_s = self._stopping_since_s + min(
            directory_cache_s, self._settings.stop_grace_s / 2
        )
        while (
            self._loop.time() - self._stopping_since_s
            < self._settings.stop_grace_s - _STOP_MARGIN_S
        ):
            for connection in list(self._connections):
                connection.close_after_responses()
            if self._loop.time() >= earliest_end_s and not any(
                connection.is_busy for connection in self._connections
            ):
                break
            await asyncio.sleep(_HOUSEKEEPING_S / 2)
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.close()
        await asyncio.sleep(_HOUSEKEEPING_S)
        self._pool.close()
        self._executor.relay_client.close()


def _elapsed_s() -> float:
    """Return the time since the machine booted, including the time it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _body_budget_bytes(settings: GatewaySettings) -> int:
    return int(settings.memory_mb * _BODY_MEMORY_SHARE * 1024 * 1024)


async def _run(platform: Platform, settings: GatewaySettings) -> None:
    await Gateway(settings, platform).run()


def run_gateway(platform: Platform) -> int:
    """Run a gateway until a termination signal; return the process's exit code."""
    read = read_at_start(platform.settings_file)
    if isinstance(read, Err):
        os.write(2, f"event=settings_refused cause={str(read.err_value)!r}\n".encode())
        return 2
    asyncio.run(_run(platform, read.ok_value))
    return 0


def settings_path(variable: str) -> Path:
    """Return the settings file's path from an environment variable."""
    return Path(os.environ.get(variable, ""))
