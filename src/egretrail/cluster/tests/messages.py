"""Messages of instances and hubs, with what a test does not care about filled in."""

from typing import Any

from egretrail.cluster import Beat, Instance, InstanceState, Scope, Section


def beat(origin: str, sequence: int = 1, **parts: Any) -> Beat:
    """Return a beat of an instance of zone ``a``."""
    head: dict[str, Any] = {
        "availability_zone": "a",
        "incarnation": 7,
        "state": InstanceState.READY,
        "capacity": 1.0,
        "config_version": 3,
        "upstreams_revision": 40,
        "store_contact": False,
    }
    return Beat(origin=origin, sequence=sequence, **{**head, **parts})


def instance(address: str, **parts: Any) -> Instance:
    """Return a ready instance of zone ``a``."""
    head: dict[str, Any] = {
        "availability_zone": "a",
        "incarnation": 7,
        "state": InstanceState.READY,
        "capacity": 1.0,
    }
    return Instance(address=address, **{**head, **parts})


def section(**parts: Any) -> Section:
    """Return a section of the hub of zone ``a``."""
    head: dict[str, Any] = {
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
    return Section(**{**head, **parts})
