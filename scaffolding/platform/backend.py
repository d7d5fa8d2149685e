"""A stand-in for a backend, with slots, a queue, response seals and injectable faults."""

import asyncio
import contextlib
import enum
import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from scaffolding.platform.sent_answer import SentAnswer, next_seal
from scaffolding.platform.stuttering import Stutterer

_numbers = itertools.count(1)
#: Added to the response to a request with ``large`` in its target: more than the receive buffer of
#: a slow client holds. The send buffer of the gateway's kernel takes the rest.
_LARGE_BYTES = 600_000


class Behaviour(enum.Enum):
    """How a backend handles its requests."""

    HEALTHY = "sound"
    #: Responds with 500 at once.
    FAILING = "failing"
    #: Rejects requests with the header that says that they were not executed.
    SHEDDING = "shedding"
    #: Runs requests and never responds.
    HANGING = "hanging"
    #: Runs requests and resets the connection.
    RESETTING = "resetting"
    #: Sends responses that are shorter than their content length.
    TRUNCATING = "truncating"
    #: Sends an additional response, of another attempt, after each response.
    EXTRA_RESPONSE = "doubling"
    #: Sends a late response of another attempt before each response.
    STALE_RESPONSE = "crossing"
    #: Sends bytes that are not HTTP.
    MALFORMED = "nonsense"
    #: Sends responses without a seal.
    UNSEALED = "unsealed"


@dataclass(slots=True)
class StandInBackend:
    """One lifetime of a backend on a loopback address."""

    #: The service that the backend belongs to.
    service: str
    #: Its availability zone.
    zone: str
    #: How long a request takes, in seconds.
    work_s: float = 0.02
    #: Requests that run concurrently.
    slots: int = 4
    #: Requests that may wait for a slot.
    queue: int = 16
    #: How requests are handled now.
    behaviour: Behaviour = Behaviour.HEALTHY
    #: The id of this lifetime.
    id: str = field(default_factory=lambda: f"i-{next(_numbers):06d}")
    #: Start time in Unix milliseconds; 0 leaves it out of the store entry.
    born: int = 0
    #: Number of runs by client attempt.
    runs: Counter[str] = field(default_factory=Counter)
    #: Sends the answers instead, while the backend is healthy.
    stutterer: Stutterer | None = None
    #: The answers to the requests that ran, by client attempt.
    answers: defaultdict[str, list[SentAnswer]] = field(default_factory=lambda: defaultdict(list))
    #: Method, target and body of the requests received, by client attempt.
    received: dict[str, tuple[str, str, bytes]] = field(default_factory=dict)
    #: Headers of the requests received, by client attempt; names are in lower case.
    headers: dict[str, dict[str, str]] = field(default_factory=dict)
    #: Remaining milliseconds that the deadline header stated, by client attempt.
    deadlines_ms: dict[str, int] = field(default_factory=dict)
    #: Arrival times by the event loop's clock, each with its client attempt.
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    #: Client attempts whose runs were cancelled because the connection closed.
    cancelled: list[str] = field(default_factory=list)
    #: The rate limit, in requests per second for all callers together, that responses state.
    limit_per_s: float | None = None
    #: Whether responses state that the backend is draining.
    draining: bool = False
    #: The value of Retry-After in responses with status 503; None leaves it out.
    retry_after: str | None = None
    #: Times by the event loop's clock and client attempts of the responses that stated draining.
    draining_stated: list[tuple[float, str]] = field(default_factory=list)
    #: Time, client attempt and backoff in seconds of the responses that stated Retry-After with a
    #: valid value.
    backoffs_stated: list[tuple[float, str, float]] = field(default_factory=list)
    #: The address that it listens on, ``IP:PORT``.
    address: str = ""
    _running: int = 0
    _waiting: int = 0
    _slot_semaphore: asyncio.Semaphore | None = None
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening."""
        self._slot_semaphore = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop at once and abort all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def store_entry(self, state: str = "ready") -> dict[str, object]:
        """Return the backend's entry in the store."""
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
            while await self._serve_request(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rows = head.strip().split("\r\n")
        method, target, _ = line.split(" ")
        fields = {
            name.lower(): value.strip() for name, _, value in (r.partition(":") for r in rows)
        }
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        attempt = fields.get("x-egretrail-attempt-id", "")
        self.received[attempt] = (method, target, body)
        self.headers[attempt] = fields
        self.arrivals.append((asyncio.get_running_loop().time(), attempt))
        self.deadlines_ms[attempt] = int(fields.get("x-egretrail-request-deadline", "0"))
        if fields.get("x-egretrail-expected-instance", self.id) != self.id:
            self._write_response(writer, 421, b"", attempt, {"X-Egretrail-Instance-Id": self.id})
            return True
        queue_full = self._waiting >= self.queue
        if queue_full or self.behaviour is Behaviour.SHEDDING:
            self._write_response(writer, 503, b"", attempt, {"X-Egretrail-Not-Executed": "1"})
            return True
        run = asyncio.create_task(self._run(attempt))
        disconnected = asyncio.create_task(self._wait_for_disconnect(reader))
        await asyncio.wait({run, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        disconnected.cancel()
        if not run.done():
            run.cancel()
            self.cancelled.append(attempt)
            return False
        padding = "." * _LARGE_BYTES + " " if "large" in target else ""
        text = f"{self.id} {padding}{method} {target}".encode()
        if self.stutterer is not None and self.behaviour is Behaviour.HEALTHY:
            return await self.stutterer.respond(writer, attempt, text, self._record_answer)
        return self._respond(writer, attempt, text)

    async def _wait_for_disconnect(self, reader: asyncio.StreamReader) -> None:
        while not reader.at_eof():
            await asyncio.sleep(0.005)

    async def _run(self, attempt: str) -> None:
        assert self._slot_semaphore is not None
        self._waiting += 1
        await self._slot_semaphore.acquire()
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
            self._slot_semaphore.release()

    def _respond(self, writer: asyncio.StreamWriter, attempt: str, body: bytes) -> bool:
        seal, other_seal = {_SEAL: next_seal()}, {_SEAL: next_seal()}
        match self.behaviour:
            case Behaviour.FAILING:
                self._write_answer(writer, 500, b"failed", attempt, seal)
            case Behaviour.RESETTING:
                writer.transport.abort()
                return False
            case Behaviour.TRUNCATING:
                self._record_answer(attempt, SentAnswer(200, body, seal[_SEAL], is_whole=False))
                writer.write(self._encode_response(200, body, attempt, seal)[:-3])
                return False
            case Behaviour.EXTRA_RESPONSE:
                self._write_answer(writer, 200, body, attempt, seal)
                self._write_response(writer, 200, b"of another", "other-attempt", other_seal)
            case Behaviour.STALE_RESPONSE:
                self._write_response(writer, 200, b"of another", "other-attempt", other_seal)
                self._write_answer(writer, 200, body, attempt, seal)
            case Behaviour.MALFORMED:
                writer.write(b"\x00\x01 this is not an answer\r\n\r\n")
            case Behaviour.UNSEALED:
                self._write_answer(writer, 200, body, attempt, {})
            case _:
                load = f"{self._running + 1},{self._waiting},{self.slots}"
                self._write_answer(
                    writer, 200, body, attempt, {**seal, "X-Egretrail-Backend-Load": load}
                )
        return True

    def _record_answer(self, attempt: str, answer: SentAnswer) -> None:
        self.answers[attempt].append(answer)

    def _write_answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        attempt: str,
        fields: dict[str, str],
    ) -> None:
        """Write the answer to a request that ran."""
        self._record_answer(attempt, SentAnswer(status, body, fields.get(_SEAL, "")))
        self._write_response(writer, status, body, attempt, fields)

    def _write_response(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        attempt: str,
        fields: dict[str, str],
    ) -> None:
        writer.write(self._encode_response(status, body, attempt, fields))

    def _encode_response(
        self, status: int, body: bytes, attempt: str, fields: dict[str, str]
    ) -> bytes:
        now_s = asyncio.get_running_loop().time()
        if self.limit_per_s is not None:
            fields = {**fields, "Server-Limit": f"{self.limit_per_s:g}"}
        if self.draining:
            fields = {**fields, "Server-Leaving": "1"}
            self.draining_stated.append((now_s, attempt))
        if self.retry_after is not None and status == 503:
            fields = {**fields, "Retry-After": self.retry_after}
            with contextlib.suppress(ValueError):
                self.backoffs_stated.append((now_s, attempt, float(self.retry_after)))
        return _encode_response(status, body, attempt, fields)


_SEAL = "X-Egretrail-Response-Seal"


def _encode_response(status: int, body: bytes, attempt: str, fields: dict[str, str]) -> bytes:
    rows = {"Content-Length": str(len(body)), "X-Egretrail-Attempt-Id": attempt, **fields}
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"HTTP/1.1 {status} Status\r\n{head}\r\n".encode() + body
