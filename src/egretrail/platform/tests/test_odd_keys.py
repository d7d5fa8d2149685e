"""Keys in the store that are no text."""

from typing import cast

from egretrail.platform.tests import test_store_responses as responses
from egretrail.store import Snapshot
from egretrail.testing import EgretrailTestCase, cases


class OddKeyTest(EgretrailTestCase):
    @cases({"a byte that is no UTF-8": "op/\udc80", "a half of a pair": "op/\ud800"})
    def test_a_list_is_read_past_a_key_that_is_no_text(self, key: str) -> None:
        """A page that ended with such a key failed the read of the list each time."""
        first = responses._json(
            200, {"items": [responses._item(key)], "currentRev": 9, "hasMore": True}
        )
        last = responses._json(200, {"items": [responses._item("op/\uffff")], "currentRev": 9})
        case = cast("responses.StoreResponseTest", self)
        (read,) = responses.StoreResponseTest._call(case, [responses._list], [first, last])
        listed = cast("Snapshot", read.unwrap())
        self.assertEqual([key, "op/\uffff"], [entry.path for entry in listed.entries])
