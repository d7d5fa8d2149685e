"""Whatever the settings file holds, reading it gives usable settings or a typed refusal."""

import os
import re
import tempfile
from collections.abc import Callable
from ipaddress import IPv4Address, ip_address
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretrail.gateway import GatewaySettings, InvalidDocument
from egretrail.platform import read_node_file
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import GatewayFleet

#: A refusal fits into a few log lines, whatever the file holds.
_REFUSAL_CHARACTERS_MAX = 4_000
_PORT_MAX = 65_535
_DAY_S = 86_400.0

_FILE = """
[self]
nodeName = "node-1"
ip = "10.1.0.34"
zone = "a"
[self.limits]
cpuShare = 0.86
cores = 1
memoryMb = 300
maxFds = 4100
[network]
internalPorts = [7540,7555]
seeds = ["10.1.0.34:8544","10.2.0.34:8544"]
[network.listen]
front = "10.1.0.34:8548"
ready = "10.1.0.34:8542"
control = "10.1.0.34:8544"
directory = "10.1.0.34:8546"
[platform.platform]
address = "10.200.1.7:8541"
[terms]
contracts = ["base","drain"]
[terms.bounds]
grace = "6s"
ttl_max = "5s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = 62
quotaWindow = "5s"
quotaOver = 0.1
quotaSlack = 3
strictRevoke = true
revoke = "2s"
"""
_FIELDS = re.findall(r"(?m)^(\w+) = ", _FILE)
_NINES = "9" * 5_000

_ODD_VALUES = st.one_of(
    st.sampled_from(
        [
            *("0", "-1", "1e308", "-1e308", "5e-324", "nan", "inf", "-inf", "true", "false", "{}"),
            *("[]", "[[]]", "[0]", "[65534]", "[65536, 1]", '[""]', "1979-05-27", "07:32:00"),
            *("0x" + "f" * 5_000, _NINES, f"[{_NINES}]", "[" * 5_000, "{a=" * 2_000, "", "["),
            *(f'"{text}"' for text in ("", "foo", ":", "abc:1", "1.2.3.4:", "1.2.3.4:abc")),
            *(f'"{text}"' for text in ("1.2.3.4:65536", "1.2.3.4:0", "1.2.3.4:²", "::1", "::1:1")),
            *(f'"{text}"' for text in (f"1.2.3.4:{_NINES}", f"{_NINES}s", "1e308s", "-1s", "0s")),
            *(f'"{text}"' for text in (r"\u0000", r"\n", "é", "x" * 9_000, "9" * 30 + "e999s")),
        ]
    ),
    st.integers().map(str),
    st.floats().map(repr),
    st.text().map(lambda text: f'"{text}"'),
    st.text(),
)


def _read(content: bytes) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_bytes(content)
        return read_node_file(path)


def _with(name: str, value: str) -> bytes:
    text = re.sub(rf"(?m)^{name} = .*$", lambda _: f"{name} = {value}", _FILE)
    return text.encode(errors="surrogatepass")


class OddSettingsTest(EgretrailTestCase):
    def _assert_usable_or_refused(self, read: Any) -> None:
        if isinstance(read, Err):
            self.assertIsInstance(read.err_value, InvalidDocument)
            self.assertTrue(read.err_value.faults)
            self.assertLess(len(str(read.err_value)), _REFUSAL_CHARACTERS_MAX)
            return
        assert isinstance(read, Ok), read
        self._assert_usable(read.ok_value)

    def _assert_usable(self, node: GatewaySettings) -> None:
        IPv4Address(node.ip)
        for seed in node.seeds:
            ip_address(seed)
        addresses = (node.traffic_address, node.ready_address, node.directory_address)
        for address in (*addresses, node.store_address):
            host, _, port = address.rpartition(":")
            ip_address(host)
            self.assertTrue(0 < int(port) <= _PORT_MAX)
        ports = (node.peer_port, node.metrics_port, node.relay_port)
        self.assertTrue(all(0 < port <= _PORT_MAX for port in ports), ports)
        self.assertTrue(0 < node.memory_mb < 2**32)
        self.assertTrue(0 < node.capacity < 2**32)
        for duration_s in (node.stop_grace_s, node.directory_ttl_max_s, node.repeat_window_s):
            self.assertTrue(0 <= duration_s <= _DAY_S, duration_s)
        for window_s in (node.repeat_window_s, node.quota_terms.window_s, node.revocation_s):
            self.assertTrue(window_s is None or 0.001 <= window_s <= _DAY_S, window_s)
        for amount in (node.repeat_ratio, node.repeat_slack, node.quota_terms.over):
            self.assertTrue(0 <= amount <= 2**53, amount)
        self.assertTrue(0 <= node.quota_terms.slack <= 2**53)

    @settings(derandomize=True, deadline=None, max_examples=600)
    @given(st.sampled_from(_FIELDS), _ODD_VALUES)
    def test_an_odd_value_in_any_field_is_usable_or_refused(self, name: str, value: str) -> None:
        # An untyped error ended the housekeeping at a signal, or the process at its start.
        self._assert_usable_or_refused(_read(_with(name, value)))

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200), st.integers(0, len(_FILE)))
    def test_odd_bytes_anywhere_are_usable_or_refused(self, odd: bytes, at: int) -> None:
        # As above, for files that are no text.
        content = _FILE.encode()
        self._assert_usable_or_refused(_read(content[:at] + odd + content[at:]))

    @cases(
        {
            "store_port_of_5000_digits": ("address", f'"10.200.1.7:{_NINES}"'),
            "front_port_is_a_word": ("front", '"127.0.0.1:abc"'),
            "front_is_a_name": ("front", '"front.example:8548"'),
            "front_without_a_port": ("front", '"127.0.0.1"'),
            "ready_port_beyond_all": ("ready", '"127.0.0.1:65536"'),
            "directory_port_of_none": ("directory", '"127.0.0.1:0"'),
            "no_space_for_the_metrics_port": ("internalPorts", "[65535,65535]"),
            "no_space_for_the_relay_port": ("internalPorts", "[65534,65535]"),
            "ip_is_a_word": ("ip", '"foo"'),
            "ip_that_rosters_cannot_hold": ("ip", '"::1"'),
            "seed_port_of_5000_digits": ("seeds", f'["10.1.0.34:{_NINES}"]'),
            "memory_beyond_all": ("memoryMb", str(2**62)),
            "share_beyond_all": ("cpuShare", "1e300"),
            "share_that_vanishes": ("cpuShare", "5e-324"),
            "cores_beyond_all": ("cores", "1e300"),
            "grace_beyond_a_day": ("grace", '"86401s"'),
            "budget_window_that_vanishes": ("budgetWindow", '"1e-300s"'),
            "quota_window_beyond_a_day": ("quotaWindow", '"86401s"'),
            "ratio_that_is_infinite": ("retryBudgetRatio", "inf"),
        }
    )
    def test_an_unusable_value_is_one_fault_of_its_field(self, case: tuple[str, str]) -> None:
        # The process waited for ever or ended at its start; a reload failed without a reason.
        name, value = case
        read = _read(_with(name, value))
        assert isinstance(read, Err), read
        self.assertEqual(1, len(read.err_value.faults), str(read))
        self.assertIn(f".{name}: ", read.err_value.faults[0])

    @cases(
        {
            "no_text": b"\xff" * 10_000,
            "nul": b"\x00",
            "nested_too_deep": b"a = " + b"[" * 30_000,
            "tables_nested_too_deep": b"a = " + b"{b = " * 10_000,
            "a_huge_name": b"a" * 30_000 + b" = 1\n" + b"a" * 30_000 + b" = {}\n",
            "a_key_of_many_parts": b"a." * 20_000 + b"a = 1",
            "huge": _FILE.encode() + b"# of some MiB\n" * 300_000,
        }
    )
    def test_an_odd_file_is_one_short_fault(self, content: bytes) -> None:
        # The whole file stood in the log line, or held up the reading process.
        read = _read(content)
        assert isinstance(read, Err), read
        self.assertEqual(1, len(read.err_value.faults))
        self.assertLess(len(read.err_value.faults[0]), 300)

    def test_a_file_without_end_is_refused(self) -> None:
        # Reading all of it took all memory.
        read = read_node_file(Path("/dev/zero"))
        assert isinstance(read, Err), read
        self.assertEqual(1, len(read.err_value.faults))

    def test_a_pipe_without_a_writer_is_refused(self) -> None:
        # Opening it blocked the process.
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "pipe"
            os.mkfifo(path)
            self.assertIsInstance(read_node_file(path), Err)

    @cases(
        {
            "first_ports_that_fit": (("internalPorts", "[65533,65535]"), "relay_port", 65_535),
            "no_grace": (("grace", '"0s"'), "stop_grace_s", 0.0),
            "an_unknown_field": (("maxFds", "[[1]]"), "memory_mb", 300),
            "another_address_family": (("front", '"::1:8548"'), "traffic_address", "::1:8548"),
        }
    )
    def test_a_usable_value_is_kept(self, case: tuple[tuple[str, str], str, Any]) -> None:
        # Bounds that refuse what works keep a process from starting.
        (name, value), attribute, expected = case
        read = _read(_with(name, value))
        assert isinstance(read, Ok), read
        self.assertEqual(expected, getattr(read.ok_value, attribute))

    @cases({"the_page": lambda: _FILE, "a_fleet": lambda: GatewayFleet(2).settings_text(0)})
    def test_settings_as_they_are_written_are_usable(self, text: Callable[[], str]) -> None:
        # As above.
        read = _read(text().encode())
        assert isinstance(read, Ok), read
        self._assert_usable(read.ok_value)
