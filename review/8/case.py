"""Clients send further safe requests on a connection and leave before their time budget."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Backend,
    Fleet,
    KeptClient,
    Record,
    configuration,
    connect,
    encode_request,
    main,
    new_attempt,
    route,
    trouble,
)

#: A share of 0.3 of the clients leave; the others send one request at a time and stay.
LEAVING = 18
STAYING = 42
REQUESTS_EACH = 16
#: With ``TROUBLE=0`` clients wait for their time budget instead of leaving.
LEAVES_AFTER_S = 0.3
WAIT_MS = 4000
WORK_S = 1.5
#: GONE: no request reaches a backend later than this after its client has left, and no backend is
#: still at work then on more than a quarter of those that would have lasted so long.
BOUND_S = 0.5
#: "More than a few".
FEW = 5
AT_WORK_SHARE = 0.25


async def send_and_leave(address: str, record: Record) -> dict[str, float]:
    """Send requests on one connection; return when the client left, by attempt."""
    reader, writer = await connect(address)
    attempts = []
    for number in range(REQUESTS_EACH):
        attempt = new_attempt()
        attempts.append(attempt)
        record.write(f"client sends GET /plan/{number} {attempt}")
        writer.write(encode_request("GET", f"/plan/{number}", attempt, WAIT_MS))
        await writer.drain()
        await asyncio.sleep(0.01)
    if trouble():
        await asyncio.sleep(LEAVES_AFTER_S)
    else:
        end_s = time.monotonic() + WAIT_MS / 1000 + 0.2
        while time.monotonic() < end_s:
            try:
                await asyncio.wait_for(reader.read(1 << 16), max(end_s - time.monotonic(), 0.01))
            except TimeoutError:
                break
    writer.close()
    left_s = time.monotonic()
    record.write(f"client of {attempts[0]} to {attempts[-1]} has closed its connection")
    return dict.fromkeys(attempts, left_s)


async def case(record: Record) -> int:
    """Play the case and return its exit code."""
    fleet = Fleet(3, record)
    backends = [
        Backend("standplan", ZONES[n % 3], record, slots=24, work_s=lambda request: WORK_S)
        for n in range(12)
    ]
    tasks = []
    try:
        await fleet.start(
            configuration(1, [route("r-plan", "/plan/", "standplan", "safe")]), backends
        )
        staying = [KeptClient(fleet.address(n % 3), "/plan/s", record) for n in range(STAYING)]
        tasks = [asyncio.create_task(client.run()) for client in staying]
        await asyncio.sleep(2.0)
        left = await asyncio.gather(
            *(send_and_leave(fleet.address(n % 3), record) for n in range(LEAVING))
        )
        left_s = {attempt: at_s for one in left for attempt, at_s in one.items()}
        await asyncio.sleep(6.0)
        runs = [run for one in backends for run in one.runs if run.attempt in left_s]
        late = [run for run in runs if run.arrived_s > left_s[run.attempt] + BOUND_S]
        lasting = [
            run
            for run in runs
            if run.started_s is not None
            and run.started_s < left_s[run.attempt] < run.started_s + WORK_S - BOUND_S
        ]
        at_work = [
            run
            for run in lasting
            if run.ended_s is None or run.ended_s > left_s[run.attempt] + BOUND_S
        ]
        record.write(f"{len(runs)} requests of {len(left_s)} reached a backend")
        record.write(f"{len(late)} reached one over {BOUND_S} s after their client had left")
        record.write(f"{len(at_work)} of {len(lasting)} that would have lasted were still at work")
        if not runs:
            return NOT_RUN
        is_broken = len(late) > FEW or len(at_work) > AT_WORK_SHARE * len(lasting)
        return BROKEN if is_broken else HELD
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


main(Path(__file__).resolve().parent, case)
