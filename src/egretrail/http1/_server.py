"""One connection of a client, with pipelined requests answered in their order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import httptools

from egretrail.http1._messages import Answer, Request, encode_answer, header_value

#: Requests of one connection that are worked on at once; reading pauses above.
_PIPELINE_MAX = 8
#: When to come back after there was no room for a body: some usual durations of work, in seconds.
_FULL_RETRY = b"0.5"
#: After the last answer the connection is read this long for the client's own close, so that bytes
#: in flight do not turn the close into a reset that destroys the answer.
_LINGER_S = 1.0


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What a client may send, and how long it may take."""

    #: The largest size of a request's head.
    header_bytes: int
    #: The largest size of a request's body.
    body_bytes: int
    #: The longest time between a request's first byte and the end of its head.
    header_timeout_s: float
    #: The longest time between requests.
    idle_timeout_s: float


class BodyBudget:
    """Bytes of request bodies that a process holds, over all of its connections.

    Load: many clients send large bodies at once. Each is within its own limit, and together they
    exceed the process's memory, which ends it and every request on it.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._left_bytes = limit_bytes

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit; what is held stays held."""
        self._left_bytes += limit_bytes - self._limit_bytes
        self._limit_bytes = limit_bytes

    def take(self, size_bytes: int) -> bool:
        """Take room for a piece of a body; return whether there was any."""
        if size_bytes > self._left_bytes:
            return False
        self._left_bytes -= size_bytes
        return True

    def give_back(self, size_bytes: int) -> None:
        """Give back what was taken."""
        self._left_bytes += size_bytes


#: Answers one request; it is cancelled when the client leaves.
Handler = Callable[[Request], Awaitable[Answer]]


@dataclass(slots=True)
class _Exchange:
    """A request that was read and waits for its answer."""

    request: Request
    task: asyncio.Task[Answer]
    keep_alive: bool


class ServerConnection(asyncio.Protocol):
    """Reads requests, runs the handler for each and writes the answers in order."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        connections: set["ServerConnection"],
        bodies: BodyBudget,
    ) -> None:
        self._bodies = bodies
        self._loop = asyncio.get_running_loop()
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[_Exchange] = deque()
        self._ending = False
        self._paused = False
        self._draining = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_since_s = self._loop.time()
        self._body_bytes = 0
        self._body: list[bytes] = []
        self._reset_message()

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return bool(self._exchanges) or self._in_message

    def end_after_answers(self) -> None:
        """Let each further answer end the connection."""
        self._draining = True

    def end(self) -> None:
        """Close an idle connection: no more bytes are sent, and the client's close is awaited."""
        if not self._ending:
            self._half_close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)
        self._watch_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop all work for the client; called by the loop."""
        self._drop_body()
        self._ending = True
        self._transport = None
        self._connections.discard(self)
        for timer in (self._head_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._cancel_all()

    def eof_received(self) -> bool:
        """Take the client's close: it reads no answer any more; called by the loop."""
        self._cancel_all()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; called by the loop."""
        if self._ending:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            if not self._ending:
                self._refuse(400)

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._reset_message()
        self._in_message = True
        self._received_s = self._loop.time()
        timeout_s = self._limits().header_timeout_s
        self._head_timer = self._loop.call_later(timeout_s, self._head_timed_out)

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
        framing = header_value(self._headers, b"transfer-encoding")
        length = header_value(self._headers, b"content-length")
        if framing is not None and (length is not None or framing.strip().lower() != b"chunked"):
            self._refuse(400)
            return
        if length is not None and length.isdigit() and int(length) > self._limits().body_bytes:
            self._refuse(413)
            return
        expect = header_value(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue" and not self._exchanges:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self._refused:
            return
        if self._body_bytes + len(body) > self._limits().body_bytes:
            self._refuse(413)
            return
        if not self._bodies.take(len(body)):
            self._refuse(503)
            return
        self._body_bytes += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._ending or self._refused:
            return
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            received_s=self._received_s,
        )
        self._body.clear()
        task = self._loop.create_task(self._answer(request))
        held_bytes, self._body_bytes = self._body_bytes, 0
        task.add_done_callback(lambda _: self._bodies.give_back(held_bytes))
        task.add_done_callback(lambda _: self._flush())
        self._exchanges.append(_Exchange(request, task, self._parser.should_keep_alive()))
        if len(self._exchanges) >= _PIPELINE_MAX and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    async def _answer(self, request: Request) -> Answer:
        return await self._handler(request)

    def _reset_message(self) -> None:
        self._in_message = False
        self._refused = False
        self._received_s = 0.0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0

    def _drop_body(self) -> None:
        self._bodies.give_back(self._body_bytes)
        self._body_bytes = 0
        self._body.clear()

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._limits().header_bytes and not self._refused:
            self._refuse(431)

    def _head_timed_out(self) -> None:
        if self._in_message:
            self._refuse(408)

    def _refuse(self, status: int) -> None:
        """Answer a request that is not read to its end, behind the answers still due."""
        if self._refused or self._ending:
            return
        self._refused = True
        self._in_message = False
        self._drop_body()
        request = Request(b"GET", self._target, (), b"", self._loop.time())
        headers = [(b"Retry-After", _FULL_RETRY)] if status == 503 else []
        task = self._loop.create_task(_ready(Answer(status, headers=headers, close=True)))
        task.add_done_callback(lambda _: self._flush())
        self._exchanges.append(_Exchange(request, task, keep_alive=False))

    def _flush(self) -> None:
        while self._exchanges and self._exchanges[0].task.done() and not self._ending:
            exchange = self._exchanges.popleft()
            if exchange.task.cancelled():
                continue
            error = exchange.task.exception()
            if error is not None:
                # The handler turns its failures into answers; this one is a fault of the program.
                self._loop.call_exception_handler(
                    {"message": "request handler failed", "exception": error}
                )
            answer = Answer(500, close=True) if error is not None else exchange.task.result()
            # Requests behind this one may have been passed on already, and get their answers.
            last = self._draining and not self._exchanges
            close = answer.close or not exchange.keep_alive or last
            self._write(encode_answer(answer, exchange.request.method, close))
            self._idle_since_s = self._loop.time()
            if close:
                self._half_close()
        if self._paused and len(self._exchanges) < _PIPELINE_MAX and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def _half_close(self) -> None:
        self._ending = True
        # Requests behind the last answer were not passed on and count as not read.
        self._cancel_all()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._paused:
            self._paused = False
            transport.resume_reading()
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(_LINGER_S, transport.close)

    def _cancel_all(self) -> None:
        for exchange in self._exchanges:
            exchange.task.cancel()
        self._exchanges.clear()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _watch_idle(self) -> None:
        """Close a connection that was idle for the limit; looks again when it could be."""
        if self._ending:
            return
        timeout_s = self._limits().idle_timeout_s
        now_s = self._loop.time()
        if self.busy:
            self._idle_since_s = now_s
        left_s = self._idle_since_s + timeout_s - now_s
        if left_s <= 0:
            self._half_close()
            return
        self._idle_timer = self._loop.call_later(left_s, self._watch_idle)


async def _ready(answer: Answer) -> Answer:
    return answer
