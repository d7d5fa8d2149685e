"""A stand-in for a backend: slots, a queue, a seal, an id, and a planned departure."""

import asyncio
import itertools
from dataclasses import dataclass, field

from standins.messages import Message, encode, read_message
from standins.record import Record
from standins.store import Store

_numbers = itertools.count(1)
_IDLE_TIMEOUT_S = 10


@dataclass(slots=True)
class Run:
    """One request that reached a backend."""

    #: The client attempt's id.
    attempt: str
    #: The backend's id.
    backend: str
    #: When it arrived, in seconds since the start of the script.
    arrived_s: float
    #: How it ended: ``ok``, ``rejected`` or ``cut``; empty while it runs.
    outcome: str = ""


@dataclass(slots=True)
class Backend:
    """One lifetime of a backend."""

    service: str
    zone: str
    store: Store
    record: Record
    #: Every request that reached any backend, in order.
    runs: list[Run]
    work_s: float = 0.1
    slots: int = 3
    queue: int = 12
    response_bytes: int = 400
    id: str = field(default_factory=lambda: f"i-{next(_numbers):08x}")
    state: str = "ready"
    address: str = ""
    _seq: int = 0
    _running: int = 0
    _waiting: int = 0
    _semaphore: asyncio.Semaphore | None = None
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, host: str, port: int) -> None:
        """Listen, and register in the store."""
        self._semaphore = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, host, port, backlog=256)
        self.address = f"{host}:{port}"
        self.register()

    def register(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        self.store.write(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "warmupLeft": "0ms",
                "seq": self._seq,
            },
        )

    def report_draining(self) -> None:
        """Report the planned departure; the store accepts it at once."""
        self.state = "draining"
        self.register()

    def unlist(self) -> None:
        """Leave without a report: the entry is removed, and the backend serves on for a while."""
        self.state = "draining"
        self.store.remove(f"servers/{self.id}")

    def exit(self) -> None:
        """End: stop listening, drop all connections, and remove the entry."""
        self.store.remove(f"servers/{self.id}")
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                async with asyncio.timeout(_IDLE_TIMEOUT_S):
                    request = await read_message(reader)
                if request is None or not await self._handle(request, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, TimeoutError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.headers.get("x-egretrail-attempt-id", "")
        headers = {
            "X-Egretrail-Attempt-Id": attempt,
            "X-Egretrail-Backend-Load": f"{self._running},{self._waiting},{self.slots}",
            "Keep-Alive": f"timeout={_IDLE_TIMEOUT_S}",
        }
        if self.state != "ready":
            headers["Connection"] = "close"
        if request.start[1] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(
                encode(f"HTTP/1.1 {status} Status", {"X-Egretrail-Instance-Id": self.id, **headers})
            )
            return self.state == "ready"
        run = Run(attempt, self.id, self.record.now_s())
        self.runs.append(run)
        self.record.line("arrives", attempt=attempt, backend=self.id, state=self.state)
        expected = request.headers.get("x-egretrail-expected-instance", self.id)
        if expected != self.id or not attempt or self._waiting >= self.queue:
            status = 421 if expected != self.id else 503 if attempt else 400
            headers |= {"X-Egretrail-Not-Executed": "1", "X-Egretrail-Instance-Id": self.id}
            run.outcome = "rejected"
            writer.write(encode(f"HTTP/1.1 {status} Status", headers))
            return self.state == "ready"
        deadline_ms = int(request.headers.get("x-egretrail-request-deadline", "30000"))
        work = asyncio.ensure_future(self._work(attempt))
        left = asyncio.ensure_future(_wait_for_end(reader))
        try:
            await asyncio.wait(
                {work, left}, timeout=deadline_ms / 1000, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            left.cancel()
            if not work.done():
                work.cancel()
                run.outcome = "cut"
                self.record.line("cut", attempt=attempt, backend=self.id)
        if run.outcome == "cut":
            return False
        run.outcome = "ok"
        self.record.line("ran", attempt=attempt, backend=self.id)
        headers |= {"X-Egretrail-Response-Seal": f"{self.id}.{attempt}"}
        writer.write(encode("HTTP/1.1 200 OK", headers, b"." * self.response_bytes))
        await writer.drain()
        return self.state == "ready"

    async def _work(self, attempt: str) -> None:
        assert self._semaphore is not None
        self._waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        self.record.line("runs", attempt=attempt, backend=self.id)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
            self._semaphore.release()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.01)
