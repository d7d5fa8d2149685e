"""Carries out the faults of a plan, on processes, links, backends and the store."""

import asyncio
import contextlib
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

from scaffolding.platform import Behaviour, GatewayFleet, LinkFault, LinkProxy, StandInBackend
from scaffolding.platform.fleet import ZONES
from scaffolding.platform.store import StoreMode
from scaffolding.soak._disturbances import Disturbances
from scaffolding.soak._plan import Fault, FaultKind
from scaffolding.soak._promises import Promises

#: The services, with the number of backends of each. The moving route takes turns of three.
_SERVICES = {"catalogue": 5, "orders": 6, "moving-0": 2, "moving-1": 2, "moving-2": 2}
_MOVING = 3
#: A process that ended is started again after this time.
_RESTART_S = 0.3
#: The grace after a termination signal.
_GRACE_S = 6.0
#: A backend that leaves takes work for this long after the store took its word; what the machine
#: may add on its own is allowed on top.
_DRAIN_S, _MACHINE_S = 2.0, 1.0
#: It goes on for such a time beyond the bound, in which late requests would arrive.
_LINGER_S = 3.0
#: An entry is removed so long after its backend fell silent.
_SILENCE_S = 4.5
#: This process counts as slowed when its loop wakes up so late.
_LAG_S = 0.5
_LAG_LOOK_S = 0.1
#: Requests sent within this time of a reload must not be cut.
_RELOAD_S = 3.0
#: How often a settings file is half written first, for how long at most, how many signals tell of
#: it, and how often the gateway is stopped right after.
_HALF_SHARE, _HALF_WRITTEN_S = 0.4, 0.3
_SIGNALS_MAX = 5
_STOP_SHARE = 0.3
_BACKEND_FAULTS = (
    Behaviour.FAILING,
    Behaviour.SHEDDING,
    Behaviour.HANGING,
    Behaviour.RESETTING,
    Behaviour.TRUNCATING,
    Behaviour.DOUBLING,
    Behaviour.CROSSING,
    Behaviour.NONSENSE,
    Behaviour.UNSEALED,
)
_LINK_FAULTS = (
    LinkFault.DELAYED,
    LinkFault.RESET,
    LinkFault.CUT_TO_SERVER,
    LinkFault.CUT_TO_CLIENT,
    LinkFault.SILENT,
)
_STORE_MODES = (StoreMode.BUSY, StoreMode.SILENT, StoreMode.LOSING_REPLIES)


class FaultDriver:
    """Owns backends, links and the lives of processes while a plan is played."""

    def __init__(self, fleet: GatewayFleet, promises: Promises) -> None:
        self._fleet = fleet
        self._promises = promises
        self._links: dict[str, LinkProxy] = {}
        self._all_links: list[LinkProxy] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._version = 1
        self._holds: Counter[str] = Counter()
        self._write_config: Callable[[int, str], None] = lambda version, service: None
        #: All backends that ever ran.
        self.all_backends: list[StandInBackend] = []
        #: What was harmed when.
        self.disturbances = Disturbances()
        #: Planned stops of gateways, and reloads.
        self.stops = Disturbances()
        #: Backends that said that they leave: when, and the bound for new work.
        self.leaves: list[tuple[StandInBackend, float, float]] = []

    async def start(self, write_config: Callable[[int, str], None]) -> None:
        """Write the first configuration and start the backends."""
        self._write_config = write_config
        self._change_config()
        for service, count in _SERVICES.items():
            for number in range(count):
                await self._add_backend(service, ZONES[number % len(ZONES)])
        self._spawn(self._watch_lag())

    async def play(self, faults: Sequence[Fault]) -> None:
        """Carry out each fault at its time, and wait until the last one has ended."""
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        running = []
        for fault in faults:
            await asyncio.sleep(max(begin_s + fault.at_s - loop.time(), 0.0))
            running.append(self._spawn(self._carry_out(fault)))
        await asyncio.gather(*running)

    async def calm(self) -> None:
        """End what is left of all faults, and see that every gateway runs."""
        self._fleet.store.mode = StoreMode.SERVING
        self._fleet.store.modes.clear()
        for link in [*self._fleet.store_links, *self._links.values()]:
            link.fault = LinkFault.NONE
        for backend in self._fleet.backends:
            backend.behaviour = Behaviour.SOUND
        for number in range(len(self._fleet.store_links)):
            if not self._fleet.is_running(number):
                await self._start_again(number)

    async def close(self) -> None:
        """End tasks and links."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._all_links:
            await link.stop()

    async def _carry_out(self, fault: Fault) -> None:
        rng = random.Random(fault.pick)
        acts: dict[FaultKind, Callable[[Fault, random.Random], Awaitable[None]]] = {
            FaultKind.GATEWAY_KILLED: self._kill,
            FaultKind.GATEWAY_STOPPED: self._stop,
            FaultKind.GATEWAY_PAUSED: self._pause,
            FaultKind.GATEWAY_RELOADED: self._reload,
            FaultKind.ALL_KILLED: self._kill_all,
            FaultKind.BACKEND_FAULTY: self._spoil,
            FaultKind.BACKEND_LEAVES: self._leave,
            FaultKind.BACKEND_CRASHES: self._crash,
            FaultKind.BACKEND_REPLACED: self._replace,
            FaultKind.BACKEND_LINK: self._harm_backend_link,
            FaultKind.STORE_AWAY: self._store_away,
            FaultKind.STORE_TURNS_AWAY: self._store_turns_away,
            FaultKind.STORE_LINK: self._harm_store_link,
            FaultKind.STORE_FORGETS: self._store_forgets,
            FaultKind.CONFIG_CHANGE: self._config_change,
            FaultKind.CONFIG_SERIES: self._config_series,
        }
        await acts[fault.kind](fault, rng)

    # Gateways

    async def _kill(self, fault: Fault, rng: random.Random) -> None:
        await self._kill_one(self._any_gateway(rng))

    async def _kill_all(self, fault: Fault, rng: random.Random) -> None:
        numbers = range(len(self._fleet.store_links))
        await asyncio.gather(*(self._kill_one(number) for number in numbers))

    async def _kill_one(self, number: int) -> None:
        if not self._fleet.is_running(number):
            return
        self._harm(f"gateway-{number}", _RESTART_S + 1.0)
        with contextlib.suppress(ProcessLookupError):
            self._fleet.kill(number)
        await self._fleet.exit_code(number)
        await asyncio.sleep(_RESTART_S)
        await self._start_again(number)

    async def _stop(self, fault: Fault, rng: random.Random) -> None:
        await self._stop_one(self._any_gateway(rng))

    async def _stop_one(self, number: int) -> None:
        if not self._fleet.is_running(number):
            return
        now_s = asyncio.get_running_loop().time()
        self.stops.add(f"gateway-{number}", now_s, now_s + _GRACE_S)
        with contextlib.suppress(ProcessLookupError):
            self._fleet.kill(number, signal.SIGTERM)
        try:
            async with asyncio.timeout(_GRACE_S):
                await self._fleet.exit_code(number)
        except TimeoutError:
            self._harm(f"gateway-{number}", 1.0)
            with contextlib.suppress(ProcessLookupError):
                self._fleet.kill(number)
            await self._fleet.exit_code(number)
        await asyncio.sleep(_RESTART_S)
        await self._start_again(number)

    async def _pause(self, fault: Fault, rng: random.Random) -> None:
        number = self._any_gateway(rng)
        if not self._fleet.is_running(number):
            return
        self._harm(f"gateway-{number}", fault.for_s)
        with contextlib.suppress(ProcessLookupError):
            self._fleet.kill(number, signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            self._fleet.kill(number, signal.SIGCONT)

    async def _reload(self, fault: Fault, rng: random.Random) -> None:
        """Change a gateway's file, half of it first at times; tell it or not; stop it at times."""
        number = self._any_gateway(rng)
        if not self._fleet.is_running(number):
            return
        now_s = asyncio.get_running_loop().time()
        self.stops.add(f"gateway-{number}", now_s, now_s + _RELOAD_S)
        if rng.random() < _HALF_SHARE:
            whole = self._fleet.settings(number)
            self._fleet.settings_file(number).write_text(whole[: rng.randrange(len(whole))])
            self._hang_up(number)
            await asyncio.sleep(rng.random() * _HALF_WRITTEN_S)
        addresses = [self._fleet.store_address, self._fleet.store_way(number)]
        self._fleet.change_settings(
            number,
            ttl_max=rng.choice(['"1s"', '"3s"', '"5s"']),
            cpuShare=rng.choice(["0.5", "1.0", "2.0"]),
            memoryMb=rng.choice(["200", "300"]),
            address=f'"{rng.choice(addresses)}"',
        )
        for _ in range(rng.randrange(_SIGNALS_MAX)):
            self._hang_up(number)
            await asyncio.sleep(rng.random() * 0.1)
        if rng.random() < _STOP_SHARE:
            await self._stop_one(number)

    def _hang_up(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._fleet.kill(number, signal.SIGHUP)

    async def _start_again(self, number: int) -> None:
        await self._fleet.start_gateway(number)

    def _any_gateway(self, rng: random.Random) -> int:
        return rng.randrange(len(self._fleet.store_links))

    # Backends

    async def _spoil(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        self._harm(backend.id, fault.for_s)
        backend.behaviour = rng.choice(_BACKEND_FAULTS)
        await asyncio.sleep(fault.for_s)
        backend.behaviour = Behaviour.SOUND

    async def _leave(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        if self._last_of(backend):
            return
        self._fleet.backends.remove(backend)
        await self._add_backend(backend.service, backend.zone)
        record = {**backend.record("draining"), "address": self._links[backend.id].address}
        self._fleet.store.write(f"servers/{backend.id}", record)
        left_s = asyncio.get_running_loop().time()
        self.leaves.append((backend, left_s, _DRAIN_S + _MACHINE_S))
        await asyncio.sleep(_DRAIN_S + _LINGER_S)
        self._fleet.store.remove(f"servers/{backend.id}")
        self._harm(backend.id, 1e9)
        await backend.stop()

    async def _crash(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        self._fleet.backends.remove(backend)
        self._harm(backend.id, 1e9)
        await backend.stop()
        await asyncio.sleep(min(fault.for_s, 1.0))
        await self._add_backend(backend.service, backend.zone)
        await asyncio.sleep(_SILENCE_S)
        self._fleet.store.remove(f"servers/{backend.id}")

    async def _replace(self, fault: Fault, rng: random.Random) -> None:
        """End a backend, and give its address to a new one of another service."""
        backend = rng.choice(self._fleet.backends)
        if self._last_of(backend):
            return
        self._fleet.backends.remove(backend)
        self._harm(backend.id, 1e9)
        await backend.stop()
        service = rng.choice([name for name in _SERVICES if name != backend.service])
        await self._add_backend(service, backend.zone, self._links[backend.id])
        await self._add_backend(backend.service, backend.zone)
        await asyncio.sleep(fault.for_s)
        self._fleet.store.remove(f"servers/{backend.id}")

    async def _harm_backend_link(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        self._harm(backend.id, fault.for_s)
        link = self._links[backend.id]
        link.fault = rng.choice(_LINK_FAULTS)
        await asyncio.sleep(fault.for_s)
        link.fault = LinkFault.NONE

    def _last_of(self, backend: StandInBackend) -> bool:
        return sum(one.service == backend.service for one in self._fleet.backends) < 2

    async def _add_backend(self, service: str, zone: str, link: LinkProxy | None = None) -> None:
        backend = StandInBackend(service, zone)
        await backend.start()
        if link is None:
            link = LinkProxy(backend.address)
            await link.start()
            self._all_links.append(link)
        else:
            link.target = backend.address
        self._links[backend.id] = link
        self.all_backends.append(backend)
        self._fleet.backends.append(backend)
        record = {**backend.record(), "address": link.address}
        self._fleet.store.write(f"servers/{backend.id}", record)

    # The store and the configuration

    async def _store_away(self, fault: Fault, rng: random.Random) -> None:
        self._harm("store", fault.for_s)
        self._holds["store"] += 1
        self._fleet.store.mode = rng.choice(_STORE_MODES)
        await asyncio.sleep(fault.for_s)
        self._holds["store"] -= 1
        if not self._holds["store"]:
            self._fleet.store.mode = StoreMode.SERVING

    async def _store_turns_away(self, fault: Fault, rng: random.Random) -> None:
        numbers = [n for n in range(len(self._fleet.store_links)) if rng.random() < 0.4]
        hosts = [self._fleet.store_host(number) for number in numbers]
        for number, host in zip(numbers, hosts, strict=True):
            self._harm(f"gateway-{number}", fault.for_s)
            self._fleet.store.modes[host] = rng.choice(_STORE_MODES)
        await asyncio.sleep(fault.for_s)
        for host in hosts:
            self._fleet.store.modes.pop(host, None)

    async def _harm_store_link(self, fault: Fault, rng: random.Random) -> None:
        number = self._any_gateway(rng)
        self._harm(f"gateway-{number}", fault.for_s)
        link = self._fleet.store_links[number]
        link.fault = rng.choice(_LINK_FAULTS)
        await asyncio.sleep(fault.for_s)
        link.fault = LinkFault.NONE

    async def _store_forgets(self, fault: Fault, rng: random.Random) -> None:
        self._harm("store", 0.1)
        self._fleet.store.forget_history()

    async def _config_change(self, fault: Fault, rng: random.Random) -> None:
        self._change_config()

    async def _config_series(self, fault: Fault, rng: random.Random) -> None:
        for _ in range(5):
            self._change_config()
            await asyncio.sleep(0.06)

    def _change_config(self) -> None:
        number = len(self._promises.versions)
        self._version += 1 + number % 3
        service = f"moving-{number % _MOVING}"
        self._write_config(self._version, service)
        self._promises.versions.append((asyncio.get_running_loop().time(), service))

    # Bookkeeping

    def _harm(self, subject: str, for_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self.disturbances.add(subject, now_s, now_s + for_s)

    async def _watch_lag(self) -> None:
        """Note when this process itself is held up, which says nothing about the gateways."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(_LAG_LOOK_S)
            now_s = loop.time()
            if now_s - before_s > _LAG_S:
                self.disturbances.add("machine", before_s, now_s)

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
