"""The msgpack form of a configuration's routes, services, accounts and limits."""

import sys
from collections.abc import Sequence
from dataclasses import astuple, dataclass
from typing import Any

import msgpack

from egretrail.traffic import (
    ClientAccount,
    ClientLimits,
    Route,
    RouteKind,
    Service,
    WeightedService,
)

#: Places in this list are told in place of the kinds; new kinds go to its end.
_KINDS = (RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE)


@dataclass(frozen=True, slots=True)
class PartContents:
    """The services, routes and accounts of one part, each in order."""

    #: The services, by name.
    services: tuple[Service, ...] = ()
    #: The routes, by host and prefix.
    routes: tuple[Route, ...] = ()
    #: The client accounts, by name.
    accounts: tuple[ClientAccount, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigHead:
    """What a configuration has once."""

    #: Its version.
    version: int
    #: The limits for clients.
    limits: ClientLimits
    #: Whether it names client accounts, be it none, so that requests need an API key.
    has_accounts: bool


def pack_part(contents: PartContents) -> bytes:
    """Return the bytes of a part; equal contents have equal bytes."""
    document = [
        [[one.name, one.health_path, one.max_connections] for one in contents.services],
        [_route_row(route) for route in contents.routes],
        [_account_row(account) for account in contents.accounts],
    ]
    packed: bytes = msgpack.packb(document)
    return packed


def unpack_part(packed: bytes) -> PartContents:
    """Return the contents of some bytes; raises one of ``MALFORMED`` for others."""
    service_rows, route_rows, account_rows = msgpack.unpackb(packed)
    services = tuple(
        Service(sys.intern(name), str(health_path), int(max_connections))
        for name, health_path, max_connections in service_rows
    )
    return PartContents(
        services,
        tuple(_route(row) for row in route_rows),
        tuple(_account(row) for row in account_rows),
    )


def pack_head(head: ConfigHead) -> bytes:
    """Return the bytes of what a configuration has once."""
    packed: bytes = msgpack.packb([head.version, head.has_accounts, *astuple(head.limits)])
    return packed


def unpack_head(packed: bytes) -> ConfigHead:
    """Return what some bytes hold; raises one of ``MALFORMED`` for others."""
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
        key_digests=tuple(bytes(digest) for digest in digests),
        priority=None if priority is None else int(priority),
        rate_per_s=float(rate_per_s),
        burst=float(burst),
    )
