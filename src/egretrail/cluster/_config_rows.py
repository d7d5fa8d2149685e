"""The msgpack form of a configuration's routes, services and limits."""

import sys
from collections.abc import Sequence
from dataclasses import astuple
from typing import Any

import msgpack

from egretrail.traffic import ClientLimits, Route, RouteKind, Service, WeightedService

#: Places in this list are told in place of the kinds; new kinds go to its end.
_KINDS = (RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE)


def pack_part(services: Sequence[Service], routes: Sequence[Route]) -> bytes:
    """Return the bytes of some services and routes; equal ones have equal bytes."""
    document = [
        [[one.name, one.health_path, one.max_connections] for one in services],
        [_route_row(route) for route in routes],
    ]
    packed: bytes = msgpack.packb(document)
    return packed


def unpack_part(packed: bytes) -> tuple[tuple[Service, ...], tuple[Route, ...]]:
    """Return the services and routes of some bytes; raises one of ``MALFORMED`` for others."""
    service_rows, route_rows = msgpack.unpackb(packed)
    services = tuple(
        Service(sys.intern(name), str(health_path), int(max_connections))
        for name, health_path, max_connections in service_rows
    )
    return services, tuple(_route(row) for row in route_rows)


def pack_head(version: int, limits: ClientLimits) -> bytes:
    """Return the bytes of what a configuration has once."""
    packed: bytes = msgpack.packb([version, *astuple(limits)])
    return packed


def unpack_head(packed: bytes) -> tuple[int, ClientLimits]:
    """Return the version and limits of some bytes; raises one of ``MALFORMED`` for others."""
    version, header_bytes, body_bytes, header_timeout_s, idle_timeout_s = msgpack.unpackb(packed)
    limits = ClientLimits(
        int(header_bytes), int(body_bytes), float(header_timeout_s), float(idle_timeout_s)
    )
    return int(version), limits


def _route_row(route: Route) -> list[Any]:
    return [
        route.name,
        route.host,
        route.prefix,
        _KINDS.index(route.kind),
        route.timeout_s,
        route.objective_s,
        route.priority,
        route.max_attempts,
        [[part.service, part.weight] for part in route.parts],
    ]


def _route(row: Sequence[Any]) -> Route:
    name, host, prefix, kind, timeout_s, objective_s, priority, max_attempts, parts = row
    if not parts:
        raise ValueError(f"route {name!r} goes to no service")
    return Route(
        name=str(name),
        # Thousands of routes share a few hosts and services.
        host=sys.intern(host),
        prefix=str(prefix),
        kind=_KINDS[kind],
        timeout_s=float(timeout_s),
        objective_s=float(objective_s),
        priority=int(priority),
        max_attempts=int(max_attempts),
        parts=tuple(
            WeightedService(sys.intern(service), float(weight)) for service, weight in parts
        ),
    )
