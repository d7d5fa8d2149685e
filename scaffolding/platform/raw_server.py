"""A loopback server that answers requests with arbitrary bytes."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

_numbers = itertools.count(1)


@dataclass(slots=True)
class RawExchange:
    """A request that was read, and the connection on which its answer is sent."""

    #: The client attempt's id; empty if the request has none.
    attempt: str
    #: The request target.
    target: str
    #: Where the answer is written.
    writer: asyncio.StreamWriter
    #: Whether the other side closed the connection first.
    is_closed_by_peer: bool = False

    async def send_without_end(
        self, first: bytes, piece: bytes, *, bytes_max: int, pause_s: float, time_max_s: float
    ) -> None:
        """Send ``first``, then ``piece`` again and again until the other side closes.

        After ``bytes_max`` bytes nothing more is sent; after ``time_max_s`` the exchange ends here.
        """
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(time_max_s):
                self.writer.write(first)
                for _ in range(bytes_max // len(piece)):
                    self.writer.write(piece)
                    await self.writer.drain()
                    await asyncio.sleep(pause_s)
                await asyncio.sleep(time_max_s)


#: Answers one request; the connection is closed when it returns.
RawAnswer = Callable[[RawExchange], Awaitable[None]]


class RawServer:
    """One lifetime of an upstream whose answers a test writes byte by byte."""

    def __init__(self, service: str, answer: RawAnswer, *, slots: int = 64) -> None:
        self._service = service
        self._answer = answer
        self._slots = slots
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        #: The id of this lifetime.
        self.id = f"raw-{next(_numbers):06d}"
        #: The address that it listens on, ``IP:PORT``.
        self.address = ""
        #: The requests that were read, in order.
        self.exchanges: list[RawExchange] = []

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def store_entry(self) -> dict[str, object]:
        """Return the upstream's entry in the store."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "warmupLeft": "0ms",
            "seq": 1,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await self._serve_request(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if task.cancelling() else writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = head.strip().split("\r\n")
        fields = {row.partition(":")[0].lower(): row.partition(":")[2].strip() for row in rows}
        await reader.readexactly(int(fields.get("content-length", "0")))
        exchange = RawExchange(fields.get("x-egretrail-attempt-id", ""), line.split(" ")[1], writer)
        self.exchanges.append(exchange)
        answer = asyncio.ensure_future(self._answer(exchange))
        closed = asyncio.create_task(_wait_for_close(reader))
        try:
            await asyncio.wait({answer, closed}, return_when=asyncio.FIRST_COMPLETED)
            exchange.is_closed_by_peer = closed.done()
        finally:
            answer.cancel()
            closed.cancel()
            await asyncio.gather(answer, closed, return_exceptions=True)


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(ConnectionError):
        while await reader.read(1024):
            pass
