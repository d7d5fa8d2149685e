"""Whatever is written to the store is decoded within bounds or refused, and nothing else."""

import json
import math
import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result

from egretrail.cluster import (
    Scope,
    Section,
    UpstreamsReply,
    decode_chunks,
    decode_datagram,
    decode_upstreams,
    encode_chunks,
    encode_sections,
    encode_upstreams,
    run_to_completion,
    split_config,
)
from egretrail.gateway import InvalidDocument
from egretrail.http1 import Request, encode_request
from egretrail.platform import PlatformContract, PlatformLayout
from egretrail.store import Entry
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import (
    FleetConfig,
    ObjectiveTable,
    RouteTable,
    UpstreamRecord,
    choose_service,
)

#: The reader's wall clock, Unix time in seconds; the upstream started 100 s before.
_NOW_S = 1_790_000_100
_LAYOUT = PlatformLayout(clock=lambda: _NOW_S)
#: A refusal fits into a few log lines, whatever the document holds.
_REFUSAL_CHARACTERS_MAX = 4_000
_PATH = "servers/i-1"
_ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmupLeft": "0ms",
    "seq": 4,
    "born": 1_790_000_000_000,
}
_ROUTE: dict[str, Any] = {
    "name": "r",
    "host": "shop.example",
    "prefix": "/a/",
    "routeType": "safe",
    "timeout": "4000ms",
    "targetLatency": "1.2s",
    "priority": 2,
    "trafficSplit": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "maxAttempts": 2,
    "public": True,
}
_SERVICE: dict[str, Any] = {"name": "s", "healthPath": "/health", "maxConns": 390}
_SERVICES = [_SERVICE, {**_SERVICE, "name": "t"}]
_LIMITS: dict[str, Any] = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1000,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}
_ACCOUNT: dict[str, Any] = {
    "name": "a",
    "apiKeys": ["k1"],
    "priority": 0,
    "ratePerS": 89,
    "burst": 5,
}
_CONFIG: dict[str, Any] = {
    "version": "0000001f",
    "routes": [_ROUTE],
    "services": _SERVICES,
    "limits": _LIMITS,
    "tenants": [_ACCOUNT],
}


def _entry(**changes: Any) -> str:
    return json.dumps({**_ENTRY, **changes})


def _config(**changes: Any) -> str:
    return json.dumps({**_CONFIG, **changes})


def _route(**changes: Any) -> str:
    return _config(routes=[{**_ROUTE, **changes}])


def _weights(*weights: object) -> str:
    return _route(trafficSplit=[{"service": "s", "weight": weight} for weight in weights])


def _limits(**changes: Any) -> str:
    return _config(limits={**_LIMITS, **changes})


def _service(**changes: Any) -> str:
    return _config(services=[{**_SERVICE, **changes}, {**_SERVICE, "name": "t"}])


def _account(**changes: Any) -> str:
    return _config(tenants=[{**_ACCOUNT, **changes}])


#: Texts that are nearly one of the platform's, and texts that have stopped a decoder before.
_ODD_TEXTS = [
    *("", " ", "\udc80", "\x00", "a\r\nb: c", "\u0663", "é", "a b", "x" * 300, "~", "i-1~1"),
    *(
        "1e400s",
        "infs",
        "nans",
        "1_0s",
        "+1s",
        "-1s",
        "\u0663s",
        "9" * 5_000 + "s",
        "1" * 300 + "s",
    ),
    *("0x1", "+1", "1_0", "-1", "f" * 30, "0", "٣"),
    *("10.0.0.1:" + "9" * 5_000, "10.0.0.1:" + "0" * 6_000 + "80", "::1%\n:80", "[::1]:80", ":80"),
    *("/", "//", "/a b/", "/\r\nx/", "/" * 9_000, "ready", "draining", "1500ms", "safe", "s", "t"),
]
_NUMBERS = (
    st.integers() | st.floats() | st.sampled_from([2**31, 2**62, 2**64, 10**400, 1e308, 1e-320])
)
_SCALARS = st.none() | st.booleans() | _NUMBERS | st.text(max_size=8) | st.sampled_from(_ODD_TEXTS)
#: Any JSON value, including those that only Python's decoder accepts, such as NaN.
_JSON = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def _tables(base: dict[str, Any]) -> st.SearchStrategy[dict[str, Any]]:
    """Return a table in which some fields have any value."""
    changes = st.dictionaries(st.sampled_from([*base, "x"]), _JSON, max_size=2)
    return changes.map(lambda changed: {**base, **changed})


_CONFIGS = st.one_of(
    _tables(_CONFIG),
    _tables(_ROUTE).map(lambda route: {**_CONFIG, "routes": [route]}),
    _tables(_LIMITS).map(lambda limits: {**_CONFIG, "limits": limits}),
    _tables(_ACCOUNT).map(lambda account: {**_CONFIG, "tenants": [account]}),
    _tables(_SERVICE).map(lambda service: {**_CONFIG, "services": [service, *_SERVICES]}),
    st.lists(_SCALARS, max_size=3).map(lambda weights: json.loads(_weights(*weights))),
    st.fixed_dictionaries(dict.fromkeys(_CONFIG, _JSON)),
)


class OddDocumentTest(EgretrailTestCase):
    @cases(
        {
            "a port of 5,000 digits": _entry(address="10.0.0.1:" + "9" * 5_000),
            "a port behind 6,000 zeros": _entry(address="10.0.0.1:" + "0" * 6_000 + "80"),
            "an address with a line break": _entry(address="fe80::1%\r\n:80"),
            "slots beyond an address's connections": _entry(slots=65_536),
            "slots beyond 32 bits": _entry(slots=2**32),
            "a service of a megabyte": _entry(service="s" * 1_000_000),
            "a zone of 1,000 characters": _entry(zone="z" * 1_000),
            "a service with a line break": _entry(service="s\ntime=1"),
            "a warm-up of 10^300 s": _entry(warmupLeft="1" + "0" * 300 + "s"),
            "a warm-up with an underscore": _entry(warmupLeft="1_0s"),
            "a warm-up with a sign": _entry(warmupLeft="+1s"),
            "a start after the year 9999": _entry(born=2**62),
            "a number of 5,000 digits": _entry().replace('"slots": 4', '"slots": ' + "9" * 5_000),
            "a megabyte of lists": _entry(x=[[]] * 300_000),
        }
    )
    def test_an_odd_entry_is_refused(self, value: str) -> None:
        """An entry that int() or the log can't take ended all processes; large ones hung them."""
        self._assert_refused(_LAYOUT.decode_upstream(Entry(_PATH, value, 9)))

    @cases({"more than a day": 86_400_001, "ten years": 315_360_000_000})
    def test_a_start_in_the_future_is_refused(self, ahead_ms: int) -> None:
        """Such an entry hid the upstream's own ones, its drain and its next lifetime."""
        value = _entry(born=_NOW_S * 1_000 + ahead_ms)
        self._assert_refused(_LAYOUT.decode_upstream(Entry(_PATH, value, 9)))

    @cases({"now": 0, "some seconds": 5_000, "a day": 86_400_000})
    def test_a_start_by_a_clock_that_is_ahead_is_used(self, ahead_ms: int) -> None:
        """Clocks differ; a refused entry would take an upstream that is alive out of use."""
        value = _entry(born=_NOW_S * 1_000 + ahead_ms)
        self._assert_usable_upstream(_LAYOUT.decode_upstream(Entry(_PATH, value, 9)).unwrap())

    @cases(
        {
            "empty": "",
            "a lone surrogate": "\udc80",
            "a line break": "i-1\r\nx: y",
            "a space in front": " i-1",
            "no ASCII": "i-é",
            "beyond the store's 200 bytes": "i" * 200,
        }
    )
    def test_an_id_that_no_header_can_hold_is_refused(self, name: str) -> None:
        """The id of a lone surrogate could not be logged, and all processes ended."""
        self._assert_refused(_LAYOUT.decode_upstream(Entry("servers/" + name, _entry(), 9)))

    @cases(
        {
            "a version of 30 digits": _config(version="f" * 30),
            "a version of nine digits": _config(version="1" * 9),
            "a version with a sign": _config(version="+1"),
            "a version with a prefix": _config(version="0x1"),
            "a version with an underscore": _config(version="1_0"),
            "a version with spaces": _config(version=" 1 "),
            "a negative version": _config(version="-1"),
            "weights whose sum is infinite": _weights(1e308, 1e308),
            "a negative weight": _weights(-1, 1),
            "heads below 0 bytes": _limits(maxHeaderBytes=-1),
            "heads that hold no request": _limits(maxHeaderBytes=64),
            "heads beyond the memory": _limits(maxHeaderBytes=2**40),
            "bodies below 0 bytes": _limits(maxBodyBytes=-1),
            "no time for a head": _limits(headerTimeout="0ms"),
            "no time between requests": _limits(idleTimeout="0s"),
            "an idle time beyond numbers": _limits(idleTimeout="1e400s"),
            "no time for a response": _route(timeout="0ms"),
            "a timeout of 10^300 s": _route(timeout="1" + "0" * 300 + "s"),
            "a priority beyond the reports' byte": _route(priority=256),
            "a priority below 0": _route(priority=-1),
            "an account's priority beyond the byte": _account(priority=256),
            "attempts beyond all upstreams": _route(maxAttempts=2**62),
            "connections beyond 32 bits": _service(maxConns=2**62),
            "no connections": _service(maxConns=0),
            "a health path with a line break": _service(healthPath="/ HTTP/1.1\r\nx: y"),
            "a health path that is no path": _service(healthPath="health"),
            "a service name with a line break": _service(name="s\nx"),
            "a service name of a megabyte": _service(name="s" * 1_000_000),
            "a route name of a megabyte": _route(name="r" * 1_000_000),
            "a host of a megabyte": _route(host="h" * 1_000_000),
            "a prefix of a megabyte": _route(prefix="/" * 1_000_000),
            "an account's name of a megabyte": _account(name="a" * 1_000_000),
            "a thousand parts": _weights(*[1] * 1_000),
            "a rate of 10^300": _account(ratePerS=1e300),
            "eight megabytes": _config(x="x" * 8 * 1024 * 1024),
        }
    )
    def test_an_odd_configuration_is_refused(self, value: str) -> None:
        """A version that no message can hold ended all processes; odd limits refused all orders."""
        decoded = _LAYOUT.decode_config(value.encode())
        self._assert_refused(decoded)

    @cases(
        {
            "the largest slots": _entry(slots=65_535),
            "unknown fields": _entry(x={"y": [1] * 100}),
            "no start": _entry(born=None),
            "IPv6": _entry(address="2001:db8::1:8080"),
        }
    )
    def test_an_entry_within_the_bounds_is_used(self, value: str) -> None:
        self._assert_usable_upstream(_LAYOUT.decode_upstream(Entry(_PATH, value, 9)).unwrap())

    def test_a_clock_that_was_not_set_refuses_no_start(self) -> None:
        """An instance whose clock shows 1970 would use no upstream at all."""
        layout = PlatformLayout(clock=lambda: 60.0)
        self.assertIsInstance(layout.decode_upstream(Entry(_PATH, _entry(), 9)), Ok)

    @cases(
        {
            "all fields": _config(),
            "the largest version": _config(version="ffffffff"),
            "the lowest version": _config(version="00000000"),
            "a short version": _config(version="1"),
            "small limits": _limits(maxHeaderBytes=512, maxBodyBytes=0, idleTimeout="100ms"),
            "tiny weights": _weights(1e-9, 1e-9),
            "the largest priority": _route(priority=255),
            "a host in capitals": _route(host="SHOP.example"),
        }
    )
    def test_a_configuration_within_the_bounds_is_used(self, value: str) -> None:
        self._assert_usable_config(_LAYOUT.decode_config(value.encode()).unwrap())

    @cases(
        {
            "routes that are no tables": {"routes": [[]] * 60_000},
            "routes without parts": {"routes": [{**_ROUTE, "trafficSplit": []}] * 10_000},
            "services that are no tables": {"services": [0] * 60_000},
            "keys that are no texts": {"tenants": [{**_ACCOUNT, "apiKeys": [0] * 4_000}] * 500},
        }
    )
    def test_no_more_rows_are_decoded_than_faults_are_told(self, changes: dict[str, Any]) -> None:
        """The rows of one odd document blocked a process for seconds."""
        slices = _LAYOUT.decode_config_in_slices(json.dumps({**_CONFIG, **changes}).encode())
        self.assertLess(len(list(slices)), 5)

    def test_other_tasks_run_between_rows_of_many_parts(self) -> None:
        """A slice that was counted in routes held 6,400 parts."""
        split = [{"service": "s", "weight": 1}] * 64
        document = {**_CONFIG, "routes": [{**_ROUTE, "trafficSplit": split}] * 100}
        slices = _LAYOUT.decode_config_in_slices(json.dumps(document).encode())
        self.assertGreater(len(list(slices)), 40)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(_tables(_ENTRY), st.text(max_size=8) | st.sampled_from(_ODD_TEXTS))
    def test_any_entry_is_usable_or_refused(self, document: dict[str, Any], name: str) -> None:
        """Any value in any field, and any key: what is accepted fits into every message."""
        decoded = _LAYOUT.decode_upstream(Entry("servers/" + name, json.dumps(document), 9))
        if isinstance(decoded, Ok):
            self._assert_usable_upstream(decoded.ok_value)
        else:
            self._assert_refused(decoded)

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(_CONFIGS)
    def test_any_configuration_is_usable_or_refused(self, document: dict[str, Any]) -> None:
        """Any value in any field: what is accepted fits into every message and serves requests."""
        decoded = _LAYOUT.decode_config(json.dumps(document).encode())
        if isinstance(decoded, Ok):
            self._assert_usable_config(decoded.ok_value)
        else:
            self._assert_refused(decoded)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=60) | _JSON.map(lambda document: json.dumps(document).encode()))
    def test_any_bytes_are_refused(self, data: bytes) -> None:
        """Bytes that are no text, and documents of another shape."""
        self._assert_refused(_LAYOUT.decode_config(data))
        text = data.decode(errors="surrogateescape")
        self._assert_refused(_LAYOUT.decode_upstream(Entry(_PATH, text, 9)))

    def _assert_refused(self, decoded: Result[Any, InvalidDocument]) -> None:
        assert isinstance(decoded, Err), decoded
        text = str(decoded.err_value)
        self.assertLess(len(text), _REFUSAL_CHARACTERS_MAX)
        self.assertTrue(text.isascii() and text.isprintable())

    def _assert_usable_upstream(self, record: UpstreamRecord) -> None:
        reply = decode_upstreams(encode_upstreams(UpstreamsReply(1, [record]))).unwrap()
        self.assertEqual([record], list(reply.upstreams or ()))
        section = Section(Scope.ZONE, "a", "10.0.0.1", 7, 1, 3, 40, 1, 11, draining=[record.id])
        [datagram] = encode_sections([section], cross_zone=True)
        assert isinstance(decode_datagram(datagram), Ok)
        request = Request(b"GET", b"/", [], b"", 0.0)
        headers = PlatformContract().upstream_headers(request, record.name, 1.0)
        encoded = encode_request(b"GET", b"/", headers, b"")
        self.assertEqual(len(headers) + 2, encoded.count(b"\r\n"))
        self.assertLessEqual(1, record.slots)
        self.assertLessEqual(record.slots, 65_535)
        for text in (record.service, record.availability_zone, record.name):
            self.assertLessEqual(len(text.encode()), 200)
            self.assertTrue(text.isprintable())
        self.assertTrue(0 <= record.warmup_s < 1e7)

    def _assert_usable_config(self, config: FleetConfig) -> None:
        chunked = run_to_completion(split_config(config))
        chunks = [chunk for chunk in chunked.chunks if chunk.contents.routes]
        received = decode_chunks(encode_chunks(chunks)).unwrap()
        self.assertEqual([one.packed for one in chunks], [one.packed for one in received])
        self.assertTrue(0 <= config.version < 2**32)
        RouteTable(config)
        ObjectiveTable(config)
        rng = random.Random(1)
        for route in config.routes:
            self.assertIn(choose_service(route, rng), config.services)
            self.assertTrue(math.isfinite(sum(part.weight for part in route.parts)))
            self.assertTrue(0 <= route.priority <= 255)
            self.assertTrue(0 < route.timeout_s < 1e7)
            self.assertTrue((route.name + route.host).isprintable())
        for service in config.services.values():
            request_line = f"GET {service.health_path} HTTP/1.1"
            self.assertEqual(3, len(request_line.split()))
        limits = config.limits
        self.assertTrue(256 <= limits.header_bytes <= 2**24)
        self.assertLessEqual(0, limits.body_bytes)
        self.assertTrue(0 < limits.header_timeout_s < 1e7)
        self.assertTrue(0 < limits.idle_timeout_s < 1e7)
        for account in config.accounts or ():
            account.name.encode("ascii")
            self.assertTrue(math.isfinite(account.rate_per_s + account.burst))
