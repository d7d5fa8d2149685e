"""Two of a service's three backends leave at the same moment, without reporting it.

Their entries are removed, and they serve on for the drain time and a little longer, as the pages
say. With ``TROUBLE=0`` one of them leaves, and the other one four seconds later.
"""

import asyncio
import os
import sys
from pathlib import Path

from standins.backend import Backend, Run
from standins.client import Attempt, send
from standins.deployment import CannotRun, Deployment, config, route
from standins.record import Record

NODES = 6
STEADY_S = 6.0
DRAIN_S = 2.0
#: How much longer than the drain time a leaving backend serves.
A_LITTLE_LONGER_S = 0.15
APART_S = 4.0
INTERVAL_S = 0.02
HOST = "shop.example"


class Case:
    """The deployment and what was seen."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record, NODES)
        self.runs: list[Run] = []
        self.attempts: list[Attempt] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def send_for(self, length_s: float) -> None:
        """Send orders at a steady rate, to one machine after the other."""
        end_s = self.record.now_s() + length_s
        node = 0
        while self.record.now_s() < end_s:
            node = (node + 1) % NODES
            task = asyncio.create_task(self._send(self.deployment.front(node)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(INTERVAL_S)

    async def wait(self) -> None:
        """Wait for the attempts that are under way."""
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _send(self, front: str) -> None:
        self.attempts.append(await send(self.record, front, HOST, "/invoice/new"))


async def play(record: Record, with_trouble: bool) -> int:
    """Play the case and return its exit code."""
    case = Case(record)
    deployment = case.deployment
    backends: list[Backend] = []
    left_s: dict[str, float] = {}
    loop = asyncio.get_running_loop()

    def leave(backend: Backend) -> None:
        backend.unlist()
        left_s[backend.id] = record.now_s()
        record.note(f"the store removes {backend.id}, which leaves without a report")
        loop.call_later(DRAIN_S + A_LITTLE_LONGER_S, end, backend)

    def end(backend: Backend) -> None:
        record.note(f"{backend.id} exits")
        backend.exit()

    try:
        deployment.store.write("op/config", config(7, [route("/invoice/", "billing")]))
        for zone in range(3):
            one = Backend(
                "billing",
                deployment.zone(zone),
                deployment.store,
                record,
                case.runs,
                work_s=0.1,
                slots=8,
            )
            await one.start(deployment.backend_ip, deployment.backend_port())
            backends.append(one)
        await deployment.start()
        await case.send_for(STEADY_S)
        leave(backends[0])
        if not with_trouble:
            await case.send_for(APART_S)
        leave(backends[1])
        await case.send_for(APART_S)
        await case.wait()
        return judge(case, left_s)
    finally:
        for backend in backends:
            backend.exit()
        await deployment.stop()


def judge(case: Case, left_s: dict[str, float]) -> int:
    """Compare what reached the backends that left with the bound."""
    record = case.record
    if sum(attempt.status == 200 for attempt in case.attempts) < len(case.attempts) * 0.8:
        raise CannotRun("fewer than four fifths of the orders were served")
    late = [
        run
        for run in case.runs
        if run.outcome != "rejected"
        and run.backend in left_s
        and run.arrived_s > left_s[run.backend] + DRAIN_S
    ]
    statuses = {attempt.id: attempt.status for attempt in case.attempts}
    cut = [run for run in late if run.outcome == "cut"]
    for run in late:
        after_s = round(run.arrived_s - left_s[run.backend], 3)
        status = statuses[run.attempt]
        record.line("DRAIN", attempt=run.attempt, arrived_after_s=after_s, status=status)
    for backend, at_s in left_s.items():
        arrived = [run.arrived_s - at_s for run in case.runs if run.backend == backend]
        record.note(f"the last order reached {backend} {max(arrived):.2f} s after its removal")
    record.note(f"{len(case.attempts)} orders; bound {DRAIN_S} s")
    record.note(
        f"DRAIN: {len(late)} orders reached a backend later than the bound; {len(cut)} of"
        " them were cut off as it exited, and ended with statuses "
        f"{sorted({statuses[run.attempt] for run in cut})}"
    )
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
