"""Runs a request executor before stand-in backends."""

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable, Sequence

from result import Ok

from egretrail.cluster import run_to_completion, split_config
from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.http1 import Request
from egretrail.platform import PlatformContract, PlatformLayout
from egretrail.platform.tests.requests import client_request
from egretrail.testing import EgretrailTestCase
from egretrail.traffic import UpstreamRecord, UpstreamState
from scaffolding.platform import StandInBackend
from scaffolding.platform.fleet import (
    HOST,
    at_most_once_route,
    config,
    route,
    single_attempt_route,
)

#: The service of the routes and of the backends.
SERVICE = "s"
_ROUTES = [
    route("read", "/read/", SERVICE, timeout="1500ms"),
    route("open", "/open/", SERVICE, public=True),
    at_most_once_route("order", "/order/", SERVICE, timeout="1500ms"),
    single_attempt_route("once", "/once/", SERVICE),
]

#: The revision at which the backends are listed first.
FIRST_REVISION = 5

Scenario = Callable[[RequestExecutor, FleetView, StandInBackend], Awaitable[None]]
FleetScenario = Callable[[RequestExecutor, FleetView, Sequence[StandInBackend]], Awaitable[None]]


def make_request(method: bytes, target: bytes) -> Request:
    """Return a client's request that arrives now."""
    return client_request(HOST, method, target)


def listed_record(
    backend: StandInBackend, *, revision: int = 0, started_ms: int = 0
) -> UpstreamRecord:
    """Return the record of a backend that accepts work."""
    return UpstreamRecord(
        backend.id,
        SERVICE,
        backend.address,
        backend.zone,
        backend.slots,
        UpstreamState.READY,
        revision=revision,
        started_ms=started_ms,
    )


def open_devnull() -> int:
    """Return a descriptor for log lines that are not looked at."""
    return os.open(os.devnull, os.O_WRONLY)


class ExecutorTestCase(EgretrailTestCase):
    """Base class of tests of one instance's executor, on real sockets."""

    def run_with_backend(
        self, scenario: Scenario, accounts: Sequence[dict[str, object]] | None = None
    ) -> None:
        """Run a scenario with one listed backend."""
        self.run_with_backends(
            1, lambda executor, view, backends: scenario(executor, view, backends[0]), accounts
        )

    def run_with_backends(
        self,
        count: int,
        scenario: FleetScenario,
        accounts: Sequence[dict[str, object]] | None = None,
    ) -> None:
        """Run a scenario with several backends, all of which are listed."""

        async def run() -> None:
            loop = asyncio.get_running_loop()
            log = EventLog("test", descriptor=open_devnull())
            rng = random.Random(1)
            view = FleetView(gateway_settings(), 1, loop.time, log, rng)
            document = json.dumps(config(1, _ROUTES, accounts)).encode()
            decoded = PlatformLayout().decode_config(document)
            assert isinstance(decoded, Ok)
            view.apply_config(run_to_completion(split_config(decoded.ok_value)), "test")
            backends = [StandInBackend(SERVICE, "zone-a", work_s=0.05) for _ in range(count)]
            for backend in backends:
                await backend.start()
            view.replace_upstreams([listed_record(one) for one in backends], FIRST_REVISION, "test")
            executor = RequestExecutor(
                view,
                PlatformContract(),
                UpstreamConnectionPool(),
                log,
                GatewayMetrics(),
                rng,
                gateway_settings(),
            )
            try:
                await scenario(executor, view, backends)
            finally:
                for backend in backends:
                    await backend.stop()

        self.run_real(run())
