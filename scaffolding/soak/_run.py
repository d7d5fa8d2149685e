"""One soak run: a fleet under load, the faults of a plan, and the promises afterwards."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from scaffolding.platform import Caller, GatewayFleet
from scaffolding.platform.fleet import HOST, config, order_route, route
from scaffolding.soak._client import KeepingClient
from scaffolding.soak._faults import FaultDriver
from scaffolding.soak._plan import plan
from scaffolding.soak._promises import Promises, Sent

#: Clients wait this long for an answer.
_WAIT_S = 3.0
#: Each client sends one request after the other, with such a pause on average.
_PAUSE_S = 0.08
#: The fleet serves again within this time after the last fault.
_RECOVERY_S = 15.0
_RECOVERED_SHARE = 0.9
#: Grace after a termination signal, with the time in which the process is seen to be gone.
_GRACE_S = 6.5


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What a run saw."""

    #: The seed of its plan.
    seed: int
    #: Answers by status; 0 for none.
    statuses: Counter[int]
    #: Faults by kind.
    faults: Counter[str]
    #: Each broken promise.
    broken: Sequence[str]

    def __str__(self) -> str:
        answers = " ".join(f"{status}:{count}" for status, count in sorted(self.statuses.items()))
        faults = " ".join(f"{name}:{count}" for name, count in sorted(self.faults.items()))
        lines = [f"seed {self.seed}: {answers} | {faults}"]
        lines += [f"  broken: {one}" for one in self.broken]
        return "\n".join(lines)


class Soak:
    """Runs one seed."""

    def __init__(self, seed: int, length_s: float, gateways: int, clients: int) -> None:
        self._seed = seed
        self._length_s = length_s
        self._gateways = gateways
        self._clients = clients
        self._fleet = GatewayFleet(gateways)
        self._promises = Promises()
        self._driver = FaultDriver(self._fleet, self._promises)
        self._caller = Caller(HOST)

    async def run(self) -> SoakReport:
        """Play the plan; end all processes that were started."""
        faults = plan(self._seed, self._length_s)
        try:
            await self._start()
            await self._play(faults)
            await self._driver.calm()
            recovered = await self._recovers()
        finally:
            await self._driver.close()
            await self._fleet.stop()
        self._judge_stops_and_leaves()
        broken = self._promises.broken(self._driver.all_backends)
        if not recovered:
            broken.append(f"not serving {_RECOVERY_S:.0f} s after the last fault")
        statuses = Counter(one.reply.status for one in self._promises.sent)
        kinds = Counter(fault.kind.value for fault in faults)
        return SoakReport(self._seed, statuses, kinds, broken)

    async def _start(self) -> None:
        await self._driver.start(self._write_config)
        await self._fleet.start()
        async with asyncio.timeout(_RECOVERY_S):
            for number in range(self._gateways):
                while not await self._caller.is_ready(self._fleet.ready(number)):
                    await asyncio.sleep(0.05)

    def _write_config(self, version: int, moving_service: str) -> None:
        rows = [
            route("read", "/read/", "catalogue"),
            order_route("order", "/order/", "orders"),
            route("moving", "/moving/", moving_service),
        ]
        self._fleet.store.write("op/config", config(version, rows))

    async def _play(self, faults: Sequence[object]) -> None:
        end = asyncio.Event()
        clients = [
            asyncio.create_task(self._client(number, end)) for number in range(self._clients)
        ]
        await self._driver.play(faults)  # type: ignore[arg-type]
        end.set()
        await asyncio.gather(*clients)

    async def _client(self, number: int, end: asyncio.Event) -> None:
        """Send requests one after the other, on connections that are kept where they can be."""
        rng = random.Random(self._seed * 1_000 + number)
        client = KeepingClient(HOST)
        while not end.is_set():
            await asyncio.sleep(rng.expovariate(1 / _PAUSE_S))
            await self._one(client, rng.randrange(self._gateways), rng)
        client.close()

    async def _one(self, client: KeepingClient, gateway: int, rng: random.Random) -> bool:
        kind = rng.choice(["read", "order", "order", "moving"])
        method = "POST" if kind == "order" else "GET"
        target = f"/{kind}/{rng.randrange(1_000)}"
        at_s = asyncio.get_running_loop().time()
        lifetime = self._fleet.starts[gateway]
        reply, _ = await client.send(self._fleet.traffic(gateway), method, target, _WAIT_S)
        service = {"read": "catalogue", "order": "orders"}.get(kind, "")
        if self._fleet.starts[gateway] == lifetime or reply.status == 0 or service:
            line = f"{method} {target}"
            once = kind == "order"
            sent = Sent(at_s, gateway, lifetime, once, service, line, reply)
            self._promises.sent.append(sent)
        return reply.status == 200

    async def _recovers(self) -> bool:
        """Return whether nearly all requests are served again in time."""
        loop = asyncio.get_running_loop()
        rng = random.Random(self._seed)
        client = KeepingClient(HOST)
        end_s = loop.time() + _RECOVERY_S
        try:
            while loop.time() < end_s:
                served = [
                    await self._one(client, number % self._gateways, rng)
                    for number in range(4 * self._gateways)
                ]
                if sum(served) >= _RECOVERED_SHARE * len(served):
                    return True
            return False
        finally:
            client.close()

    def _judge_stops_and_leaves(self) -> None:
        """Find requests that planned stops cut, and late ones at leaving backends."""
        harmed = self._driver.disturbances
        by_attempt = {one.reply.attempt: one for one in self._promises.sent}
        for one in self._promises.sent:
            name = f"gateway-{one.gateway}"
            end_s = one.at_s + _WAIT_S
            stopping = self._driver.stops.touch(name, one.at_s, one.at_s + 1.0)
            if one.reply.status or not stopping or harmed.touch(name, one.at_s - 1.0, end_s):
                continue
            for backend in self._driver.all_backends:
                ran = one.reply.attempt in backend.runs
                if ran and not harmed.touch(backend.id, one.at_s - 3.0, end_s):
                    self._promises.cut_at_stops.append(one.reply.attempt)
        for backend, left_s, bound_s in self._driver.leaves:
            for at_s, attempt in backend.arrivals:
                sent = by_attempt.get(attempt)
                if sent is None or at_s <= left_s + bound_s:
                    continue
                subjects = ("store", "machine", f"gateway-{sent.gateway}")
                # What is harmed after the bound excuses nothing: the gateway knew by then.
                known_s = left_s + bound_s
                if not any(harmed.touch(one, left_s - 3.0, known_s) for one in subjects):
                    late_s = at_s - left_s
                    self._promises.late_to_leaving.append(f"{attempt} after {late_s:.1f} s")
