"""Responses of the store that are cut, unreadable or of another call."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from egretrail.platform import PlatformStore
from egretrail.store import (
    PlatformFailure,
    RevisionConflict,
    StoreUnavailable,
    WriteUnknown,
)
from egretrail.testing import EgretrailTestCase, cases

_PATH = "op/a"


def _response(status: int, body: bytes, *fields: bytes, era: int | None = 1) -> bytes:
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *fields]
    if era is not None:
        lines.append(b"Store-Era: %d" % era)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _json(status: int, document: object, era: int | None = 1) -> bytes:
    return _response(status, json.dumps(document).encode(), era=era)


def _item(path: str, revision: int = 7) -> dict[str, Any]:
    return {"key": path, "value": base64.b64encode(b"v").decode(), "revision": revision}


_ITEM = _json(200, _item(_PATH))
_WRITTEN = _json(200, {"revision": 9})

Call = Callable[[PlatformStore], Awaitable[Result[object, PlatformFailure]]]


def _put(store: PlatformStore) -> Awaitable[Result[object, PlatformFailure]]:
    return store.put(_PATH, "v", 0)


def _delete(store: PlatformStore) -> Awaitable[Result[object, PlatformFailure]]:
    return store.delete(_PATH, 0)


def _get(store: PlatformStore) -> Awaitable[Result[object, PlatformFailure]]:
    return store.get(_PATH)


def _list(store: PlatformStore) -> Awaitable[Result[object, PlatformFailure]]:
    return store.snapshot("op/")


def _watch(store: PlatformStore) -> Awaitable[Result[object, PlatformFailure]]:
    return store.watch("op/", 0, 0.1)


def _lease(store: PlatformStore) -> Awaitable[Result[object, PlatformFailure]]:
    return store.grant_lease(1.0)


class StoreResponseTest(EgretrailTestCase):
    def _call(
        self, calls: Sequence[Call], script: Sequence[bytes], *, close: bool = False
    ) -> list[Result[object, PlatformFailure]]:
        """Make calls; the n-th request that arrives, on any connection, gets the n-th bytes."""
        unused = list(script)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while unused:
                    head = await reader.readuntil(b"\r\n\r\n")
                    for line in head.lower().split(b"\r\n"):
                        name, _, value = line.partition(b":")
                        if name == b"content-length":
                            await reader.readexactly(int(value))
                    writer.write(unused.pop(0))
                    if close:
                        break
                else:
                    await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            finally:
                writer.close()

        async def run() -> list[Result[object, PlatformFailure]]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            store = PlatformStore(f"{host}:{port}")
            results = []
            try:
                for call in calls:
                    async with asyncio.timeout(8):
                        results.append(await call(store))
            finally:
                store.close()
                server.close()
            return results

        return self.run_real(run())

    @cases(
        {
            "no JSON": _response(200, b"{"),
            "empty": _response(200, b""),
            "no text": _response(200, b"\xff"),
            "without a revision": _json(200, {}),
            "a list": _json(200, []),
            "a number": _json(200, 5),
            "a revision that is no number": _json(200, {"revision": "x"}),
            "an era that is no number": _response(200, b'{"revision": 9}', b"Store-Era: x"),
            "a conflict that is no JSON": _response(412, b"{"),
        }
    )
    def test_a_write_with_an_unreadable_response_is_unknown(self, response: bytes) -> None:
        """Guards against a write that was applied and is reported as certainly without effect."""
        for call in (_put, _delete):
            (result,) = self._call([call], [response])
            self.assertIsInstance(result.err(), WriteUnknown)

    @cases({"cut in its head": _WRITTEN[:30], "cut in its body": _WRITTEN[:-3]})
    def test_a_write_whose_response_is_cut_is_unknown(self, response: bytes) -> None:
        (result,) = self._call([_put], [response], close=True)
        self.assertIsInstance(result.err(), WriteUnknown)

    @cases(
        {
            "an item": (_get, _json(200, _item("op/b"))),
            "a page": (_list, _json(200, {"items": [_item("servers/x")], "currentRev": 9})),
            "events": (_watch, _json(200, {"events": [_item("servers/x")], "currentRev": 9}, 0)),
        }
    )
    def test_a_read_with_the_response_of_another_call_fails(self, case: tuple[Call, bytes]) -> None:
        """Guards against a path that is read with the value of another."""
        call, response = case
        (result,) = self._call([call], [response])
        self.assertIsInstance(result.err(), StoreUnavailable)

    @cases({"another path": [_item("op/b")], "nothing": []})
    def test_a_conflict_that_does_not_name_the_path_is_unknown(
        self, items: list[dict[str, Any]]
    ) -> None:
        """Guards against a conflict at a revision that the path never had."""
        (result,) = self._call([_put], [_json(412, {"items": items})])
        self.assertIsInstance(result.err(), WriteUnknown)

    def test_a_conflict_names_the_current_revision(self) -> None:
        row = {"key": _PATH, "revision": 5}
        (result,) = self._call([_put], [_json(412, {"items": [row]}, 0)])
        self.assertEqual(Err(RevisionConflict(_PATH, 0, 5)), result)

    @cases({"a read": (_get, _json(404, {}, None)), "a page": (_list, _json(404, {}, None))})
    def test_a_response_without_the_era_that_the_store_states_is_not_the_stores(
        self, case: tuple[Call, bytes]
    ) -> None:
        """Guards against a path that is taken as deleted."""
        call, response = case
        first, second = self._call([_get, call], [_ITEM, response])
        self.assertIsInstance(first, Ok)
        self.assertIsInstance(second.err(), StoreUnavailable)

    @cases(
        {
            "a status line": b"HTTP/1.1 200 ",
            "a field": b"HTTP/1.1 200 X\r\nStore-Era: 1\r\nX: ",
        }
    )
    def test_the_response_of_an_earlier_call_is_not_taken(self, broken: bytes) -> None:
        """Guards against the status of an earlier call's extra response, which breaks off."""
        refused = _json(403, {"revision": 9})
        first, second = self._call([_get, _put], [_ITEM + broken, refused])
        self.assertIsInstance(first, Ok)
        self.assertIsInstance(second, Err)
        first, second = self._call([_get, _put], [_ITEM, broken + refused])
        self.assertIsInstance(first, Ok)
        self.assertIsInstance(second, Err)

    def test_a_whole_extra_response_is_not_taken(self) -> None:
        first, second = self._call([_put, _put], [_WRITTEN * 2, _json(403, {})])
        self.assertIsInstance(first, Ok)
        self.assertIsInstance(second, Err)

    @cases(
        {
            "nested deep": b"[" * 100_000 + b"]" * 100_000,
            "nested deep in an object": b'{"a":' * 100_000,
            "a number of 5,000 digits": b'{"currentRev": 0, "items": [' + b"9" * 5_000 + b"]}",
            "a revision that is infinite": b'{"currentRev": 1e400, "items": []}',
            "a revision of 80 bits": b'{"currentRev": 1208925819614629174706176, "items": []}',
            "a revision below 0": b'{"currentRev": -5, "items": []}',
            "a revision in a text": b'{"currentRev": "5", "items": []}',
            "items that are no rows": b'{"currentRev": 5, "items": [7]}',
            "items in a table": b'{"currentRev": 5, "items": {"op/a": 1}}',
            "a key that is no text": b'{"currentRev": 5, "items": [{"key": 7, "revision": 1}]}',
            "an era of 5,000 digits": _response(
                200, b"{}", b"Store-Era: " + b"9" * 5_000, era=None
            ),
            "an era of 40 digits": _response(
                200,
                b'{"currentRev": 5, "items": []}',
                b"Store-Era: " + b"9" * 40,
                era=None,
            ),
            "an era below 0": _response(
                200, b'{"currentRev": 5, "items": []}', b"Store-Era: -1", era=None
            ),
        }
    )
    def test_an_odd_response_fails_the_call_alone(self, response: bytes) -> None:
        """Guards against one response that ends the task that reads the store."""
        if not response.startswith(b"HTTP"):
            response = _response(200, response)
        sound = _json(200, {"items": [], "currentRev": 9})
        odd, after = self._call([_list, _list], [response, sound])
        self.assertIsInstance(odd.err(), StoreUnavailable)
        self.assertIsInstance(after, Ok)

    def test_pages_that_repeat_their_last_key_end_a_read(self) -> None:
        """Guards against a list that is read for ever."""
        page = _json(200, {"items": [_item("op/b")], "currentRev": 9, "hasMore": True})
        last = _json(200, {"items": [], "currentRev": 9})
        (result,) = self._call([_list], [page, page, last])
        self.assertIsInstance(result.err(), StoreUnavailable)

    def test_a_lease_that_is_no_number_fails_the_call(self) -> None:
        """Guards against text of a response in the path of the next call."""
        for lease in ("7 HTTP/1.1", "٣", -1, 2**70, [1], None):
            (result,) = self._call([_lease], [_json(200, {"lease": lease, "ttl_time": "1s"})])
            self.assertIsInstance(result, Err)
