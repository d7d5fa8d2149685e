"""Odd entries and configurations, as another writer may leave them in the platform's store."""

import json
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from scaffolding.platform.fleet import HOST, config, route

#: Nobody listens on this loopback address.
_NOBODY = "127.9.9.9:9999"
_LONG_TEXT = "x" * 1_000_000
_DEPTH = 100_000


@dataclass(frozen=True, slots=True)
class OddEntry:
    """An entry among the upstreams' entries that no upstream has written."""

    #: The value as it is stored.
    value: bytes
    #: The id under which it stands; it need not be one that an upstream could have.
    name: str = "odd"


def entry(**fields: object) -> bytes:
    """Return an upstream's entry, with some fields replaced; a field that is None is left out."""
    row: dict[str, object] = {
        "service": "orders",
        "address": _NOBODY,
        "zone": "zone-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmupLeft": "0ms",
        "seq": 1,
        **fields,
    }
    return json.dumps({name: value for name, value in row.items() if value is not None}).encode()


def _with_token(field: str, token: str) -> bytes:
    """Return an entry in which a field has a value that ``json`` would not write."""
    return entry(**{field: "TOKEN"}).replace(b'"TOKEN"', token.encode())


_FIELDS = ("service", "address", "zone", "version", "slots", "state", "warmupLeft", "seq", "born")
_WRONG_TYPES: Mapping[str, object] = {
    "true": True,
    "a list": [1],
    "an object": {"a": 1},
    "a fraction": 1.5,
    "a negative number": -1,
    "empty text": "",
    "control characters": "a\r\nb\x00\x1b[2J",
    "a surrogate": "\udc80",
    "1 MB of text": _LONG_TEXT,
}

_ADDRESSES = (
    "127.9.9.9:0",
    "127.9.9.9:70000",
    "127.9.9.9:-1",
    "127.9.9.9:٣٣",
    ":80",
    "127.9.9.9",
    "256.1.1.1:80",
    "[::1]:80",
    "0:80",
    "localhost:80",
    "224.0.0.1:80",
    "127.9.9.9:80:80",
    "127.9.9.9:80\r\nHost: x",
    "0.0.0.0:80",
    "\u202e127.9.9.9:80",
)

#: Entries that stop or occupy a process which takes them as they are.
HARMFUL_ENTRIES: Mapping[str, OddEntry] = {
    "port of 5,000 digits": OddEntry(entry(address="127.9.9.9:" + "9" * 5_000)),
    "port of 6,000 zeros": OddEntry(entry(address="127.9.9.9:" + "0" * 6_000 + "80")),
    "slots 1,000,000": OddEntry(entry(slots=1_000_000)),
    "slots 2^31": OddEntry(entry(slots=2**31)),
    "slots 2^62": OddEntry(entry(slots=2**62)),
    "key with a surrogate": OddEntry(entry(), "\udc80"),
}

#: Entries that need only be refused, or that cost no more than attempts to connect.
ODD_ENTRIES: Mapping[str, OddEntry] = {
    **{
        f"{field} is {kind}": OddEntry(entry(**{field: value}))
        for field in _FIELDS
        for kind, value in _WRONG_TYPES.items()
    },
    **{f"no {field}": OddEntry(entry(**{field: None})) for field in _FIELDS},
    **{
        f"{field} of 5,000 digits": OddEntry(_with_token(field, "9" * 5_000))
        for field in ("slots", "seq", "born")
    },
    **{
        f"{field} {token}": OddEntry(_with_token(field, token))
        for field in ("slots", "seq", "born")
        for token in ("1e400", "NaN", "-Infinity", "1e308")
    },
    **{
        f"warmupLeft {text[:12]}": OddEntry(entry(warmupLeft=text))
        for text in ("1" + "0" * 300 + "s", "9" * 5_000 + "ms", "nans", "1e308s", "-1s", "٣s")
    },
    **{f"address {text[:20]}": OddEntry(entry(address=text)) for text in _ADDRESSES},
    "key with a newline": OddEntry(entry(), "a\nevent=stop b"),
    "key with a slash": OddEntry(entry(), "a/b/../c"),
    "key that is empty": OddEntry(entry(), ""),
    "key of 300 bytes": OddEntry(entry(), "k" * 300),
    "key of 100,000 bytes": OddEntry(entry(), "k" * 100_000),
    "duplicate names": OddEntry(entry()[:-1] + b', "slots": 5, "state": "draining"}'),
    "born in the future": OddEntry(entry(born=2**62)),
    "service unknown": OddEntry(entry(service="nobody's")),
    "state unknown": OddEntry(entry(state="leaving")),
    "empty value": OddEntry(b""),
    "not JSON": OddEntry(b"{"),
    "a list": OddEntry(b"[]"),
    "null": OddEntry(b"null"),
    "a number": OddEntry(b"7"),
    "a number of 5,000 digits": OddEntry(b"9" * 5_000),
    "no UTF-8": OddEntry(b"\xff\xfe\x00"),
    "byte order mark": OddEntry(b"\xef\xbb\xbf" + entry()),
    "deep": OddEntry(b"[" * _DEPTH + b"]" * _DEPTH),
    "deep and not closed": OddEntry(b'{"a":' * _DEPTH),
    "deep in a field": OddEntry(_with_token("zone", "[" * _DEPTH + "]" * _DEPTH)),
    "many names": OddEntry(json.dumps({f"n{n}": n for n in range(50_000)}).encode()),
}


def random_odd_entry(rng: random.Random) -> OddEntry:
    """Return one of the tables' entries, or one with odd values in several fields."""
    if rng.random() < 0.5:
        return rng.choice([*HARMFUL_ENTRIES.values(), *ODD_ENTRIES.values()])
    values = [*_WRONG_TYPES.values(), None, 2**31, 2**62, 10**400, -(2**63), "9" * 400, "0" * 6_000]
    fields = {name: rng.choice(values) for name in rng.sample(_FIELDS, rng.randint(1, 3))}
    data = entry(**fields)
    # A writer that broke off.
    return OddEntry(data[: rng.randrange(len(data))] if rng.random() < 0.2 else data)


def odd_configs(
    version: int, routes: Sequence[dict[str, object]]
) -> Mapping[str, Mapping[str, object] | bytes]:
    """Return configurations that can't be meant, each with one odd field in an ordinary one."""
    ordinary = config(version, routes)
    limits = ordinary["limits"]
    assert isinstance(limits, dict)

    def with_limits(**fields: object) -> Mapping[str, object]:
        return {**ordinary, "limits": {**limits, **fields}}

    def with_routes(**fields: object) -> Mapping[str, object]:
        return config(version, [{**row, **fields} for row in routes])

    def with_a_route(**fields: object) -> Mapping[str, object]:
        return config(version, [{**routes[0], **fields}, *routes[1:]])

    def with_services(**fields: object) -> Mapping[str, object]:
        services = ordinary["services"]
        assert isinstance(services, list)
        return {**ordinary, "services": [{**row, **fields} for row in services]}

    def with_a_service(**fields: object) -> Mapping[str, object]:
        services = ordinary["services"]
        assert isinstance(services, list)
        return {**ordinary, "services": [{**services[0], **fields}, *services[1:]]}

    def split(weight: object) -> Mapping[str, object]:
        parts = [{"service": name, "weight": weight} for name in ("orders", "catalogue")]
        rows = [{k: v for k, v in row.items() if k != "service"} for row in routes]
        return config(version, [{**row, "trafficSplit": parts} for row in rows])

    return {
        "version of 30 digits": {**ordinary, "version": "f" * 30},
        "version of 5,000 digits": {**ordinary, "version": "f" * 5_000},
        "version negative": {**ordinary, "version": "-0000005"},
        "header limit -1": with_limits(maxHeaderBytes=-1),
        "header limit 0": with_limits(maxHeaderBytes=0),
        "body limit -1": with_limits(maxBodyBytes=-1),
        "header timeout 0": with_limits(headerTimeout="0ms"),
        "idle timeout negative": with_limits(idleTimeout="-1s"),
        "limits of 2^70": with_limits(maxHeaderBytes=2**70, maxBodyBytes=2**70),
        "weights 1e308": split(1e308),
        "weights 0": split(0),
        "weights negative": split(-1),
        "weights 10^400": split(10**400),
        "a service's name of 1 MB": with_a_service(name=_LONG_TEXT),
        "a route's name of 1 MB": with_a_route(name=_LONG_TEXT),
        "prefix of 1 MB": with_a_route(prefix=f"/{_LONG_TEXT}/"),
        "host with control characters": with_routes(host=f"{HOST}\r\nX: y"),
        "prefix with a surrogate": with_routes(prefix="/\udc80/"),
        "timeout 0": with_routes(timeout="0ms"),
        "timeout of 300 digits": with_routes(timeout="1" + "0" * 300 + "s"),
        "target latency negative": with_routes(targetLatency="-5ms"),
        "priority 2^62": with_routes(priority=2**62),
        "priority negative": with_routes(priority=-(2**62)),
        "attempts 2^62": with_routes(maxAttempts=2**62),
        "attempts 0": with_routes(maxAttempts=0),
        "service unknown": with_routes(service="nobody's"),
        "services missing": {**ordinary, "services": []},
        "connections 2^62": with_services(maxConns=2**62),
        "connections -1": with_services(maxConns=-1),
        "health path with a newline": with_services(healthPath="/health\r\nHost: x"),
        "deep": b'{"version":"0000000f","routes":' + b"[" * _DEPTH + b"]" * _DEPTH + b"}",
        "not JSON": b"{",
        "empty": b"",
        "a list": b"[]",
    }


def with_new_route(
    version: int, routes: Sequence[dict[str, object]], service: str
) -> dict[str, object]:
    """Return a proper configuration with a route ``/v<version>/`` besides others."""
    return config(version, [*routes, route(f"v{version}", f"/v{version}/", service)])
