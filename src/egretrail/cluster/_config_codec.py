"""The msgpack form of a configuration's routes, services, accounts and limits."""

import sys
from collections.abc import Sequence
from dataclasses import astuple, dataclass
from typing import Any

import msgpack

from egretrail.cluster._fields import decode_bytes
from egretrail.traffic import (
    ClientAccount,
    ClientLimits,
    Route,
    RouteKind,
    Service,
    WeightedService,
)

#: The index in this list is the route kind's value on the wire; new kinds are appended.
_KINDS = (RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE)


@dataclass(frozen=True, slots=True)
class ChunkContents:
    """The services, routes and client accounts of one chunk, each sorted."""

    #: The services, sorted by name.
    services: tuple[Service, ...] = ()
    #: The routes, sorted by host and prefix.
    routes: tuple[Route, ...] = ()
    #: The client accounts, sorted by name.
    accounts: tuple[ClientAccount, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigHead:
    """The settings of a configuration that are not divided among chunks."""

    #: The version of the configuration.
    version: int
    #: The limits for clients.
    limits: ClientLimits
    #: Whether the configuration has a list of client accounts, even an empty one: requests then
    #: need an API key.
    has_accounts: bool


def pack_chunk(contents: ChunkContents) -> bytes:
    """Return the packed form of a chunk; equal contents have equal bytes."""
    document = [
        [
            [service.name, service.health_path, service.max_connections]
            for service in contents.services
        ],
        [_route_row(route) for route in contents.routes],
        [_account_row(account) for account in contents.accounts],
    ]
    packed: bytes = msgpack.packb(document)
    return packed


def unpack_chunk(packed: bytes) -> ChunkContents:
    """Return the contents of a packed chunk; raises one of ``MALFORMED`` for invalid bytes."""
    service_rows, route_rows, account_rows = msgpack.unpackb(packed)
    services = tuple(
        Service(sys.intern(name), str(health_path), int(max_connections))
        for name, health_path, max_connections in service_rows
    )
    return ChunkContents(
        services,
        tuple(_route(row) for row in route_rows),
        tuple(_account(row) for row in account_rows),
    )


def pack_head(head: ConfigHead) -> bytes:
    """Return the packed form of a head."""
    packed: bytes = msgpack.packb([head.version, head.has_accounts, *astuple(head.limits)])
    return packed


def unpack_head(packed: bytes) -> ConfigHead:
    """Return a head from its packed form; raises one of ``MALFORMED`` for invalid bytes."""
    version, has_accounts, *limits = msgpack.unpackb(packed)
    header_bytes, body_bytes, header_timeout_s, idle_timeout_s = limits
    return ConfigHead(
        int(version),
        ClientLimits(
            int(header_bytes), int(body_bytes), float(header_timeout_s), float(idle_timeout_s)
        ),
        bool(has_accounts),
    )


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
        route.is_public,
    ]


def _route(row: Sequence[Any]) -> Route:
    name, host, prefix, kind, timeout_s, objective_s, priority, max_attempts, parts, public = row
    if not parts:
        raise ValueError(f"route {name!r} has no destination service")
    return Route(
        name=str(name),
        # Interned, since thousands of routes share a few hosts and services.
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
        is_public=bool(public),
    )


def _account_row(account: ClientAccount) -> list[Any]:
    return [
        account.name,
        list(account.key_digests),
        account.priority,
        account.rate_per_s,
        account.burst,
    ]


def _account(row: Sequence[Any]) -> ClientAccount:
    name, digests, priority, rate_per_s, burst = row
    return ClientAccount(
        name=str(name),
        key_digests=tuple(decode_bytes(digest) for digest in digests),
        priority=None if priority is None else int(priority),
        rate_per_s=float(rate_per_s),
        burst=float(burst),
    )
