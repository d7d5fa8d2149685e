"""Real gateway processes on loopback addresses; the stand-ins run in this process."""

import asyncio
import itertools
import os
import random
import re
import signal
import socket
import sys
import tempfile
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from pathlib import Path

from aiohttp import web

from scaffolding.platform.backend import StandInBackend
from scaffolding.platform.cut_gateway import BackendCut, control_path
from scaffolding.platform.link import LinkProxy
from scaffolding.platform.store import StandInStore

_ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b")
HOST = "shop.example"

#: The second byte of the loopback networks of gateways and of their links to the store. It differs
#: between concurrent test runs, so that a restarted gateway finds its ports free.
_NETWORK = 2 + 2 * (os.getpid() % 120)
_STORE_HOST = f"127.{_NETWORK}.0.1"

#: Ports are chosen below the ephemeral range, from which an outgoing connection could take a port
#: before it is bound. The step leaves space for the ports after each one.
_PORTS = range(16_000, 32_000, 20)


def free_ports(count: int, hosts: Sequence[str]) -> list[int]:
    """Return ports that are currently free on all of the given loopback addresses."""
    rng = random.SystemRandom()
    candidates = rng.sample(_PORTS, len(_PORTS))
    free = (port for port in candidates if all(_is_free(host, port) for host in hosts))
    return list(itertools.islice(free, count))


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def route(name: str, prefix: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route as it stands in the configuration document."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "routeType": "safe",
        "timeout": "3000ms",
        "targetLatency": "1000ms",
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def at_most_once_route(name: str, prefix: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route whose requests run at most once."""
    return route(name, prefix, service, routeType="unsafe", **fields)


def single_attempt_route(name: str, prefix: str, service: str) -> dict[str, object]:
    """Return a route whose requests are sent only once, even if the upstream rejects them."""
    return at_most_once_route(name, prefix, service, maxAttempts=1)


def account(name: str, *keys: str, **fields: object) -> dict[str, object]:
    """Return a client account as it stands in the configuration document."""
    return {"name": name, "apiKeys": list(keys), "priority": 0, **fields}


def config(
    version: int,
    routes: Sequence[dict[str, object]],
    accounts: Sequence[dict[str, object]] | None = None,
) -> dict[str, object]:
    """Return a configuration document as operators write it."""
    names = {str(r["service"]) for r in routes if "service" in r}
    for row in routes:
        split = row.get("trafficSplit")
        if isinstance(split, list):
            names |= {str(part["service"]) for part in split}
    services = [
        {"name": name, "healthPath": "/health", "maxConns": 300, "protocol": "h1", "tls": False}
        for name in sorted(names)
    ]
    limits = {
        "maxHeaderBytes": 4096,
        "maxBodyBytes": 65536,
        "headerTimeout": "1000ms",
        "idleTimeout": "5000ms",
    }
    return {
        "version": f"{version:08x}",
        "routes": list(routes),
        "services": services,
        "limits": limits,
        **({} if accounts is None else {"tenants": list(accounts)}),
    }


class GatewayFleet:
    """Gateways ``0 .. count-1``, spread round-robin over the zones, each on its own address."""

    def __init__(self, count: int, *, with_backend_cuts: bool = False) -> None:
        """Prepare a fleet; ``with_backend_cuts`` lets gateways be cut from backends and peers."""
        self._with_backend_cuts = with_backend_cuts
        self.store = StandInStore()
        self.backends: list[StandInBackend] = []
        self._backend_cuts: dict[int, str] = {}
        self._peer_cuts: defaultdict[int, set[str]] = defaultdict(set)
        self._ips = [f"127.{_NETWORK}.{10 + n // 200}.{1 + n % 200}" for n in range(count)]
        hosts = [_STORE_HOST, *self._ips, *(self.store_host(n) for n in range(count))]
        self._ports = free_ports(7, hosts)
        #: The link of each gateway to the store, on which faults are injected.
        self.store_links = [LinkProxy(self.store_address) for _ in self._ips]
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        #: All processes, with their gateways.
        self._started: list[tuple[int, asyncio.subprocess.Process]] = []
        #: Descriptors of all processes, by process id.
        self._descriptors: dict[int, int] = {}
        #: Ids of the processes that were told to end.
        self._told_to_end: set[int] = set()
        #: Gateways that start with the settings file that is there, instead of a whole new one.
        self.keeps_settings_file: set[int] = set()
        #: Gateways whose process is being started.
        self._starting: set[int] = set()
        #: Number of processes started, by gateway.
        self.start_counts: Counter[int] = Counter()
        #: Changed settings of each gateway, as TOML text by name.
        self._setting_overrides: dict[int, dict[str, str]] = {}
        self._runner: web.AppRunner | None = None
        self._directory = Path(tempfile.mkdtemp(prefix="gateway-fleet-"))
        self.logs = self._directory

    def traffic_address(self, number: int) -> str:
        """Return the address on which a gateway accepts clients' requests."""
        return f"{self._ips[number]}:{self._ports[0]}"

    def readiness_address(self, number: int) -> str:
        """Return the address of a gateway's readiness check."""
        return f"{self._ips[number]}:{self._ports[1]}"

    def directory_address(self, number: int) -> str:
        """Return the address of a gateway's directory."""
        return f"{self._ips[number]}:{self._ports[2]}"

    def ip(self, number: int) -> str:
        """Return a gateway's IP address."""
        return self._ips[number]

    def store_host(self, number: int) -> str:
        """Return the IP on which a gateway reaches the store; the store knows the gateway by it."""
        return self._ips[number].replace(f"127.{_NETWORK}.", f"127.{_NETWORK + 1}.")

    def metrics_address(self, number: int) -> str:
        """Return the address of a gateway's metrics."""
        return f"{self._ips[number]}:{self._ports[4] + 1}"

    @property
    def store_address(self) -> str:
        """The address of the store itself, behind the gateways' links."""
        return f"{_STORE_HOST}:{self._ports[6]}"

    def store_link_address(self, number: int) -> str:
        """Return the address of a gateway's link to the store, on which faults are injected."""
        return f"{self.store_host(number)}:{self._ports[5]}"

    def zone(self, number: int) -> str:
        """Return a gateway's zone."""
        return ZONES[number % len(ZONES)]

    async def start(self) -> None:
        """Start the store, then all gateways."""
        self._runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, _STORE_HOST, self._ports[6]).start()
        for number, link in enumerate(self.store_links):
            await link.start(self.store_host(number), self._ports[5])
        for number in range(len(self._ips)):
            await self.start_gateway(number)

    async def start_gateway(self, number: int) -> None:
        """Start one gateway's process, unless it is running or being started.

        Of two processes of the same gateway only one would be tracked and stopped with the fleet.
        """
        if self.is_running(number) or number in self._starting:
            return
        await self._start_tracked(number)

    async def start_successor(self, number: int) -> None:
        """Start another process of a gateway whose process is stopping and still has its ports."""
        await self._start_tracked(number)

    async def _start_tracked(self, number: int) -> None:
        self._starting.add(number)
        try:
            await self._start_process(number)
        finally:
            self._starting.discard(number)

    async def _start_process(self, number: int) -> None:
        self.start_counts[number] += 1
        path = self.settings_path(number)
        if number not in self.keeps_settings_file:
            path.write_text(self.settings_text(number))
        module = (
            "scaffolding.platform.cut_gateway" if self._with_backend_cuts else "egretrail.start"
        )
        log = (self._directory / f"node-{number}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": os.pathsep.join([str(_ROOT / "src"), str(_ROOT)]),
            "EGRETRAIL_NODE_FILE": str(path),
        }
        self._processes[number] = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, env=environment, stdout=log, stderr=log
        )
        self._started.append((number, self._processes[number]))
        process_id = self._processes[number].pid
        self._descriptors[process_id] = os.pidfd_open(process_id)
        log.close()

    async def add_backends(self, service: str, count: int, **fields: object) -> None:
        """Start backends, spread round-robin over the zones, and list them in the store."""
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            backend = StandInBackend(service, zone, **fields)  # type: ignore[arg-type]
            await backend.start()
            self.backends.append(backend)
            self.store.write(f"servers/{backend.id}", backend.store_entry())

    def cut_from_backends(
        self, numbers: Iterable[int], cut: BackendCut, ports: Iterable[int] = ()
    ) -> None:
        """Cut gateways from backends, or restore their paths; lasts over restarts.

        Without ports, all backends are cut.
        """
        for number in numbers:
            self._backend_cuts[number] = " ".join([cut.value, *map(str, ports)])
            self._write_cuts(number)

    def cut_peers(self, ones: Iterable[int], others: Iterable[int]) -> None:
        """Cut gateways from other gateways in both directions; lasts over restarts."""
        for one, other in itertools.product(ones, others):
            if one != other:
                self._peer_cuts[one].add(self._ips[other])
                self._peer_cuts[other].add(self._ips[one])
        for number in list(self._peer_cuts):
            self._write_cuts(number)

    def restore_peers(self) -> None:
        """Restore all paths between gateways."""
        for number, peers in self._peer_cuts.items():
            peers.clear()
            self._write_cuts(number)

    def _write_cuts(self, number: int) -> None:
        path = control_path(self.settings_path(number))
        # The gateway must never read a partial name.
        partial = path.with_suffix(".partial")
        backends = self._backend_cuts.get(number, BackendCut.NONE.value)
        partial.write_text(f"{backends}\n{' '.join(sorted(self._peer_cuts[number]))}\n")
        partial.rename(path)

    def is_running(self, number: int) -> bool:
        """Return whether a gateway's process is running."""
        process = self._processes.get(number)
        return process is not None and process.returncode is None

    def signal_gateway(self, number: int, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a gateway's process."""
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self._told_to_end.add(self._processes[number].pid)
        # The process object would reap a process that has just ended, and lose its exit code.
        signal.pidfd_send_signal(self._descriptors[self._processes[number].pid], signal_number)

    def ended_by_themselves(self) -> list[str]:
        """Return which processes have ended though they were not told to, or with an error."""
        told = (0, -signal.SIGTERM, -signal.SIGKILL)
        return [
            f"a process of gateway {number} ended with {process.returncode}"
            for number, process in self._started
            if process.returncode is not None
            and (process.pid not in self._told_to_end or process.returncode not in told)
        ]

    def process_id(self, number: int) -> int:
        """Return the id of a gateway's process."""
        return self._processes[number].pid

    async def exit_code(self, number: int) -> int:
        """Wait for a gateway's process to exit and return its exit code."""
        return await self._processes[number].wait()

    async def stop(self) -> None:
        """Stop all processes, backends, links and the store."""
        for _, process in self._started:
            if process.returncode is None:
                process.kill()
        for _, process in self._started:
            await process.wait()
        for descriptor in self._descriptors.values():
            os.close(descriptor)
        self._descriptors.clear()
        for backend in self.backends:
            await backend.stop()
        for link in self.store_links:
            await link.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    def log(self, number: int) -> str:
        """Return a gateway's log."""
        return (self._directory / f"node-{number}.log").read_text()

    def settings_path(self, number: int) -> Path:
        """Return the path of a gateway's settings file."""
        return self._directory / f"node-{number}.toml"

    def change_settings(self, number: int, **fields: str) -> None:
        """Change fields of a gateway's settings file, without sending a signal to the process."""
        self._setting_overrides.setdefault(number, {}).update(fields)
        self.settings_path(number).write_text(self.settings_text(number))

    def settings_text(self, number: int) -> str:
        """Return the text of a gateway's settings file."""
        text = self._initial_settings_text(number)
        for name, value in self._setting_overrides.get(number, {}).items():
            text = re.sub(rf"(?m)^{name} = .*$", f"{name} = {value}", text)
        return text

    def _initial_settings_text(self, number: int) -> str:
        ip = self._ips[number]
        front, ready, directory, control, peers, store, _ = self._ports
        return f"""
[self]
nodeName = "node-{number}"
ip = "{ip}"
zone = "{self.zone(number)}"
[self.limits]
cpuShare = 1.0
cores = 1
memoryMb = 300
[network]
internalPorts = [{peers},{peers + 15}]
seeds = ["{self._ips[0]}:{control}","{self._ips[1]}:{control}"]
[network.listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[platform.platform]
address = "{self.store_host(number)}:{store}"
[terms]
contracts = ["base","pressure"]
[terms.bounds]
grace = "6s"
configApply = "2s"
drain = "2s"
ttl_max = "5s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = 60
"""
