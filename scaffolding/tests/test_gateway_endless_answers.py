"""Tests that answers without end neither fill a gateway's memory nor hold callers up."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from egretrail.testing import cases
from scaffolding.platform import AttemptResult, GatewayFleet, LinkFault, RawExchange, RawServer
from scaffolding.platform.fleet import HOST, config
from scaffolding.tests.gateway_harness import ROUTES, FleetHarness, GatewayTest, Scenario

_KIB, _MIB = 1024, 1024 * 1024
#: The memory that a gateway process may have; the platform kills it above that.
_PROCESS_KIB = 300 * _KIB
#: By how much one answer that is no body may let a process grow: sixteen upstreams at a time that
#: send such answers must leave the process alive.
_HEAD_GROWTH_KIB = _PROCESS_KIB // 16
#: The same for a body, which may be long: two at a time must leave the process alive.
_BODY_GROWTH_KIB = _PROCESS_KIB // 3
#: An upstream sends this much at most, and for this long; a piece every millisecond.
_SENT_BYTES_MAX, _SENDING_S, _PAUSE_S = 48 * _MIB, 4.0, 0.001
#: A caller whose answer is lost is told within this time; its deadline is 20 s.
_AT_ONCE_S = 2.5
#: Other callers' reads take 20 ms; this long at most while an upstream sends without end.
_OTHERS_S = 1.0
#: Bodies of this size, each within its bound; as many at a time are more than a process may have.
_BODY_BYTES, _BODIES = 14 * _MIB, 24
#: What a caller may get: the whole body, or word that it is lost.
_BODY_RESULTS = {(200, _BODY_BYTES), (502, 0)}
_CUT_UPSTREAMS = 160
#: Time-out that ends a hanging test.
_LIMIT_S = 60.0

_SEAL = "X-Egretrail-Response-Seal: 1a.2b\r\n"


@dataclass(frozen=True, slots=True)
class _Endless:
    """An answer without end."""

    #: What is sent first; ``{id}`` stands for the attempt's id.
    first: str
    #: What follows, repeated.
    repeated: str
    #: By how much it may let a process grow.
    growth_kib: int = _HEAD_GROWTH_KIB


def _head(fields: str, attempt: str = "{id}", status: str = "200 OK") -> str:
    return f"HTTP/1.1 {status}\r\nX-Egretrail-Attempt-Id: {attempt}\r\n{_SEAL}{fields}\r\n"


_CHUNKED = _head("Transfer-Encoding: chunked\r\n")
_OTHER_CHUNKED = _head("Transfer-Encoding: chunked\r\n", "another")
_STATUS = "HTTP/1.1 200 OK\r\n"
_PADDING = "a" * 100
_CHUNK = f"2710\r\n{'b' * 10_000}\r\n"
_ANSWERS = {
    "one_header_value": _Endless(_STATUS + "X-Padding: ", _PADDING),
    "one_header_name": _Endless(_STATUS + "X-", _PADDING),
    "headers": _Endless(_STATUS, f"X-Padding: {_PADDING}\r\n"),
    "short_headers": _Endless(_STATUS, "a: b\r\n"),
    "reason": _Endless("HTTP/1.1 200 ", _PADDING),
    "one_trailer": _Endless(_CHUNKED + "2\r\nab\r\n0\r\nX-Padding: ", _PADDING),
    "trailers": _Endless(_CHUNKED + "2\r\nab\r\n0\r\n", f"X-Padding: {_PADDING}\r\n"),
    "interim_answers": _Endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "interim_answers_with_headers": _Endless("", f"HTTP/1.1 103 Early\r\nLink: {_PADDING}\r\n\r\n"),
    "empty_lines": _Endless("", "\r\n"),
    "one_chunk_extension": _Endless(_CHUNKED + "1;", _PADDING),
    "chunk_extensions": _Endless(_CHUNKED, f"2;{_PADDING}\r\nab\r\n"),
    "chunk_size": _Endless(_CHUNKED, "0"),
    "answers_of_others": _Endless("", _head("Content-Length: 2\r\n", "another") + "ab"),
    "body_of_another": _Endless(_OTHER_CHUNKED, _CHUNK, _BODY_GROWTH_KIB),
    "body_in_chunks": _Endless(_CHUNKED, _CHUNK, _BODY_GROWTH_KIB),
    "body_in_short_chunks": _Endless(_CHUNKED, "2\r\nab\r\n", _BODY_GROWTH_KIB),
    "body_with_a_length": _Endless(
        _head(f"Content-Length: {10**12}\r\n"), "b" * 100, _BODY_GROWTH_KIB
    ),
    "body_without_a_length": _Endless(_head(""), "b" * 100, _BODY_GROWTH_KIB),
    "body_of_a_failure": _Endless(
        _head("Transfer-Encoding: chunked\r\n", status="500 Failed"), _CHUNK, _BODY_GROWTH_KIB
    ),
}
#: Answers of the store; it answers no attempt, so any id is as good as none.
_STORE_KINDS = (
    "one_header_value",
    "headers",
    "reason",
    "trailers",
    "interim_answers",
    "empty_lines",
    "chunk_extensions",
    "body_in_chunks",
)


def _memory_kib(harness: FleetHarness) -> int:
    """Return the most memory that the first gateway's process has had."""
    status = Path(f"/proc/{harness.fleet.process_id(0)}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1])


def _log_lines(harness: FleetHarness, event: str, upstream_id: str) -> Sequence[str]:
    return [
        line
        for line in harness.fleet.log(0).splitlines()
        if f" event={event} " in line and f"upstream={upstream_id} " in f"{line} "
    ]


async def _send_endless(exchange: RawExchange, answer: _Endless) -> None:
    piece = answer.repeated.encode()
    await exchange.send_without_end(
        answer.first.format(id=exchange.attempt).encode(),
        piece * (64 * _KIB // len(piece)),
        bytes_max=_SENT_BYTES_MAX,
        pause_s=_PAUSE_S,
        time_max_s=_SENDING_S,
    )


async def _timed_order(harness: FleetHarness) -> tuple[AttemptResult, float]:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    result = await harness.send_order(0)
    return result, loop.time() - began_s


async def _is_closed_by_gateway(upstream: RawServer) -> bool:
    """Return whether the gateway closed the first connection, well before the raw server does."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_AT_ONCE_S):
            while not upstream.exchanges[0].is_closed_by_peer:
                await asyncio.sleep(0.02)
    return upstream.exchanges[0].is_closed_by_peer


class _Barrier:
    """Lets bodies end once all of them have been sent, or time has passed."""

    def __init__(self, count: int) -> None:
        self._missing = count
        self._all = asyncio.Event()

    def open(self) -> None:
        """Let all bodies end."""
        self._all.set()

    async def wait(self) -> None:
        """Wait for the others."""
        self._missing -= 1
        if self._missing <= 0:
            self._all.set()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all.wait(), _SENDING_S / 2)


async def _send_body(exchange: RawExchange, barrier: _Barrier | None) -> None:
    writer = exchange.writer
    writer.write(_head(f"Content-Length: {_BODY_BYTES}\r\n").format(id=exchange.attempt).encode())
    piece = b"b" * (256 * _KIB)
    for _ in range(_BODY_BYTES // len(piece) - 1):
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(_PAUSE_S)
    if barrier is not None:
        await barrier.wait()
    writer.write(piece)
    await writer.drain()


async def _order_body(address: str, attempt: str, may_read: asyncio.Event) -> tuple[int, int]:
    """Send an order and read its answer once that is permitted; return status and body bytes."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = f"Host: {HOST}\r\nX-Egretrail-Attempt-Id: {attempt}\r\nConnection: close\r\n"
        writer.write(f"POST /order/1 HTTP/1.1\r\n{fields}Content-Length: 0\r\n\r\n".encode())
        await may_read.wait()
        head = await reader.readuntil(b"\r\n\r\n")
        size_bytes = 0
        while data := await reader.read(256 * _KIB):
            size_bytes += len(data)
        return int(head.split(b" ")[1]), size_bytes
    finally:
        writer.close()


class _Readers:
    """Callers of a healthy service, one request after the other."""

    def __init__(self, harness: FleetHarness) -> None:
        self._harness = harness
        self.statuses: set[int] = set()
        self.longest_s = 0.0

    async def have_read(self) -> bool:
        """Return whether a request was answered."""
        return bool(self.statuses)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            result = await self._harness.send_read(0)
            self.statuses.add(result.status)
            self.longest_s = max(self.longest_s, loop.time() - began_s)


@contextlib.asynccontextmanager
async def _reading(harness: FleetHarness) -> AsyncIterator[_Readers]:
    readers = _Readers(harness)
    task = asyncio.create_task(readers.run())
    try:
        yield readers
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


class RawUpstreamTest(GatewayTest):
    """Runs gateways whose orders go to raw servers alone."""

    def run_with_upstreams(self, scenario: Scenario, upstreams: Sequence[RawServer]) -> None:
        """Run a scenario with ready gateways, healthy reads, and raw servers for orders."""

        async def run() -> None:
            fleet = GatewayFleet(2)
            harness = FleetHarness(fleet)
            try:
                fleet.store.write("op/config", config(2, ROUTES))
                await fleet.add_backends("catalogue", 2)
                for upstream in upstreams:
                    await upstream.start()
                    fleet.store.write(f"servers/{upstream.id}", upstream.store_entry())
                await fleet.start()
                for number in range(2):
                    await harness.wait_until_ready(number)
                await scenario(harness)
            finally:
                await fleet.stop()
                for upstream in upstreams:
                    await upstream.stop()

        self.run_real(run(), _LIMIT_S)


class EndlessAnswerTest(RawUpstreamTest):
    @cases(_ANSWERS)
    def test_an_answer_without_end_is_refused(self, answer: _Endless) -> None:
        """Guards against readers without bounds.

        The process grew until the platform killed it, or the caller waited until its deadline.
        """
        upstream = RawServer("orders", lambda exchange: _send_endless(exchange, answer))

        async def scenario(harness: FleetHarness) -> None:
            before_kib = _memory_kib(harness)
            async with _reading(harness) as readers:
                result, duration_s = await _timed_order(harness)
                self.assertLess(_memory_kib(harness) - before_kib, answer.growth_kib)
                self.assertEqual(502, result.status)
                self.assertLess(duration_s, _AT_ONCE_S)
                self.assertTrue(await _is_closed_by_gateway(upstream))
                await _timed_order(harness)
                self.assertLess(_memory_kib(harness) - before_kib, answer.growth_kib)
                await harness.wait_until(readers.have_read, "read")
            self.assertEqual({200}, readers.statuses)
            self.assertLess(readers.longest_s, _OTHERS_S)

            async def is_logged() -> bool:
                return bool(_log_lines(harness, "attempt_failed", upstream.id))

            # Logs are written a moment later than answers.
            await harness.wait_until(is_logged, "logged")
            failed = _log_lines(harness, "attempt_failed", upstream.id)
            self.assertEqual([], [line for line in failed if "malformed" not in line])

            async def is_avoided() -> bool:
                return bool(_log_lines(harness, "upstream_standing", upstream.id))

            # Two failures at most 3 s apart put an upstream behind the others or out of use.
            await harness.wait_until(is_avoided, "avoided")

        self.run_with_upstreams(scenario, [upstream])


class EndlessStoreAnswerTest(RawUpstreamTest):
    @cases({kind: _ANSWERS[kind] for kind in _STORE_KINDS})
    def test_a_store_that_answers_without_end_is_left(self, answer: _Endless) -> None:
        """Guards against a client of the store that reads for as long as bytes arrive."""
        store = RawServer("store", lambda exchange: _send_endless(exchange, answer))

        async def scenario(harness: FleetHarness) -> None:
            before_kib = _memory_kib(harness)
            link = harness.fleet.store_links[0]
            link.target = store.address
            link.fault = LinkFault.RESET
            await asyncio.sleep(0.1)
            link.fault = LinkFault.NONE
            async with _reading(harness) as readers:

                async def is_called() -> bool:
                    return bool(store.exchanges)

                await harness.wait_until(is_called, "called")
                self.assertTrue(await _is_closed_by_gateway(store))
                await asyncio.sleep(0.5)
            self.assertLess(_memory_kib(harness) - before_kib, answer.growth_kib)
            self.assertEqual({200}, readers.statuses)
            self.assertLess(readers.longest_s, _OTHERS_S)

        self.run_with_upstreams(scenario, [store])


class ManyBodiesTest(RawUpstreamTest):
    @cases({"at_the_upstreams": False, "with_slow_readers": True})
    def test_bodies_of_many_connections_fit_into_the_process(self, readers_wait: bool) -> None:
        """Guards against a bound for each body alone: together they filled the memory.

        A body counts until the caller has it, as slow readers hold up bodies as well.
        """
        barrier = _Barrier(_BODIES)

        async def answer(exchange: RawExchange) -> None:
            await _send_body(exchange, None if readers_wait else barrier)

        upstream = RawServer("orders", answer)

        async def scenario(harness: FleetHarness) -> None:
            address = harness.fleet.traffic_address(0)
            may_read = asyncio.Event()
            if not readers_wait:
                may_read.set()
            callers = [
                asyncio.create_task(_order_body(address, f"body-{number}", may_read))
                for number in range(_BODIES)
            ]
            async with _reading(harness) as readers:
                await asyncio.sleep(_SENDING_S)
                may_read.set()
                received = await asyncio.gather(*callers)
            self.assertLess(_memory_kib(harness), _PROCESS_KIB)
            self.assertEqual({200}, readers.statuses)
            self.assertLess(readers.longest_s, _OTHERS_S)
            self.assertEqual(set(), {one for one in received if one not in _BODY_RESULTS})
            self.assertIn((200, _BODY_BYTES), received)
            # What was reserved is free again, and the failures say nothing about the upstream.
            self.assertEqual([], _log_lines(harness, "upstream_standing", upstream.id))
            barrier.open()
            again = [await _order_body(address, f"again-{n}", may_read) for n in range(_BODIES)]
            self.assertEqual({(200, _BODY_BYTES)}, set(again))

        self.run_with_upstreams(scenario, [upstream])


class CutHeadTest(RawUpstreamTest):
    @cases(
        {
            "with_a_length": _head("Content-Length: 2\r\n"),
            "in_chunks": _CHUNKED,
            "without_a_length": _head(""),
        }
    )
    def test_a_head_that_is_cut_at_any_byte_is_no_success(self, head: str) -> None:
        """Guards against a head that is taken as whole when its connection closes."""
        cuts = iter(range(1000))
        sent: list[int] = []

        async def answer(exchange: RawExchange) -> None:
            data = head.format(id=exchange.attempt).encode()
            cut = next(cuts)
            if cut < len(data):
                sent.append(cut)
                exchange.writer.write(data[:cut])
                await exchange.writer.drain()

        # As many upstreams as cuts, as one that has failed twice gets no more orders.
        upstreams = [RawServer("orders", answer) for _ in range(_CUT_UPSTREAMS)]

        async def scenario(harness: FleetHarness) -> None:
            length = len(head.format(id="attempt-000000"))
            # Each order differs: one that seems to crash its upstreams is refused.
            results = [await harness.send_order(0, b"%d" % cut) for cut in range(length)]
            self.assertEqual({502}, {one.status for one in results})
            self.assertEqual(list(range(length)), sent)

        self.run_with_upstreams(scenario, upstreams)
