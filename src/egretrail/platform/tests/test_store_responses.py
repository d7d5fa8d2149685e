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
