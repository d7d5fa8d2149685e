"""Attempts on faulty upstreams: only complete responses of the same request are forwarded."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from egretrail.runtime import UpstreamClient, UpstreamRequest, UpstreamResult
from egretrail.store import Endpoint
from egretrail.testing import EgretrailTestCase, cases
from egretrail.upstream import AttemptOutcome

_LIMIT_BYTES = 1000


@dataclass(slots=True)
class _RawUpstream:
    """Reads request heads and writes the same scripted bytes on each connection."""

    #: The bytes written for each request on a connection; None closes the connection.
    script: Sequence[bytes | None]
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            for written in self.script:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if written is None:
                    break
                writer.write(written.replace(b"{id}", _request_id(self.requests[-1])))
                await writer.drain()
            if b"hold open" in self.script:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def _request_id(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"x-request-id:"):
            return line.split(b":")[1].strip()
    return b""


def _request(
    method: str = "GET", echo_header: str = "", request_id: str = "r1", reuse: bool = True
) -> UpstreamRequest:
    return UpstreamRequest(
        method=method,
        target="/a%2Fb?x=%20y",
        headers=(("Host", "shop"), ("Connection", "close, X-Hop"), ("X-Hop", "1"), ("X-Two", "2")),
        body=b"",
        request_id=request_id,
        echo_header=echo_header,
        may_reuse_connection=reuse,
    )


async def _with_upstream(
    upstream: _RawUpstream, use: Callable[[UpstreamClient, Endpoint], Awaitable[None]]
) -> None:
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    client = UpstreamClient(_LIMIT_BYTES)
    try:
        await use(client, Endpoint("127.0.0.1", server.sockets[0].getsockname()[1]))
    finally:
        await client.stop()
        server.close()


class UpstreamClientTest(EgretrailTestCase):
    def _attempts(
        self, script: Sequence[bytes | None], *requests: UpstreamRequest, timeout_s: float = 5.0
    ) -> tuple[list[UpstreamResult], _RawUpstream]:
        upstream = _RawUpstream(script)
        results: list[UpstreamResult] = []

        async def use(client: UpstreamClient, endpoint: Endpoint) -> None:
            results.extend(
                [await client.attempt(endpoint, request, timeout_s) for request in requests]
            )

        self.run_real(_with_upstream(upstream, use))
        return results, upstream

    @cases(
        {
            "whole": (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "answered"),
            "no_content": (b"HTTP/1.1 204 No Content\r\n\r\n", "answered"),
            "server_fault": (b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", "failed"),
            "cut_by_length": (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "truncated"),
            "cut_in_a_chunk": (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                "truncated",
            ),
            "no_last_chunk": (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                "truncated",
            ),
            "ends_with_its_connection": (b"HTTP/1.1 200 OK\r\n\r\nperhaps all", "truncated"),
            "two_lengths": (
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
                "lost",
            ),
            "not_http": (b"garbage\r\n\r\n", "lost"),
            "closed_at_once": (None, "lost"),
            "shed": (
                b"HTTP/1.1 503 X\r\nX-Upstream-State: shed\r\nContent-Length: 0\r\n\r\n",
                "shed",
            ),
            "draining": (
                b"HTTP/1.1 503 X\r\nX-Upstream-State: draining\r\nContent-Length: 0\r\n\r\n",
                "draining",
            ),
            "plain_503_may_have_run": (b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "failed"),
        }
    )
    def test_outcomes(self, row: tuple[bytes | None, str]) -> None:
        written, expected = row
        (result,), _ = self._attempts([written], _request())
        self.assertEqual(AttemptOutcome(expected), result.outcome)
        if result.outcome not in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
            self.assertEqual(b"", result.body)

    @cases(
        {
            "by_length": b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + b"x" * 1001,
            "by_count": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n"
            + b"x" * 1001
            + b"\r\n0\r\n\r\n",
        }
    )
    def test_a_response_above_the_limit_is_reported_as_too_large(self, written: bytes) -> None:
        (result,), _ = self._attempts([written], _request())
        self.assertTrue(result.too_large)
        self.assertEqual(b"", result.body)

    def test_surplus_bytes_are_never_taken_for_the_next_response(self) -> None:
        surplus = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
        first = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + surplus
        results, upstream = self._attempts([first, b"hold open"], _request(), _request())
        self.assertEqual([b"ok", b"ok"], [result.body for result in results])
        self.assertEqual(2, upstream.connections)

    def test_with_an_echo_header_connections_are_reused_and_crossed_responses_discarded(
        self,
    ) -> None:
        own = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Echo: {id}\r\n\r\nok"
        foreign = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Echo: other\r\n\r\nwrong"
        results, upstream = self._attempts(
            [own, foreign],
            _request(echo_header="X-Echo"),
            _request(echo_header="X-Echo", request_id="r2"),
        )
        self.assertEqual(
            [AttemptOutcome.ANSWERED, AttemptOutcome.CROSSED],
            [result.outcome for result in results],
        )
        self.assertEqual(b"", results[1].body)
        self.assertEqual(1, upstream.connections)

    def test_a_non_idempotent_request_uses_its_own_connection(self) -> None:
        own = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Echo: {id}\r\n\r\nok"
        request = _request("PUT", echo_header="X-Echo", reuse=False)
        _, upstream = self._attempts([own, own], request, request)
        self.assertEqual(2, upstream.connections)

    def test_a_lost_request_is_not_sent_again_by_the_library(self) -> None:
        results, upstream = self._attempts([None], _request("PUT", reuse=False))
        self.assertEqual([AttemptOutcome.LOST], [result.outcome for result in results])
        self.assertEqual(1, len(upstream.requests))

    def test_an_unresponsive_upstream_is_a_timeout(self) -> None:
        results, _ = self._attempts([b"", b"hold open"], _request(), timeout_s=0.2)
        self.assertEqual([AttemptOutcome.TIMED_OUT], [result.outcome for result in results])

    def test_no_listener_is_a_refusal(self) -> None:
        async def attempt() -> UpstreamResult:
            server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            client = UpstreamClient(_LIMIT_BYTES)
            try:
                return await client.attempt(Endpoint("127.0.0.1", port), _request(), 5.0)
            finally:
                await client.stop()

        result = self.run_real(attempt())
        self.assertEqual(AttemptOutcome.REFUSED, result.outcome)
        self.assertTrue(result.certainly_not_run)

    def test_target_and_end_to_end_headers_are_forwarded_unchanged(self) -> None:
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: 1\r\nX-A: 1\r\nX-A: 2\r\n\r\n"
        (result,), upstream = self._attempts([whole], _request())
        head = upstream.requests[0].decode()
        self.assertTrue(head.startswith("GET /a%2Fb?x=%20y HTTP/1.1\r\n"))
        lines = head.lower().split("\r\n")
        self.assertIn("host: shop", lines)
        self.assertIn("x-two: 2", lines)
        self.assertNotIn("x-hop: 1", lines)
        self.assertFalse(any(line.startswith(("accept", "user-agent")) for line in lines))
        self.assertEqual(
            (("Content-Length", "0"), ("X-A", "1"), ("X-A", "2")), tuple(result.headers)
        )
