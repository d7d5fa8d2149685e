"""Measures the cost of membership for one instance, with real messages on a paused clock.

Run as ``python -m benchmarks.membership``. Bytes are those of all encoded frames divided by the
number of instances. CPU time is that of the whole run, including the fakes.
"""

import asyncio
import random
import time
from typing import Any

from egretrail.fleet import Member
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName
from egretrail.runtime import MembershipDriver
from egretrail.testing import FakeInstanceList, FakeNetwork, FakePeer, PausedLoop, listed
from egretrail.wire import Frame, FrameKind, Message, encode_frame


class _CountingPeer(FakePeer):
    sent_bytes = 0
    sent_messages = 0

    def _deliver(self, peer: InstanceName, body: Message, reply: Any) -> None:
        _count(body)
        super()._deliver(peer, body, reply)

    def on(self, cls: type[Any], handler: Any) -> None:
        async def counted(sender: Incarnation, body: Any) -> Message | None:
            reply: Message | None = await handler(sender, body)
            if reply is not None:
                _count(reply)
            return reply

        super().on(cls, counted)


def _count(body: Message) -> None:
    _CountingPeer.sent_bytes += len(encode_frame(Frame(FrameKind.NOTIFY, 0, body))) + 4
    _CountingPeer.sent_messages += 1


async def _run(size: int, restarts_per_s: float, measured_s: float) -> None:
    network = FakeNetwork(1)
    names = [InstanceName(f"entry-{index:04}") for index in range(size)]
    rows = [listed(name, "egretrail", f"zone-{index % 3}") for index, name in enumerate(names)]
    instance_list = FakeInstanceList(rows)
    drivers: dict[InstanceName, MembershipDriver] = {}
    numbers = dict.fromkeys(names, 0)

    async def start(name: InstanceName) -> None:
        numbers[name] += 1
        own = Incarnation(name, numbers[name])
        zone = AvailabilityZone(f"zone-{names.index(name) % 3}")
        member = Member(own, zone, "10.0.0.1", 8000, "10.0.0.1", 8001, ready=False)
        peer = network.peers[name] = _CountingPeer(network, own)
        drivers[name] = MembershipDriver(
            member, peer, instance_list, rng=random.Random(f"{name}{numbers[name]}")
        )
        await drivers[name].start()
        await drivers[name].announce_ready()

    for name in names:
        await start(name)
    await asyncio.sleep(30.0)
    _CountingPeer.sent_bytes = _CountingPeer.sent_messages = 0
    reads_before = instance_list.reads
    started_s = time.process_time()
    rng = random.Random(3)
    loop = asyncio.get_running_loop()
    until_s = loop.time() + measured_s
    while loop.time() < until_s:
        if restarts_per_s:
            await asyncio.sleep(1.0 / restarts_per_s)
            name = rng.choice(names)
            await drivers[name].announce_leaving()
            await drivers[name].stop()
            await start(name)
        else:
            await asyncio.sleep(measured_s)
    cpu_s = time.process_time() - started_s
    per_instance_s = 1.0 / (size * measured_s)
    print(
        f"{size} instances, {restarts_per_s} restarts/s: each sends "
        f"{_CountingPeer.sent_bytes * per_instance_s:.0f} bytes/s in "
        f"{_CountingPeer.sent_messages * per_instance_s:.2f} messages/s; "
        f"{cpu_s * per_instance_s * 1e3:.2f} ms/s of processor an instance; "
        f"the list is read {(instance_list.reads - reads_before) / measured_s:.2f} times/s"
    )


def main() -> None:
    """Print one line for each size and rate of restarts."""
    for size, restarts_per_s in ((12, 0.0), (44, 0.0), (132, 0.0), (44, 0.5), (132, 0.5)):
        with asyncio.Runner(loop_factory=PausedLoop) as runner:
            runner.run(_run(size, restarts_per_s, 60.0))


if __name__ == "__main__":
    main()
