"""Server and client connections on real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

from egretrail.http1 import (
    BodyBudget,
    ExchangeBroken,
    ExchangeFailed,
    Handler,
    MalformedResponse,
    ReceivedResponse,
    Request,
    Response,
    ResponseOwner,
    ServerConnection,
    ServerLimits,
    encode_request,
    end_to_end_headers,
    open_connection,
)
from egretrail.testing import EgretrailTestCase, cases

_LIMITS = ServerLimits(header_bytes=1000, body_bytes=2000, header_timeout_s=0.2, idle_timeout_s=0.5)


async def _echo(request: Request) -> Response:
    """Respond with the method, target and body; targets under ``/slow`` take 0.1 s."""
    if request.target.startswith(b"/slow"):
        await asyncio.sleep(0.1)
    return Response(200, request.method + b" " + request.target + b" " + request.body)


class ServerTest(EgretrailTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bodies = BodyBudget(3000)

    def _run_with_server(
        self, act: Callable[[str, set[ServerConnection]], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            await self._serve(_echo, act)

        self.run_real(run())

    async def _serve(
        self, handler: Handler, act: Callable[[str, set[ServerConnection]], Awaitable[None]]
    ) -> None:
        connections: set[ServerConnection] = set()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ServerConnection(handler, lambda: _LIMITS, connections, self.bodies),
            "127.0.0.1",
            0,
        )
        host, port = server.sockets[0].getsockname()
        try:
            await act(f"{host}:{port}", connections)
        finally:
            server.close()

    async def _exchange(self, address: str, data: bytes) -> bytes:
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        response = await reader.read(-1)
        writer.close()
        return response

    @cases(
        {
            "not HTTP": (b"hello\r\n\r\n", b"400"),
            "two lengths": (
                b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
                b"400",
            ),
            "length and chunks": (
                b"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"0\r\n\r\n",
                b"400",
            ),
            "unknown framing": (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
            "long head": (b"GET / HTTP/1.1\r\nX: " + b"y" * 1200 + b"\r\n\r\n", b"431"),
            "long body": (
                b"POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n" + b"x" * 3000,
                b"413",
            ),
            "long chunks": (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"BB8\r\n" + b"x" * 3000 + b"\r\n0\r\n\r\n",
                b"413",
            ),
            "slow head": (b"GET / HTTP/1.1\r\nX: ", b"408"),
        }
    )
    def test_an_invalid_request_is_rejected_and_closes_the_connection(
        self, case: tuple[bytes, bytes]
    ) -> None:
        data, status = case

        async def act(address: str, _: set[ServerConnection]) -> None:
            response = await self._exchange(address, data)
            self.assertTrue(response.startswith(b"HTTP/1.1 " + status), response)
            self.assertIn(b"Connection: close", response)

        self._run_with_server(act)

    def test_pipelined_requests_run_concurrently_and_get_responses_in_order(self) -> None:
        async def act(address: str, _: set[ServerConnection]) -> None:
            data = b"".join(b"GET /slow%d HTTP/1.1\r\n\r\n" % n for n in range(4))
            data += b"GET /quick HTTP/1.1\r\nConnection: close\r\n\r\n"
            response = await self._exchange(address, data)
            positions = [response.index(b"GET /slow%d " % n) for n in range(4)]
            positions.append(response.index(b"GET /quick "))
            self.assertEqual(sorted(positions), positions)

        self._run_with_server(act)

    def test_a_malformed_request_does_not_affect_earlier_requests(self) -> None:
        async def act(address: str, _: set[ServerConnection]) -> None:
            response = await self._exchange(address, b"GET /slow HTTP/1.1\r\n\r\nnonsense\r\n\r\n")
            self.assertLess(response.index(b"GET /slow"), response.index(b"HTTP/1.1 400"))

        self._run_with_server(act)

    def test_chunked_bodies_arrive_complete(self) -> None:
        async def act(address: str, _: set[ServerConnection]) -> None:
            data = b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            self.assertIn(b"POST /p abcde", await self._exchange(address, data))

        self._run_with_server(act)

    def test_idle_connections_are_closed_at_the_limit(self) -> None:
        async def act(address: str, connections: set[ServerConnection]) -> None:
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            response = await self._exchange(address, b"GET /p HTTP/1.1\r\n\r\n")
            self.assertIn(b"GET /p", response)
            self.assertGreaterEqual(loop.time() - start_s, 0.4)

        self._run_with_server(act)

    def test_a_stopping_server_responds_to_requests_it_has_read_then_closes(self) -> None:
        async def act(address: str, connections: set[ServerConnection]) -> None:
            data = b"GET /slow1 HTTP/1.1\r\n\r\nGET /slow2 HTTP/1.1\r\n\r\n"
            exchange = asyncio.create_task(self._exchange(address, data))
            while not any(connection.is_busy for connection in connections):
                await asyncio.sleep(0.005)
            for connection in connections:
                connection.close_after_responses()
            response = await exchange
            self.assertEqual(2, response.count(b"HTTP/1.1 200"))
            self.assertEqual(1, response.count(b"Connection: close"))

        self._run_with_server(act)

    def test_a_connection_is_busy_until_its_client_has_read_the_response(self) -> None:
        # Guards against a server that stops while a response waits for a client that reads slowly.
        body = b"x" * 16 * 1024 * 1024

        async def respond(request: Request) -> Response:
            return Response(200, body)

        async def act(address: str, connections: set[ServerConnection]) -> None:
            host, _, port = address.partition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            [connection] = connections
            self.assertTrue(connection.is_busy)
            await reader.readexactly(len(body))
            async with asyncio.timeout(5):
                while connection.is_busy:
                    await asyncio.sleep(0.005)
            writer.close()

        async def run() -> None:
            await self._serve(respond, act)

        self.run_real(run())

    def test_bodies_of_all_connections_share_a_budget_and_release_it(self) -> None:
        async def act(address: str, connections: set[ServerConnection]) -> None:
            head = b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1800\r\n\r\n"
            first = asyncio.create_task(self._exchange(address, head + b"x" * 1800))
            await started.wait()
            self.assertIn(b"HTTP/1.1 503", await self._exchange(address, head + b"y" * 1800))
            release.set()
            self.assertIn(b"HTTP/1.1 200", await first)
            self.assertIn(b"HTTP/1.1 200", await self._exchange(address, head + b"z" * 1800))
            self.assertTrue(self.bodies.reserve(3000))

        started, release = asyncio.Event(), asyncio.Event()

        async def hold(request: Request) -> Response:
            started.set()
            await release.wait()
            return Response(200)

        async def run() -> None:
            await self._serve(hold, act)

        self.run_real(run())

    @cases({"more": (5000, 4000), "less": (2000, 1000), "less than is reserved": (500, 0)})
    def test_a_changed_budget_keeps_reserved_bytes(self, case: tuple[int, int]) -> None:
        limit_bytes, left_bytes = case
        bodies = BodyBudget(3000)
        self.assertTrue(bodies.reserve(1000))
        bodies.set_limit(limit_bytes)
        self.assertEqual(left_bytes > 0, bodies.reserve(left_bytes or 1))
        self.assertFalse(bodies.reserve(1))
        bodies.release(1000 + left_bytes)
        self.assertTrue(bodies.reserve(limit_bytes))
        self.assertFalse(bodies.reserve(1))

    def test_requests_are_cancelled_when_the_client_disconnects(self) -> None:
        cancelled = asyncio.Event()

        async def wait(request: Request) -> Response:
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return Response(200)

        async def act(address: str, connections: set[ServerConnection]) -> None:
            host, _, port = address.partition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            while not any(connection.is_busy for connection in connections):
                await asyncio.sleep(0.005)
            writer.close()
            async with asyncio.timeout(5):
                await cancelled.wait()

        async def run() -> None:
            await self._serve(wait, act)

        self.run_real(run())


_GET = encode_request(b"GET", b"/", [(b"Host", b"x")], b"")
_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: mine\r\n\r\nab"
_OTHER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: other\r\n\r\nother"


def _owner(head: ReceivedResponse) -> ResponseOwner:
    if head.header(b"id") in (None, b"mine"):
        return ResponseOwner.THIS_REQUEST
    return ResponseOwner.ANOTHER_REQUEST


class ClientTest(EgretrailTestCase):
    def _exchange_with_server(
        self,
        response_bytes: bytes,
        *,
        close: bool = False,
        on_head: Callable[[ReceivedResponse], None] = lambda head: None,
    ) -> tuple[bytes | ExchangeFailed, bool]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response_bytes)
            if close:
                writer.close()
            else:
                await reader.read(1)
                writer.close()

        async def run() -> tuple[bytes | ExchangeFailed, bool]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            connection = await open_connection(f"{host}:{port}", 1.0)
            outcome: bytes | ExchangeFailed
            try:
                async with asyncio.timeout(5):
                    response = await connection.exchange(
                        _GET,
                        _owner,
                        on_head=on_head,
                    )
                outcome = response.body
            except ExchangeFailed as error:
                outcome = error
            reusable = connection.is_reusable
            connection.abort()
            server.close()
            return outcome, reusable

        return self.run_real(run())

    @cases(
        {
            "complete": (_OK, False, b"ab", True),
            "interim responses first": (b"HTTP/1.1 100 Continue\r\n\r\n" + _OK, False, b"ab", True),
            "a response of another request first": (_OTHER + _OK, False, b"ab", False),
            "a response of another request behind": (_OK + _OTHER, False, b"ab", False),
            "closing": (_OK.replace(b"Id", b"Connection: close\r\nId"), False, b"ab", False),
            "no length, ended": (b"HTTP/1.1 200 OK\r\n\r\nabc", True, b"abc", False),
            "chunks": (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                False,
                b"ab",
                True,
            ),
        }
    )
    def test_valid_responses(self, case: tuple[bytes, bool, bytes, bool]) -> None:
        response_bytes, close, body, reusable = case
        response, reusable_after = self._exchange_with_server(response_bytes, close=close)
        self.assertEqual((body, reusable), (response, reusable_after))

    @cases(
        {
            "cut short": (_OK[:-1], ExchangeBroken),
            "cut in its head": (_OK[:20], ExchangeBroken),
            "cut in its chunks": (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                ExchangeBroken,
            ),
            "closed": (b"", ExchangeBroken),
            "only another request's response": (_OTHER, ExchangeBroken),
            "nonsense": (b"\x00\x01nonsense\r\n\r\n", MalformedResponse),
        }
    )
    def test_an_incomplete_or_invalid_response_raises_a_typed_error(
        self, case: tuple[bytes, type[ExchangeFailed]]
    ) -> None:
        response_bytes, kind = case
        failure, reusable_after = self._exchange_with_server(response_bytes, close=True)
        self.assertIsInstance(failure, kind)
        self.assertFalse(reusable_after)

    @cases(
        {
            "complete": (_OK, [b"mine"]),
            "interim response first": (b"HTTP/1.1 100 Continue\r\n\r\n" + _OK, [b"mine"]),
            "a response of another request first": (_OTHER + _OK, [b"other", b"mine"]),
            "a response of another request behind": (_OK + _OTHER, [b"mine"]),
            "cut short": (_OK[:-1], [b"mine"]),
            "cut in its head": (_OK[:20], []),
        }
    )
    def test_heads_are_reported_before_their_response_is_complete(
        self, case: tuple[bytes, list[bytes]]
    ) -> None:
        response_bytes, expected = case
        heads: list[ReceivedResponse] = []
        self._exchange_with_server(response_bytes, close=True, on_head=heads.append)
        self.assertEqual(expected, [head.header(b"id") for head in heads])


class HeadersTest(EgretrailTestCase):
    @cases(
        {
            "end to end": ([(b"X", b"1")], [(b"X", b"1")]),
            "hop by hop": (
                [(b"Keep-Alive", b"5"), (b"TE", b"x"), (b"X", b"1")],
                [(b"X", b"1")],
            ),
            "named in Connection": (
                [(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X", b"1")],
                [(b"X", b"1")],
            ),
            "host is never dropped": (
                [(b"Connection", b"host"), (b"Host", b"h")],
                [(b"Host", b"h")],
            ),
        }
    )
    def test_end_to_end(
        self, case: tuple[list[tuple[bytes, bytes]], list[tuple[bytes, bytes]]]
    ) -> None:
        fields, expected = case
        self.assertEqual(expected, end_to_end_headers(fields))
