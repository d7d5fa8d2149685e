"""Values in the store that are larger than what gateways read."""

import base64
import json
from typing import Any

from result import Err, Ok

from egretrail.platform import PlatformLayout
from egretrail.platform import _store_fields as store_fields
from egretrail.platform._store_codec import decode_entry
from egretrail.testing import EgretrailTestCase, cases


def _row(path: str, value: bytes) -> dict[str, Any]:
    return {"key": path, "value": base64.b64encode(value).decode(), "revision": 7}


class LargeValueTest(EgretrailTestCase):
    @cases(
        {
            "an entry": ("servers/large", store_fields.UPSTREAM_BYTES_MAX),
            "a configuration": ("op/config", store_fields.CONFIG_BYTES_MAX),
        }
    )
    def test_a_value_is_held_up_to_the_size_that_is_read(self, case: tuple[str, int]) -> None:
        """A list of values of a megabyte each took a process beyond its memory."""
        path, max_bytes = case
        document = json.dumps({}).encode()
        exact = decode_entry(_row(path, document.ljust(max_bytes)), 1, path)
        self.assertEqual(max_bytes, len(exact.value or ""))
        larger = decode_entry(_row(path, document.ljust(max_bytes * 2)), 1, path)
        self.assertTrue(max_bytes < len(larger.value or "") <= max_bytes + 3)

    def test_a_cut_value_is_refused(self) -> None:
        """A document behind which there is more must not pass for a whole one."""
        entry: dict[str, object] = {
            "service": "s",
            "address": "10.0.0.1:1",
            "zone": "a",
            "version": "1",
            "seq": 1,
        }
        entry |= {"slots": 4, "state": "ready", "warmupLeft": "0ms"}
        document = json.dumps(entry).encode()
        layout = PlatformLayout()
        path = "servers/i-1"
        sound = layout.decode_upstream(decode_entry(_row(path, document), 1, path))
        self.assertIsInstance(sound, Ok)
        padded = document.ljust(store_fields.UPSTREAM_BYTES_MAX * 4)
        refused = layout.decode_upstream(decode_entry(_row(path, padded), 1, path))
        self.assertIsInstance(refused, Err)
