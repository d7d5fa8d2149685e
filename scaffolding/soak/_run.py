"""One soak run: applies load and a plan of faults to a fleet, then checks the guarantees."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from scaffolding.platform import GatewayClient, GatewayFleet
from scaffolding.platform.fleet import HOST, account, at_most_once_route, config, route
from scaffolding.soak._client import SLOW_WAIT_S, KeepAliveClient
from scaffolding.soak._clients import ACCOUNTS, KINDS, WAIT_S, ClientGroup, account_name
from scaffolding.soak._fault_driver import FaultDriver
from scaffolding.soak._guarantees import GuaranteeChecker
from scaffolding.soak._loads import LoadDriver
from scaffolding.soak._plan import plan

#: The fleet must serve again within this time after the last fault.
_RECOVERY_S = 15.0
_RECOVERED_SHARE = 0.9
#: Grace period after a termination signal, plus the time until the exit of the process is noticed.
_GRACE_S = 6.5


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The results of a run."""

    #: The seed of the plan.
    seed: int
    #: Number of responses by status; 0 means no response.
    statuses: Counter[int]
    #: Number of faults by kind.
    faults: Counter[str]
    #: A description of each violated guarantee.
    violations: Sequence[str]
    #: The folder of the gateways' logs.
    logs: Path

    def __str__(self) -> str:
        answers = " ".join(f"{status}:{count}" for status, count in sorted(self.statuses.items()))
        faults = " ".join(f"{name}:{count}" for name, count in sorted(self.faults.items()))
        lines = [f"seed {self.seed}: {answers} | {faults}"]
        lines += [f"  broken: {one}" for one in self.violations]
        if self.violations:
            lines.append(f"  logs: {self.logs}")
        return "\n".join(lines)


def _routes(moving_service: str) -> Sequence[dict[str, object]]:
    return [
        (route if not kind.is_at_most_once else at_most_once_route)(
            name, f"/{name}/", kind.service or moving_service, priority=kind.priority
        )
        for name, kind in KINDS.items()
    ]


class SoakRun:
    """Runs the plan of one seed."""

    def __init__(self, seed: int, length_s: float, gateways: int, clients: int) -> None:
        self._seed = seed
        self._length_s = length_s
        self._gateways = gateways
        self._client_count = clients
        self._fleet = GatewayFleet(gateways, with_backend_cuts=True)
        self._checker = GuaranteeChecker()
        self._clients = ClientGroup(self._fleet, self._checker, gateways)
        loads = LoadDriver(self._fleet, self._clients)
        self._driver = FaultDriver(self._fleet, self._checker, loads)
        self._probe_client = GatewayClient(HOST)

    async def run(self) -> SoakReport:
        """Run the plan, check the guarantees, and stop all processes that were started."""
        faults = plan(self._seed, self._length_s)
        try:
            await self._start()
            await self._run_plan(faults)
            await self._driver.clear_faults()
            recovered = await self._wait_for_recovery()
        finally:
            await self._driver.close()
            self._checker.ended = self._fleet.ended_by_themselves()
            await self._fleet.stop()
        self._check_stops_and_drains()
        violations = self._checker.violations(self._driver.all_backends)
        if not recovered:
            violations.append(f"not serving {_RECOVERY_S:.0f} s after the last fault")
        statuses = Counter(one.result.status for one in self._checker.sent)
        kinds = Counter(fault.kind.value for fault in faults)
        return SoakReport(self._seed, statuses, kinds, violations, self._fleet.logs)

    async def _start(self) -> None:
        await self._driver.start(self._write_config, _routes)
        await self._fleet.start()
        async with asyncio.timeout(_RECOVERY_S):
            for number in range(self._gateways):
                while not await self._probe_client.is_ready(self._fleet.readiness_address(number)):
                    await asyncio.sleep(0.05)

    def _write_config(self, version: int, moving_service: str) -> None:
        names = [account_name(number) for number in range(ACCOUNTS)]
        accounts = [account(name, name) for name in names]
        self._fleet.store.write("op/config", config(version, _routes(moving_service), accounts))

    async def _run_plan(self, faults: Sequence[object]) -> None:
        end = asyncio.Event()
        clients = [
            asyncio.create_task(
                self._clients.run(number, random.Random(self._seed * 1_000 + number), end)
            )
            for number in range(self._client_count)
        ]
        await self._driver.run(faults)  # type: ignore[arg-type]
        end.set()
        await asyncio.gather(*clients)

    async def _wait_for_recovery(self) -> bool:
        """Return whether nearly all requests are served again within the recovery time."""
        loop = asyncio.get_running_loop()
        rng = random.Random(self._seed)
        client = KeepAliveClient(HOST, account_name(0))
        end_s = loop.time() + _RECOVERY_S
        try:
            while loop.time() < end_s:
                served = [
                    await self._clients.send(client, kind, rng, gateway) == 200
                    for gateway in range(self._gateways)
                    for kind in KINDS
                ]
                if sum(served) >= _RECOVERED_SHARE * len(served):
                    return True
            return False
        finally:
            client.close()

    def _check_stops_and_drains(self) -> None:
        """Find requests that planned stops interrupted, and late requests at draining backends."""
        active_faults = self._driver.disturbances
        by_attempt = {one.result.attempt: one for one in self._checker.sent}
        for one in self._checker.sent:
            name = f"gateway-{one.gateway}"
            end_s = one.at_s + (SLOW_WAIT_S if "/large-" in one.request_line else WAIT_S)
            stopping = self._driver.stops.overlaps(name, one.at_s, one.at_s + 1.0)
            if one.result.status or not stopping:
                continue
            # While this machine stands still, the client's own time limit ends the request.
            if any(
                active_faults.overlaps(subject, one.at_s - 1.0, end_s)
                for subject in (name, "machine")
            ):
                continue
            for backend in self._driver.all_backends:
                ran = one.result.attempt in backend.runs
                if ran and not active_faults.overlaps(backend.id, one.at_s - 3.0, end_s):
                    self._checker.cut_at_shutdown.append(one.result.attempt)
        for backend, drained_s, bound_s in self._driver.drains:
            for at_s, attempt in backend.arrivals:
                sent = by_attempt.get(attempt)
                if sent is None or at_s <= drained_s + bound_s:
                    continue
                subjects = ("store", "machine", f"gateway-{sent.gateway}")
                # Later disturbances are no excuse, because by the bound the gateway must know.
                bound_end_s = drained_s + bound_s
                if not any(
                    active_faults.overlaps(one, drained_s - 3.0, bound_end_s) for one in subjects
                ):
                    late_s = at_s - drained_s
                    self._checker.late_to_draining.append(f"{attempt} after {late_s:.1f} s")
