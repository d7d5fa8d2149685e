"""Paths of the platform's store, and decoding of the values stored under them."""

import sys
import time
from collections.abc import Callable, Generator, Sequence, Set

from result import Err, Ok, Result

from egretrail.gateway import InvalidDocument, StoreLayout
from egretrail.platform import _store_fields as store_fields
from egretrail.platform._field_kinds import escaped, shown
from egretrail.platform._table_reader import TableReader, decode_json
from egretrail.store import Entry
from egretrail.traffic import (
    ClientAccount,
    ClientLimits,
    FleetConfig,
    Route,
    Service,
    UpstreamRecord,
    WeightedService,
    key_digest,
)

#: Rows decoded in one slice, between two yields; this takes a few milliseconds.
_ROWS_PER_SLICE = 100


class PlatformLayout(StoreLayout):
    """The store layout that the platform prescribes."""

    config_path = "op/config"
    upstreams_prefix = store_fields.UPSTREAMS_PREFIX
    instances_prefix = "egretrail/instances/"

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        """Create a layout; the clock returns the Unix time in seconds."""
        self._clock = clock

    def decode_config_in_slices(
        self, value: bytes
    ) -> Generator[None, None, Result[FleetConfig, InvalidDocument]]:
        """Decode the configuration in slices; any fault rejects the whole value."""
        try:
            document = decode_json(value, store_fields.CONFIG_BYTES_MAX)
        except ValueError as error:
            return Err(InvalidDocument(self.config_path, [str(error)]))
        faults: list[str] = []
        config = yield from _decode_config(TableReader(document, "config", faults), faults)
        if faults:
            return Err(InvalidDocument(self.config_path, faults))
        return Ok(config)

    def decode_upstream(self, entry: Entry) -> Result[UpstreamRecord, InvalidDocument]:
        """Decode an upstream's entry, whose path ends with the upstream's name."""
        path = escaped(entry.path, store_fields.KEY_BYTES_MAX)
        try:
            document = decode_json(entry.value or "", store_fields.UPSTREAM_BYTES_MAX)
        except ValueError as error:
            return Err(InvalidDocument(path, [str(error)]))
        faults: list[str] = []
        fields = TableReader(document, "entry", faults)
        record = _decode_upstream_record(fields, entry)
        now_s = self._clock()
        latest_start_ms = (now_s + store_fields.CLOCKS_APART_MAX_S) * 1_000
        # A start that is yet to come would pass for that of the newest lifetime until then, and
        # hide all that the upstream itself writes.
        is_past = record.started_ms <= latest_start_ms or now_s < store_fields.CLOCK_SET_S
        fields.check("born", is_past, f"{record.started_ms} is in the future")
        if faults:
            return Err(InvalidDocument(path, faults))
        return Ok(record)


def _decode_upstream_record(fields: TableReader, entry: Entry) -> UpstreamRecord:
    # Checked for presence only: an entry without these was not written by an upstream.
    fields.read("version", store_fields.SOFTWARE_VERSION)
    fields.read("seq", store_fields.SEQUENCE)
    name = entry.path.removeprefix(PlatformLayout.upstreams_prefix)
    return UpstreamRecord(
        name=fields.decode("key", store_fields.UPSTREAM_ID, name),
        service=fields.read("service", store_fields.NAME),
        address=fields.read("address", store_fields.UPSTREAM_ADDRESS),
        availability_zone=fields.read("zone", store_fields.NAME),
        slots=fields.read("slots", store_fields.SLOTS),
        state=fields.read("state", store_fields.UPSTREAM_STATE),
        warmup_s=fields.read("warmupLeft", store_fields.WARMUP_LEFT),
        revision=entry.revision,
        # Entries written by earlier versions do not have it.
        started_ms=fields.read("born", store_fields.START_TIME_MS, 0),
    )


def _decode_config(fields: TableReader, faults: list[str]) -> Generator[None, None, FleetConfig]:
    services = {}
    for number, row in enumerate(fields.read("services", store_fields.ROWS)):
        service = _decode_service(TableReader(row, f"services[{number}]", faults))
        services[service.name] = service
        if fields.has_enough_faults:
            break
        if number % _ROWS_PER_SLICE == 0:
            yield
    routes = yield from _decode_routes(fields, services.keys(), faults)
    version = fields.read("version", store_fields.CONFIG_VERSION)
    accounts = None
    if fields.is_present("tenants"):
        accounts = yield from _decode_accounts(fields, faults)
    return FleetConfig(
        version, routes, services, _decode_client_limits(fields.table("limits")), accounts
    )


def _decode_routes(
    fields: TableReader, services: Set[str], faults: list[str]
) -> Generator[None, None, list[Route]]:
    routes = []
    rows_in_slice = 0
    for number, row in enumerate(fields.read("routes", store_fields.ROWS)):
        reader = TableReader(row, f"routes[{number}]", faults)
        route = _decode_route(reader, faults)
        for part in route.parts:
            if part.service not in services:
                reader.add_fault("service", f"unknown service {shown(part.service)}")
        routes.append(route)
        if fields.has_enough_faults:
            break
        rows_in_slice += 1 + len(route.parts)
        if rows_in_slice >= _ROWS_PER_SLICE:
            rows_in_slice = 0
            yield
    return routes


def _decode_accounts(
    fields: TableReader, faults: list[str]
) -> Generator[None, None, list[ClientAccount]]:
    accounts: list[ClientAccount] = []
    holders: dict[bytes, str] = {}
    rows_in_slice = 0
    for number, row in enumerate(fields.read("tenants", store_fields.ROWS)):
        reader = TableReader(row, f"tenants[{number}]", faults)
        account = _decode_account(reader)
        # With a key in two accounts, the order of the list would decide which account it names.
        for digest in account.key_digests:
            if holders.setdefault(digest, account.name) != account.name:
                reader.add_fault("apiKeys", f"a key of {shown(holders[digest])} too")
        accounts.append(account)
        if fields.has_enough_faults:
            break
        rows_in_slice += 1 + len(account.key_digests)
        if rows_in_slice >= _ROWS_PER_SLICE:
            rows_in_slice = 0
            yield
    if len({account.name for account in accounts}) < len(accounts):
        fields.add_fault("tenants", "two accounts of one name")
    return accounts


def _decode_account(fields: TableReader) -> ClientAccount:
    keys = fields.read("apiKeys", store_fields.API_KEYS)
    if not all(_is_api_key(key) for key in keys):
        # The key itself must not appear in a log.
        fields.add_fault("apiKeys", "a key that no header field can hold")
        keys = ()
    has_priority = fields.is_present("priority")
    return ClientAccount(
        name=fields.read("name", store_fields.ACCOUNT_NAME),
        key_digests=tuple(dict.fromkeys(key_digest(key.encode()) for key in keys)),
        priority=fields.read("priority", store_fields.PRIORITY) if has_priority else None,
        rate_per_s=fields.read("ratePerS", store_fields.RATE_PER_S, 0.0),
        burst=fields.read("burst", store_fields.BURST, 0.0),
    )


def _is_api_key(key: object) -> bool:
    try:
        store_fields.API_KEY.decode(key)
    except ValueError:
        return False
    return True


def _decode_service(fields: TableReader) -> Service:
    return Service(
        name=fields.read("name", store_fields.NAME),
        health_path=fields.read("healthPath", store_fields.HEALTH_PATH, "/health"),
        # The limit applies to the connections of all callers of one upstream together.
        max_connections=fields.read("maxConns", store_fields.CONNECTIONS, 1_000),
    )


def _decode_route(fields: TableReader, faults: list[str]) -> Route:
    timeout_s = fields.read("timeout", store_fields.ROUTE_TIME)
    return Route(
        name=fields.read("name", store_fields.NAME, ""),
        # Thousands of routes share a few hosts and services, so interning saves memory.
        host=sys.intern(fields.read("host", store_fields.HOST).lower()),
        prefix=fields.read("prefix", store_fields.PREFIX),
        kind=fields.read("routeType", store_fields.ROUTE_KIND),
        timeout_s=timeout_s,
        objective_s=fields.read("targetLatency", store_fields.ROUTE_TIME, timeout_s),
        priority=fields.read("priority", store_fields.PRIORITY, 0),
        max_attempts=max(fields.read("maxAttempts", store_fields.MAX_ATTEMPTS, 1), 1),
        parts=_decode_traffic_split(fields, faults),
        is_public=fields.read("public", store_fields.FLAG, False),
    )


def _decode_traffic_split(fields: TableReader, faults: list[str]) -> Sequence[WeightedService]:
    if not fields.is_present("trafficSplit"):
        return (WeightedService(sys.intern(fields.read("service", store_fields.NAME)), 1.0),)
    rows = [
        TableReader(row, f"{fields.path}.trafficSplit[{number}]", faults)
        for number, row in enumerate(fields.read("trafficSplit", store_fields.PARTS))
    ]
    parts = [
        WeightedService(
            sys.intern(row.read("service", store_fields.NAME)),
            row.read("weight", store_fields.WEIGHT),
        )
        for row in rows
    ]
    used = tuple(part for part in parts if part.weight > 0)
    fields.check("trafficSplit", bool(used), "no part has a weight")
    return used


def _decode_client_limits(fields: TableReader) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        header_bytes=fields.read("maxHeaderBytes", store_fields.HEADER_BYTES, default.header_bytes),
        body_bytes=fields.read("maxBodyBytes", store_fields.BODY_BYTES, default.body_bytes),
        header_timeout_s=fields.read(
            "headerTimeout", store_fields.HEADER_TIMEOUT, default.header_timeout_s
        ),
        idle_timeout_s=fields.read(
            "idleTimeout", store_fields.IDLE_TIMEOUT, default.idle_timeout_s
        ),
    )
