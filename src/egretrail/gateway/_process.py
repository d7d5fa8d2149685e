"""Puts the parts of a gateway together and runs them until the process is told to stop."""

import asyncio
import gc
import os
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from result import Err

from egretrail.cluster import InstanceState
from egretrail.gateway._directory import DIRECTORY_TTL_S, Candidate, directory_addresses
from egretrail.gateway._executor import Executor
from egretrail.gateway._interfaces import (
    GatewaySettings,
    RequestContract,
    StoreLayout,
)
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._pool import UpstreamPool
from egretrail.gateway._settings_change import settings_change
from egretrail.gateway._settings_file import SettingsFile, SettingsWatch
from egretrail.gateway._store_sync import StoreSync
from egretrail.gateway._view import FleetView
from egretrail.http1 import Answer, BodyBudget, Handler, Request, ServerConnection, ServerLimits
from egretrail.store import Store
from egretrail.traffic import ClientLimits

#: Pending connections of a listener; a full queue drops a caller's first packet for a second.
_BACKLOG = 512
#: The share of the memory that bodies of requests may take; a body is held twice while it is sent.
_BODIES_SHARE = 0.25
#: How often lines are written, idle connections are looked at and metrics' gauges are read.
_HOUSEKEEPING_S = 0.1
_SWEEP_S = 1.0
#: After a termination signal, requests are taken for this share of the grace, and refused with the
#: advice to go elsewhere afterwards: what was taken last still has half of the grace to end.
_TAKING_SHARE = 0.5
#: The process is gone this long before the grace ends.
_STOP_MARGIN_S = 0.7
#: Callers with the longest kept directory answers have gone elsewhere after this many lifetimes.
_LINGER_TTLS = 3.0
#: What a caller is told that meets a stopping instance: others serve already.
_ELSEWHERE_RETRY_S = 0.02


@dataclass(frozen=True, slots=True)
class Platform:
    """What the platform gives: the settings' reader, the store and the contract."""

    #: Holds the settings.
    settings_file: SettingsFile
    #: Opens the store's client.
    open_store: Callable[[GatewaySettings], Store]
    #: Where the store keeps what, and how.
    layout: StoreLayout
    #: Headers and statuses.
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
        self._bodies = BodyBudget(_bodies_bytes(settings))
        self._servers: list[asyncio.Server] = []
        self._stop = asyncio.Event()
        self._stopping_since_s: float | None = None
        self._settings_watch = SettingsWatch(platform.settings_file, settings, loop.time())
        self.log = EventLog(settings.name)
        self._metrics = GatewayMetrics()
        self._view = FleetView(settings, incarnation, loop.time, self.log, rng, _elapsed_s)
        self._pool = UpstreamPool()
        self._view.on_upstreams = self._pool.keep_only
        self._store = platform.open_store(settings)
        self._peers = PeerLinks(settings, self._view, self.log, rng)
        self._sync = StoreSync(
            settings, self._view, self._store, platform.layout, self._peers, self.log, rng
        )
        self._executor = Executor(
            self._view, platform.contract, self._pool, self.log, self._metrics, rng
        )

    async def run(self) -> None:
        """Serve until a termination signal and the end of what was under way then."""
        self.log.event(
            "start", zone=self._settings.availability_zone, address=self._settings.traffic_address
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._settings_watch.signal)
        await self._peers.open()
        await self._listen(self._settings.traffic_address, self._serve)
        await self._listen(self._settings.ready_address, self._answer_ready)
        await self._listen(self._settings.directory_address, self._answer_directory)
        metrics_address = f"{self._settings.ip}:{self._settings.metrics_port}"
        await self._listen(metrics_address, self._answer_metrics)
        # The objects of the start live as long as the process; collecting them costs time only.
        gc.collect()
        gc.freeze()
        tasks = [
            self._loop.create_task(self._guard("peers", self._peers.beat_forever())),
            self._loop.create_task(self._guard("store", self._sync.run())),
            self._loop.create_task(self._guard("housekeeping", self._keep_house())),
        ]
        await self._stop.wait()
        await self._wind_down()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.log.event(
            "stop",
            store_calls=self._store.calls_total,
            bytes_across=sum(self._peers.bytes_across.values()),
            connections_opened=self._pool.opened,
        )
        self.log.flush()
        # Once the loop is closed, a hang-up would end the process as if it had failed.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

    async def _guard(self, name: str, work: object) -> None:
        """Run a task of the process; its failure is logged and ends the process."""
        try:
            await work  # type: ignore[misc]
        except Exception as error:
            self.log.event("task_failed", task=name, cause=repr(error))
            self.log.flush()
            os._exit(1)

    async def _listen(self, address: str, handler: Handler) -> None:
        host, _, port = address.rpartition(":")
        server = await self._loop.create_server(
            lambda: ServerConnection(handler, self._limits, self._connections, self._bodies),
            host,
            int(port),
            backlog=_BACKLOG,
        )
        self._servers.append(server)

    def _limits(self) -> ServerLimits:
        config = self._view.config
        limits = config.limits if config is not None else ClientLimits()
        return ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    async def _serve(self, request: Request) -> Answer:
        since_s = self._stopping_since_s
        if since_s is not None:
            taking_s = self._settings.stop_grace_s * _TAKING_SHARE
            if self._loop.time() - since_s > taking_s:
                terms = self._platform.contract.caller_terms(request)
                self.log.event("refused", id=terms.attempt_id, route="", reason="stopping")
                self._metrics.refused("stopping")
                return self._platform.contract.not_run(_ELSEWHERE_RETRY_S, close=True)
        return await self._executor.serve(request)

    async def _answer_ready(self, request: Request) -> Answer:
        if not self._platform.contract.is_ready_question(request):
            return Answer(404)
        return Answer(200 if self._view.ready else 503)

    async def _answer_directory(self, request: Request) -> Answer:
        zone = self._platform.contract.directory_zone(request)
        if zone is None:
            return Answer(404)
        addresses = directory_addresses(self._candidates(), zone)
        if not addresses:
            return Answer(503)
        ttl_s = min(DIRECTORY_TTL_S, self._settings.directory_ttl_max_s)
        return self._platform.contract.directory_answer(addresses, ttl_s)

    async def _answer_metrics(self, request: Request) -> Answer:
        gauges = {
            "members": float(self._view.membership.size()),
            "upstreams": float(len(self._view.upstreams.records)),
            "upstreams_limited": float(self._view.limits.upstreams.count()),
            "config_version": float(self._view.config_version),
            "config_behind_seconds": self._view.configs.behind_s,
            "state_fetched_bytes_total": float(self._peers.state.streams.fetched_bytes),
            "state_fetches_failed_total": float(self._peers.state.streams.fetches_failed),
            "store_contact": float(self._view.store_contact),
            "config_proof_age_seconds": self._view.proof.age_s,
            "upstream_connections_opened_total": float(self._pool.opened),
            "log_lines_suppressed_total": float(self.log.suppressed_total),
        }
        for kind, size_bytes in self._peers.bytes_across.items():
            gauges[f'peer_bytes_across_zones_total{{kind="{kind}"}}'] = float(size_bytes)
        known_share = self._view.known_share()
        for service, use in self._view.repeats.uses(self._loop.time(), known_share).items():
            gauges[f'repeats_in_window{{service="{service}"}}'] = float(use.repeats)
            gauges[f'repeats_allowed{{service="{service}"}}'] = use.allowed
        return Answer(200, self._metrics.text(gauges), [(b"Content-Type", b"text/plain")])

    def _candidates(self) -> list[Candidate]:
        port = self._settings.traffic_address.rpartition(":")[2]
        candidates = [
            Candidate(f"{one.address}:{port}", one.availability_zone, one.state)
            for one in self._view.membership.instances()
        ]
        serves = self._view.ready and self._view.takes_keys
        own_state = InstanceState.READY if serves else InstanceState.STARTING
        own_zone = self._settings.availability_zone
        return [*candidates, Candidate(self._settings.traffic_address, own_zone, own_state)]

    async def _keep_house(self) -> None:
        swept_s = self._loop.time()
        while True:
            await asyncio.sleep(_HOUSEKEEPING_S)
            self._look_at_settings()
            self.log.flush()
            if self._loop.time() - swept_s >= _SWEEP_S:
                swept_s = self._loop.time()
                self._pool.sweep()

    def _look_at_settings(self) -> None:
        read = self._settings_watch.look(self._loop.time())
        if read is None:
            return
        if isinstance(read, Err):
            self.log.event("settings_refused", cause=read.err_value)
            return
        change = settings_change(self._settings, read.ok_value)
        self._take_over(change.settings)
        self.log.event("reload", taken=",".join(change.taken), waiting=",".join(change.waiting))

    def _take_over(self, settings: GatewaySettings) -> None:
        """Go on with changed settings; nothing that is under way ends for it."""
        before = self._settings
        if self._stopping_since_s is not None:
            # Which grace the kill follows is not known then.
            grace_s = min(before.stop_grace_s, settings.stop_grace_s)
            settings = replace(settings, stop_grace_s=grace_s)
        self._settings = settings
        self._bodies.set_limit(_bodies_bytes(settings))
        self._view.take_settings(settings)
        self._peers.take_settings(settings)
        if settings.store_address != before.store_address:
            old, self._store = self._store, self._platform.open_store(settings)
            self._store.calls_total = old.calls_total
            self._sync.use_store(self._store)
            old.close()

    async def _wind_down(self) -> None:
        """Leave the directory at once, serve who still comes, and end when nobody does."""
        self._stopping_since_s = self._loop.time()
        self.log.event("stopping", connections=len(self._connections))
        self._view.leaving = True
        self._peers.leave()
        for connection in self._connections:
            connection.end_after_answers()
        linger_s = DIRECTORY_TTL_S * _LINGER_TTLS
        quiet_s = self._stopping_since_s + min(linger_s, self._settings.stop_grace_s / 2)
        while (
            self._loop.time() - self._stopping_since_s
            < self._settings.stop_grace_s - _STOP_MARGIN_S
        ):
            for connection in list(self._connections):
                connection.end_after_answers()
            if self._loop.time() >= quiet_s and not any(c.busy for c in self._connections):
                break
            await asyncio.sleep(_HOUSEKEEPING_S / 2)
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.end()
        await asyncio.sleep(_HOUSEKEEPING_S)
        self._pool.close()


def _elapsed_s() -> float:
    """Return the time since the machine's start, with the time in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _bodies_bytes(settings: GatewaySettings) -> int:
    return int(settings.memory_mb * _BODIES_SHARE * 1024 * 1024)


async def _run(platform: Platform, settings: GatewaySettings) -> None:
    await Gateway(settings, platform).run()


def run_gateway(platform: Platform) -> int:
    """Run a gateway until it is told to stop; return the process's exit code."""
    read = platform.settings_file.read()
    if isinstance(read, Err):
        os.write(2, f"event=settings_refused cause={str(read.err_value)!r}\n".encode())
        return 2
    asyncio.run(_run(platform, read.ok_value))
    return 0


def settings_path(variable: str) -> Path:
    """Return the path that an environment variable holds."""
    return Path(os.environ.get(variable, ""))
