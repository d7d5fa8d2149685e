"""A request that crashes the backends that run it comes again while the gateways are restarted."""

import asyncio
import signal
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

GATEWAYS = 3
BACKENDS = 24
#: The pause between two of the crashing requests.
COMES_EVERY_S = 0.7
#: How many come first, at all gateways in turn, and then at each gateway that was restarted.
FIRST, FURTHER = 6, 5
#: So many gateways are restarted, one after the other; each gets a SIGTERM.
RESTARTS = 2
#: With ``TROUBLE=0`` a restart is replaced by this pause.
PAUSE_S = 4.0
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
    fleet = Fleet(GATEWAYS, record)
    crashes: list[FragileBackend] = []
    tasks: list[asyncio.Task[None]] = []
    #: When each gateway was last disturbed.
    disturbed_s: dict[int, float] = {}
    #: The gateway that each attempt of the crashing request was sent to, and when.
    sent: dict[str, tuple[int, float]] = {}

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

    async def come(number: int) -> None:
        attempt = new_attempt()
        record.write(f"client sends POST {CRASHING} {attempt} to gateway {number}")
        try:
            reader, writer = await connect(fleet.address(number))
            sent[attempt] = (number, time.monotonic())
            writer.write(encode_request("POST", CRASHING, attempt, 4000))
            answer = await asyncio.wait_for(read_message(reader), 5.0)
            record.write(f"client got {answer.status} for {attempt}")
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.write(f"no answer to {attempt}: {error!r}")

    def in_touch(attempt: str) -> bool:
        number, at_s = sent[attempt]
        return at_s > disturbed_s.get(number, 0.0) + STABLE_S

    async def restart(number: int) -> None:
        before = fleet.starts[number]
        record.write(f"gateway {number} gets SIGTERM")
        fleet.send_signal(number, signal.SIGTERM)
        disturbed_s[number] = time.monotonic() + 1e9
        while fleet.starts[number] == before or not await fleet.is_ready(number):
            await asyncio.sleep(0.05)
        disturbed_s[number] = time.monotonic()

    try:
        await fleet.start(
            configuration(1, [route("r-release", "/release/", "kholenh", "unsafe")]),
            [new_backend(number) for number in range(BACKENDS)],
        )
        clients = [
            KeptClient(fleet.address(n % GATEWAYS), f"/release/c{n}", record) for n in range(36)
        ]
        tasks += [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(2.0)
        for number in range(FIRST):
            await come(number % GATEWAYS)
            await asyncio.sleep(COMES_EVERY_S)
        for number in range(RESTARTS):
            if trouble():
                await asyncio.wait_for(restart(number), 20.0)
            else:
                await asyncio.sleep(PAUSE_S)
            # From now on the gateway is in touch.
            await asyncio.sleep(STABLE_S + 0.3)
            for _ in range(FURTHER):
                await come(number)
                await asyncio.sleep(COMES_EVERY_S)
        crashed = sorted(
            (backend.crashed_s, backend.crashed_by)
            for backend in crashes
            if backend.crashed_s is not None
        )
        if len(crashed) < 3:
            return NOT_RUN
        late = [
            attempt
            for at_s, attempt in crashed[3:]
            if at_s > crashed[2][0] + STABLE_S and in_touch(attempt)
        ]
        record.write(
            f"{len(crashed)} crashes, {[round(at - crashed[0][0], 1) for at, _ in crashed]}"
        )
        record.write(f"{len(late)} retries by gateways in touch, {STABLE_S} s after the third")
        record.write(
            f"at most {RETRIES_MAX}; {count_broken_off(clients, fleet.backends)} orders lost"
        )
        return BROKEN if len(late) > RETRIES_MAX else HELD
    finally:
        for task in tasks:
            task.cancel()
        await fleet.stop()


main(Path(__file__).resolve().parent, case)
