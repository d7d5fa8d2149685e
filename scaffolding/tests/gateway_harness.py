"""A test harness with a ready fleet of real gateway processes."""

import asyncio
from collections.abc import Awaitable, Callable

from egretrail.testing import EgretrailTestCase
from scaffolding.platform import AttemptResult, GatewayClient, GatewayFleet
from scaffolding.platform.fleet import HOST, at_most_once_route, config, route

_LIMIT_S = 60.0
#: Time-out that ends a hanging test; a healthy fleet needs a fraction of it.
_HANG_TIMEOUT_S = 20.0

ROUTES = [
    route("read", "/read/", "catalogue", timeout="20000ms"),
    at_most_once_route("order", "/order/", "orders", timeout="20000ms"),
]

Scenario = Callable[["FleetHarness"], Awaitable[None]]


class FleetHarness:
    """A ready fleet and a client of it."""

    def __init__(self, fleet: GatewayFleet) -> None:
        self.fleet = fleet
        self.client = GatewayClient(HOST)

    async def wait_until(self, condition: Callable[[], Awaitable[bool]], what: str) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            while not await condition():
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a gateway is ready."""
        await self.wait_until(
            lambda: self.client.is_ready(self.fleet.readiness_address(number)), "ready"
        )

    async def send_read(
        self, number: int, path: str = "/read/1", wait_s: float = 20.0
    ) -> AttemptResult:
        """Send an idempotent request to a gateway."""
        return await self.client.send(
            self.fleet.traffic_address(number), "GET", path, wait_s=wait_s
        )

    async def send_order(self, number: int, body: bytes = b"one") -> AttemptResult:
        """Send a request that must run at most once."""
        return await self.client.send(
            self.fleet.traffic_address(number), "POST", "/order/1", body, wait_s=20.0
        )

    def run_count(self, result: AttemptResult) -> int:
        """Return how many times a client attempt ran."""
        return sum(backend.runs[result.attempt] for backend in self.fleet.backends)


class GatewayTest(EgretrailTestCase):
    """Starts a fleet for each test and stops all of its processes afterwards."""

    def run_scenario(
        self,
        scenario: Scenario,
        count: int = 3,
        backends: int = 3,
        *,
        with_backend_cuts: bool = False,
        prepare: Callable[[FleetHarness], None] = lambda harness: None,
    ) -> None:
        """Run a scenario; ``prepare`` is called before the gateways start."""

        async def run() -> None:
            fleet = GatewayFleet(count, with_backend_cuts=with_backend_cuts)
            harness = FleetHarness(fleet)
            try:
                fleet.store.write("op/config", config(2, ROUTES))
                await fleet.add_backends("catalogue", backends)
                await fleet.add_backends("orders", backends)
                prepare(harness)
                await fleet.start()
                for number in range(count):
                    await harness.wait_until_ready(number)
                await scenario(harness)
            finally:
                await fleet.stop()

        self.run_real(run(), _LIMIT_S)
