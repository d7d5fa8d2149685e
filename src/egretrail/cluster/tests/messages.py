"""Builders of messages with default values for the fields that a test does not set."""

from typing import Any

import msgpack

from egretrail.cluster import Heartbeat, Instance, InstanceState, Scope, Section


def heartbeat(origin: str, sequence: int = 1, **fields: Any) -> Heartbeat:
    """Return a heartbeat of an instance in zone ``a``."""
    defaults: dict[str, Any] = {
        "availability_zone": "a",
        "incarnation": 7,
        "state": InstanceState.READY,
        "capacity": 1.0,
        "config_version": 3,
        "upstreams_revision": 40,
        "store_contact": False,
    }
    return Heartbeat(origin=origin, sequence=sequence, **{**defaults, **fields})


def instance(address: str, **fields: Any) -> Instance:
    """Return a ready instance in zone ``a``."""
    defaults: dict[str, Any] = {
        "availability_zone": "a",
        "incarnation": 7,
        "state": InstanceState.READY,
        "capacity": 1.0,
    }
    return Instance(address=address, **{**defaults, **fields})


def section(**fields: Any) -> Section:
    """Return a section of the hub of zone ``a``."""
    defaults: dict[str, Any] = {
        "scope": Scope.ZONE,
        "availability_zone": "a",
        "hub": "10.0.0.1",
        "incarnation": 7,
        "sequence": 1,
        "config_version": 3,
        "upstreams_revision": 40,
        "store_readers": 1,
        "instances": 11,
    }
    return Section(**{**defaults, **fields})


#: Values that other fields of a message may hold instead of their own.
ODD_VALUES: list[Any] = [
    None,
    True,
    -1,
    2**63,
    2**64 - 1,
    -(2**63),
    1e300,
    float("nan"),
    float("inf"),
    "",
    "x" * 300,
    "\ud800",
    b"\xff" * 7,
    [],
    {},
    [[1]],
]


def pack_odd(document: object) -> bytes:
    """Pack a document whose texts may be no valid Unicode."""
    packed: bytes = msgpack.packb(document, unicode_errors="surrogatepass")
    return packed


def mutations(document: Any) -> list[Any]:
    """Return a document with each value in it replaced by each odd one."""
    found = list(ODD_VALUES)
    if isinstance(document, list):
        for place, value in enumerate(document):
            found += [
                [*document[:place], other, *document[place + 1 :]] for other in mutations(value)
            ]
    if isinstance(document, dict):
        for key, value in document.items():
            found += [{**document, key: other} for other in mutations(value)]
    return found
