"""Builders of messages with default values for the fields that a test does not set."""

from typing import Any

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
