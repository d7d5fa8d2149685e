"""Peers' messages with odd values, through all that an instance does with them afterwards."""

import asyncio
from collections.abc import Iterator
from typing import Any

import msgpack

from egretrail.cluster import (
    HeartbeatsDatagram,
    Introduction,
    encode_heartbeats,
    encode_introduction,
    encode_sections,
)
from egretrail.cluster.tests.messages import mutations, pack_odd, section
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases

#: Messages that are handled before timers run.
_BATCH = 10


def _heartbeats(fleet: Fleet, address: str) -> Iterator[bytes]:
    """Yield a heartbeat of an instance with each value replaced by odd ones."""
    sound = encode_heartbeats(HeartbeatsDatagram(0, [fleet.views[address].next_heartbeat()]))
    yield from map(pack_odd, mutations(msgpack.unpackb(sound, strict_map_key=False)))


def _sections(fleet: Fleet, address: str) -> Iterator[bytes]:
    zone = fleet.views[address].own_zone
    one = section(hub=address, availability_zone=zone, incarnation=1_000_000, sequence=1)
    [sound] = encode_sections([one], cross_zone=False)
    version, kind, hops, [packed] = msgpack.unpackb(sound)
    row: list[Any] = msgpack.unpackb(packed)
    for place, number in enumerate(row):
        if place == 4:
            continue
        for odd in mutations(number):
            row[4] += 1
            document = pack_odd([*row[:place], odd, *row[place + 1 :]])
            yield pack_odd([version, kind, hops, [document]])
            yield pack_odd([version, 2, hops, [document]])


def _introductions(fleet: Fleet, address: str) -> Iterator[bytes]:
    instance = fleet.views[address].own_instance()
    [sound] = encode_introduction(Introduction(instance, 1, 5, [instance]))
    yield from map(pack_odd, mutations(msgpack.unpackb(sound, strict_map_key=False)))


class OddMessagesTest(EgretrailTestCase):
    @cases({"heartbeats": _heartbeats, "sections": _sections, "introductions": _introductions})
    def test_odd_messages_of_a_peer_stop_no_instance(self, messages: Any) -> None:
        """Guards against a value that is decoded, and fails in a timer or for another instance."""
        failures: list[str] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: failures.append(repr(context)))
            fleet = Fleet([3, 2])
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses)
            await asyncio.sleep(4.0)
            sender = next(a for a in fleet.addresses[:3] if a != fleet.hub(0))
            for target in (fleet.hub(0), fleet.hub(1), fleet.addresses[2]):
                for number, data in enumerate(messages(fleet, sender)):
                    try:
                        fleet.links[target].handle_datagram(data, sender)
                    except Exception as error:
                        failures.append(f"{error!r} of {data!r}")
                    if number % _BATCH == 0:
                        await asyncio.sleep(0.1)
            await asyncio.sleep(6.0)
            failures.extend(repr(task) for task in fleet.tasks.values() if task.done())
            known = {address: fleet.known_instances(address) for address in fleet.addresses}
            failures.extend(
                f"{address} knows {others}"
                for address, others in known.items()
                if others != set(fleet.addresses)
            )
            fleet.stop()

        self.run_paused(run())
        self.assertEqual([], list(dict.fromkeys(failures))[:12])
