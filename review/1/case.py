"""Nine machines, eight of which lose power; at that moment the operator moves a route.

The machine that stays up is in touch all the while, and so must handle requests by the new version
from two seconds after its confirmation on. It is not the hub of its zone: the hubs, which read the
store for the others, are among the machines that are lost. With ``TROUBLE=0`` no machine loses
power.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path

from standins.backend import Backend, Run
from standins.client import Attempt, send
from standins.deployment import CannotRun, Deployment, config, route
from standins.record import Record

NODES = 9
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
        #: The machine that stays up.
        self.survivor = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def choose_survivor(self) -> None:
        """Choose a machine that does no duty for others, by its log."""
        logs = [self.deployment.log(node) for node in range(NODES)]
        idle = [
            node
            for node, log in enumerate(logs)
            if log.rfind("event=hub_started") <= log.rfind("event=hub_stopped")
        ]
        if len(idle) != NODES - 3:
            raise CannotRun(f"expected three hubs, found {NODES - len(idle)}")
        self.survivor = idle[0]
        self.record.note(f"the machine that stays up: {self.survivor}")

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
        """Send orders at a steady rate to the machine that stays up."""
        end_s = self.record.now_s() + length_s
        while self.record.now_s() < end_s:
            task = asyncio.create_task(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    async def wait(self) -> None:
        """Wait for the attempts that are under way."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _send(self) -> None:
        front = self.deployment.front(self.survivor)
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
        case.choose_survivor()
        await case.send_for(STEADY_S)
        others = [node for node in range(NODES) if node != case.survivor]
        if with_trouble:
            for node in others:
                deployment.signal(node, signal.SIGKILL)
        zone = deployment.zone(case.survivor)
        leaving = next(one for one in backends if (one.service, one.zone) == ("depot-old", zone))
        deployment.store.write("op/config", config(12, [route("/release/", "depot-new")]))
        moved_s = record.now_s()
        record.note("the store confirms version 0000000c: /release/ moves to depot-new")
        leaving.report_draining()
        drained_s = record.now_s()
        record.note(f"the store confirms that {leaving.id} (depot-old) is draining")
        await case.send_for(DARK_S)
        if with_trouble:
            for node in others:
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
    if not case.deployment.is_running(case.survivor):
        raise CannotRun("the machine that should stay up has ended")
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
