"""Added latency and processor time of an instance against a bare pass-through, in the same run.

Three egretraild processes and one pass-through stand before the same fast upstreams. A load of
bounded rate and length is sent to one process at a time, in turns, with keep-alive connections.
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
class Figures:
    """One load on one process."""

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
    """One run over all targets."""

    def __init__(self, fleet: FleetProcesses, rate_per_s: float, length_s: float) -> None:
        self._fleet = fleet
        self._rate_per_s = rate_per_s
        self._length_s = length_s
        self._serial = itertools.count()

    async def load(self, name: str, port: int, pid: int, keyed: bool = False) -> Figures:
        """Send requests at a steady rate and count what they cost."""
        durations: list[float] = []
        failed = 0
        prefix = await self._prefix(port) if keyed else ""
        loop = asyncio.get_running_loop()

        async def one(session: aiohttp.ClientSession, number: int) -> None:
            nonlocal failed
            started_s = loop.time()
            headers = {"Idempotency-Key": f"{prefix}.n{next(self._serial)}"} if keyed else {}
            method = "POST" if keyed else "GET"
            url = f"http://127.0.0.1:{port}/shop/items/{number}"
            async with session.request(method, url, headers=headers) as response:
                await response.read()
                failed += response.status != 200
            durations.append(loop.time() - started_s)

        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=64)) as session:
            await asyncio.gather(*(one(session, -n - 1) for n in range(32)))
            durations.clear()
            before_s = _cpu_s(pid)
            begun_s = loop.time()
            tasks = []
            for number in range(int(self._rate_per_s * self._length_s)):
                await asyncio.sleep(max(0.0, begun_s + number / self._rate_per_s - loop.time()))
                tasks.append(asyncio.create_task(one(session, number)))
            await asyncio.gather(*tasks)
            spent_s = _cpu_s(pid) - before_s
        p50, p99 = np.percentile(durations, [50, 99])
        return Figures(
            name,
            len(durations),
            failed,
            float(p50) * 1000,
            float(p99) * 1000,
            spent_s * 1000 / len(durations),
        )

    async def _prefix(self, port: int) -> str:
        path = "/.well-known/egretrail/resolve?path=/shop/items"
        answer = await self._fleet.get(port, path)
        return str(next(a["key_prefix"] for a in answer["addresses"] if a["port"] == port))


async def _run(rate_per_s: float, length_s: float, turns: int) -> list[Figures]:
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
        await fleet.until_ready()
        await put_settings(fleet, _DEPLOYMENT, _LINE)
        upstream_port = fleet.upstreams[_LINE.name][0]
        await fleet.processes.start(
            "pass-through", "benchmarks.pass_through", f"--to={upstream_port}"
        )
        through_port = (await fleet.processes.ports("pass-through"))["port"]
        await fleet.until_answers(f"http://127.0.0.1:{through_port}/shop/items/0")
        running = fleet.processes.running
        upstreams_pid = running[f"upstreams-{_LINE.name}"].pid
        through_pid = running["pass-through"].pid
        instance = fleet.instances[0]
        instance_pid = running[instance.name].pid
        bench = Bench(fleet, rate_per_s, length_s)
        found = []
        for _ in range(turns):
            found.append(await bench.load("upstream itself", upstream_port, upstreams_pid))
            found.append(await bench.load("pass-through", through_port, through_pid))
            found.append(await bench.load("egretrail GET", instance.caller_port, instance_pid))
            found.append(
                await bench.load("egretrail POST", instance.caller_port, instance_pid, keyed=True)
            )
        return found


@click.command()
@click.option("--rate", "rate_per_s", default=300.0, help="Requests a second.")
@click.option("--length", "length_s", default=8.0, help="Seconds for each load.")
@click.option("--turns", default=3, help="Times that each load is repeated.")
def main(rate_per_s: float, length_s: float, turns: int) -> None:
    """Measure and print one line for each load."""
    found = asyncio.run(_run(rate_per_s, length_s, turns))
    click.echo(f"{'target':<18}{'requests':>9}{'failed':>7}{'p50 ms':>8}{'p99 ms':>8}{'CPU ms':>8}")
    for f in found:
        click.echo(
            f"{f.name:<18}{f.requests:>9}{f.failed:>7}{f.p50_ms:>8.2f}{f.p99_ms:>8.2f}"
            f"{f.cpu_ms_per_request:>8.2f}"
        )


if __name__ == "__main__":
    main()
