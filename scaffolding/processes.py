"""Starts and stops the processes of a demo or a test, each on free ports."""

import asyncio
import contextlib
import re
import signal
import sys
import urllib.parse
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import tomli_w

#: The operator token of every team; used on loopback only.
OPERATOR_TOKEN = "a token for loopback only"
#: The line that a process prints once it listens, with its ports.
_LISTENING_LINE = re.compile(rb"listening .*?((?:\w+=\d+ ?)+)")


@dataclass(slots=True)
class Processes:
    """The processes of one run."""

    directory: Path
    running: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)

    async def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module as a process, with its output in ``NAME.log``."""
        with (self.directory / f"{name}.log").open("wb") as log:
            self.running[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", module, *arguments, stdout=log, stderr=log
            )

    async def ports(self, name: str) -> dict[str, int]:
        """Wait until a process has printed that it listens; return its ports by name.

        Raises ``ChildProcessError`` if the process ended, and ``TimeoutError`` after 30 s.
        """
        log = self.directory / f"{name}.log"
        async with asyncio.timeout(30):
            while True:
                complete_lines, _, _ = log.read_bytes().rpartition(b"\n")
                matches = _LISTENING_LINE.findall(complete_lines)
                if self.running[name].returncode is not None:
                    raise ChildProcessError(f"{name} ended: {log.read_text()[-2000:]}")
                if matches:
                    pairs = (pair.split("=") for pair in matches[-1].decode().split())
                    return {key: int(value) for key, value in pairs}
                await asyncio.sleep(0.02)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.running[name].kill()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.running[name].send_signal(number)

    async def wait(self, name: str) -> int:
        """Wait for a process to end; return its exit code."""
        return await self.running[name].wait()

    async def kill_all(self) -> None:
        """Kill every process that still runs."""
        for process in self.running.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        await asyncio.gather(*(process.wait() for process in self.running.values()))


@dataclass(frozen=True, slots=True)
class InstanceProcess:
    """One ``egretraild`` process and its ports."""

    name: str
    availability_zone: str
    caller_port: int = 0
    peer_port: int = 0
    operator_port: int = 0

    def row(self) -> dict[str, Any]:
        """Return the instance's row for the instance list."""
        return {
            "name": self.name,
            "service": "egretrail",
            "availability_zone": self.availability_zone,
            "endpoint": {"host": "127.0.0.1", "port": self.caller_port},
            "peer_endpoint": {"host": "127.0.0.1", "port": self.peer_port},
        }


@dataclass(slots=True)
class FleetProcesses:
    """Instances, with stand-ins for the platform and the upstreams."""

    processes: Processes
    session: aiohttp.ClientSession
    store_port: int = 0
    list_port: int = 0
    instances: list[InstanceProcess] = field(default_factory=list)
    #: Teams that may write settings, each with the same token.
    teams: Sequence[str] = ("team",)
    #: Ports of each service's upstreams.
    upstreams: dict[str, list[int]] = field(default_factory=dict)

    async def start_platform(self) -> None:
        """Start the stand-ins for the store and the instance list."""
        await self.processes.start("store", "scaffolding.store")
        await self.processes.start("instance-list", "scaffolding.instance_list")
        self.store_port = (await self.processes.ports("store"))["port"]
        self.list_port = (await self.processes.ports("instance-list"))["port"]

    async def start_upstreams(
        self, service: str, zones: Sequence[str], count: int, slots: int, service_s: float
    ) -> None:
        """Start a service's upstreams and list them; ``service`` is ``TEAM/NAME``."""
        name = service.partition("/")[2]
        await self.processes.start(
            f"upstreams-{name}",
            "scaffolding.upstream",
            f"--service={name}",
            f"--count={count}",
            f"--slots={slots}",
            f"--service-s={service_s}",
        )
        ports_by_name = await self.processes.ports(f"upstreams-{name}")
        ports = [ports_by_name[f"port{index}"] for index in range(count)]
        self.upstreams[name] = ports
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
        tokens_file = self.processes.directory / "tokens.toml"
        tokens_file.write_text("".join(f'{team} = "{OPERATOR_TOKEN}"\n' for team in self.teams))
        new_indexes = range(len(self.instances), len(self.instances) + count)
        for index in new_indexes:
            name, zone = f"entry-{index}", zones[index % len(zones)]
            settings = self.processes.directory / f"{name}.toml"
            settings.write_text(tomli_w.dumps(self._settings(name, zone, str(key_file))))
            self.instances.append(InstanceProcess(name, zone))
            await self.start_instance(index)
        for index in new_indexes:
            await self.list_instance(index)

    async def start_instance(self, index: int) -> None:
        """Start, or restart, an instance whose settings file exists."""
        name = self.instances[index].name
        settings = self.processes.directory / f"{name}.toml"
        await self.processes.start(name, "egretrail.daemon", f"--settings={settings}")

    async def list_instance(self, index: int) -> None:
        """Wait until an instance listens, and add it to the instance list."""
        name, zone = self.instances[index].name, self.instances[index].availability_zone
        ports = await self.processes.ports(name)
        self.instances[index] = InstanceProcess(
            name, zone, ports["callers"], ports["peers"], ports["operators"]
        )
        await self.post(self.list_port, "/control", {"rows": [self.instances[index].row()]})

    async def wait_until_ready(self) -> None:
        """Wait until every instance reports that it is ready."""
        for instance in self.instances:
            await self.wait_until_ok(f"http://127.0.0.1:{instance.operator_port}/readyz")

    async def wait_until_in_force(self, path: str) -> None:
        """Wait until every instance resolves a path to addresses that all have a key prefix."""
        query = urllib.parse.urlencode({"path": path})
        for instance in self.instances:
            resolve = f"/.well-known/egretrail/resolve?{query}"
            await self.wait_until_ok(f"http://127.0.0.1:{instance.caller_port}{resolve}")
            while True:
                addresses = (await self.get(instance.caller_port, resolve))["addresses"]
                if all(address["key_prefix"] for address in addresses):
                    break
                await asyncio.sleep(0.1)

    async def wait_until_ok(self, url: str) -> None:
        """Wait until a URL responds with status 200, for at most 30 s."""
        async with asyncio.timeout(30):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.05)

    async def post(self, port: int, path: str, document: Mapping[str, Any]) -> None:
        """Post a JSON document to a stand-in."""
        async with self.session.post(f"http://127.0.0.1:{port}{path}", json=document) as response:
            response.raise_for_status()

    async def get(self, port: int, path: str) -> Any:
        """Return the JSON document at a path of a stand-in or an instance."""
        async with self.session.get(f"http://127.0.0.1:{port}{path}") as response:
            return await response.json()

    def _settings(self, name: str, zone: str, key_file: str) -> dict[str, Any]:
        any_port = {"host": "127.0.0.1", "port": 0}
        return {
            "fleet_key_file": key_file,
            "operator_tokens_file": str(self.processes.directory / "tokens.toml"),
            "instance": {"name": name, "availability_zone": zone},
            "caller_face": any_port,
            "peer_face": any_port,
            "operator_face": any_port,
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
    """Yield the processes of one run and kill them at its end."""
    directory.mkdir(parents=True, exist_ok=True)
    processes = Processes(directory)
    async with aiohttp.ClientSession() as session:
        try:
            yield FleetProcesses(processes, session)
        finally:
            await processes.kill_all()
