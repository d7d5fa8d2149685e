"""Replays a recorded trace against real processes and prints the results that clients got.

Exit code 0 means that no work ran twice, no work that was reported as not run did run, each
response belongs to its request and is complete, and every service answered requests.
"""

import asyncio
import random
import shutil
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import click
import tomli_w

from scaffolding.caller import Client, WorkResult
from scaffolding.demo_trace import TRACES, DemoTrace, Deployment, Event, ServiceLine, read_trace
from scaffolding.processes import OPERATOR_TOKEN, FleetProcesses, fleet_processes

_OUTPUT = Path("demo-output")
_POLL_INTERVAL_S = 0.05
#: A faulty upstream counts as ejected when it gets at most one request in this time.
_EJECTED_WINDOW_S = 1.0


@dataclass(slots=True)
class ServiceTally:
    """Counts of the results of one service's requests."""

    results: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    #: Responses that belong to another request or are incomplete.
    crossed: int = 0
    #: Final problem types.
    problems: Counter[str] = field(default_factory=Counter)
    ran_twice: int = 0
    ran_though_not_run: int = 0
    ejection_times: list[str] = field(default_factory=list)


class Demo:
    """Replays one trace."""

    def __init__(self, trace: DemoTrace, fleet: FleetProcesses) -> None:
        self._deployment: Deployment = trace.deployment
        self._events = trace.events
        self._fleet = fleet
        self._services = {line.name: line for line in trace.deployment.services}
        self.tallies = {name: ServiceTally() for name in self._services}
        self._results: dict[str, list[WorkResult]] = {name: [] for name in self._services}
        self._clients: dict[str, Client] = {}

    async def run(self) -> None:
        """Start all processes, replay the trace and count the results."""
        await self._start_fleet()
        started_s = asyncio.get_running_loop().time()
        tasks = []
        for number, event in enumerate(self._events):
            await asyncio.sleep(
                max(0.0, started_s + event.at_s - asyncio.get_running_loop().time())
            )
            tasks.append(asyncio.create_task(self._replay_event(event, number)))
        await asyncio.gather(*tasks)
        for name in self._services:
            await self._count_runs(name)

    async def _start_fleet(self) -> None:
        deployment = self._deployment
        fleet = self._fleet
        fleet.teams = (deployment.team,)
        await fleet.start_platform()
        for line in deployment.services:
            await fleet.start_upstreams(
                f"{deployment.team}/{line.name}",
                deployment.availability_zones,
                line.upstreams,
                line.slots,
                line.service_s,
            )
        await fleet.start_instances(deployment.availability_zones, deployment.instances)
        await fleet.wait_until_ready()
        for line in deployment.services:
            await put_settings(fleet, deployment, line)

    async def _replay_event(self, event: Event, number: int) -> None:
        fleet = self._fleet
        match event.kind:
            case "request":
                await self._send_request(event, f"w{number}")
            case "upstream":
                await self._inject_upstream_fault(event)
            case "store":
                await fleet.post(fleet.store_port, "/control", {"out": event.mode == "out"})
            case "kill":
                fleet.processes.kill(fleet.instances[event.index].name)
            case "stop":
                name = fleet.instances[event.index].name
                fleet.processes.signal(name, signal.SIGTERM)
                code = await fleet.processes.wait(name)
                click.echo(f"planned stop of {name}: exit code {code}")

    async def _send_request(self, event: Event, work: str) -> None:
        line = self._services[event.service]
        method = "GET" if line.idempotent else "POST"
        path = f"/{line.name}/items/{event.index}?work={work}"
        body = b"" if line.idempotent else f"item={event.index}".encode()
        result = await self._client(event.caller).send(method, path, work, line.idempotent, body)
        tally = self.tallies[line.name]
        tally.requests += 1
        tally.results[result.kind] += 1
        if result.kind != "answered":
            tally.problems[result.problem] += 1
        self._results[line.name].append(result)
        expected = f" {method} {path} {result.attempt} {len(body)}\n".encode()
        if (
            result.kind == "answered"
            and result.status == 200
            and not result.body.endswith(expected)
        ):
            tally.crossed += 1

    async def _inject_upstream_fault(self, event: Event) -> None:
        port = self._fleet.upstreams[event.service][event.index]
        started_s = time.monotonic()
        control = {"draining": True} if event.mode == "draining" else {"mode": event.mode}
        await self._fleet.post(port, "/control", control)
        if event.mode == "good":
            return
        samples: list[tuple[float, int]] = []
        while time.monotonic() - started_s < 8.0:
            count = (await self._fleet.get(port, "/runs"))["requests"]
            samples.append((time.monotonic() - started_s, count))
            await asyncio.sleep(_POLL_INTERVAL_S)
            if (
                samples[-1][0] > _EJECTED_WINDOW_S
                and count - _count_at(samples, samples[-1][0] - _EJECTED_WINDOW_S) <= 1
            ):
                break
        after_s = max(0.0, samples[-1][0] - _EJECTED_WINDOW_S)
        requests = samples[-1][1] - samples[0][1]
        text = f"{event.mode}: quiet after {after_s:.2f} s, {requests} requests"
        self.tallies[event.service].ejection_times.append(text)

    async def _count_runs(self, name: str) -> None:
        runs: Counter[str] = Counter()
        for port in self._fleet.upstreams[name]:
            runs.update((await self._fleet.get(port, "/runs"))["runs"])
        tally = self.tallies[name]
        by_work = Counter[str]()
        for attempt, count in runs.items():
            by_work[attempt.rpartition(".")[0]] += count
        tally.ran_twice = sum(1 for count in by_work.values() if count > 1)
        for result in self._results[name]:
            tally.ran_though_not_run += sum(1 for attempt in result.not_run if runs[attempt])

    def _client(self, name: str) -> Client:
        if name not in self._clients:
            resolvers = [("127.0.0.1", instance.caller_port) for instance in self._fleet.instances]
            rng = random.Random(name)
            self._clients[name] = Client(self._fleet.session, name, resolvers, rng)
        return self._clients[name]


def _count_at(samples: list[tuple[float, int]], at_s: float) -> int:
    return next((count for when, count in reversed(samples) if when <= at_s), samples[0][1])


async def put_settings(fleet: FleetProcesses, deployment: Deployment, line: ServiceLine) -> None:
    """Write the settings of one service and its route through an instance's operator API."""
    service = {"floor": line.floor, "slots": line.slots, "detection": deployment.detection}
    service["echo_header"] = "X-Request-Id"
    route = {"service": line.name, "path_prefix": f"/{line.name}"}
    port = fleet.instances[0].operator_port
    for kind, document in (("services", service), ("routes", route)):
        url = f"http://127.0.0.1:{port}/v1/settings/{deployment.team}/{kind}/{line.name}?revision=0"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with fleet.session.put(
            url, data=tomli_w.dumps(document), headers=headers
        ) as response:
            if response.status != 200:
                raise click.ClickException(await response.text())
    await fleet.wait_until_in_force(f"/{line.name}/items")


def print_table(deployment: Deployment, tallies: dict[str, ServiceTally]) -> None:
    """Print one line for each service."""
    head = (
        f"{'service':<12}{'requests':>9}{'answered':>9}{'refused':>8}{'ran':>5}{'unknown':>8}"
        f"{'nothing':>8}{'twice':>6}{'not-run ran':>12}{'crossed/cut':>12}  gray upstream"
    )
    click.echo(f"{deployment.team}, {deployment.instances} instances")
    click.echo(head)
    for name, tally in tallies.items():
        results = tally.results
        click.echo(
            f"{name:<12}{tally.requests:>9}{results['answered']:>9}{results['refused']:>8}{results['ran']:>5}"
            f"{results['unknown']:>8}{results['nothing']:>8}{tally.ran_twice:>6}"
            f"{tally.ran_though_not_run:>12}{tally.crossed:>12}  {'; '.join(tally.ejection_times)}"
        )
    for name, tally in tallies.items():
        problems = ", ".join(f"{kind} {count}" for kind, count in sorted(tally.problems.items()))
        click.echo(f"{name}: problems told in the end: {problems or 'none'}")


async def replay(trace: DemoTrace) -> dict[str, ServiceTally]:
    """Replay one trace; return the counts of each service."""
    async with fleet_processes(_OUTPUT) as fleet:
        demo = Demo(trace, fleet)
        await demo.run()
        counts = await fleet.get(fleet.store_port, "/counts")
        click.echo("store calls: " + ", ".join(f"{k}={v}" for k, v in sorted(counts.items())))
        return demo.tallies


@click.command()
@click.option("--trace", "name", default="laattanayte", help="A trace in traces/demo.")
def main(name: str) -> None:
    """Replay a demo trace and check the results that clients got."""
    shutil.rmtree(_OUTPUT, ignore_errors=True)
    trace = read_trace(TRACES / f"{name}.jsonl")
    tallies = asyncio.run(replay(trace))
    print_table(trace.deployment, tallies)
    violations = sum(t.ran_twice + t.ran_though_not_run + t.crossed for t in tallies.values())
    unanswered = sum(1 for t in tallies.values() if not t.results["answered"])
    click.echo("demo: " + ("promises broken" if violations or unanswered else "every promise held"))
    sys.exit(1 if violations or unanswered else 0)


if __name__ == "__main__":
    main()
