"""A fleet of real gateway processes that is ready, for tests."""

import asyncio
from collections.abc import Awaitable, Callable

from egretrail.testing import EgretrailTestCase
from scaffolding.platform import Caller, GatewayFleet, Reply
from scaffolding.platform.fleet import HOST, config, order_route, route

_LIMIT_S = 60.0
#: A bound that a healthy fleet passes in a small part of; it only ends a test that hangs.
_SOON_S = 20.0

ROUTES = [
    route("read", "/read/", "catalogue", timeout="20000ms"),
    order_route("order", "/order/", "orders", timeout="20000ms"),
]

Act = Callable[["Stage"], Awaitable[None]]


class Stage:
    """A fleet that is ready, with a caller."""

    def __init__(self, fleet: GatewayFleet) -> None:
        self.fleet = fleet
        self.caller = Caller(HOST)

    async def until(self, holds: Callable[[], Awaitable[bool]], what: str) -> None:
        """Wait until something holds."""
        async with asyncio.timeout(_SOON_S):
            while not await holds():
                await asyncio.sleep(0.05)

    async def until_ready(self, number: int) -> None:
        """Wait until a gateway is ready."""
        await self.until(lambda: self.caller.is_ready(self.fleet.ready(number)), "ready")

    async def read(self, number: int, path: str = "/read/1", wait_s: float = 20.0) -> Reply:
        """Send an idempotent request to a gateway."""
        return await self.caller.send(self.fleet.traffic(number), "GET", path, wait_s=wait_s)

    async def order(self, number: int, body: bytes = b"one") -> Reply:
        """Send a request that must run at most once."""
        return await self.caller.send(
            self.fleet.traffic(number), "POST", "/order/1", body, wait_s=20.0
        )

    def runs(self, reply: Reply) -> int:
        """Return how often a client attempt ran."""
        return sum(backend.runs[reply.attempt] for backend in self.fleet.backends)


class GatewayTest(EgretrailTestCase):
    """Starts a fleet for each test and ends all of its processes."""

    def play(self, act: Act, count: int = 3, backends: int = 3) -> None:
        async def run() -> None:
            fleet = GatewayFleet(count)
            stage = Stage(fleet)
            try:
                fleet.store.write("op/config", config(2, ROUTES))
                await fleet.add_backends("catalogue", backends)
                await fleet.add_backends("orders", backends)
                await fleet.start()
                for number in range(count):
                    await stage.until_ready(number)
                await act(stage)
            finally:
                await fleet.stop()

        self.run_real(run(), _LIMIT_S)
