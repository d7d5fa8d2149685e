"""Two large uploads to backends that read slowly, beside clients of other routes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2 import (
    BROKEN,
    HELD,
    MEMORY_MB,
    NOT_RUN,
    ZONES,
    Backend,
    Fleet,
    KeptClient,
    Record,
    configuration,
    connect,
    count_lost,
    encode_request,
    main,
    new_attempt,
    read_message,
    route,
    trouble,
)

#: Under half of ``maxBodyBytes``.
BODY_BYTES = 36_000_000
UPLOADS = 2
#: How fast the backends of the uploads read with the disruption on.
SLOW_BYTES_PER_S = 2_000_000
WORK_S = 0.4
#: LOST: more than this many break the rule.
LOST_MAX = 3


async def upload(address: str, record: Record) -> None:
    """Send one upload on a connection of its own and read the answer."""
    reader, writer = await connect(address)
    attempt = new_attempt()
    record.write(f"client sends POST /plan/ {attempt} with {BODY_BYTES} bytes")
    try:
        writer.write(encode_request("POST", "/plan/upload", attempt, 8000, length=BODY_BYTES))
        piece = bytes(1 << 16)
        left = BODY_BYTES
        while left > 0:
            writer.write(piece[:left])
            left -= len(piece)
            await writer.drain()
        answer = await asyncio.wait_for(read_message(reader), 9.0)
        record.write(f"client got {answer.status} for {attempt}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write(f"the upload {attempt} ended without an answer: {error!r}")
    finally:
        writer.close()


async def case(record: Record) -> int:
    """Play the case and return its exit code."""
    fleet = Fleet(3, record)
    routes = [
        route("r-plan", "/plan/", "standplan", "safe", timeout="8000ms"),
        route("r-release", "/release/", "kholenh", "unsafe"),
    ]
    rate = SLOW_BYTES_PER_S if trouble() else None
    uploads = [
        Backend("standplan", ZONES[n % 3], record, work_s=lambda request: WORK_S) for n in range(6)
    ]
    sound = [
        Backend("kholenh", ZONES[n % 3], record, slots=8, work_s=lambda request: WORK_S)
        for n in range(6)
    ]
    tasks = []
    try:
        await fleet.start(configuration(1, routes), [*uploads, *sound])
        # The gateways learn the usual duration of the work.
        early = [KeptClient(fleet.address(n % 3), "/plan/1", record) for n in range(6)]
        tasks = [asyncio.create_task(client.run()) for client in early]
        await asyncio.sleep(5.0)
        for task in tasks:
            task.cancel()
        for backend in uploads:
            backend.read_per_s = rate
        clients = [KeptClient(fleet.address(0), f"/release/{n}", record) for n in range(12)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(3.0)
        fleet.memory_peak_kb = 0
        await asyncio.gather(*(upload(fleet.address(0), record) for _ in range(UPLOADS)))
        await asyncio.sleep(4.0)
        served = sum(sent.status == 200 for client in clients for sent in client.sent)
        lost = count_lost(clients, sound)
        record.write(f"peak {fleet.memory_peak_kb} kB of {MEMORY_MB * 1024} kB")
        record.write(f"{served} served; {lost} passed on and never answered; at most {LOST_MAX}")
        if not served:
            return NOT_RUN
        return BROKEN if fleet.own_ends and lost > LOST_MAX else HELD
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


main(Path(__file__).resolve().parent, case)
