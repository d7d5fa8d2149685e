"""Results of relayed attempts: each is given to its own attempt, and to no other."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from types import SimpleNamespace
from typing import cast

from egretrail.cluster import Instance, InstanceState
from egretrail.dispatch import PlacementQuery, RequestDigest
from egretrail.gateway._log import EventLog
from egretrail.gateway._pending_request import AttemptRequest, AttemptResult, Disposition
from egretrail.gateway._relay import RelayClient
from egretrail.gateway._relay_codec import encode_result
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.executor import open_devnull
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.http1 import ReceivedResponse, Request
from egretrail.testing import EgretrailTestCase, cases

#: Returns the bytes that the peer sends, from the heads of all requests on the connection so far.
Reply = Callable[[Sequence[bytes]], bytes]


def _attempt() -> AttemptRequest:
    now_s = asyncio.get_running_loop().time()
    request = Request(b"POST", b"/", [(b"Host", b"h")], b"", now_s)
    return AttemptRequest(request, "a1", "s", None, RequestDigest(1), now_s + 1.0)


def _exchange_id(head: bytes) -> bytes:
    """Return the field of a request that its response repeats; empty if it has none."""
    lines = [line for line in head.split(b"\r\n") if line.lower().startswith(b"exchange-id:")]
    return lines[0] + b"\r\n" if lines else b""


def _message(body: bytes, request_head: bytes | None, status: int = 200) -> bytes:
    """Return the response to a request; None stands for a peer that repeats no id."""
    field = b"" if request_head is None else _exchange_id(request_head)
    head = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n" % (status, len(body))
    return head + field + b"\r\n" + body


def _result(text: bytes) -> bytes:
    received = ReceivedResponse(200, b"OK", [], text)
    return encode_result(AttemptResult(Disposition.SERVED, received, "", "u"))


_FIRST, _SECOND = _result(b"first"), _result(b"second")


class RelayedResultTest(EgretrailTestCase):
    def _run_attempts(
        self, count: int, reply: Reply, *, close: bool = False
    ) -> tuple[list[AttemptResult], int]:
        """Run attempts one after the other; return their results and the connections opened."""
        opened = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal opened
            opened += 1
            heads: list[bytes] = []
            try:
                while not (close and len(heads) == count):
                    heads.append(await reader.readuntil(b"\r\n\r\n"))
                    length = heads[-1].lower().partition(b"content-length:")[2].split(b"\r\n")[0]
                    await reader.readexactly(int(length))
                    writer.write(reply(heads))
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            finally:
                writer.close()

        async def run() -> list[AttemptResult]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            peer = Instance("127.0.0.1", "zone-a", 1, InstanceState.READY, 1.0)
            membership = SimpleNamespace(instances=lambda: [peer], isolated=lambda: ())
            client = RelayClient(
                replace(gateway_settings(), relay_port=port),
                cast(FleetView, SimpleNamespace(membership=membership)),
                EventLog("test", descriptor=open_devnull()),
                random.Random(1),
            )
            results = []
            try:
                for _ in range(count):
                    async with asyncio.timeout(5):
                        query = PlacementQuery("s", 1.0, 1.0, False)
                        results.append(await client.run(_attempt(), query))
            finally:
                client.close()
                server.close()
            return results

        return self.run_real(run()), opened

    def _bodies(self, results: Sequence[AttemptResult]) -> list[bytes | None]:
        return [None if one.received is None else one.received.body for one in results]

    def test_a_connection_carries_several_attempts(self) -> None:
        def reply(heads: Sequence[bytes]) -> bytes:
            return _message(_FIRST if len(heads) == 1 else _SECOND, heads[-1])

        results, opened = self._run_attempts(2, reply)
        self.assertEqual([b"first", b"second"], self._bodies(results))
        self.assertEqual(1, opened)

    @cases({"a result": (200, _FIRST), "a refusal": (503, b"")})
    def test_a_late_response_to_an_earlier_attempt_is_skipped(
        self, case: tuple[int, bytes]
    ) -> None:
        """Guards against a caller that gets the response to another caller's request."""
        status, body = case

        def reply(heads: Sequence[bytes]) -> bytes:
            if len(heads) == 1:
                return _message(_FIRST, heads[0])
            return _message(body, heads[0], status) + _message(_SECOND, heads[1])

        results, _ = self._run_attempts(2, reply)
        self.assertEqual([b"first", b"second"], self._bodies(results))

    @cases({"a result": (200, _FIRST), "a refusal": (503, b"")})
    def test_only_a_response_to_an_earlier_attempt_fails(self, case: tuple[int, bytes]) -> None:
        """Guards against a promise that a request was not run which was made for another one."""
        status, body = case

        def reply(heads: Sequence[bytes]) -> bytes:
            if len(heads) == 1:
                return _message(_FIRST, heads[0])
            return _message(body, heads[0], status)

        results, _ = self._run_attempts(2, reply, close=True)
        self.assertEqual([b"first", None], self._bodies(results))
        self.assertIs(Disposition.FAILED, results[1].disposition)

    def test_a_peer_that_repeats_no_id_gets_a_new_connection_for_each_attempt(self) -> None:
        """Guards against results of an instance of an earlier version that can't be told apart."""

        def reply(heads: Sequence[bytes]) -> bytes:
            if len(heads) == 1:
                return _message(_FIRST, None)
            return _message(_SECOND, None)

        results, opened = self._run_attempts(2, reply)
        self.assertEqual([b"first", b"first"], self._bodies(results))
        self.assertEqual(2, opened)

    def test_a_response_without_an_id_fails_behind_one_with_an_id(self) -> None:
        def reply(heads: Sequence[bytes]) -> bytes:
            if len(heads) == 1:
                return _message(_FIRST, heads[0])
            return _message(_SECOND, None)

        results, _ = self._run_attempts(2, reply)
        self.assertEqual([b"first", None], self._bodies(results))
        self.assertIs(Disposition.FAILED, results[1].disposition)
