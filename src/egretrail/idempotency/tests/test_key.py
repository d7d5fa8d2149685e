"""Parsing of keys and prefixes, and the binding of keys to requests."""

from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretrail.idempotency import (
    ForgedKey,
    IdempotencyKey,
    InvalidKeySuffix,
    KeyPrefix,
    MalformedKey,
    issue_prefix,
    parse_key,
    request_binding,
)
from egretrail.identity import CallerId, Incarnation, InstanceName, RouteName, ServiceName
from egretrail.request import RequestEnvelope
from egretrail.testing import EgretrailTestCase, cases

_FLEET_KEY = b"k" * 100
_HOME = Incarnation(InstanceName("vantaa-a-07"), 0x18F0_1234_5678_9ABC)
_WITNESS = Incarnation(InstanceName("espoo-b-02"), 0x18F0_1234_0000_0001)
_PREFIX = KeyPrefix(_HOME, _WITNESS, 41)
_ISSUED = issue_prefix(_PREFIX, _FLEET_KEY)
_REQUEST = RequestEnvelope(
    "POST", "/v", (), b"b", CallerId("c"), ServiceName("t/s"), RouteName("t/r"), 1.0
)


class ParseTest(EgretrailTestCase):
    @cases({"with_witness": _PREFIX, "alone": KeyPrefix(_HOME, None, 1)})
    def test_an_issued_prefix_is_parsed(self, prefix: KeyPrefix) -> None:
        text = issue_prefix(prefix, _FLEET_KEY)
        parsed = parse_key(f"{text}.order-7_A", _FLEET_KEY)
        self.assertEqual(Ok(IdempotencyKey(prefix, "order-7_A")), parsed)
        self.assertTrue(len(text) <= 80)

    @cases(
        {
            "empty": ("", MalformedKey),
            "a_plain_uuid": ("5b1fd7e4-8b7c-4b0e-9f3e-1c2d3e4f5a6b", MalformedKey),
            "no_suffix": (_ISSUED, MalformedKey),
            "empty_suffix": (_ISSUED + ".", InvalidKeySuffix),
            "long_suffix": (_ISSUED + "." + "x" * 65, InvalidKeySuffix),
            "suffix_with_dot": (_ISSUED + ".a.b", InvalidKeySuffix),
            "suffix_with_newline": (_ISSUED + ".a\n", InvalidKeySuffix),
            "padded": (_ISSUED + "=.a", MalformedKey),
            "changed": (_ISSUED[:5] + "AA" + _ISSUED[7:] + ".a", ForgedKey),
            "short": ("AAAA.a", ForgedKey),
            "not_ascii": (_ISSUED + ".ä", InvalidKeySuffix),
        }
    )
    def test_invalid_keys_give_typed_failures(self, row: tuple[str, type[object]]) -> None:
        parsed = parse_key(row[0], _FLEET_KEY)
        assert isinstance(parsed, Err)
        self.assertIsInstance(parsed.err_value, row[1])

    def test_another_fleets_prefix_is_refused(self) -> None:
        self.assertEqual(Err(ForgedKey()), parse_key(_ISSUED + ".a", b"other fleet key "))

    def test_a_prefix_has_one_valid_encoding(self) -> None:
        variants = {
            _ISSUED[:-1] + last
            for last in "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
        }
        accepted = [text for text in variants if parse_key(text + ".a", _FLEET_KEY).is_ok()]
        self.assertEqual([_ISSUED], accepted)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.text(max_size=120))
    def test_arbitrary_text_does_not_raise(self, text: str) -> None:
        self.assertIsInstance(parse_key(text, _FLEET_KEY), Err)


class BindingTest(EgretrailTestCase):
    @cases(
        {
            "caller": {"caller_id": CallerId("d")},
            "method": {"method": "PUT"},
            "target": {"target": "/v?x"},
            "body": {"body": b"c"},
        }
    )
    def test_bindings_differ_by_request_and_client(self, change: dict[str, Any]) -> None:
        other = replace(_REQUEST, **change)
        self.assertNotEqual(request_binding(_REQUEST), request_binding(other))
