"""Paths of the platform's store, and decoding of the values stored under them."""

import ipaddress
import sys
from collections.abc import Generator, Sequence

from result import Err, Ok, Result

from egretrail.gateway import InvalidDocument, StoreLayout
from egretrail.platform._table_reader import TableReader, decode_json
from egretrail.store import Entry
from egretrail.traffic import (
    ClientAccount,
    ClientLimits,
    FleetConfig,
    Route,
    RouteKind,
    Service,
    UpstreamRecord,
    UpstreamState,
    WeightedService,
    key_digest,
)

#: Routes or accounts decoded in one slice, between two yields; this takes a few milliseconds.
_ITEMS_PER_SLICE = 100
#: Requests of any other kind must not be retried.
_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    # Large responses; the request may be retried like one with a small response.
    "download": RouteKind.IDEMPOTENT,
}
#: An entry with any other state is invalid, and its upstream is not used.
_UPSTREAM_STATES = {"ready": UpstreamState.READY, "draining": UpstreamState.DRAINING}


class PlatformLayout(StoreLayout):
    """The store layout that the platform prescribes."""

    config_path = "op/config"
    upstreams_prefix = "servers/"
    instances_prefix = "egretrail/instances/"

    def decode_config_in_slices(
        self, value: bytes
    ) -> Generator[None, None, Result[FleetConfig, InvalidDocument]]:
        """Decode the configuration in slices; any fault rejects the whole value."""
        faults: list[str] = []
        try:
            document = decode_json(value)
        except ValueError as error:
            return Err(InvalidDocument(self.config_path, [str(error)]))
        config = yield from _decode_config(TableReader(document, "config", faults), faults)
        if faults:
            return Err(InvalidDocument(self.config_path, faults))
        return Ok(config)

    def decode_upstream(self, entry: Entry) -> Result[UpstreamRecord, InvalidDocument]:
        """Decode an upstream's entry, whose path ends with the upstream's name."""
        faults: list[str] = []
        try:
            document = decode_json(entry.value or "")
        except ValueError as error:
            return Err(InvalidDocument(entry.path, [str(error)]))
        record = _decode_upstream_record(TableReader(document, entry.path, faults), entry, faults)
        if faults:
            return Err(InvalidDocument(entry.path, faults))
        return Ok(record)


def _decode_upstream_record(fields: TableReader, entry: Entry, faults: list[str]) -> UpstreamRecord:
    # Checked for presence only: an entry without these was not written by an upstream.
    fields.text("version")
    fields.integer("seq")
    stated = fields.text("state")
    if stated not in _UPSTREAM_STATES:
        faults.append(f"{entry.path}.state: unknown state {stated!r}")
    slots = fields.integer("slots")
    if slots < 1:
        faults.append(f"{entry.path}.slots: {slots}")
    # Start time in Unix milliseconds; entries written by earlier versions do not have it.
    started_ms = fields.integer("born", 0)
    if started_ms < 0:
        faults.append(f"{entry.path}.born: {started_ms}")
    address = fields.text("address")
    if not _is_ip_port(address):
        faults.append(f"{entry.path}.address: {address!r}")
    return UpstreamRecord(
        name=entry.path.removeprefix(PlatformLayout.upstreams_prefix),
        service=fields.text("service"),
        address=address,
        availability_zone=fields.text("zone"),
        slots=slots,
        state=_UPSTREAM_STATES.get(stated, UpstreamState.DRAINING),
        warmup_s=fields.duration_s("warmupLeft"),
        revision=entry.revision,
        started_ms=started_ms,
    )


def _is_ip_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65_536


def _decode_config(fields: TableReader, faults: list[str]) -> Generator[None, None, FleetConfig]:
    services = {}
    for row in fields.rows("services"):
        service = _decode_service(TableReader(row, "service", faults))
        services[service.name] = service
    routes = []
    for row in fields.rows("routes"):
        route = _decode_route(TableReader(row, "route", faults), faults)
        faults += [
            f"route {route.name}: unknown service {part.service!r}"
            for part in route.parts
            if part.service not in services
        ]
        routes.append(route)
        if len(routes) % _ITEMS_PER_SLICE == 0:
            yield
    try:
        # Versions are written as eight hexadecimal digits.
        version = int(fields.text("version"), 16)
    except ValueError:
        faults.append("config.version: not hexadecimal")
        version = 0
    accounts = None
    if fields.is_present("tenants"):
        accounts = yield from _decode_accounts(fields, faults)
    return FleetConfig(
        version, routes, services, _decode_client_limits(fields.table("limits")), accounts
    )


def _decode_accounts(
    fields: TableReader, faults: list[str]
) -> Generator[None, None, list[ClientAccount]]:
    accounts: list[ClientAccount] = []
    holders: dict[bytes, str] = {}
    for row in fields.rows("tenants"):
        account = _decode_account(TableReader(row, "account", faults), faults)
        # With a key in two accounts, the order of the list would decide which account it names.
        faults += [
            f"account {account.name}: a key of {holders[digest]} too"
            for digest in account.key_digests
            if holders.setdefault(digest, account.name) != account.name
        ]
        accounts.append(account)
        if len(accounts) % _ITEMS_PER_SLICE == 0:
            yield
    if len({account.name for account in accounts}) < len(accounts):
        faults.append("config.tenants: two accounts of one name")
    return accounts


def _decode_account(fields: TableReader, faults: list[str]) -> ClientAccount:
    name = fields.text("name")
    if not _is_header_value(name):
        faults.append(f"account {name!r}: no name for a header field")
    keys = fields.rows("apiKeys")
    usable = [key for key in keys if isinstance(key, str) and _is_header_value(key)]
    if len(usable) < len(keys):
        # The key itself must not appear in a log.
        faults.append(f"account {name}: a key that no header field can hold")
    rate_per_s = fields.number("ratePerS", 0.0)
    burst = fields.number("burst", 0.0)
    fields.check("ratePerS", rate_per_s >= 0, "below 0")
    fields.check("burst", burst >= 0, "below 0")
    return ClientAccount(
        name=name,
        key_digests=tuple(dict.fromkeys(key_digest(key.encode()) for key in usable)),
        priority=fields.integer("priority", 0) if fields.is_present("priority") else None,
        rate_per_s=rate_per_s,
        burst=burst,
    )


def _is_header_value(text: str) -> bool:
    return bool(text) and text.isascii() and text.isprintable() and text == text.strip()


def _decode_service(fields: TableReader) -> Service:
    return Service(
        name=fields.text("name"),
        health_path=fields.text("healthPath", "/health"),
        # The limit applies to the connections of all callers of one upstream together.
        max_connections=fields.integer("maxConns", 1_000),
    )


def _decode_route(fields: TableReader, faults: list[str]) -> Route:
    name = fields.text("name", "")
    prefix = fields.text("prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        faults.append(f"route {name}: prefix {prefix!r}")
    timeout_s = fields.duration_s("timeout")
    return Route(
        name=name,
        # Thousands of routes share a few hosts and services, so interning saves memory.
        host=sys.intern(fields.text("host").lower()),
        prefix=prefix,
        kind=_ROUTE_KINDS.get(fields.text("routeType"), RouteKind.AT_MOST_ONCE),
        timeout_s=timeout_s,
        objective_s=fields.duration_s("targetLatency", f"{timeout_s}s"),
        priority=fields.integer("priority", 0),
        max_attempts=max(fields.integer("maxAttempts", 1), 1),
        parts=_decode_traffic_split(fields, name, faults),
        is_public=fields.boolean("public"),
    )


def _decode_traffic_split(
    fields: TableReader, route: str, faults: list[str]
) -> Sequence[WeightedService]:
    if not fields.is_present("trafficSplit"):
        return (WeightedService(sys.intern(fields.text("service")), 1.0),)
    rows = [TableReader(row, f"route {route}", faults) for row in fields.rows("trafficSplit")]
    parts = [WeightedService(row.text("service"), row.number("weight")) for row in rows]
    used = tuple(part for part in parts if part.weight > 0)
    if not used:
        faults.append(f"route {route}: no part has a weight")
    return used


def _decode_client_limits(fields: TableReader) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        header_bytes=fields.integer("maxHeaderBytes", default.header_bytes),
        body_bytes=fields.integer("maxBodyBytes", default.body_bytes),
        header_timeout_s=fields.duration_s("headerTimeout", f"{default.header_timeout_s}s"),
        idle_timeout_s=fields.duration_s("idleTimeout", f"{default.idle_timeout_s}s"),
    )
