"""Tests of the platform adapter: HTTP contract, store layout, settings file, and wire names."""

import json
import re
import tempfile
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretrail.gateway import ResponseKind
from egretrail.http1 import ReceivedResponse, Request, ResponseOwner
from egretrail.platform import NodeFile, PlatformContract, PlatformLayout, read_node_file
from egretrail.store import Entry
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import AccountTable, RouteKind, UpstreamState

_CONTRACT = PlatformContract()
_SEAL = (b"X-Egretrail-Response-Seal", b"1a")
_ID = (b"X-Egretrail-Attempt-Id", b"a1")
_NOT_EXECUTED = (b"X-Egretrail-Not-Executed", b"1")


def _response(status: int, *headers: tuple[bytes, bytes], body: bytes = b"x") -> ReceivedResponse:
    return ReceivedResponse(status, b"", list(headers), body)


class AnswerKindTest(EgretrailTestCase):
    @cases(
        {
            "served": (_response(200, _SEAL), ResponseKind.SERVED),
            "refused by the application": (_response(404, _SEAL), ResponseKind.SERVED),
            "without a seal": (_response(200), ResponseKind.INVALID),
            "encoded": (
                _response(200, _SEAL, (b"Content-Encoding", b"gzip")),
                ResponseKind.INVALID,
            ),
            "full": (_response(503, _NOT_EXECUTED), ResponseKind.NOT_RUN),
            "no id": (_response(400, _NOT_EXECUTED), ResponseKind.NOT_RUN),
            "busy without the mark": (_response(503, _SEAL), ResponseKind.FAILED),
            "too many without the mark": (_response(429, _SEAL), ResponseKind.FAILED),
            "another instance": (_response(421), ResponseKind.WRONG_UPSTREAM),
            "failed": (_response(500, _SEAL), ResponseKind.FAILED),
            "out of time": (_response(504, _SEAL), ResponseKind.EXPIRED),
        }
    )
    def test_kind(self, case: tuple[ReceivedResponse, ResponseKind]) -> None:
        response, expected = case
        self.assertIs(expected, _CONTRACT.classify(response))

    @cases({"503": 503, "429": 429, "408": 408})
    def test_a_not_executed_status_without_the_header_becomes_502_without_seal(
        self, status: int
    ) -> None:
        forwarded = _CONTRACT.forwarded_response(_response(status, _SEAL))
        self.assertEqual(502, forwarded.status)
        self.assertNotIn(_SEAL, forwarded.headers)

    def test_responses_are_forwarded_without_hop_by_hop_headers(self) -> None:
        received = _response(
            200, _SEAL, _ID, (b"X-Own", b"1"), (b"Connection", b"close, x-hop"), (b"X-Hop", b"2")
        )
        forwarded = _CONTRACT.forwarded_response(received)
        self.assertEqual((200, b"x"), (forwarded.status, forwarded.body))
        self.assertEqual([_SEAL, _ID, (b"X-Own", b"1")], list(forwarded.headers))

    @cases(
        {
            "a number": (b"1.8", 1.8),
            "nothing at all": (b"0", 0.0),
            "huge": (b"1e9", 1e9),
            "with space": (b" 2 ", 2.0),
            "none": (None, None),
        }
    )
    def test_advertised_rate_limit(self, case: tuple[bytes | None, float | None]) -> None:
        stated, expected = case
        headers = [] if stated is None else [(b"Server-Limit", stated)]
        named = _CONTRACT.advertised_limit(_response(200, _SEAL, *headers))
        self.assertEqual(Ok(expected), named)

    @cases({"text": b"few", "negative": b"-1", "infinite": b"inf", "none": b"nan", "empty": b""})
    def test_an_invalid_rate_limit_is_rejected(self, stated: bytes) -> None:
        named = _CONTRACT.advertised_limit(_response(200, _SEAL, (b"Server-Limit", stated)))
        self.assertIsInstance(named, Err)

    @cases(
        {
            "draining": (200, ["Server-Leaving: 1"], (True, None, 0)),
            "draining in any case and with space": (500, ["server-leaving:  1 "], (True, None, 0)),
            "draining, stated twice": (200, ["Server-Leaving: 1"] * 2, (True, None, 0)),
            "draining beside a full queue": (
                503,
                ["Server-Leaving: 1", "Retry-After: 3"],
                (True, 3.0, 0),
            ),
            "draining beside another value": (200, ["Server-Leaving: 0, 1"], (True, None, 1)),
            "empty": (200, ["Server-Leaving:"], (False, None, 1)),
            "zero": (200, ["Server-Leaving: 0"], (False, None, 1)),
            "negative": (200, ["Server-Leaving: -1"], (False, None, 1)),
            "fraction": (200, ["Server-Leaving: 1.0"], (False, None, 1)),
            "text": (200, ["Server-Leaving: true"], (False, None, 1)),
            "another upstream's": (421, ["Server-Leaving: 1", "Retry-After: 3"], (False, None, 0)),
            "none": (200, [], (False, None, 0)),
        }
    )
    def test_notice_of_draining(
        self, case: tuple[int, list[str], tuple[bool, float | None, int]]
    ) -> None:
        self._assert_notices(*case)

    @cases(
        {
            "seconds": (503, ["Retry-After: 3"], (False, 3.0, 0)),
            "fraction": (503, ["Retry-After: 0.25"], (False, 0.25, 0)),
            "zero": (503, ["Retry-After: 0"], (False, 0.0, 0)),
            "huge": (503, ["Retry-After: 86400000"], (False, 86_400_000.0, 0)),
            "stated twice": (503, ["Retry-After: 1", "Retry-After: 3"], (False, 3.0, 0)),
            "list": (503, ["Retry-After: 3, 1"], (False, 3.0, 0)),
            "beside an invalid one": (503, ["Retry-After: x", "Retry-After: 2"], (False, 2.0, 1)),
            "empty": (503, ["Retry-After:"], (False, None, 1)),
            "negative": (503, ["Retry-After: -3"], (False, None, 1)),
            "with a sign": (503, ["Retry-After: +3"], (False, None, 1)),
            "exponent": (503, ["Retry-After: 3e0"], (False, None, 1)),
            "not a number": (503, ["Retry-After: nan"], (False, None, 1)),
            "infinite": (503, ["Retry-After: inf"], (False, None, 1)),
            "beyond all numbers": (503, ["Retry-After: " + "9" * 400], (False, None, 1)),
            "with a unit": (503, ["Retry-After: 3s"], (False, None, 1)),
            "date": (503, ["Retry-After: Thu, 03 Dec 2026 16:00:00 GMT"], (False, None, 2)),
            "digits that are not ASCII": (503, ["Retry-After: \u0663"], (False, None, 1)),
            "beside 200": (200, ["Retry-After: 3"], (False, None, 0)),
            "beside 429": (429, ["Retry-After: 3"], (False, None, 0)),
            "beside 500": (500, ["Retry-After: 3"], (False, None, 0)),
            "beside 504": (504, ["Retry-After: x"], (False, None, 0)),
        }
    )
    def test_notice_of_backoff(
        self, case: tuple[int, list[str], tuple[bool, float | None, int]]
    ) -> None:
        self._assert_notices(*case)

    def _assert_notices(
        self, status: int, rows: list[str], expected: tuple[bool, float | None, int]
    ) -> None:
        fields = [row.partition(":") for row in rows]
        headers = [(name.encode(), value.strip().encode()) for name, _, value in fields]
        for marks in ([], [_NOT_EXECUTED], [_SEAL]):
            notices = _CONTRACT.notices(_response(status, *headers, *marks))
            stated = (notices.is_draining, notices.backoff_s, len(notices.invalid))
            self.assertEqual(expected, stated)

    @cases(
        {
            "own": ([b"a1"], ResponseOwner.THIS_REQUEST),
            "own, stated twice": ([b"a1", b"a1"], ResponseOwner.THIS_REQUEST),
            "another's": ([b"a2"], ResponseOwner.ANOTHER_REQUEST),
            "none": ([], ResponseOwner.UNKNOWN),
            "own first": ([b"a1", b"a2"], ResponseOwner.UNKNOWN),
            "another's first": ([b"a2", b"a1"], ResponseOwner.UNKNOWN),
        }
    )
    def test_owner_of_a_response(self, case: tuple[list[bytes], ResponseOwner]) -> None:
        """Upstreams repeat the id, so a response without it may be another request's."""
        stated, expected = case
        headers = [(b"X-Egretrail-Attempt-Id", value) for value in stated]
        self.assertIs(expected, _CONTRACT.response_owner(_response(200, *headers), "a1"))

    @cases(
        {
            "none": ([], ResponseOwner.THIS_REQUEST),
            "empty": ([b""], ResponseOwner.THIS_REQUEST),
            "another's": ([b"a2"], ResponseOwner.ANOTHER_REQUEST),
        }
    )
    def test_a_request_without_an_id_gets_a_response_without_one(
        self, case: tuple[list[bytes], ResponseOwner]
    ) -> None:
        stated, expected = case
        headers = [(b"X-Egretrail-Attempt-Id", value) for value in stated]
        self.assertIs(expected, _CONTRACT.response_owner(_response(400, *headers), ""))


class RequestTest(EgretrailTestCase):
    def _request(self, *headers: tuple[bytes, bytes], target: bytes = b"/p") -> Request:
        return Request(b"GET", target, list(headers), b"", 0.0)

    def test_upstreams_get_the_remaining_time_and_the_expected_instance(self) -> None:
        request = self._request(
            (b"Host", b"shop"),
            _ID,
            (b"X-Egretrail-Request-Deadline", b"3000"),
            (b"X-Egretrail-Expected-Instance", b"forged"),
            (b"Connection", b"keep-alive"),
            (b"Accept", b"*/*"),
        )
        self.assertEqual(
            [
                (b"Host", b"shop"),
                _ID,
                (b"Accept", b"*/*"),
                (b"x-egretrail-request-deadline", b"2500"),
                (b"x-egretrail-expected-instance", b"i-1"),
            ],
            _CONTRACT.upstream_headers(request, "i-1", 2.5),
        )

    def test_upstreams_get_the_account_from_the_gateway_and_never_the_key(self) -> None:
        request = self._request(
            (b"Host", b"shop"),
            (b"Api-Key", b"secret"),
            (b"API-KEY", b"secret"),
            (b"X-Egretrail-Tenant", b"forged"),
            (b"x-egretrail-TENANT", b"forged"),
        )
        own = [(b"x-egretrail-request-deadline", b"1000"), (b"x-egretrail-expected-instance", b"i")]
        named = [(b"Host", b"shop"), *own, (b"x-egretrail-tenant", b"acme")]
        self.assertEqual(named, _CONTRACT.upstream_headers(request, "i", 1.0, "acme"))
        self.assertEqual(named[:-1], _CONTRACT.upstream_headers(request, "i", 1.0))

    @cases(
        {
            "one": ([(b"Api-Key", b" k1 ")], b"k1"),
            "none": ([], None),
            "empty": ([(b"Api-Key", b"")], None),
            "twice": ([(b"Api-Key", b"k1"), (b"api-key", b"k1")], None),
            "overlong": ([(b"Api-Key", b"k" * 513)], None),
        }
    )
    def test_api_key(self, case: tuple[list[tuple[bytes, bytes]], bytes | None]) -> None:
        headers, expected = case
        terms = _CONTRACT.request_metadata(self._request(*headers))
        self.assertEqual(expected, terms.api_key)
        self.assertNotIn("k1", repr(terms))

    @cases({"stated": (b"1500", 1.5), "not a number": (b"soon", None), "none": (None, None)})
    def test_client_wait_time(self, case: tuple[bytes | None, float | None]) -> None:
        stated, expected = case
        headers = [(b"X-Egretrail-Request-Deadline", stated)] if stated is not None else []
        self.assertEqual(expected, _CONTRACT.request_metadata(self._request(*headers)).wait_s)

    def test_directory_request_and_response(self) -> None:
        asked = self._request(target=b"/api/resolve?name=x&region=r&zone=espoo-b")
        self.assertEqual("espoo-b", _CONTRACT.directory_zone(asked))
        self.assertIsNone(_CONTRACT.directory_zone(self._request()))
        response = _CONTRACT.directory_response(["10.0.0.1:80"], 1.5)
        self.assertEqual({"addresses": ["10.0.0.1:80"], "ttl": "1500ms"}, json.loads(response.body))


def _document(**changes: Any) -> dict[str, Any]:
    route = {
        "name": "r",
        "host": "Shop.Example",
        "prefix": "/a/",
        "routeType": "safe",
        "timeout": "4000ms",
        "targetLatency": "1.2s",
        "priority": 2,
        "trafficSplit": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
        "maxAttempts": 2,
    }
    services = [{"name": n, "healthPath": "/health", "maxConns": 390} for n in ("s", "t")]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15000ms",
    }
    return {
        "version": "0000001f",
        "routes": [{**route, **changes}],
        "services": services,
        "limits": limits,
    }


_ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmupLeft": "0ms",
    "seq": 4,
}

#: Any JSON value, including those that only Python's decoder accepts, such as NaN.
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def _entry(**changes: Any) -> str:
    return json.dumps({**_ENTRY, **changes})


def _entry_without(name: str) -> str:
    return json.dumps({field: value for field, value in _ENTRY.items() if field != name})


def _upstream(**changes: Any) -> Any:
    layout = PlatformLayout(clock=lambda: 1_790_000_100.0)
    return layout.decode_upstream(Entry("servers/i-1", _entry(**changes), 9))


class LayoutTest(EgretrailTestCase):
    def test_decode_config(self) -> None:
        decoded = PlatformLayout().decode_config(json.dumps(_document()).encode())
        assert isinstance(decoded, Ok)
        config = decoded.ok_value
        [route] = config.routes
        self.assertEqual((31, "shop.example", 4.0, 1.2), _route_summary(config.version, route))
        self.assertIs(RouteKind.IDEMPOTENT, route.kind)
        self.assertEqual([("s", 90.0), ("t", 10.0)], [(p.service, p.weight) for p in route.parts])
        self.assertEqual((1000, 15.0), (config.limits.body_bytes, config.limits.idle_timeout_s))

    @cases({"safe": "safe", "download": "download"})
    def test_idempotent_route_types(self, kind: str) -> None:
        decoded = PlatformLayout().decode_config(json.dumps(_document(routeType=kind)).encode())
        assert isinstance(decoded, Ok)
        self.assertIs(RouteKind.IDEMPOTENT, decoded.ok_value.routes[0].kind)

    @cases({"unsafe": "unsafe", "a kind of later": "keyed"})
    def test_other_route_types_run_at_most_once(self, kind: str) -> None:
        decoded = PlatformLayout().decode_config(json.dumps(_document(routeType=kind)).encode())
        assert isinstance(decoded, Ok)
        self.assertIs(RouteKind.AT_MOST_ONCE, decoded.ok_value.routes[0].kind)

    @cases(
        {
            "not json": (b"{", 1),
            "not a table": (b"[]", 4),
            "no timeout": (json.dumps(_document(timeout=None)).encode(), 1),
            "no timeout and no host": (
                json.dumps(_document(timeout=None, host=None)).encode(),
                2,
            ),
            "unknown service": (
                json.dumps(_document(trafficSplit=[{"service": "z", "weight": 1}])).encode(),
                1,
            ),
            "no weight": (
                json.dumps(_document(trafficSplit=[{"service": "s", "weight": 0}])).encode(),
                1,
            ),
            "a name that is no text": (json.dumps(_document(name="\ud800")).encode(), 1),
            "more attempts than 64 bits hold": (
                json.dumps(_document(maxAttempts=2**63)).encode(),
                1,
            ),
            "a negative number beyond all": (json.dumps(_document(priority=-(2**64))).encode(), 1),
            "two faults": (json.dumps(_document(prefix="a", priority="x")).encode(), 2),
        }
    )
    def test_all_faults_are_reported_at_once(self, case: tuple[bytes, int]) -> None:
        value, least = case
        decoded = PlatformLayout().decode_config(value)
        assert isinstance(decoded, Err)
        self.assertGreaterEqual(len(decoded.err_value.faults), least)

    def test_decode_accounts(self) -> None:
        rows = [
            {"name": "a", "apiKeys": ["k1", "k2"], "priority": 0, "ratePerS": 89, "burst": 5},
            {"name": "b", "apiKeys": []},
        ]
        document = json.dumps({**_document(public=True), "tenants": rows}).encode()
        decoded = PlatformLayout().decode_config(document)
        assert isinstance(decoded, Ok)
        self.assertTrue(decoded.ok_value.routes[0].is_public)
        first, second = decoded.ok_value.accounts or ()
        self.assertEqual((0, 89.0, 5.0), (first.priority, first.rate_per_s, first.burst))
        self.assertEqual((None, False), (second.priority, second.is_limited))
        table = AccountTable([first, second])
        found = [table.find(key) for key in (b"k1", b"k2", b"k3", b"")]
        self.assertEqual([first, first, None, None], found)

    @cases(
        {
            "a key that is no text": {"apiKeys": ["kept-secret", 7]},
            "a key beyond header fields": {"apiKeys": ["kept-secret\n"]},
            "keys that are no list": {"apiKeys": "kept-secret"},
            "a name beyond header fields": {"name": "a\r\nb"},
            "a rate below 0": {"ratePerS": -1},
            "no account": None,
            "a key of two accounts": {"name": "other", "apiKeys": ["k"]},
        }
    )
    def test_account_faults_do_not_reveal_keys(self, row: dict[str, Any] | None) -> None:
        broken = None if row is None else {"name": "a", "apiKeys": ["kept-secret"], **row}
        rows = [{"name": "first", "apiKeys": ["k"]}, broken]
        document = json.dumps({**_document(), "tenants": rows}).encode()
        decoded = PlatformLayout().decode_config(document)
        assert isinstance(decoded, Err)
        self.assertNotIn("kept-secret", str(decoded.err_value))

    def test_decode_upstream(self) -> None:
        decoded = _upstream(state="draining", warmupLeft="1500ms")
        assert isinstance(decoded, Ok)
        record = decoded.ok_value
        self.assertEqual(("i-1", 4, 1.5), (record.id, record.slots, record.warmup_s))
        self.assertIs(UpstreamState.DRAINING, record.state)
        broken = PlatformLayout().decode_upstream(Entry("servers/i-1", "{}", 9))
        self.assertIsInstance(broken, Err)

    def test_each_start_under_the_same_name_is_a_new_lifetime(self) -> None:
        first, second = (
            _upstream(born=born).unwrap() for born in (1_790_000_000_000, 1_790_000_009_000)
        )
        self.assertEqual(("i-1", "i-1"), (first.name, second.name))
        self.assertNotEqual(first.id, second.id)
        self.assertLess(first.started_ms, second.started_ms)

    @cases(
        {
            "not json": "{",
            "not a table": "[1]",
            "bytes that are no text": b"{\xff\xfe}".decode(errors="surrogateescape"),
            "text that is no text": json.dumps(_ENTRY).replace("10.0.0.1", "\udcff"),
            "tables within tables": "[" * 100_000,
            **{f"no {name}": _entry_without(name) for name in _ENTRY},
            "slots of another type": _entry(slots="4"),
            "slots that are a truth": _entry(slots=True),
            "no slots at all": _entry(slots=0),
            "unknown state": _entry(state="thinking"),
            "state of another type": _entry(state=1),
            "service of another type": _entry(service=["s"]),
            "no port": _entry(address="10.0.0.1"),
            "a port too large": _entry(address="10.0.0.1:70000"),
            "no number of an address": _entry(address="host:80"),
            "a time without end": _entry(warmupLeft="infs"),
            "no time": _entry(warmupLeft="nans"),
            "a start that is a text": _entry(born="1790000000000"),
            "a start that is a fraction": _entry(born=1.5),
            "a start before all starts": _entry(born=-1),
        }
    )
    def test_an_invalid_entry_is_rejected(self, value: str) -> None:
        decoded = PlatformLayout().decode_upstream(Entry("servers/i-1", value, 9))
        self.assertIsInstance(decoded, Err)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.dictionaries(st.sampled_from([*_ENTRY, "born", "x"]), _JSON), st.binary(max_size=60))
    def test_any_entry_is_decoded_or_rejected(self, document: dict[str, Any], data: bytes) -> None:
        for value in (json.dumps({**_ENTRY, **document}), data.decode(errors="surrogateescape")):
            decoded = PlatformLayout().decode_upstream(Entry("servers/i-1", value, 9))
            self.assertIsInstance(decoded, (Ok, Err))

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.dictionaries(st.sampled_from(sorted(_document())), _JSON), st.binary(max_size=60))
    def test_any_configuration_is_decoded_or_rejected(
        self, document: dict[str, Any], data: bytes
    ) -> None:
        for value in (json.dumps({**_document(), **document}).encode(), data, b"[" * 100_000):
            decoded = PlatformLayout().decode_config(value)
            self.assertIsInstance(decoded, (Ok, Err))


def _route_summary(version: int, route: Any) -> tuple[int, str, float, float]:
    return version, route.host, route.timeout_s, route.objective_s


_NODE = """
[self]
nodeName = "front-a-1"
ip = "10.1.0.34"
zone = "a"
[self.limits]
cpuShare = 0.5
cores = 2
memoryMb = 300
[network]
internalPorts = [7540, 7555]
seeds = ["10.1.0.34:8544", "10.2.0.34:8544"]
[network.listen]
front = "10.1.0.34:8548"
ready = "10.1.0.34:8542"
directory = "10.1.0.34:8546"
[platform.platform]
address = "10.200.1.7:8541"
[terms.bounds]
grace = "6s"
configApply = "2500ms"
drain = "2000ms"
budgetSlack = 62
"""


class NodeFileTest(EgretrailTestCase):
    def _read_text(self, text: str) -> Any:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            return read_node_file(path)

    def test_read_settings(self) -> None:
        read = self._read_text(_NODE)
        assert isinstance(read, Ok)
        node = read.ok_value
        self.assertEqual(("10.1.0.34", 7540), (node.ip, node.peer_port))
        self.assertEqual(["10.1.0.34", "10.2.0.34"], list(node.seeds))
        self.assertEqual((1.0, 6.0, 62.0), _bound_values(node))

    @cases(
        {
            "another size": lambda path: path.write_text(_NODE + "\n"),
            "replaced by another of the same size": lambda path: _replace_by_copy(path),
            "gone": lambda path: path.unlink(),
        }
    )
    def test_the_fingerprint_of_a_file_differs_after_a_change(self, change: Any) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(_NODE)
            file = NodeFile(path)
            before = file.fingerprint()
            self.assertEqual(before, file.fingerprint())
            change(path)
            self.assertNotEqual(before, file.fingerprint())

    @cases(
        {
            "not there": (None, 1),
            "not toml": ("[", 1),
            "two fields missing": (_NODE.replace('ip = "10.1.0.34"\nzone = "a"', ""), 2),
            "wrong unit": (_NODE.replace('"6s"', '"6 hours"'), 1),
        }
    )
    def test_faults_of_an_unreadable_file(self, case: tuple[str | None, int]) -> None:
        text, count = case
        read = read_node_file(Path("/nowhere")) if text is None else self._read_text(text)
        assert isinstance(read, Err)
        self.assertEqual(count, len(read.err_value.faults))

    @cases(
        {
            "a_port_of_another_type": ("internalPorts", '[["x"], 2]'),
            "a_port_that_is_no_number": ("internalPorts", "[nan, 2]"),
            "a_port_with_a_fraction": ("internalPorts", "[7540.5, 7555]"),
            "a_port_beyond_all": ("internalPorts", "[70000, 70015]"),
            "no_ports": ("internalPorts", "[]"),
            "a_seed_of_another_type": ("seeds", "[1]"),
            "a_seed_that_is_no_address": ("seeds", '["host"]'),
            "a_seed_that_is_a_name": ("seeds", '["host.example:8544"]'),
            "a_store_without_a_port": ("address", '"10.200.1.7"'),
            "a_store_that_is_a_name": ("address", '"store.example:8541"'),
            "a_store_with_another_port": ("address", '"10.200.1.7:x"'),
            "no_memory": ("memoryMb", "0"),
            "no_share": ("cpuShare", "0.0"),
            "a_share_below_nothing": ("cpuShare", "-1"),
            "a_share_beyond_numbers": ("cpuShare", "1e308"),
            "an_empty_window": ("budgetWindow", '"0s"'),
            "a_slack_below_nothing": ("budgetSlack", "-1"),
            "a_ratio_below_nothing": ("retryBudgetRatio", "-0.1"),
            "nested_too_deep": ("nodeName", "[" * 5000),
        }
    )
    def test_an_unusable_value_is_reported_as_one_fault(self, case: tuple[str, str]) -> None:
        name, value = case
        bounds = 'budgetWindow = "10s"\nretryBudgetRatio = 0.2\n'
        read = self._read_text(re.sub(rf"(?m)^{name} = .*$", f"{name} = {value}", _NODE + bounds))
        assert isinstance(read, Err), read
        self.assertEqual(1, len(read.err_value.faults))

    @cases(
        {
            "no list of contracts": ("", False),
            "an empty list": ("contracts = []", False),
            "other contracts": ('contracts = ["quota", 5]', False),
            "the contract of fair shares": ('contracts = ["quota", "pressure"]', True),
        }
    )
    def test_accounts_share_capacity_where_the_contracts_say_so(
        self, case: tuple[str, bool]
    ) -> None:
        line, expected = case
        read = self._read_text(_NODE.replace("[terms.bounds]", f"[terms]\n{line}\n[terms.bounds]"))
        assert isinstance(read, Ok), read
        self.assertIs(expected, read.ok_value.shares_capacity)
        self.assertIs(expected, read.ok_value.controls_overload)

    @cases({"a text": '"pressure"', "a table": "{pressure = true}", "a boolean": "true"})
    def test_contracts_of_another_type_are_one_fault(self, value: str) -> None:
        text = _NODE.replace("[terms.bounds]", f"[terms]\ncontracts = {value}\n[terms.bounds]")
        read = self._read_text(text)
        assert isinstance(read, Err), read
        self.assertEqual(1, len(read.err_value.faults))


def _replace_by_copy(path: Path) -> None:
    other = path.with_suffix(".new")
    other.write_text(_NODE)
    other.replace(path)


def _bound_values(settings: Any) -> tuple[float, float, float]:
    return settings.capacity, settings.stop_grace_s, settings.repeat_slack


class NamesTest(EgretrailTestCase):
    """Only the adapter may contain the platform's wire names."""

    _NAMES = (
        "x-egretrail-attempt-id",
        "x-egretrail-request-deadline",
        "x-egretrail-response-seal",
        "x-egretrail-expected-instance",
        "x-egretrail-backend-load",
        "x-egretrail-not-executed",
        "/api/",
        "op/config",
        "servers/",
        "routeType",
        "trafficSplit",
        "targetLatency",
        "maxAttempts",
        "warmupLeft",
        "budgetSlack",
        "nodeName",
    )

    def test_wire_names_appear_in_the_adapter_only(self) -> None:
        root = Path(__file__).resolve().parents[2]
        found: Mapping[str, list[str]] = {
            str(path.relative_to(root)): [n for n in self._NAMES if n.lower() in text]
            for path in root.rglob("*.py")
            if path.parts[len(root.parts)] != "platform"
            for text in [path.read_text().lower()]
        }
        self.assertEqual({}, {path: names for path, names in found.items() if names})
