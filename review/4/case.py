"""A request that crashes the backends that run it comes again and again, at any gateway."""

import asyncio
import random
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
    Message,
    Record,
    configuration,
    connect,
    count_broken_off,
    encode_request,
    main,
    new_attempt,
    read_message,
    route,
    trouble,
)

BACKENDS = 14
#: The crashing request comes once in this time, for this long.
COMES_EVERY_S = 1.0
COMES_FOR_S = 80.0
CRASHING = "/release/17"
#: A crashed backend is back, with a new id, after this time.
BACK_AFTER_S = 3.0
#: The store removes the entry of a silent backend after three intervals of 1.5 s.
ENTRY_REMOVED_S = 4.5
#: The bound ``stable``.
STABLE_S = 3.0
#: BUDGET: more retries than this break the rule.
RETRIES_MAX = 3


class FragileBackend(Backend):
    """A backend that the request crashes as it begins to run it."""

    crashed_s: float | None = None
    crashed_by = ""

    async def _work(self, request: Message, run: object) -> None:
        if request.target == CRASHING:
            self.crashed_s, self.crashed_by = time.monotonic(), run.attempt
            self.crash()
        await super()._work(request, run)


async def case(record: Record) -> int:
    """Play the case and return its exit code."""
    fleet = Fleet(3, record)
    crashes: list[FragileBackend] = []
    tasks: list[asyncio.Task[None]] = []

    def new_backend(number: int) -> FragileBackend:
        backend = FragileBackend(
            "kholenh", ZONES[number % 3], record, slots=3, work_s=lambda request: 0.24
        )
        backend.on_crash = lambda: tasks.append(asyncio.create_task(replace(backend, number)))
        return backend

    async def replace(backend: FragileBackend, number: int) -> None:
        record.write(f"backend {backend.id} crashed")
        crashes.append(backend)
        await asyncio.sleep(BACK_AFTER_S)
        await fleet.add_backend(new_backend(number))
        await asyncio.sleep(ENTRY_REMOVED_S - BACK_AFTER_S)
        fleet.store.remove(f"servers/{backend.id}")

    try:
        await fleet.start(
            configuration(1, [route("r-release", "/release/", "kholenh", "unsafe")]),
            [new_backend(number) for number in range(BACKENDS)],
        )
        clients = [KeptClient(fleet.address(n % 3), f"/release/c{n}", record) for n in range(36)]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(2.0)
        rng = random.Random(1)
        end_s = time.monotonic() + COMES_FOR_S
        while time.monotonic() < end_s:
            reader, writer = await connect(fleet.address(rng.randrange(3)))
            attempt = new_attempt()
            target = CRASHING if trouble() else "/release/18"
            record.write(f"client sends POST {target} {attempt}")
            writer.write(encode_request("POST", target, attempt, 4000))
            try:
                answer = await asyncio.wait_for(read_message(reader), 5.0)
                record.write(f"client got {answer.status} for {attempt}")
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                record.write(f"no answer to {attempt}: {error!r}")
            writer.close()
            await asyncio.sleep(COMES_EVERY_S)
        times = sorted(backend.crashed_s for backend in crashes if backend.crashed_s is not None)
        late = [at_s for at_s in times[3:] if at_s > times[2] + STABLE_S]
        broken_off = count_broken_off(clients, fleet.backends)
        record.write(f"{len(times)} crashes, at {[round(at_s - times[0], 1) for at_s in times]}")
        record.write(
            f"{len(late)} retries over {STABLE_S} s after the third; at most {RETRIES_MAX}"
        )
        record.write(f"{broken_off} orders of other clients were lost at crashed backends")
        if not any(sent.status == 200 for client in clients for sent in client.sent):
            return NOT_RUN
        return BROKEN if len(late) > RETRIES_MAX else HELD
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


main(Path(__file__).resolve().parent, case)
