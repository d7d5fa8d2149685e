"""The parsers of settings: all faults are reported, and arbitrary text does not raise."""

import tomli_w
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretrail.identity import AvailabilityZone, InstanceName
from egretrail.settings import (
    ChangeRecord,
    Envelope,
    SettingPath,
    change_of,
    decode_envelope,
    is_store_watcher,
    parse_instance_settings,
    parse_operator_tokens,
    parse_setting,
)
from egretrail.testing import EgretrailTestCase, cases

_VALUES = st.recursive(
    st.one_of(
        st.integers(-5, 100000), st.floats(allow_nan=False), st.booleans(), st.text(max_size=9)
    ),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=9), inner, max_size=3),
    max_leaves=6,
)
_KEYS = st.sampled_from(
    ["floor", "detection", "service", "path_prefix", "host", "queue_s", "deadline_s", "instance"]
)
_fuzz = settings(derandomize=True, max_examples=200, deadline=None)
_PATHS = [SettingPath.parse(p).unwrap() for p in ("t/services/a", "t/routes/r")]


class FuzzTest(EgretrailTestCase):
    @_fuzz
    @given(st.text(max_size=200))
    def test_arbitrary_text_does_not_raise(self, text: str) -> None:
        for path in _PATHS:
            self.assertIsInstance(parse_setting(path, text), (Ok, Err))
        self.assertIsInstance(parse_instance_settings(text, "f"), (Ok, Err))
        self.assertIsInstance(parse_operator_tokens(text, "f"), (Ok, Err))
        self.assertIsInstance(SettingPath.parse(text), (Ok, Err))
        decode_envelope(text)
        change_of(text, text, 1)

    @_fuzz
    @given(st.dictionaries(_KEYS, _VALUES, max_size=6))
    def test_arbitrary_documents_do_not_raise(self, document: dict[str, object]) -> None:
        text = tomli_w.dumps(document)
        for path in _PATHS:
            self.assertIsInstance(parse_setting(path, text), (Ok, Err))
        self.assertIsInstance(parse_instance_settings(text, "f"), (Ok, Err))
        self.assertIsInstance(parse_operator_tokens(text, "f"), (Ok, Err))


class FaultsTest(EgretrailTestCase):
    def test_an_instance_file_reports_every_fault_with_file_and_key(self) -> None:
        text = """
            fleet_key_file = ""
            [instance]
            name = "Upper Case"
            colour = "red"
            [caller_face]
            host = "example.com"
            port = 70000
            [limits]
            requests_in_flight = 0
        """
        refused = parse_instance_settings(text, "i.toml")
        assert isinstance(refused, Err)
        keys = {fault.key for fault in refused.err_value.faults}
        expected = {
            "fleet_key_file",
            "instance.name",
            "instance.colour",
            "instance.availability_zone",
            "caller_face.host",
            "caller_face.port",
            "limits.requests_in_flight",
            "peer_face",
            "operator_face",
            "platform",
        }
        self.assertEqual(expected, keys)
        self.assertTrue(str(refused.err_value).startswith("i.toml: 10 fault(s)"))

    @cases(
        {
            "unknown_key": (0, "floor = 1\nflor = 2"),
            "negative": (0, "floor = -1"),
            "contradiction": (
                1,
                'service = "a"\npath_prefix = "/"\nqueue_s = 9.0\ndeadline_s = 1.0',
            ),
            "lower_case_method": (
                1,
                'service = "a"\npath_prefix = "/"\nidempotent_methods = ["get"]',
            ),
            "prefix_with_a_query": (1, 'service = "a"\npath_prefix = "/x?y"'),
        }
    )
    def test_invalid_values_are_refused(self, row: tuple[int, str]) -> None:
        kind, text = row
        self.assertIsInstance(parse_setting(_PATHS[kind], text), Err)


class TokensTest(EgretrailTestCase):
    @cases(
        {
            "right": ("Bearer one-token-for-team-a", "a"),
            "scheme_in_lower_case": ("bearer one-token-for-team-a", "a"),
            "other_team": ("Bearer one-token-for-team-b", "b"),
            "wrong": ("Bearer one-token-for-team-c", None),
            "prefix": ("Bearer one-token-for-team", None),
            "other_scheme": ("Basic one-token-for-team-a", None),
            "empty": ("", None),
            "missing": (None, None),
        }
    )
    def test_a_token_identifies_its_team(self, row: tuple[str | None, str | None]) -> None:
        header, team = row
        text = 'a = "one-token-for-team-a"\nb = "one-token-for-team-b"'
        tokens = parse_operator_tokens(text, "f").unwrap()
        self.assertEqual(team, tokens.team_of(header))
        self.assertNotIn("one-token", repr(tokens))

    @cases(
        {
            "short": 'a = "secret"',
            "not_a_text": "a = 12345678901234567",
            "no_team": '"A b" = "secret-secret-secret"',
            "shared": 'a = "secret-secret-secret"\nb = "secret-secret-secret"',
            "not_toml": "secret-secret-secret",
        }
    )
    def test_faults_never_contain_a_token(self, text: str) -> None:
        refused = parse_operator_tokens(text, "f")
        assert isinstance(refused, Err)
        self.assertNotIn("secret", str(refused.err_value))


class EnvelopeTest(EgretrailTestCase):
    def test_history_is_bounded_in_length_and_size(self) -> None:
        envelope = Envelope(ChangeRecord("change-0", "t", 0.0, "x"))
        for number in range(1, 30):
            change = ChangeRecord(f"change-{number}", "t", 0.0, '"' * 32 * 1024 * 4)
            envelope = envelope.with_change(change, number)
        encoded = envelope.encode()
        self.assertLess(len(encoded), 1_000_000)
        read = decode_envelope(encoded)
        self.assertEqual("change-29", read.latest.change_id)
        self.assertEqual([29, 28], [one.revision for one in read.history][:2])


class WatcherTest(EgretrailTestCase):
    @cases({"few_zones": (44, 3, 6), "many_zones": (3500, 11, 1), "alone": (1, 1, 1)})
    def test_every_zone_has_few_watchers(self, row: tuple[int, int, int]) -> None:
        size, zones, expected = row
        members = {
            InstanceName(f"i{n}"): AvailabilityZone(f"zone-{n % zones}") for n in range(size)
        }
        # In a large fleet all zones are alike, so that checking one zone is enough.
        asked = [name for name, zone in members.items() if size < 99 or zone == "zone-0"]
        self.assertEqual(expected, sum(is_store_watcher(name, members) for name in asked))
