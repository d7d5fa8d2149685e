"""Connections of clients and to upstreams, on real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

from egretrail.http1 import (
    Answer,
    BodyBudget,
    ExchangeBroken,
    ExchangeFailed,
    Handler,
    MalformedAnswer,
    Request,
    ServerConnection,
    ServerLimits,
    encode_request,
    end_to_end,
    open_connection,
)
from egretrail.testing import EgretrailTestCase, cases

_LIMITS = ServerLimits(header_bytes=1000, body_bytes=2000, header_timeout_s=0.2, idle_timeout_s=0.5)


async def _echo(request: Request) -> Answer:
    """Answer with the target and the body; ``/slow`` takes a moment."""
    if request.target.startswith(b"/slow"):
        await asyncio.sleep(0.1)
    return Answer(200, request.method + b" " + request.target + b" " + request.body)


class ServerTest(EgretrailTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bodies = BodyBudget(3000)

    def _talk(self, act: Callable[[str, set[ServerConnection]], Awaitable[None]]) -> None:
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
        answer = await reader.read(-1)
        writer.close()
        return answer

    @cases(
        {
            "not http": (b"hello\r\n\r\n", b"400"),
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
    def test_what_cannot_be_read_is_refused_and_ends_the_connection(
        self, case: tuple[bytes, bytes]
    ) -> None:
        data, status = case

        async def act(address: str, _: set[ServerConnection]) -> None:
            answer = await self._exchange(address, data)
            self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer)
            self.assertIn(b"Connection: close", answer)

        self._talk(act)

    def test_pipelined_requests_run_together_and_are_answered_in_order(self) -> None:
        async def act(address: str, _: set[ServerConnection]) -> None:
            data = b"".join(b"GET /slow%d HTTP/1.1\r\n\r\n" % n for n in range(4))
            data += b"GET /quick HTTP/1.1\r\nConnection: close\r\n\r\n"
            answer = await self._exchange(address, data)
            places = [answer.index(b"GET /slow%d " % n) for n in range(4)]
            places.append(answer.index(b"GET /quick "))
            self.assertEqual(sorted(places), places)

        self._talk(act)

    def test_a_bad_request_costs_the_ones_before_it_nothing(self) -> None:
        async def act(address: str, _: set[ServerConnection]) -> None:
            answer = await self._exchange(address, b"GET /slow HTTP/1.1\r\n\r\nnonsense\r\n\r\n")
            self.assertLess(answer.index(b"GET /slow"), answer.index(b"HTTP/1.1 400"))

        self._talk(act)

    def test_chunked_bodies_arrive_whole(self) -> None:
        async def act(address: str, _: set[ServerConnection]) -> None:
            data = b"POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            self.assertIn(b"POST /p abcde", await self._exchange(address, data))

        self._talk(act)

    def test_idle_connections_are_closed_at_the_limit(self) -> None:
        async def act(address: str, connections: set[ServerConnection]) -> None:
            loop = asyncio.get_running_loop()
            begin_s = loop.time()
            answer = await self._exchange(address, b"GET /p HTTP/1.1\r\n\r\n")
            self.assertIn(b"GET /p", answer)
            self.assertGreaterEqual(loop.time() - begin_s, 0.4)

        self._talk(act)

    def test_a_stopping_server_answers_what_it_has_read_and_then_closes(self) -> None:
        async def act(address: str, connections: set[ServerConnection]) -> None:
            data = b"GET /slow1 HTTP/1.1\r\n\r\nGET /slow2 HTTP/1.1\r\n\r\n"
            exchange = asyncio.create_task(self._exchange(address, data))
            while not any(connection.busy for connection in connections):
                await asyncio.sleep(0.005)
            for connection in connections:
                connection.end_after_answers()
            answer = await exchange
            self.assertEqual(2, answer.count(b"HTTP/1.1 200"))
            self.assertEqual(1, answer.count(b"Connection: close"))

        self._talk(act)

    def test_bodies_of_all_connections_share_a_budget_and_give_it_back(self) -> None:
        async def act(address: str, connections: set[ServerConnection]) -> None:
            head = b"POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 1800\r\n\r\n"
            first = asyncio.create_task(self._exchange(address, head + b"x" * 1800))
            await begun.wait()
            self.assertIn(b"HTTP/1.1 503", await self._exchange(address, head + b"y" * 1800))
            release.set()
            self.assertIn(b"HTTP/1.1 200", await first)
            self.assertIn(b"HTTP/1.1 200", await self._exchange(address, head + b"z" * 1800))
            self.assertTrue(self.bodies.take(3000))

        begun, release = asyncio.Event(), asyncio.Event()

        async def hold(request: Request) -> Answer:
            begun.set()
            await release.wait()
            return Answer(200)

        async def run() -> None:
            await self._serve(hold, act)

        self.run_real(run())

    @cases({"more": (5000, 4000), "less": (2000, 1000), "less than is held": (500, 0)})
    def test_a_changed_budget_leaves_what_is_held(self, case: tuple[int, int]) -> None:
        limit_bytes, left_bytes = case
        bodies = BodyBudget(3000)
        self.assertTrue(bodies.take(1000))
        bodies.set_limit(limit_bytes)
        self.assertEqual(left_bytes > 0, bodies.take(left_bytes or 1))
        self.assertFalse(bodies.take(1))
        bodies.give_back(1000 + left_bytes)
        self.assertTrue(bodies.take(limit_bytes))
        self.assertFalse(bodies.take(1))

    def test_work_is_cancelled_when_the_client_leaves(self) -> None:
        cancelled = asyncio.Event()

        async def wait(request: Request) -> Answer:
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                cancelled.set()
                raise
            return Answer(200)

        async def act(address: str, connections: set[ServerConnection]) -> None:
            host, _, port = address.partition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            while not any(connection.busy for connection in connections):
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


class ClientTest(EgretrailTestCase):
    def _ask(self, reply: bytes, *, close: bool = False) -> tuple[bytes | ExchangeFailed, bool]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
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
                    answer = await connection.exchange(
                        _GET, lambda answer: answer.value(b"id") in (None, b"mine")
                    )
                outcome = answer.body
            except ExchangeFailed as error:
                outcome = error
            reusable = connection.reusable
            connection.abort()
            server.close()
            return outcome, reusable

        return self.run_real(run())

    @cases(
        {
            "whole": (_OK, False, b"ab", True),
            "interim answers first": (b"HTTP/1.1 100 Continue\r\n\r\n" + _OK, False, b"ab", True),
            "an answer of another request first": (_OTHER + _OK, False, b"ab", False),
            "an answer of another request behind": (_OK + _OTHER, False, b"ab", False),
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
    def test_answers(self, case: tuple[bytes, bool, bytes, bool]) -> None:
        reply, close, body, reusable = case
        answer, kept = self._ask(reply, close=close)
        self.assertEqual((body, reusable), (answer, kept))

    @cases(
        {
            "cut short": (_OK[:-1], ExchangeBroken),
            "cut in its head": (_OK[:20], ExchangeBroken),
            "cut in its chunks": (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                ExchangeBroken,
            ),
            "closed": (b"", ExchangeBroken),
            "only another's": (_OTHER, ExchangeBroken),
            "nonsense": (b"\x00\x01nonsense\r\n\r\n", MalformedAnswer),
        }
    )
    def test_what_is_no_whole_answer_fails_with_a_type(
        self, case: tuple[bytes, type[ExchangeFailed]]
    ) -> None:
        reply, kind = case
        failure, kept = self._ask(reply, close=True)
        self.assertIsInstance(failure, kind)
        self.assertFalse(kept)


class HeadersTest(EgretrailTestCase):
    @cases(
        {
            "own": ([(b"X", b"1")], [(b"X", b"1")]),
            "of the connection": (
                [(b"Keep-Alive", b"5"), (b"TE", b"x"), (b"X", b"1")],
                [(b"X", b"1")],
            ),
            "named": ([(b"Connection", b"x-a"), (b"X-A", b"1"), (b"X", b"1")], [(b"X", b"1")]),
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
        self.assertEqual(expected, end_to_end(fields))
