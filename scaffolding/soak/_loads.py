"""Plays the load patterns of a plan."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

from scaffolding.platform import GatewayFleet
from scaffolding.soak._clients import ACCOUNTS, ClientGroup, account_name
from scaffolding.soak._plan import Fault, FaultKind

#: Clients of an account that sends many times its usual; three of twelve clients are its usual.
_ACCOUNT_CLIENTS = 24
#: In a burst, the backends of this service take so long that their 24 slots serve 120 requests a
#: second. 2.5 times as much is offered; the urgent kind alone is a third of what they take.
_BURST_SERVICE, _BURST_WORK_S = "orders", 0.2
_BURST_PER_S, _URGENT_PER_S = 260.0, 40.0
#: Interval at which the speed of new backends is set.
_POLL_S = 0.1
#: A shorter burst would end before enough urgent requests are sent.
_BURST_MIN_S = 2.5
#: How many times as long a request takes at backends of unlike speed.
_SLOWNESS = (1.0, 2.0, 4.0, 8.0)
_WORK_S = 0.02


class LoadDriver:
    """Changes what clients send and how fast backends work, for the duration of a pattern."""

    def __init__(self, fleet: GatewayFleet, clients: ClientGroup) -> None:
        self._fleet = fleet
        self._clients = clients
        #: Number of bursts that have begun.
        self._bursts = 0

    def handlers(self) -> Mapping[FaultKind, Callable[[Fault, random.Random], Awaitable[None]]]:
        """Return the handlers of the load patterns."""
        return {
            FaultKind.ACCOUNT_SURGES: self._surge_account,
            FaultKind.KIND_BURSTS: self._burst,
            FaultKind.CLIENTS_RETURN_AT_ONCE: self._return_at_once,
            FaultKind.CLIENTS_READ_SLOWLY: self._read_slowly,
            FaultKind.BACKENDS_UNEQUAL: self._set_unequal_speeds,
        }

    async def _surge_account(self, fault: Fault, rng: random.Random) -> None:
        account = account_name(rng.randrange(ACCOUNTS))
        await self._clients.surge(_ACCOUNT_CLIENTS, account, fault.duration_s, fault.seed)

    async def _burst(self, fault: Fault, rng: random.Random) -> None:
        """Offer a service more of its less urgent kind than its backends can take."""
        duration_s = max(fault.duration_s, _BURST_MIN_S)
        begin_s = asyncio.get_running_loop().time()
        self._bursts += 1
        await asyncio.gather(
            self._clients.burst("order", _BURST_PER_S, duration_s, rng, self._bursts),
            self._clients.burst("settle", _URGENT_PER_S, duration_s, rng, self._bursts),
            self._slow_down(_BURST_SERVICE, begin_s + duration_s),
        )
        self._restore_speeds()

    async def _slow_down(self, service: str, end_s: float) -> None:
        """Keep the backends of a service slow, also those that start meanwhile."""
        while asyncio.get_running_loop().time() < end_s:
            for backend in self._fleet.backends:
                if backend.service == service:
                    backend.work_s = _BURST_WORK_S
            await asyncio.sleep(_POLL_S)

    async def _return_at_once(self, fault: Fault, rng: random.Random) -> None:
        self._clients.returning_at_once += 1
        await asyncio.sleep(fault.duration_s)
        self._clients.returning_at_once -= 1

    async def _read_slowly(self, fault: Fault, rng: random.Random) -> None:
        self._clients.reading_slowly += 1
        await asyncio.sleep(fault.duration_s)
        self._clients.reading_slowly -= 1

    async def _set_unequal_speeds(self, fault: Fault, rng: random.Random) -> None:
        for backend in self._fleet.backends:
            backend.work_s = _WORK_S * rng.choice(_SLOWNESS)
        await asyncio.sleep(fault.duration_s)
        self._restore_speeds()

    def _restore_speeds(self) -> None:
        """Restore the speed of all backends, which may end an overlapping pattern early."""
        for backend in self._fleet.backends:
            backend.work_s = _WORK_S
