"""Injects the faults of a plan into processes, links, backends and the store."""

import asyncio
import contextlib
import random
import signal
from collections.abc import Awaitable, Callable, Sequence

from scaffolding.platform import (
    BackendCut,
    Behaviour,
    GatewayFleet,
    LinkFault,
    LinkProxy,
    StandInBackend,
)
from scaffolding.platform.fleet import ZONES
from scaffolding.soak._disturbances import DisturbanceLog
from scaffolding.soak._guarantees import GuaranteeChecker
from scaffolding.soak._loads import LoadDriver
from scaffolding.soak._path_cuts import PathCutter
from scaffolding.soak._plan import Fault, FaultKind
from scaffolding.soak._store_faults import StoreFaults

#: Number of backends by service. The moving route rotates over three of the services.
_SERVICES = {"catalogue": 5, "orders": 6, "moving-0": 2, "moving-1": 2, "moving-2": 2}
_MOVING_SERVICES = 3
#: Delay before a process that exited is restarted.
_RESTART_S = 0.3
#: Grace period after a termination signal.
_GRACE_S = 6.0
#: A draining backend may get new requests for this long after the store has accepted its draining
#: entry, plus an allowance for delays of the machine.
_DRAIN_S, _MACHINE_S = 2.0, 1.0
#: Delays of a draining backend's report to the store.
_REPORT_DELAYS_S = (0.0, 4.0)
#: A draining backend runs for this long beyond the bound, so that late requests are observed.
_LINGER_S = 3.0
#: Delay between the crash of a backend and the removal of its entry.
_ENTRY_REMOVAL_DELAY_S = 4.5
#: The machine counts as disturbed if the event loop wakes up this late; poll interval of the check.
_LAG_S = 0.5
_LAG_POLL_S = 0.1
#: Requests sent within this time after a reload must not be interrupted.
_RELOAD_S = 3.0
#: Share of reloads that first write a truncated settings file, the longest time until the rest
#: follows, the bound of the number of signals sent, and the share followed by a stop.
_PARTIAL_WRITE_SHARE, _PARTIAL_WRITE_MAX_S = 0.4, 0.3
_SIGNALS_BOUND = 5
_STOP_SHARE = 0.3
_BACKEND_FAULTS = (
    Behaviour.FAILING,
    Behaviour.SHEDDING,
    Behaviour.HANGING,
    Behaviour.RESETTING,
    Behaviour.TRUNCATING,
    Behaviour.EXTRA_RESPONSE,
    Behaviour.STALE_RESPONSE,
    Behaviour.MALFORMED,
    Behaviour.UNSEALED,
)
#: Values of Retry-After in refusals; None leaves it out, and the last ones have no meaning.
_RETRY_AFTER_VALUES = ("1", "2.5", "4", None, "", "-1", "soon")
_LINK_FAULTS = tuple(fault for fault in LinkFault if fault is not LinkFault.NONE)


class FaultDriver:
    """Manages backends, links and gateway processes during a plan."""

    def __init__(self, fleet: GatewayFleet, checker: GuaranteeChecker, loads: LoadDriver) -> None:
        self._fleet = fleet
        self._checker = checker
        self._links: dict[str, LinkProxy] = {}
        self._all_links: list[LinkProxy] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._version = 1
        self._routes: Callable[[str], Sequence[dict[str, object]]] = lambda service: []
        self._write_config: Callable[[int, str], None] = lambda version, service: None
        #: All backends that were started.
        self.all_backends: list[StandInBackend] = []
        #: Time spans in which a fault or a delay of the machine was active.
        self.disturbances = checker.disturbances
        self._paths = PathCutter(fleet, self._links, self.disturbances)
        self._loads = loads
        self._store_faults = StoreFaults(
            fleet, self.disturbances, self._change_config, self._next_version, self._config_routes
        )
        #: Time spans of planned gateway stops and reloads.
        self.stops = DisturbanceLog()
        #: Draining backends, each with the time of its draining entry and the bound in seconds.
        self.drains: list[tuple[StandInBackend, float, float]] = []

    async def start(
        self,
        write_config: Callable[[int, str], None],
        routes: Callable[[str], Sequence[dict[str, object]]],
    ) -> None:
        """Write the first configuration and start the backends.

        ``routes`` returns the routes of a configuration by the service of its moving route.
        """
        self._write_config, self._routes = write_config, routes
        self._change_config()
        for service, count in _SERVICES.items():
            for number in range(count):
                await self._add_backend(service, ZONES[number % len(ZONES)])
        self._spawn(self._watch_lag())

    async def run(self, faults: Sequence[Fault]) -> None:
        """Inject each fault at its time, and wait until the last one has ended."""
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        running = []
        for fault in faults:
            await asyncio.sleep(max(begin_s + fault.at_s - loop.time(), 0.0))
            running.append(self._spawn(self._inject(fault)))
        await asyncio.gather(*running)

    async def clear_faults(self) -> None:
        """Clear all faults and restart gateways that are not running."""
        self._store_faults.clear()
        for link in self._links.values():
            link.fault = LinkFault.NONE
        self._fleet.cut_from_backends(range(len(self._fleet.store_links)), BackendCut.NONE)
        for backend in self._fleet.backends:
            backend.behaviour, backend.retry_after = Behaviour.HEALTHY, None
        for number in range(len(self._fleet.store_links)):
            if not self._fleet.is_running(number):
                await self._restart(number)

    async def close(self) -> None:
        """Cancel tasks and stop links."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for link in self._all_links:
            await link.stop()

    async def _inject(self, fault: Fault) -> None:
        rng = random.Random(fault.seed)
        handlers: dict[FaultKind, Callable[[Fault, random.Random], Awaitable[None]]] = {
            FaultKind.GATEWAY_KILLED: self._kill,
            FaultKind.GATEWAY_STOPPED: self._stop,
            FaultKind.GATEWAY_PAUSED: self._pause,
            FaultKind.GATEWAY_RELOADED: self._reload,
            FaultKind.GATEWAYS_CUT: self._cut_from_backends,
            FaultKind.ALL_KILLED: self._kill_all,
            FaultKind.BACKEND_FAULTY: self._set_backend_fault,
            FaultKind.SERVICE_REFUSES: self._refuse_at_service,
            FaultKind.BACKEND_DRAINS: self._drain,
            FaultKind.BACKEND_CRASHES: self._crash,
            FaultKind.BACKEND_REPLACED: self._replace,
            FaultKind.BACKEND_LINK: self._fault_backend_link,
            FaultKind.CONFIG_CHANGE: self._config_change,
            FaultKind.CONFIG_SERIES: self._config_series,
            FaultKind.PATHS_CUT_HUB_KILLED: self._cut_and_kill_hub,
            **self._store_faults.handlers(),
            **self._loads.handlers(),
        }
        await handlers[fault.kind](fault, rng)

    # Gateways

    async def _kill(self, fault: Fault, rng: random.Random) -> None:
        await self._kill_one(self._any_gateway(rng))

    async def _kill_all(self, fault: Fault, rng: random.Random) -> None:
        numbers = range(len(self._fleet.store_links))
        await asyncio.gather(*(self._kill_one(number) for number in numbers))

    async def _kill_one(self, number: int) -> None:
        if not self._fleet.is_running(number):
            return
        self._record_disturbance(f"gateway-{number}", _RESTART_S + 1.0)
        with contextlib.suppress(ProcessLookupError):
            self._fleet.signal_gateway(number)
        await self._fleet.exit_code(number)
        await asyncio.sleep(_RESTART_S)
        await self._restart(number)

    async def _stop(self, fault: Fault, rng: random.Random) -> None:
        await self._stop_one(self._any_gateway(rng))

    async def _stop_one(self, number: int) -> None:
        if not self._fleet.is_running(number):
            return
        now_s = asyncio.get_running_loop().time()
        self.stops.add_span(f"gateway-{number}", now_s, now_s + _GRACE_S)
        with contextlib.suppress(ProcessLookupError):
            self._fleet.signal_gateway(number, signal.SIGTERM)
        try:
            async with asyncio.timeout(_GRACE_S):
                await self._fleet.exit_code(number)
        except TimeoutError:
            self._record_disturbance(f"gateway-{number}", 1.0)
            with contextlib.suppress(ProcessLookupError):
                self._fleet.signal_gateway(number)
            await self._fleet.exit_code(number)
        await asyncio.sleep(_RESTART_S)
        await self._restart(number)

    async def _pause(self, fault: Fault, rng: random.Random) -> None:
        number = self._any_gateway(rng)
        if not self._fleet.is_running(number):
            return
        self._record_disturbance(f"gateway-{number}", fault.duration_s)
        with contextlib.suppress(ProcessLookupError):
            self._fleet.signal_gateway(number, signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            self._fleet.signal_gateway(number, signal.SIGCONT)

    async def _cut_from_backends(self, fault: Fault, rng: random.Random) -> None:
        await self._paths.cut_from_all(fault.duration_s, rng)

    async def _cut_and_kill_hub(self, fault: Fault, rng: random.Random) -> None:
        """Kill a hub while paths between some gateways and some backends are cut."""
        cut = self._spawn(self._paths.cut_from_some(fault.duration_s, rng))
        await asyncio.sleep(rng.random() * fault.duration_s)
        hubs = self._paths.hubs()
        if hubs:
            await self._kill_one(rng.choice(hubs))
        await cut

    async def _reload(self, fault: Fault, rng: random.Random) -> None:
        """Change a gateway's settings file, with no, one or several signals.

        The file is sometimes truncated first, and the gateway sometimes stopped afterwards.
        """
        number = self._any_gateway(rng)
        if not self._fleet.is_running(number):
            return
        now_s = asyncio.get_running_loop().time()
        self.stops.add_span(f"gateway-{number}", now_s, now_s + _RELOAD_S)
        if rng.random() < _PARTIAL_WRITE_SHARE:
            text = self._fleet.settings_text(number)
            self._fleet.settings_path(number).write_text(text[: rng.randrange(len(text))])
            self._signal_reload(number)
            await asyncio.sleep(rng.random() * _PARTIAL_WRITE_MAX_S)
        addresses = [self._fleet.store_address, self._fleet.store_link_address(number)]
        self._fleet.change_settings(
            number,
            ttl_max=rng.choice(['"1s"', '"3s"', '"5s"']),
            cpuShare=rng.choice(["0.5", "1.0", "2.0"]),
            memoryMb=rng.choice(["200", "300"]),
            address=f'"{rng.choice(addresses)}"',
        )
        for _ in range(rng.randrange(_SIGNALS_BOUND)):
            self._signal_reload(number)
            await asyncio.sleep(rng.random() * 0.1)
        if rng.random() < _STOP_SHARE:
            await self._stop_one(number)

    def _signal_reload(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._fleet.signal_gateway(number, signal.SIGHUP)

    async def _restart(self, number: int) -> None:
        await self._fleet.start_gateway(number)

    def _any_gateway(self, rng: random.Random) -> int:
        return rng.randrange(len(self._fleet.store_links))

    # Backends

    async def _set_backend_fault(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        self._record_disturbance(backend.id, fault.duration_s)
        backend.behaviour = rng.choice(_BACKEND_FAULTS)
        backend.retry_after = rng.choice(_RETRY_AFTER_VALUES)
        await asyncio.sleep(fault.duration_s)
        backend.behaviour, backend.retry_after = Behaviour.HEALTHY, None

    async def _refuse_at_service(self, fault: Fault, rng: random.Random) -> None:
        service = rng.choice(list(_SERVICES))
        backends = [one for one in self._fleet.backends if one.service == service]
        for backend in backends:
            self._record_disturbance(backend.id, fault.duration_s)
            backend.behaviour = Behaviour.SHEDDING
            backend.retry_after = rng.choice(_RETRY_AFTER_VALUES)
        await asyncio.sleep(fault.duration_s)
        for backend in backends:
            backend.behaviour, backend.retry_after = Behaviour.HEALTHY, None

    async def _drain(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        if self._is_last_of_service(backend):
            return
        self._fleet.backends.remove(backend)
        await self._add_backend(backend.service, backend.zone)
        backend.draining = True
        # The store may accept the backend's report later than clients get responses that state it.
        await asyncio.sleep(rng.choice(_REPORT_DELAYS_S))
        record = {**backend.store_entry("draining"), "address": self._links[backend.id].address}
        self._fleet.store.write(f"servers/{backend.id}", record)
        drained_s = asyncio.get_running_loop().time()
        self.drains.append((backend, drained_s, _DRAIN_S + _MACHINE_S))
        await asyncio.sleep(_DRAIN_S + _LINGER_S)
        self._fleet.store.remove(f"servers/{backend.id}")
        self._record_disturbance(backend.id, 1e9)
        await backend.stop()

    async def _crash(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        self._fleet.backends.remove(backend)
        self._record_disturbance(backend.id, 1e9)
        await backend.stop()
        await asyncio.sleep(min(fault.duration_s, 1.0))
        await self._add_backend(backend.service, backend.zone)
        await asyncio.sleep(_ENTRY_REMOVAL_DELAY_S)
        self._fleet.store.remove(f"servers/{backend.id}")

    async def _replace(self, fault: Fault, rng: random.Random) -> None:
        """Stop a backend and assign its address to a new backend of another service."""
        backend = rng.choice(self._fleet.backends)
        if self._is_last_of_service(backend):
            return
        self._fleet.backends.remove(backend)
        self._record_disturbance(backend.id, 1e9)
        await backend.stop()
        service = rng.choice([name for name in _SERVICES if name != backend.service])
        await self._add_backend(service, backend.zone, self._links[backend.id])
        await self._add_backend(backend.service, backend.zone)
        await asyncio.sleep(fault.duration_s)
        self._fleet.store.remove(f"servers/{backend.id}")

    async def _fault_backend_link(self, fault: Fault, rng: random.Random) -> None:
        backend = rng.choice(self._fleet.backends)
        self._record_disturbance(backend.id, fault.duration_s)
        self._record_disturbance(f"link-{backend.id}", fault.duration_s)
        link = self._links[backend.id]
        link.fault = rng.choice(_LINK_FAULTS)
        await asyncio.sleep(fault.duration_s)
        link.fault = LinkFault.NONE

    def _is_last_of_service(self, backend: StandInBackend) -> bool:
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
        record = {**backend.store_entry(), "address": link.address}
        self._fleet.store.write(f"servers/{backend.id}", record)

    # The configuration

    async def _config_change(self, fault: Fault, rng: random.Random) -> None:
        self._change_config()

    async def _config_series(self, fault: Fault, rng: random.Random) -> None:
        for _ in range(5):
            self._change_config()
            await asyncio.sleep(0.06)

    def _change_config(self) -> None:
        number = len(self._checker.config_changes)
        self._version += 1 + number % 3
        service = f"moving-{number % _MOVING_SERVICES}"
        self._write_config(self._version, service)
        self._checker.config_changes.append((asyncio.get_running_loop().time(), service))

    def _next_version(self) -> int:
        self._version += 1
        return self._version

    def _config_routes(self) -> Sequence[dict[str, object]]:
        """Return the routes of the last configuration."""
        return self._routes(self._checker.config_changes[-1][1])

    # Bookkeeping

    def _record_disturbance(self, subject: str, duration_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self.disturbances.add_span(subject, now_s, now_s + duration_s)

    async def _watch_lag(self) -> None:
        """Record delays of this process, which are no evidence against the gateways."""
        loop = asyncio.get_running_loop()
        while True:
            before_s = loop.time()
            await asyncio.sleep(_LAG_POLL_S)
            now_s = loop.time()
            if now_s - before_s > _LAG_S:
                self.disturbances.add_span("machine", before_s, now_s)

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
