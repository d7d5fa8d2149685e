"""Clients that send one request at a time, and how they behave at the moment."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from scaffolding.platform import GatewayFleet
from scaffolding.platform.fleet import HOST
from scaffolding.soak._client import KeepAliveClient
from scaffolding.soak._guarantees import GuaranteeChecker
from scaffolding.soak._sent_attempt import SentAttempt

#: How long clients wait for a response.
WAIT_S = 3.0
#: Mean pause between two requests of a client.
_PAUSE_S = 0.08
#: Pause of the clients of a surge after a response, which bounds the load of this machine.
_SURGE_PAUSE_S = 0.03
#: Requests that a client which returns at once sends after a refusal.
_IMMEDIATE_RETRIES = 6
#: Number of client accounts; clients are spread over them.
ACCOUNTS = 4
_REFUSED = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that the soak sends."""

    #: The service that all configurations route it to; empty if they differ.
    service: str
    #: Its priority; 0 is the most urgent.
    priority: int
    #: Whether it must run at most once.
    is_at_most_once: bool


KINDS: Mapping[str, RequestKind] = {
    "read": RequestKind("catalogue", 1, False),
    "order": RequestKind("orders", 2, True),
    "settle": RequestKind("orders", 0, True),
    "moving": RequestKind("", 1, False),
}
_ORDINARY_MIX = ("read", "order", "order", "settle", "moving")


def account_name(number: int) -> str:
    """Return the name of a client account, which is also its API key."""
    return f"account-{number % ACCOUNTS}"


class ClientGroup:
    """Sends requests of clients and records them for the checks."""

    def __init__(self, fleet: GatewayFleet, checker: GuaranteeChecker, gateways: int) -> None:
        self._fleet = fleet
        self._checker = checker
        self._gateways = gateways
        #: Number of active load patterns in which clients return at once after a refusal.
        self.returning_at_once = 0
        #: Number of active load patterns in which clients read slowly.
        self.reading_slowly = 0

    async def run(self, number: int, rng: random.Random, end: asyncio.Event) -> None:
        """Send ordinary requests, on kept-alive connections where possible."""
        client = KeepAliveClient(HOST, account_name(number))
        while not end.is_set():
            await asyncio.sleep(rng.expovariate(1 / _PAUSE_S))
            kind = rng.choice(_ORDINARY_MIX)
            status = await self.send(client, kind, rng)
            for _ in range(_IMMEDIATE_RETRIES):
                if not self.returning_at_once or status not in _REFUSED:
                    break
                status = await self.send(client, kind, rng)
        client.close()

    async def surge(self, count: int, account: str, duration_s: float, seed: int) -> None:
        """Run additional clients of one account."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s

        async def run(number: int) -> None:
            rng = random.Random(seed + number)
            client = KeepAliveClient(HOST, account)
            while loop.time() < end_s:
                await self.send(client, rng.choice(_ORDINARY_MIX), rng)
                await asyncio.sleep(_SURGE_PAUSE_S)
            client.close()

        await asyncio.gather(*(run(number) for number in range(count)))

    async def burst(
        self, kind: str, rate_per_s: float, duration_s: float, rng: random.Random, number: int
    ) -> None:
        """Send requests of a kind at random times, whatever becomes of those before.

        Clients that wait for a response would send more while responses come fast, so two kinds
        would not meet the same conditions and could not be compared.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        client = KeepAliveClient(HOST, account_name(0))
        sending = []
        next_s = loop.time() + rng.expovariate(rate_per_s)
        while next_s < end_s:
            await asyncio.sleep(max(next_s - loop.time(), 0.0))
            sending.append(asyncio.create_task(self.send(client, kind, rng, burst=number)))
            next_s += rng.expovariate(rate_per_s)
        await asyncio.gather(*sending)
        client.close()

    async def send(
        self,
        client: KeepAliveClient,
        name: str,
        rng: random.Random,
        gateway: int | None = None,
        burst: int = 0,
    ) -> int:
        """Send one request to a gateway, or to a random one; return the status."""
        kind = KINDS[name]
        gateway = rng.randrange(self._gateways) if gateway is None else gateway
        method = "POST" if kind.is_at_most_once else "GET"
        slowly = self.reading_slowly > 0 and name == "read"
        target = f"/{name}/{'large-' if slowly else ''}{rng.randrange(1_000)}"
        at_s = asyncio.get_running_loop().time()
        process_number = self._fleet.start_counts[gateway]
        address = self._fleet.traffic_address(gateway)
        result = await client.send(address, method, target, WAIT_S, slowly=slowly)
        is_same_process = self._fleet.start_counts[gateway] == process_number
        # A moving request that another process may have taken tells nothing of versions.
        if is_same_process or result.status == 0 or kind.service:
            self._checker.sent.append(
                SentAttempt(
                    at_s,
                    gateway,
                    process_number,
                    kind.is_at_most_once,
                    kind.service,
                    f"{method} {target}",
                    result,
                    kind.priority,
                    burst,
                )
            )
        return result.status
