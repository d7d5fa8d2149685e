"""Settings files that no platform means."""

import re
import tempfile
from pathlib import Path
from typing import Any

from result import Err

from egretrail.platform import read_node_file
from egretrail.platform.tests.test_platform import _NODE
from egretrail.testing import EgretrailTestCase, cases


def _read(data: bytes) -> Any:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_bytes(data)
        return read_node_file(path)


def _with(name: str, value: str) -> bytes:
    return re.sub(rf"(?m)^{name} = .*$", f"{name} = {value}", _NODE).encode()


class OddSettingsTest(EgretrailTestCase):
    @cases(
        {
            "a port of 5,000 digits": _with("address", f'"10.200.1.7:{"9" * 5_000}"'),
            "a port with 6,000 zeros": _with("address", f'"10.200.1.7:{"0" * 6_000}80"'),
            "a port in other digits": _with("address", '"10.200.1.7:\u0661\u0662\u0663"'),
            "a number of 5,000 digits": _with("memoryMb", "9" * 5_000),
            "a number of 80 bits": _with("memoryMb", str(2**80)),
            "not UTF-8": _NODE.encode() + b'x = "\xff"',
            "a byte order mark": b"\xef\xbb\xbf" + _NODE.encode(),
            "nested deep": b"x = " + b"[" * 100_000,
            "a file of 20 MB": _NODE.encode() + b"#" * 20_000_000,
        }
    )
    def test_an_odd_file_is_refused(self, data: bytes) -> None:
        """Guards against a process that ends when its settings change."""
        self.assertIsInstance(_read(data), Err)
