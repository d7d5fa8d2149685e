"""Starts and ends the separate processes of a demo or a test, each on ports the system chose."""

import asyncio
import contextlib
import signal
import socket
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import tomli_w


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listening.getsockname()[1] for listening in sockets]
    for listening in sockets:
        listening.close()
    return ports


@dataclass(slots=True)
class Processes:
    """The processes of one run, ended with it."""

    directory: Path
    running: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    async def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module as a process; its output goes to a file of its name."""
        with (self.directory / f"{name}.log").open("ab") as log:
            self.running[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, *arguments, stdout=log, stderr=log
            )

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.running[name].kill()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.running[name].send_signal(number)

    async def wait(self, name: str) -> int:
        """Wait for a process to end; return its exit code."""
        return await self.running[name].wait()

    async def end_all(self) -> None:
        """End every process that still runs."""
        for process in self.running.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        await asyncio.gather(*(process.wait() for process in self.running.values()))


@dataclass(frozen=True, slots=True)
class InstanceProcess:
    """One ``egretraild`` process and its faces."""

    name: str
    availability_zone: str
    caller_port: int
    peer_port: int
    operator_port: int

    def row(self) -> dict[str, Any]:
        """Return the instance's row of the instance list."""
        return {
            "name": self.name,
            "service": "egretrail",
            "availability_zone": self.availability_zone,
            "endpoint": {"host": "127.0.0.1", "port": self.caller_port},
            "peer_endpoint": {"host": "127.0.0.1", "port": self.peer_port},
        }


@dataclass(slots=True)
class FleetProcesses:
    """Stand-ins of the platform and upstreams, and instances before them."""

    processes: Processes
    session: aiohttp.ClientSession
    store_port: int = 0
    list_port: int = 0
    instances: list[InstanceProcess] = field(default_factory=list)
    #: Ports of each service's upstreams.
    upstreams: dict[str, list[int]] = field(default_factory=dict)

    async def start_platform(self) -> None:
        """Start the store's and the list's stand-ins."""
        self.store_port, self.list_port = free_ports(2)
        await self.processes.start("store", "scaffolding.store", f"--port={self.store_port}")
        await self.processes.start(
            "instance-list", "scaffolding.instance_list", f"--port={self.list_port}"
        )
        await self.until_answers(f"http://127.0.0.1:{self.store_port}/counts")
        await self.until_answers(f"http://127.0.0.1:{self.list_port}/v1/instances")

    async def start_upstreams(
        self, service: str, zones: Sequence[str], count: int, slots: int, service_s: float
    ) -> None:
        """Start a service's upstreams and list them; ``service`` is ``TEAM/NAME``."""
        name = service.partition("/")[2]
        ports = free_ports(count)
        self.upstreams[name] = ports
        await self.processes.start(
            f"upstreams-{name}",
            "scaffolding.upstream",
            f"--service={name}",
            "--ports=" + ",".join(map(str, ports)),
            f"--slots={slots}",
            f"--service-s={service_s}",
        )
        rows = [
            {
                "name": f"{name}-{index}",
                "service": service,
                "availability_zone": zones[index % len(zones)],
                "endpoint": {"host": "127.0.0.1", "port": port},
            }
            for index, port in enumerate(ports)
        ]
        await self.post(self.list_port, "/control", {"rows": rows})

    async def start_instances(self, zones: Sequence[str], count: int) -> None:
        """Start instances, spread over the availability zones, and list them."""
        key_file = self.processes.directory / "fleet.key"
        key_file.write_text("a fleet key for loopback only")
        added = []
        for index in range(len(self.instances), len(self.instances) + count):
            instance = InstanceProcess(f"entry-{index}", zones[index % len(zones)], *free_ports(3))
            added.append(instance)
            settings = self.processes.directory / f"{instance.name}.toml"
            settings.write_text(tomli_w.dumps(self._settings(instance, str(key_file))))
        self.instances += added
        await self.post(
            self.list_port, "/control", {"rows": [instance.row() for instance in added]}
        )
        for instance in added:
            await self.start_instance(instance)

    async def start_instance(self, instance: InstanceProcess) -> None:
        """Start, or start again, one instance whose settings file stands."""
        settings = self.processes.directory / f"{instance.name}.toml"
        await self.processes.start(instance.name, "egretrail.daemon", f"--settings={settings}")

    async def until_ready(self) -> None:
        """Wait until every instance says that it is ready."""
        for instance in self.instances:
            await self.until_answers(f"http://127.0.0.1:{instance.operator_port}/readyz")

    async def until_answers(self, url: str) -> None:
        """Wait until a URL answers with status 200, for at most a minute."""
        async with asyncio.timeout(60):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)

    async def post(self, port: int, path: str, document: Mapping[str, Any]) -> None:
        """Tell a stand-in something."""
        async with self.session.post(f"http://127.0.0.1:{port}{path}", json=document) as response:
            response.raise_for_status()

    async def get(self, port: int, path: str) -> Any:
        """Ask a stand-in something."""
        async with self.session.get(f"http://127.0.0.1:{port}{path}") as response:
            return await response.json()

    def _settings(self, instance: InstanceProcess, key_file: str) -> dict[str, Any]:
        return {
            "fleet_key_file": key_file,
            "instance": {
                "name": instance.name,
                "availability_zone": instance.availability_zone,
            },
            "caller_face": {"host": "127.0.0.1", "port": instance.caller_port},
            "peer_face": {"host": "127.0.0.1", "port": instance.peer_port},
            "operator_face": {"host": "127.0.0.1", "port": instance.operator_port},
            "platform": {
                "store_url": f"http://127.0.0.1:{self.store_port}",
                "instance_list_url": f"http://127.0.0.1:{self.list_port}/v1/instances",
                "list_interval_s": 0.5,
            },
            "callers": {"resolve_ttl_s": 2.0},
            "stop": {"deadline_s": 15.0},
        }


@contextlib.asynccontextmanager
async def fleet_processes(directory: Path) -> AsyncIterator[FleetProcesses]:
    """Hold the processes of one run and end them with it."""
    directory.mkdir(parents=True, exist_ok=True)
    processes = Processes(directory)
    async with aiohttp.ClientSession() as session:
        try:
            yield FleetProcesses(processes, session)
        finally:
            await processes.end_all()
