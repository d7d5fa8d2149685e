"""What the callers of a server connection read: each response is of its own request and whole."""

import asyncio

from egretrail.http1 import (
    BodyBudget,
    Handler,
    Request,
    Response,
    ServerConnection,
    ServerLimits,
)
from egretrail.testing import EgretrailTestCase, cases

_LIMITS = ServerLimits(header_bytes=1000, body_bytes=2000, header_timeout_s=0.2, idle_timeout_s=0.5)


async def _exchange(handler: Handler, data: bytes, *, repeated_field: bytes | None = None) -> bytes:
    """Send bytes to a server and return all that it sends until it closes."""
    connections: set[ServerConnection] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(
            handler,
            lambda: _LIMITS,
            connections,
            BodyBudget(1500),
            repeated_field=repeated_field,
        ),
        "127.0.0.1",
        0,
    )
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    try:
        writer.write(data)
        async with asyncio.timeout(5):
            return await reader.read(-1)
    finally:
        writer.close()
        server.close()


class ResponseOrderTest(EgretrailTestCase):
    def test_a_response_that_cannot_be_encoded_does_not_lend_its_place(self) -> None:
        """Guards against a caller that waits for ever, or gets the response of its next request."""

        async def handle(request: Request) -> Response:
            if request.target == b"/1":
                return Response(200, headers=[("no bytes", b"")])  # type: ignore[list-item]
            return Response(200, request.target)

        sent = b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
        received = self.run_real(_exchange(handle, sent))
        self.assertTrue(received.startswith(b"HTTP/1.1 500 "), received)
        self.assertEqual(1, received.count(b"HTTP/1.1 "), repr(received))

    @cases({"at once": 0.0, "later": 0.05})
    def test_a_cancelled_handler_does_not_lend_its_place_to_the_next_response(
        self, delay_s: float
    ) -> None:
        """Guards against a caller that gets the response of its next request."""

        async def handle(request: Request) -> Response:
            if request.target == b"/1":
                await asyncio.sleep(delay_s)
                raise asyncio.CancelledError
            return Response(200, request.target)

        sent = b"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
        received = self.run_real(_exchange(handle, sent))
        self.assertTrue(received.startswith(b"HTTP/1.1 500 "), received)
        self.assertEqual(1, received.count(b"HTTP/1.1 "), repr(received))

    @cases(
        {
            "long head": b"GET / HTTP/1.1\r\nX: " + b"y" * 1200 + b"\r\n\r\n",
            "long body": b"POST / HTTP/1.1\r\nContent-Length: 2500\r\n\r\n" + b"x" * 2500,
        }
    )
    def test_requests_behind_a_rejected_one_are_not_run(self, rejected: bytes) -> None:
        """Guards against a second run: callers send requests behind a closing response again."""
        run: list[bytes] = []

        async def handle(request: Request) -> Response:
            run.append(request.target)
            await asyncio.sleep(0.05)
            return Response(200)

        first, behind = b"GET /first HTTP/1.1\r\n\r\n", b"GET /behind HTTP/1.1\r\n\r\n"
        received = self.run_real(_exchange(handle, first + rejected + behind))
        self.assertEqual([b"/first"], run)
        self.assertEqual(2, received.count(b"HTTP/1.1 "), repr(received))

    @cases(
        {
            "handled": (b"Content-Length: 1\r\n\r\nx", b"200"),
            "failed": (b"X-Fail: 1\r\nContent-Length: 1\r\n\r\nx", b"500"),
            "too long": (b"Content-Length: 3000\r\n\r\n", b"413"),
            "out of memory": (b"Content-Length: 1800\r\n\r\n" + b"x" * 1800, b"503"),
        }
    )
    def test_a_response_repeats_the_id_of_its_request(self, case: tuple[bytes, bytes]) -> None:
        """Guards against a peer that can't tell whose response it reads."""
        rest, status = case

        async def handle(request: Request) -> Response:
            if request.header(b"x-fail") is not None:
                raise ValueError
            return Response(200, headers=[(b"X", b"1")], close=True)

        request = b"POST / HTTP/1.1\r\nExchange-ID: 7\r\n" + rest
        received = self.run_real(_exchange(handle, request, repeated_field=b"exchange-id"))
        self.assertTrue(received.startswith(b"HTTP/1.1 " + status), received)
        self.assertEqual(1, received.lower().count(b"exchange-id: 7\r\n"), repr(received))

    def test_a_response_repeats_no_id_that_its_request_has_not(self) -> None:
        async def handle(request: Request) -> Response:
            return Response(200, close=True)

        request = b"GET / HTTP/1.1\r\n\r\n"
        received = self.run_real(_exchange(handle, request, repeated_field=b"exchange-id"))
        self.assertNotIn(b"exchange-id", received)


class ResponseFramingTest(EgretrailTestCase):
    def _response_to(self, response: Response, method: bytes = b"GET") -> bytes:
        async def handle(request: Request) -> Response:
            return response

        request = method + b" / HTTP/1.1\r\nConnection: close\r\n\r\n"
        return self.run_real(_exchange(handle, request))

    @cases(
        {
            "NUL": b"O\x00K",
            "line feed": b"OK\nContent-Length: 0",
            "line end": b"OK\r\n\r\nHTTP/1.1 200 OK",
            "escape": b"\x1b[0m",
        }
    )
    def test_a_reason_that_is_no_text_is_replaced(self, reason: bytes) -> None:
        """Guards against a response that a caller rejects, or reads as two."""
        received = self._response_to(Response(500, b"x", (), reason))
        self.assertTrue(received.startswith(b"HTTP/1.1 500 Internal Server Error\r\n"), received)

    @cases({"words": b"All is well", "tab": b"a\tb", "other than ASCII": b"caf\xe9"})
    def test_a_reason_that_is_text_is_kept(self, reason: bytes) -> None:
        received = self._response_to(Response(200, b"x", (), reason))
        self.assertTrue(received.startswith(b"HTTP/1.1 200 " + reason + b"\r\n"), received)

    @cases({"204": 204, "304": 304})
    def test_a_response_without_a_body_ends_with_its_head(self, status: int) -> None:
        """Guards against a caller that waits for the length that a 204 states."""
        received = self._response_to(Response(status, b"", [(b"Content-Length", b"5")]))
        self.assertEqual(status == 304, b"Content-Length: 5" in received, repr(received))
        self.assertTrue(received.endswith(b"\r\n\r\n"), received)

    def test_a_response_to_head_keeps_the_length_of_the_body(self) -> None:
        response = Response(200, b"", [(b"Content-Length", b"5")])
        received = self._response_to(response, b"HEAD")
        self.assertIn(b"Content-Length: 5", received)
        self.assertTrue(received.endswith(b"\r\n\r\n"), received)
