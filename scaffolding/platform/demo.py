"""Injects failures into a fleet of real gateway processes and checks its guarantees.

The checks use what clients and backends recorded.

``python -m scaffolding.platform.demo [--seconds N] [--rate N] [--seed N]``
"""

import asyncio
import random
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field

import click

from scaffolding.platform.backend import Behaviour, StandInBackend
from scaffolding.platform.client import AttemptResult, GatewayClient
from scaffolding.platform.fleet import HOST, GatewayFleet, at_most_once_route, config, route
from scaffolding.platform.store import StoreMode

_GATEWAYS = 6
_BACKENDS = 8
_ROUTES = [route("read", "/read/", "catalogue"), at_most_once_route("order", "/order/", "orders")]
#: In each failure period, of this length, each backend fails with this probability.
_FAILURE_SHARE = 0.3
_FAILURE_PERIOD_S = 2.0


@dataclass(slots=True)
class Outcomes:
    """Collects results of client attempts and finds violated guarantees."""

    statuses: Counter[tuple[str, int]] = field(default_factory=Counter)
    results: list[tuple[str, AttemptResult]] = field(default_factory=list)

    def record(self, kind: str, target: str, result: AttemptResult) -> None:
        """Record one result."""
        self.statuses[kind, result.status] += 1
        self.results.append((kind, result))
        if result.status == 200 and not result.body.endswith(target.encode()):
            self.statuses[kind, -1] += 1

    def violations(self, backends: list[StandInBackend]) -> list[str]:
        """Return a description of each violated guarantee."""
        found = []
        for kind, result in self.results:
            runs = sum(backend.runs[result.attempt] for backend in backends)
            if kind == "order" and runs > 1:
                found.append(f"{result.attempt} ran {runs} times")
            if kind == "order" and result.status in (429, 503) and runs:
                found.append(f"{result.attempt} was said not to have run and ran")
            if result.status == 200 and runs == 0:
                found.append(f"{result.attempt} was answered and never ran")
        crossed = sum(count for (_, status), count in self.statuses.items() if status == -1)
        if crossed:
            found.append(f"{crossed} answers belonged to other requests")
        return found


class FailureScenario:
    """Failing backends, a draining backend, a store outage, a killed and a stopped gateway."""

    def __init__(self, seconds: float, rate: float, seed: int) -> None:
        self._seconds = seconds
        self._rate = rate
        self._rng = random.Random(seed)
        self._fleet = GatewayFleet(_GATEWAYS)
        self._client = GatewayClient(HOST)
        self._outcomes = Outcomes()
        self._tasks: set[asyncio.Task[None]] = set()

    async def execute(self) -> Outcomes:
        """Run the scenario and return the collected results."""
        fleet = self._fleet
        try:
            fleet.store.write("op/config", config(1, _ROUTES))
            await fleet.add_backends("catalogue", _BACKENDS)
            await fleet.add_backends("orders", _BACKENDS)
            await fleet.start()
            for number in range(_GATEWAYS):
                while not await self._client.is_ready(fleet.readiness_address(number)):
                    await asyncio.sleep(0.05)
            await asyncio.gather(
                self._send_all(), self._inject_outages(), self._inject_backend_failures()
            )
            await asyncio.gather(*self._tasks)
            return self._outcomes
        finally:
            await fleet.stop()

    def violations(self) -> list[str]:
        """Return a description of each violated guarantee."""
        return self._outcomes.violations(self._fleet.backends)

    async def _send_all(self) -> None:
        for _ in range(round(self._seconds * self._rate)):
            await asyncio.sleep(self._rng.expovariate(self._rate))
            task = asyncio.create_task(self._send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_one(self) -> None:
        gateway = self._rng.randrange(_GATEWAYS)
        addresses = await self._client.resolve_addresses(
            self._fleet.directory_address(gateway), "zone-a"
        )
        if not addresses:
            self._outcomes.statuses["directory", 0] += 1
            return
        kind = self._rng.choice(["read", "order"])
        target = f"/{kind}/{self._rng.randrange(1000)}"
        method = "GET" if kind == "read" else "POST"
        result = await self._client.send(self._rng.choice(addresses), method, target)
        self._outcomes.record(kind, target, result)

    async def _inject_outages(self) -> None:
        fleet, step_s = self._fleet, self._seconds / 6
        await asyncio.sleep(step_s)
        draining = fleet.backends[0]
        fleet.store.write(f"servers/{draining.id}", draining.store_entry("draining"))
        await asyncio.sleep(step_s)
        fleet.store.mode = StoreMode.UNAVAILABLE
        fleet.signal_gateway(2)
        await asyncio.sleep(step_s)
        await fleet.start_gateway(2)
        await asyncio.sleep(step_s)
        fleet.store.mode = StoreMode.SERVING
        fleet.signal_gateway(3, signal.SIGTERM)

    async def _inject_backend_failures(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._seconds
        while loop.time() < end_s:
            for backend in self._fleet.backends:
                failing = self._rng.random() < _FAILURE_SHARE
                backend.behaviour = Behaviour.FAILING if failing else Behaviour.HEALTHY
            await asyncio.sleep(min(_FAILURE_PERIOD_S, max(end_s - loop.time(), 0.0)))


@click.command()
@click.option("--seconds", default=8.0, show_default=True, help="Length of the day.")
@click.option("--rate", default=60.0, show_default=True, help="Requests a second.")
@click.option("--seed", default=1, show_default=True, help="Chooses requests and spells.")
def main(seconds: float, rate: float, seed: int) -> None:
    """Play the day, print what callers got, and fail on any broken promise."""
    scenario = FailureScenario(seconds, rate, seed)
    outcomes = asyncio.run(scenario.execute())
    for (kind, status), count in sorted(outcomes.statuses.items()):
        click.echo(f"{kind:10} {status:4} {count:6}")
    violations = scenario.violations()
    for violation in violations:
        click.echo(f"broken: {violation}")
    click.echo(f"{len(outcomes.results)} requests, {len(violations)} broken promises")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
