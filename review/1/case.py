"""Twelve machines, half of which lose power; at that moment the operator moves a route.

Lost are the hub of each of the three zones, which reads the store for the others, and its
successor. The machines that stay up are in touch all the while, and so must handle requests by the
new version from two seconds after its confirmation on. With ``TROUBLE=0`` no machine loses power.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

from standins.backend import Backend, Run
from standins.client import Attempt, send
from standins.deployment import ROOT, CannotRun, Deployment, config, route
from standins.record import Record

NODES = 12
#: The machines that each zone loses, the first ones in the order of its hubs.
LOST_IN_ZONE = 2
SETTLE_S = 2.0
STEADY_S = 5.0
DARK_S = 3.5
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
WATCHED_S = 5.0
INTERVAL_S = 0.025
HOST = "shop.example"


class Case:
    """The deployment and what was seen."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record, NODES)
        self.runs: list[Run] = []
        self.attempts: list[Attempt] = []
        #: The machines that lose power, and the others.
        self.lost: list[int] = []
        self.staying: list[int] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def choose_lost(self) -> None:
        """Choose the hub of each zone and its successors, in the order that the project defines."""
        sys.path.append(str(ROOT / "target" / "deps"))
        from egretrail.identity import rendezvous_order

        deployment = self.deployment
        for zone in sorted({deployment.zone(node) for node in range(NODES)}):
            ips = [ip for node, ip in enumerate(deployment.ips) if deployment.zone(node) == zone]
            order = rendezvous_order(f"hub {zone}", ips)
            self.lost += [deployment.ips.index(ip) for ip in order[:LOST_IN_ZONE]]
        self.staying = [node for node in range(NODES) if node not in self.lost]
        self.record.note(f"lost: {sorted(self.lost)}; staying: {self.staying}")

    async def backend(self, service: str, zone: int) -> Backend:
        """Start a backend of a service."""
        deployment = self.deployment
        one = Backend(
            service, deployment.zone(zone), deployment.store, self.record, self.runs, work_s=0.08
        )
        await one.start(deployment.backend_ip, deployment.backend_port())
        self.record.line("backend", id=one.id, service=service)
        return one

    async def send_for(self, length_s: float) -> None:
        """Send orders at a steady rate to the machines that stay up, one after the other."""
        end_s = self.record.now_s() + length_s
        sent = 0
        while self.record.now_s() < end_s:
            sent += 1
            front = self.deployment.front(self.staying[sent % len(self.staying)])
            task = asyncio.create_task(self._send(front))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    async def wait(self) -> None:
        """Wait for the attempts that are under way."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _send(self, front: str) -> None:
        self.attempts.append(await send(self.record, front, HOST, "/release/order"))


async def play(record: Record, with_trouble: bool) -> int:
    """Play the case and return its exit code."""
    case = Case(record)
    deployment = case.deployment
    backends: list[Backend] = []
    try:
        deployment.store.write("op/config", config(7, [route("/release/", "depot-old")]))
        for zone in range(3):
            backends.append(await case.backend("depot-old", zone))
            backends.append(await case.backend("depot-new", zone))
        await deployment.start()
        await asyncio.sleep(SETTLE_S)
        case.choose_lost()
        await case.send_for(STEADY_S)
        if with_trouble:
            for node in case.lost:
                deployment.signal(node, signal.SIGKILL)
        leaving = backends[0]
        deployment.store.write("op/config", config(12, [route("/release/", "depot-new")]))
        moved_s = record.now_s()
        record.note("the store confirms version 0000000c: /release/ moves to depot-new")
        leaving.report_draining()
        drained_s = record.now_s()
        record.note(f"the store confirms that {leaving.id} (depot-old) is draining")
        await case.send_for(DARK_S)
        if with_trouble:
            for node in case.lost:
                await deployment.start_node(node)
        await case.send_for(WATCHED_S - DARK_S)
        await case.wait()
        return judge(case, backends, leaving, moved_s, drained_s)
    finally:
        for backend in backends:
            backend.exit()
        await deployment.stop()


def judge(
    case: Case, backends: list[Backend], leaving: Backend, moved_s: float, drained_s: float
) -> int:
    """Compare what the backends saw with the bounds."""
    record = case.record
    old = {backend.id for backend in backends if backend.service == "depot-old"}
    sent = {attempt.id: attempt for attempt in case.attempts}
    if not all(case.deployment.is_running(node) for node in case.staying):
        raise CannotRun("a machine that should stay up has ended")
    if sum(attempt.status == 200 for attempt in case.attempts) < len(case.attempts) * 0.8:
        raise CannotRun("fewer than four fifths of the orders were served")
    late = [
        run
        for run in case.runs
        if run.backend in old
        and run.outcome != "rejected"
        and sent[run.attempt].sent_s > moved_s + CONFIG_APPLY_S
    ]
    drain_late = [
        run
        for run in case.runs
        if run.backend == leaving.id
        and run.outcome != "rejected"
        and run.arrived_s > drained_s + DRAIN_S
    ]
    for run in late:
        after_s = round(sent[run.attempt].sent_s - moved_s, 3)
        record.line("CONFIG", attempt=run.attempt, run_by=run.backend, sent_after_s=after_s)
    for run in drain_late:
        after_s = round(run.arrived_s - drained_s, 3)
        record.line("DRAIN", attempt=run.attempt, arrived_after_s=after_s)
    last_s = max(sent[run.attempt].sent_s - moved_s for run in case.runs if run.backend in old)
    record.note(
        f"{len(case.attempts)} orders; the last that the old service ran was sent {last_s:.2f} s"
        f" after the confirmation (bound {CONFIG_APPLY_S} s)"
    )
    record.note(f"CONFIG: {len(late)} orders sent later than the bound were run by the old service")
    record.note(f"DRAIN, beside: {len(drain_late)} orders reached the draining backend too late")
    return 1 if late else 0


async def main() -> int:
    """Return the exit code."""
    record = Record(Path(__file__).parent / "record.txt")
    try:
        return await play(record, os.environ.get("TROUBLE") != "0")
    except CannotRun as error:
        record.note(f"cannot run: {error}")
        return 2
    finally:
        record.close()


sys.exit(asyncio.run(main()))
