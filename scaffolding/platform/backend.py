"""A stand-in of a backend: slots, a queue, seals, and faults of several kinds."""

import asyncio
import contextlib
import enum
import itertools
from collections import Counter
from dataclasses import dataclass, field

_numbers = itertools.count(1)


class Behaviour(enum.Enum):
    """What a backend does with its requests."""

    SOUND = "sound"
    #: It answers 500 at once.
    FAILING = "failing"
    #: It refuses with the mark that nothing ran.
    SHEDDING = "shedding"
    #: It runs requests and never answers.
    HANGING = "hanging"
    #: It runs requests and resets the connection.
    RESETTING = "resetting"
    #: Its answers end before their stated length.
    TRUNCATING = "truncating"
    #: It sends another answer behind each.
    DOUBLING = "doubling"
    #: It sends a late answer to an earlier request in front of each.
    CROSSING = "crossing"
    #: Its answers are not HTTP.
    NONSENSE = "nonsense"
    #: Its answers carry no seal.
    UNSEALED = "unsealed"


@dataclass(slots=True)
class StandInBackend:
    """One lifetime of a backend on a loopback address."""

    #: The service it belongs to.
    service: str
    #: Its availability zone.
    zone: str
    #: How long its work takes.
    work_s: float = 0.02
    #: Requests that it runs at once.
    slots: int = 4
    #: Requests that may wait.
    queue: int = 16
    #: What it does.
    behaviour: Behaviour = Behaviour.SOUND
    #: Its lifetime's id.
    id: str = field(default_factory=lambda: f"i-{next(_numbers):06d}")
    #: The millisecond of its start; 0 for one that does not say.
    born: int = 0
    #: Runs by client attempt.
    runs: Counter[str] = field(default_factory=Counter)
    #: Targets and bodies that arrived, by client attempt.
    seen: dict[str, tuple[str, str, bytes]] = field(default_factory=dict)
    #: The header fields that arrived, by client attempt; names in lower case.
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    #: Milliseconds that it was told are left, by client attempt.
    told_ms: dict[str, int] = field(default_factory=dict)
    #: When requests arrived, by the loop's clock, and their client attempts.
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    #: Runs that ended since the connection closed.
    cancelled: list[str] = field(default_factory=list)
    #: The requests a second that it names as its limit for all callers together.
    limit_per_s: float | None = None
    #: Where it listens.
    address: str = ""
    _running: int = 0
    _waiting: int = 0
    _room: asyncio.Semaphore | None = None
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen."""
        self._room = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """End at once, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def record(self, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store."""
        stated = {"born": self.born} if self.born else {}
        return {
            **stated,
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmupLeft": "0ms",
            "seq": 1,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = head.strip().split("\r\n")
        method, target, _ = line.split(" ")
        fields = {
            name.lower(): value.strip() for name, _, value in (r.partition(":") for r in rows)
        }
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        attempt = fields.get("x-egretrail-attempt-id", "")
        self.seen[attempt] = (method, target, body)
        self.headers[attempt] = fields
        self.arrivals.append((asyncio.get_running_loop().time(), attempt))
        self.told_ms[attempt] = int(fields.get("x-egretrail-request-deadline", "0"))
        if fields.get("x-egretrail-expected-instance", self.id) != self.id:
            self._send(writer, 421, b"", attempt, {"X-Egretrail-Instance-Id": self.id})
            return True
        full = self._waiting >= self.queue
        if full or self.behaviour is Behaviour.SHEDDING:
            self._send(writer, 503, b"", attempt, {"X-Egretrail-Not-Executed": "1"})
            return True
        run = asyncio.create_task(self._run(attempt))
        gone = asyncio.create_task(self._gone(reader))
        await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if not run.done():
            run.cancel()
            self.cancelled.append(attempt)
            return False
        return self._reply(writer, attempt, f"{self.id} {method} {target}".encode())

    async def _gone(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.005)

    async def _run(self, attempt: str) -> None:
        assert self._room is not None
        self._waiting += 1
        await self._room.acquire()
        self._waiting -= 1
        self._running += 1
        try:
            self.runs[attempt] += 1
            if self.behaviour is Behaviour.HANGING:
                await asyncio.sleep(3600)
            if self.behaviour is not Behaviour.FAILING:
                await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
            self._room.release()

    def _reply(self, writer: asyncio.StreamWriter, attempt: str, body: bytes) -> bool:
        match self.behaviour:
            case Behaviour.FAILING:
                self._send(writer, 500, b"failed", attempt, _SEALED)
            case Behaviour.RESETTING:
                writer.transport.abort()
                return False
            case Behaviour.TRUNCATING:
                message = _message(200, body, attempt, _SEALED)
                writer.write(message[:-3])
                return False
            case Behaviour.DOUBLING:
                self._send(writer, 200, body, attempt, _SEALED)
                self._send(writer, 200, b"of another", "other-attempt", _SEALED)
            case Behaviour.CROSSING:
                self._send(writer, 200, b"of another", "other-attempt", _SEALED)
                self._send(writer, 200, body, attempt, _SEALED)
            case Behaviour.NONSENSE:
                writer.write(b"\x00\x01 this is not an answer\r\n\r\n")
            case Behaviour.UNSEALED:
                self._send(writer, 200, body, attempt, {})
            case _:
                load = f"{self._running + 1},{self._waiting},{self.slots}"
                self._send(
                    writer, 200, body, attempt, {**_SEALED, "X-Egretrail-Backend-Load": load}
                )
        return True

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        attempt: str,
        fields: dict[str, str],
    ) -> None:
        if self.limit_per_s is not None:
            fields = {**fields, "Server-Limit": f"{self.limit_per_s:g}"}
        writer.write(_message(status, body, attempt, fields))


_SEALED = {"X-Egretrail-Response-Seal": "1a.2b"}


def _message(status: int, body: bytes, attempt: str, fields: dict[str, str]) -> bytes:
    rows = {"Content-Length": str(len(body)), "X-Egretrail-Attempt-Id": attempt, **fields}
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"HTTP/1.1 {status} Status\r\n{head}\r\n".encode() + body
