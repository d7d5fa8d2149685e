"""Responses that break off, or that nobody asked for, on a connection that is reused.

An exchange may fail, but what it gives is the response to its own request and nothing else.
"""

import asyncio
import dataclasses
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from egretrail.http1 import (
    ClientConnection,
    ExchangeFailed,
    ReceivedResponse,
    ResponseOwner,
    encode_request,
    header_values,
)
from egretrail.testing import EgretrailTestCase, cases

_REQUEST = encode_request(b"POST", b"/order", [(b"Host", b"x")], b"")
#: Well above the time for which the end of a response may be held back.
_AT_ONCE_S = 0.25


def _response(framing: str, status: bytes, body: bytes, *fields: bytes) -> bytes:
    head = [b"HTTP/1.1 " + status, *fields]
    if framing == "length":
        head.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        head.append(b"Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:half], body[half:])]
        body = b"".join(parts) + b"0\r\n\r\n"
    return b"\r\n".join(head) + b"\r\n\r\n" + body


_FIRST = _response("length", b"200 OK", b"first", b"Id: A")
_BODY = b"what B's upstream answered, a failure, with its seal"
_ANSWERS = {
    framing: _response(framing, b"500 Internal Server Error", _BODY, b"Id: B", b"Seal: b")
    for framing in ("length", "chunks", "none")
}
#: Whole responses that nobody asked for; those in the first group say whose they are.
_OTHERS_OWN = {
    framing: _response(framing, b"200 OK", b"what A's upstream answered", b"X: y", b"Id: A")
    for framing in ("length", "chunks", "none")
}
_UNKNOWN = {
    "no id": _response("length", b"200 OK", b"nobody's", b"X: y"),
    "two ids": _response("length", b"200 OK", b"both", b"Id: B", b"Id: A"),
    "id in a trailer": _response("chunks", b"200 OK", b"trailer", b"X: y")[:-2] + b"Id: B\r\n\r\n",
}
_EXTRAS = {**_OTHERS_OWN, **_UNKNOWN}


@dataclass(frozen=True)
class _Case:
    """The bytes of one connection, from the end of its first response."""

    #: The name and the first bytes of a response that nobody asked for, and where they arrive.
    extra: str = "length"
    extra_bytes: int = 0
    place: str = "before the answer"
    #: The framing and the first bytes of the second exchange's own response.
    answer: str = "length"
    answer_bytes: int = 10_000
    #: The first bytes of ``_OTHERS_OWN["length"]`` that follow.
    behind_bytes: int = 0
    #: Whether all arrives in one segment, in one for each part, or byte by byte.
    segments: str = "one"
    closed: bool = False

    @property
    def parts(self) -> tuple[bytes, bytes, bytes]:
        return (
            _EXTRAS[self.extra][: self.extra_bytes],
            _ANSWERS[self.answer][: self.answer_bytes],
            _OTHERS_OWN["length"][: self.behind_bytes],
        )

    def segmented(self, *parts: bytes) -> list[bytes]:
        data = b"".join(parts)
        if self.segments == "bytes":
            return [data[i : i + 1] for i in range(len(data))]
        return [part for part in (parts if self.segments == "parts" else (data,)) if part]

    def is_allowed(self, outcome: str) -> bool:
        """Return whether the outcome of the second exchange is right.

        Pending is right only while more bytes could still make a response of what has arrived.
        """
        extra, answer, behind = self.parts
        if self.place != "before the answer":
            extra = b""
        lost = len(_ANSWERS[self.answer]) - len(answer)
        is_whole_extra = len(extra) == len(_EXTRAS[self.extra]) and self.extra in (
            "length",
            "chunks",
        )
        ends = self.answer != "none" or (self.closed and not behind)
        if outcome == "unused":
            return self.place != "before the answer" and self.extra_bytes > 0
        if outcome == "right":
            return not lost
        if outcome == "failed":
            return not (not lost and ends and (not extra or is_whole_extra))
        if outcome == "pending":
            if self.closed:
                return False
            if self.extra in _UNKNOWN and len(extra) == len(_EXTRAS[self.extra]):
                return False
            if extra and not is_whole_extra and not lost:
                return False
            # Without a byte of the answer, what follows is a whole response that is skipped.
            if answer and len(behind) == len(_OTHERS_OWN["length"]):
                return False
            return bool(lost) or not ends
        # No bytes tell that the last ones of a body were replaced by as many, too few to be known
        # as the beginning of a response; or that a body without a length has ended too early.
        body_lost = 0 < lost <= len(_BODY) and (not extra or is_whole_extra)
        if self.answer == "length":
            return body_lost and outcome == "wrong body" and lost == len(behind) <= 4
        few = len(behind) <= 4 and self.closed
        return self.answer == "none" and body_lost | bool(behind) and few


class _StubTransport(asyncio.Transport):
    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Accept everything."""

    def abort(self) -> None:
        """Do nothing: what arrives later is still handed over."""

    def get_write_buffer_size(self) -> int:
        return 0


def _owner(head: ReceivedResponse) -> ResponseOwner:
    ids = set(header_values(head.headers, b"id"))
    if len(ids) != 1:
        return ResponseOwner.UNKNOWN
    return ResponseOwner.THIS_REQUEST if ids == {b"B"} else ResponseOwner.ANOTHER_REQUEST


async def _second_exchange(case: _Case) -> str:
    """Run two exchanges over one connection and return the outcome of the second."""
    connection = ClientConnection()
    connection.connection_made(_StubTransport())
    extra, answer, behind = case.parts
    first = asyncio.ensure_future(connection.exchange(_REQUEST))
    await asyncio.sleep(0)
    leading = extra if case.place == "behind the answer before" else b""
    for data in case.segmented(_FIRST + leading):
        connection.data_received(data)
    if (await first).body != b"first":
        return "wrong first"
    if case.place == "on the idle connection" and extra:
        for data in case.segmented(extra):
            connection.data_received(data)
    if not connection.is_reusable:
        return "unused"
    second = asyncio.ensure_future(connection.exchange(_REQUEST, _owner))
    await asyncio.sleep(0)
    for data in case.segmented(extra if case.place == "before the answer" else b"", answer, behind):
        connection.data_received(data)
    if case.closed:
        connection.eof_received()
    return await _outcome(second)


async def _outcome(exchange: "asyncio.Future[ReceivedResponse]") -> str:
    await asyncio.wait({exchange}, timeout=_AT_ONCE_S)
    if not exchange.done():
        exchange.cancel()
        return "pending"
    if exchange.exception() is not None:
        return "failed" if isinstance(exchange.exception(), ExchangeFailed) else "wrong error"
    response = exchange.result()
    is_own_head = (response.status, response.reason, response.header(b"seal")) == (
        500,
        b"Internal Server Error",
        b"b",
    )
    if not is_own_head or response.header(b"id") != b"B":
        return "wrong head"
    return "right" if response.body == _BODY else "wrong body"


def _ways(case: _Case) -> Iterator[_Case]:
    for segments in ("one", "parts", "bytes"):
        for closed in (False, True):
            yield dataclasses.replace(case, segments=segments, closed=closed)


class RunTogetherTest(EgretrailTestCase):
    def _check(self, table: Iterator[_Case]) -> None:
        async def run() -> list[tuple[str, _Case]]:
            outcomes = [(await _second_exchange(case), case) for case in table]
            return [(outcome, case) for outcome, case in outcomes if not case.is_allowed(outcome)]

        wrong = self.run_paused(run())
        self.assertEqual([], wrong[:4], f"{Counter(outcome for outcome, _ in wrong)}")

    @cases(
        {
            f"{name}, {place}": (name, place)
            for name in _EXTRAS
            for place in ("behind the answer before", "before the answer", "on the idle connection")
        }
    )
    def test_an_extra_response_cut_at_every_byte(self, case: tuple[str, str]) -> None:
        """Guards against a head that is continued by the next response, in status or id."""
        name, place = case
        self._check(
            way
            for answer in _ANSWERS
            for size in range(len(_EXTRAS[name]) + 1)
            for way in _ways(_Case(name, size, place, answer))
        )

    @cases({f"{answer}, extra {extra}": (answer, extra) for answer in _ANSWERS for extra in (0, 1)})
    def test_the_response_itself_cut_at_every_byte(self, case: tuple[str, int]) -> None:
        """Guards against bytes of another response in a body, or as the rest of a head."""
        answer, extra = case
        sizes = (0, *range(1, 14), 40, 60, len(_OTHERS_OWN["length"]))
        self._check(
            way
            for size in range(len(_ANSWERS[answer]) + 1)
            for behind in sizes
            for way in _ways(
                _Case(
                    extra_bytes=extra * 10_000,
                    answer=answer,
                    answer_bytes=size,
                    behind_bytes=behind,
                )
            )
        )

    @given(
        st.builds(
            _Case,
            extra=st.sampled_from(list(_EXTRAS)),
            extra_bytes=st.integers(0, 130),
            place=st.sampled_from(
                ["behind the answer before", "before the answer", "on the idle connection"]
            ),
            answer=st.sampled_from(list(_ANSWERS)),
            answer_bytes=st.integers(0, 180),
            behind_bytes=st.integers(0, 110),
            segments=st.sampled_from(["one", "parts", "bytes"]),
            closed=st.booleans(),
        )
    )
    @settings(max_examples=500, derandomize=True, deadline=None)
    def test_both_cut_at_any_byte(self, case: _Case) -> None:
        """Guards against two broken responses that together read as one."""
        outcome = self.run_paused(_second_exchange(case))
        self.assertTrue(case.is_allowed(outcome), outcome)


class SocketTest(EgretrailTestCase):
    """The same on loopback sockets, where segments may be delivered together."""

    @cases(
        {
            "in the status line": (20, False),
            "in a value before the id": (22, False),
            "before the id, in its own segment": (22, True),
            "behind the id": (30, False),
            "behind the id, in its own segment": (30, True),
            "in the body": (60, True),
            "whole": (1_000, True),
        }
    )
    def test_an_extra_response_that_breaks_off(self, case: tuple[int, bool]) -> None:
        """Guards against a success where the upstream answered a failure."""
        size, is_late = case
        extra = _OTHERS_OWN["length"][:size]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_FIRST if is_late else _FIRST + extra)
            await reader.readuntil(b"\r\n\r\n")
            if is_late:
                writer.write(extra)
                await asyncio.sleep(0.02)
            writer.write(_ANSWERS["length"])
            await reader.read()
            writer.close()

        async def run() -> str:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            loop = asyncio.get_running_loop()
            transport, connection = await loop.create_connection(ClientConnection, host, port)
            try:
                await connection.exchange(_REQUEST)
                if not connection.is_reusable:
                    return "unused"
                second = asyncio.ensure_future(connection.exchange(_REQUEST, _owner))
                return await _outcome(second)
            finally:
                transport.abort()
                server.close()

        outcome = self.run_real(run())
        place = "before the answer" if is_late else "behind the answer before"
        self.assertTrue(_Case(extra_bytes=size, place=place).is_allowed(outcome), outcome)
