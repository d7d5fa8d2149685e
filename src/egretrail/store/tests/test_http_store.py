"""Responses of the HTTP store that are lost, cut or unreadable."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
from result import Ok, Result

from egretrail.store import PlatformFailure, StoreUnavailable, WriteUnknown
from egretrail.store.http import HttpStore
from egretrail.testing import EgretrailTestCase, cases

Call = Callable[[HttpStore], Awaitable[Result[object, PlatformFailure]]]


def _json(status: int, body: bytes) -> bytes:
    head = b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % (status, len(body)) + body


_WRITTEN = _json(200, b'{"revision": 9}')


class HttpStoreResponseTest(EgretrailTestCase):
    def _call(
        self, calls: Sequence[Call], script: Sequence[bytes | None]
    ) -> tuple[list[Result[object, PlatformFailure]], int]:
        """Make calls; the n-th request gets the n-th bytes, or a closed connection for None."""
        unused = list(script)
        requests = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal requests
            try:
                while unused:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = head.lower().partition(b"content-length:")[2].split(b"\r\n")[0]
                    await reader.readexactly(int(length or b"0"))
                    requests += 1
                    written = unused.pop(0)
                    if written is None:
                        return
                    writer.write(written)
                await reader.read()
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            finally:
                writer.close()

        async def run() -> list[Result[object, PlatformFailure]]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            try:
                async with aiohttp.ClientSession() as session:
                    store = HttpStore(f"http://127.0.0.1:{port}", session, 1.0)
                    return [await call(store) for call in calls]
            finally:
                server.close()

        results = self.run_real(run())
        return results, requests

    @cases(
        {
            "without a revision": _json(200, b"{}"),
            "a list": _json(200, b"[]"),
            "a conflict without a revision": _json(409, b"{}"),
            "no JSON": _json(200, b"{"),
            "no text": _json(200, b"\xff"),
        }
    )
    def test_a_write_with_an_unreadable_response_is_unknown(self, response: bytes) -> None:
        """Guards against an untyped error after a write that was applied."""
        (result,), _ = self._call([lambda store: store.put("a", "v", 0)], [response])
        self.assertIsInstance(result.err(), WriteUnknown)

    def test_a_lease_with_an_unreadable_response_is_a_typed_failure(self) -> None:
        (result,), _ = self._call([lambda store: store.grant_lease(5.0)], [_json(200, b"{}")])
        self.assertIsInstance(result.err(), WriteUnknown)

    def test_a_lost_write_is_not_sent_again_by_the_library(self) -> None:
        """Guards against an applied write that is reported as a conflict with itself."""
        conflict = _json(409, b'{"revision": 9}')
        results, requests = self._call(
            [lambda store: store.put("a", "v", 0), lambda store: store.put("b", "v", 0)],
            [_WRITTEN, None, conflict],
        )
        self.assertIsInstance(results[0], Ok)
        self.assertIsInstance(results[1].err(), WriteUnknown)
        self.assertEqual(2, requests)

    @cases({f"byte {cut}": cut for cut in range(1, len(_WRITTEN) - 16)})
    def test_a_broken_extra_response_does_not_lend_its_status(self, cut: int) -> None:
        """Guards against a refused write that is reported as applied."""
        refused = _json(403, b'{"revision": 9}')
        results, _ = self._call(
            [lambda store: store.put("a", "v", 0), lambda store: store.put("b", "v", 0)],
            [_WRITTEN, _WRITTEN[:cut] + refused],
        )
        self.assertIsInstance(results[0], Ok)
        self.assertNotIsInstance(results[1], Ok)

    def test_a_read_with_the_response_of_another_call_fails(self) -> None:
        other = _json(200, b'{"path": "b", "value": "v", "revision": 3}')
        (result,), _ = self._call([lambda store: store.get("a")], [other])
        self.assertIsInstance(result.err(), StoreUnavailable)
