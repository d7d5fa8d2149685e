"""Measures how fast changes spread and the cost of spreading, in simulated time.

Run ``python -m egretrail.runtime.tests.measure_settings [SIZE ...]``. Time is
simulated, with a latency of 1 ms per message. Bytes are those of the encoded frames. CPU time is
that of this process, which runs all instances.
"""

import asyncio
import logging
import statistics
import sys
import time
from collections import Counter

import structlog

from egretrail.runtime.tests.settings_fleet import SettingsFleet, floor_of
from egretrail.testing import PausedLoop
from egretrail.wire import Frame, FrameKind, Message, encode_frame

_CHANGES = 10
_INTERVAL_S = 10.0
_QUIET_S = 30.0
_ZONES = 3


class _Traffic:
    """Counts every message at its sender, requests and replies."""

    def __init__(self, fleet: SettingsFleet) -> None:
        self.messages: Counter[str] = Counter()
        self.size_bytes: Counter[str] = Counter()
        for driver in fleet.drivers.values():
            network = driver._peers._network
            self._wrap(network)

    def count(self, body: Message) -> None:
        name = type(body).__name__
        self.messages[name] += 1
        self.size_bytes[name] += len(encode_frame(Frame(FrameKind.NOTIFY, 0, body))) + 4

    def _wrap(self, network: object) -> None:
        deliver = network._deliver  # type: ignore[attr-defined]
        handlers = network._handlers  # type: ignore[attr-defined]

        def counted(peer: object, body: Message, reply: object) -> None:
            self.count(body)
            deliver(peer, body, reply)

        network._deliver = counted  # type: ignore[attr-defined]
        for kind, handler in list(handlers.items()):
            handlers[kind] = self._counting(handler)

    def _counting(self, handler: object) -> object:
        async def handle(sender: object, body: Message) -> Message | None:
            answer: Message | None = await handler(sender, body)  # type: ignore[operator]
            if answer is not None:
                self.count(answer)
            return answer

        return handle


async def _measure(size: int, loss_share: float) -> None:
    loop = asyncio.get_running_loop()
    fleet = SettingsFleet(size, _ZONES, seed=size)
    await fleet.start()
    await fleet.put_floor(1)
    await fleet.until_floor(1)
    await asyncio.sleep(20.0)
    traffic = _Traffic(fleet)
    cpu_s = time.process_time()
    await asyncio.sleep(_QUIET_S)
    quiet_messages = traffic.messages.total() / size / _QUIET_S
    quiet_bytes = traffic.size_bytes.total() / size / _QUIET_S
    quiet_cpu = (time.process_time() - cpu_s) / size / _QUIET_S
    reads = fleet.store.calls.total()

    fleet.network.loss_share = loss_share
    delays: list[float] = []
    started_s = 0.0
    for driver in fleet.drivers.values():
        driver.subscribe(lambda _paths: delays.append(loop.time() - started_s))
    before_messages, before_bytes = traffic.messages.total(), traffic.size_bytes.total()
    cpu_s = time.process_time()
    drivers = list(fleet.drivers.values())
    for number in range(_CHANGES):
        started_s = loop.time()
        await fleet.put_floor(number + 10, drivers[number % size])
        await asyncio.sleep(_INTERVAL_S)
        assert all(floor_of(driver) == number + 10 for driver in drivers)
    spent_s = (time.process_time() - cpu_s) / size / _CHANGES - quiet_cpu * _INTERVAL_S
    messages = (traffic.messages.total() - before_messages) / size / _CHANGES
    size_bytes = (traffic.size_bytes.total() - before_bytes) / size / _CHANGES
    calls = (fleet.store.calls.total() - reads) / _CHANGES
    ranks = statistics.quantiles(delays, n=1000)
    print(
        f"{size:>5} {loss_share:>5.0%} {ranks[499]:>8.3f} {ranks[989]:>8.3f} {max(delays):>8.3f}"
        f" {quiet_messages:>9.2f} {quiet_bytes:>9.0f} {quiet_cpu:>9.3%}"
        f" {messages - quiet_messages * _INTERVAL_S:>9.2f}"
        f" {size_bytes - quiet_bytes * _INTERVAL_S:>9.0f} {spent_s * 1e3:>9.2f} {calls:>7.1f}",
        flush=True,
    )
    await fleet.stop()


def main() -> None:
    """Print one line for each size and share of lost messages."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    sizes = [int(text) for text in sys.argv[1:]] or [44, 150, 500]
    print("columns: instances, lost messages | in force after, s: p50 p99 max | quiet, for each")
    print("instance and second: messages, bytes, CPU | a change, for each instance: messages,")
    print("bytes, CPU ms; then store calls in all")
    for size in sizes:
        for loss_share in (0.0, 0.05):
            with asyncio.Runner(loop_factory=PausedLoop) as runner:
                runner.run(_measure(size, loss_share))


if __name__ == "__main__":
    main()
