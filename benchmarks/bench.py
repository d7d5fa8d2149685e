"""Compares the latency and CPU time of an instance with those of a minimal pass-through proxy.

Three egretraild processes and one pass-through proxy serve the same fast upstreams. Requests are
sent at a fixed rate for a fixed time over keep-alive connections, to one process after the other,
in several rounds.
"""

import asyncio
import itertools
import os
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import click
import numpy as np

from scaffolding.demo import put_settings
from scaffolding.demo_trace import Deployment, ServiceLine
from scaffolding.processes import FleetProcesses, fleet_processes

_OUTPUT = Path("demo-output/bench")
_LINE = ServiceLine("shop", 6, 50, 0.0, 4, 1.0, True)
_DEPLOYMENT = Deployment("bench", ("zone-a", "zone-b", "zone-c"), 3, "patient", (_LINE,))
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The results of one load on one process."""

    name: str
    requests: int
    failed: int
    p50_ms: float
    p99_ms: float
    cpu_ms_per_request: float


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


class Bench:
    """Sends load to one target at a time."""

    def __init__(self, fleet: FleetProcesses, rate_per_s: float, length_s: float) -> None:
        self._fleet = fleet
        self._rate_per_s = rate_per_s
        self._length_s = length_s
        self._key_numbers = itertools.count()

    async def load(self, name: str, port: int, pid: int, keyed: bool = False) -> LoadResult:
        """Send requests at a fixed rate; return their latency and the process's CPU time."""
        durations: list[float] = []
        failed = 0
        prefix = await self._key_prefix(port) if keyed else ""
        loop = asyncio.get_running_loop()

        async def send(session: aiohttp.ClientSession, number: int) -> None:
            nonlocal failed
            started_s = loop.time()
            headers = {"Idempotency-Key": f"{prefix}.n{next(self._key_numbers)}"} if keyed else {}
            method = "POST" if keyed else "GET"
            url = f"http://127.0.0.1:{port}/shop/items/{number}"
            async with session.request(method, url, headers=headers) as response:
                await response.read()
                failed += response.status != 200
            durations.append(loop.time() - started_s)

        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=64)) as session:
            await asyncio.gather(*(send(session, -n - 1) for n in range(32)))
            durations.clear()
            before_s = _cpu_s(pid)
            begun_s = loop.time()
            tasks = []
            for number in range(int(self._rate_per_s * self._length_s)):
                await asyncio.sleep(max(0.0, begun_s + number / self._rate_per_s - loop.time()))
                tasks.append(asyncio.create_task(send(session, number)))
            await asyncio.gather(*tasks)
            spent_s = _cpu_s(pid) - before_s
        p50, p99 = np.percentile(durations, [50, 99])
        return LoadResult(
            name,
            len(durations),
            failed,
            float(p50) * 1000,
            float(p99) * 1000,
            spent_s * 1000 / len(durations),
        )

    async def _key_prefix(self, port: int) -> str:
        path = "/.well-known/egretrail/resolve?path=/shop/items"
        resolved = await self._fleet.get(port, path)
        return str(next(a["key_prefix"] for a in resolved["addresses"] if a["port"] == port))


async def _run(rate_per_s: float, length_s: float, turns: int) -> list[LoadResult]:
    async with fleet_processes(_OUTPUT) as fleet:
        fleet.teams = (_DEPLOYMENT.team,)
        await fleet.start_platform()
        await fleet.start_upstreams(
            f"{_DEPLOYMENT.team}/{_LINE.name}",
            _DEPLOYMENT.availability_zones,
            _LINE.upstreams,
            _LINE.slots,
            _LINE.service_s,
        )
        await fleet.start_instances(_DEPLOYMENT.availability_zones, _DEPLOYMENT.instances)
        await fleet.wait_until_ready()
        await put_settings(fleet, _DEPLOYMENT, _LINE)
        upstream_port = fleet.upstreams[_LINE.name][0]
        await fleet.processes.start(
            "pass-through", "benchmarks.pass_through", f"--to={upstream_port}"
        )
        through_port = (await fleet.processes.ports("pass-through"))["port"]
        await fleet.wait_until_ok(f"http://127.0.0.1:{through_port}/shop/items/0")
        running = fleet.processes.running
        upstreams_pid = running[f"upstreams-{_LINE.name}"].pid
        through_pid = running["pass-through"].pid
        instance = fleet.instances[0]
        instance_pid = running[instance.name].pid
        bench = Bench(fleet, rate_per_s, length_s)
        results = []
        for _ in range(turns):
            results.append(await bench.load("upstream itself", upstream_port, upstreams_pid))
            results.append(await bench.load("pass-through", through_port, through_pid))
            results.append(await bench.load("egretrail GET", instance.caller_port, instance_pid))
            results.append(
                await bench.load("egretrail POST", instance.caller_port, instance_pid, keyed=True)
            )
        return results


@click.command()
@click.option("--rate", "rate_per_s", default=300.0, help="Requests a second.")
@click.option("--length", "length_s", default=8.0, help="Seconds for each load.")
@click.option("--turns", default=3, help="Times that each load is repeated.")
def main(rate_per_s: float, length_s: float, turns: int) -> None:
    """Measure and print one line for each load."""
    results = asyncio.run(_run(rate_per_s, length_s, turns))
    click.echo(f"{'target':<18}{'requests':>9}{'failed':>7}{'p50 ms':>8}{'p99 ms':>8}{'CPU ms':>8}")
    for result in results:
        click.echo(
            f"{result.name:<18}{result.requests:>9}{result.failed:>7}{result.p50_ms:>8.2f}{result.p99_ms:>8.2f}"
            f"{result.cpu_ms_per_request:>8.2f}"
        )


if __name__ == "__main__":
    main()
