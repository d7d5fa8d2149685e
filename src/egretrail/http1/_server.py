"""A client's connection; pipelined requests get their responses in order."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import httptools

from egretrail.http1._messages import Request, Response, encode_response, header_value

#: Requests of one connection that are handled concurrently; with as many, reading is paused.
_PIPELINE_MAX = 8
#: Retry-After, in seconds, when the body budget is exhausted: a few typical request durations.
_BUDGET_RETRY_AFTER = b"0.5"
#: After the last response the connection stays open this long and is read until the client
#: closes it. Closed earlier, bytes in flight would cause a reset that destroys the response.
_LINGER_S = 1.0


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on the size and duration of a client's requests."""

    #: The largest size of a request's head.
    header_bytes: int
    #: The largest size of a request's body.
    body_bytes: int
    #: The longest time between a request's first byte and the end of its head.
    header_timeout_s: float
    #: The longest time between requests.
    idle_timeout_s: float


class BodyBudget:
    """Limits the request body bytes that a process holds, over all of its connections.

    When many clients send large bodies at once, each is within its own limit, but together they can
    exceed the process's memory. The process would be killed with every request on it.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._available_bytes = limit_bytes

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit; bytes that are reserved stay reserved."""
        self._available_bytes += limit_bytes - self._limit_bytes
        self._limit_bytes = limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve bytes for a part of a body; return False and reserve none if too few are left."""
        if size_bytes > self._available_bytes:
            return False
        self._available_bytes -= size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Release reserved bytes."""
        self._available_bytes += size_bytes


#: Handles one request; cancelled when the client disconnects.
Handler = Callable[[Request], Awaitable[Response]]


@dataclass(slots=True)
class _Exchange:
    """A request that was read and whose response was not yet written."""

    request: Request
    task: asyncio.Task[Response]
    keep_alive: bool


class ServerConnection(asyncio.Protocol):
    """Reads requests, runs the handler for each and writes the responses in order."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        connections: set["ServerConnection"],
        bodies: BodyBudget,
        *,
        repeated_field: bytes | None = None,
    ) -> None:
        """``repeated_field`` names a request header, in lower case, that each response repeats."""
        self._bodies = bodies
        self._repeated_field = repeated_field
        self._loop = asyncio.get_running_loop()
        self._handler = handler
        self._limits = limits
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges: deque[_Exchange] = deque()
        self._is_closing = False
        self._reading_paused = False
        self._close_when_done = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._idle_since_s = self._loop.time()
        self._body_bytes = 0
        self._body: list[bytes] = []
        #: Whether a request was rejected. Clients send what is behind it again, so none of it runs.
        self._is_rejected = False
        self._reset_message()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or handled, or a response is still being sent."""
        is_sending = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return bool(self._exchanges) or self._in_message or is_sending

    def close_after_responses(self) -> None:
        """Close the connection after the responses to all requests that were read.

        An idle connection stays open until its next request.
        """
        self._close_when_done = True

    def close(self) -> None:
        """Cancel all requests, close the sending side and wait for the client to close."""
        if not self._is_closing:
            self._half_close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._connections.add(self)
        self._check_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all requests of the client; called by the event loop."""
        self._discard_body()
        self._is_closing = True
        self._transport = None
        self._connections.discard(self)
        for timer in (self._head_timer, self._idle_timer):
            if timer is not None:
                timer.cancel()
        self._cancel_requests()

    def eof_received(self) -> bool:
        """Cancel all requests: a client that closed reads no response; called by the event loop."""
        self._cancel_requests()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; called by the event loop."""
        if self._is_closing or self._is_rejected:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            if not self._is_closing:
                self._reject(400)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self._is_rejected:
            return
        self._reset_message()
        self._in_message = True
        self._received_s = self._loop.time()
        timeout_s = self._limits().header_timeout_s
        self._head_timer = self._loop.call_later(timeout_s, self._on_head_timeout)

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
        transfer_encoding = header_value(self._headers, b"transfer-encoding")
        length = header_value(self._headers, b"content-length")
        if transfer_encoding is not None and (
            length is not None or transfer_encoding.strip().lower() != b"chunked"
        ):
            self._reject(400)
            return
        if length is not None and length.isdigit() and int(length) > self._limits().body_bytes:
            self._reject(413)
            return
        expect = header_value(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue" and not self._exchanges:
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        if self._is_rejected:
            return
        if self._body_bytes + len(body) > self._limits().body_bytes:
            self._reject(413)
            return
        if not self._bodies.reserve(len(body)):
            self._reject(503)
            return
        self._body_bytes += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._in_message = False
        if self._is_closing or self._is_rejected:
            return
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            received_s=self._received_s,
        )
        self._body.clear()
        task = self._loop.create_task(self._handle(request))
        reserved_bytes, self._body_bytes = self._body_bytes, 0
        task.add_done_callback(lambda _: self._bodies.release(reserved_bytes))
        task.add_done_callback(lambda _: self._write_ready_responses())
        self._exchanges.append(_Exchange(request, task, self._parser.should_keep_alive()))
        if len(self._exchanges) >= _PIPELINE_MAX and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    async def _handle(self, request: Request) -> Response:
        return await self._handler(request)

    def _reset_message(self) -> None:
        self._in_message = False
        self._received_s = 0.0
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0

    def _discard_body(self) -> None:
        self._bodies.release(self._body_bytes)
        self._body_bytes = 0
        self._body.clear()

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._limits().header_bytes and not self._is_rejected:
            self._reject(431)

    def _on_head_timeout(self) -> None:
        if self._in_message:
            self._reject(408)

    def _reject(self, status: int) -> None:
        """Reject a request that was not read to its end, after the earlier requests' responses."""
        if self._is_rejected or self._is_closing:
            return
        self._is_rejected = True
        self._in_message = False
        self._discard_body()
        request = Request(b"GET", self._target, self._headers, b"", self._loop.time())
        headers = [(b"Retry-After", _BUDGET_RETRY_AFTER)] if status == 503 else []
        task = self._loop.create_task(_completed(Response(status, headers=headers, close=True)))
        task.add_done_callback(lambda _: self._write_ready_responses())
        self._exchanges.append(_Exchange(request, task, keep_alive=False))

    def _write_ready_responses(self) -> None:
        while self._exchanges and self._exchanges[0].task.done() and not self._is_closing:
            exchange = self._exchanges.popleft()
            error = _task_error(exchange.task)
            if error is not None:
                # Handlers turn expected failures into responses, so this is a programming error.
                # Without a response, the caller would take the next one for this request's.
                self._report(error)
            response = Response(500, close=True) if error is not None else exchange.task.result()
            response = self._with_repeated_field(response, exchange.request)
            # Requests behind this one may have been forwarded already and get their responses.
            is_last = self._close_when_done and not self._exchanges
            close = response.close or not exchange.keep_alive or is_last
            try:
                data = encode_response(response, exchange.request.method, close)
            except Exception as failure:
                self._report(failure)
                close, data = True, encode_response(Response(500), exchange.request.method, True)
            self._write(data)
            self._idle_since_s = self._loop.time()
            if close:
                self._half_close()
        if (
            self._reading_paused
            and len(self._exchanges) < _PIPELINE_MAX
            and self._transport is not None
        ):
            self._reading_paused = False
            self._transport.resume_reading()

    def _report(self, error: BaseException) -> None:
        self._loop.call_exception_handler({"message": "request handler failed", "exception": error})

    def _with_repeated_field(self, response: Response, request: Request) -> Response:
        name = self._repeated_field
        value = None if name is None else request.header(name)
        if name is None or value is None:
            return response
        return replace(response, headers=[*response.headers, (name, value)])

    def _half_close(self) -> None:
        self._is_closing = True
        # Requests behind the last response are treated as if they had not been read.
        self._cancel_requests()
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._reading_paused:
            self._reading_paused = False
            transport.resume_reading()
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(_LINGER_S, transport.close)

    def _cancel_requests(self) -> None:
        for exchange in self._exchanges:
            exchange.task.cancel()
        self._exchanges.clear()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _check_idle(self) -> None:
        """Close the connection if it was idle for the limit, else check again when it could be."""
        if self._is_closing:
            return
        timeout_s = self._limits().idle_timeout_s
        now_s = self._loop.time()
        if self.is_busy:
            self._idle_since_s = now_s
        left_s = self._idle_since_s + timeout_s - now_s
        if left_s <= 0:
            self._half_close()
            return
        self._idle_timer = self._loop.call_later(left_s, self._check_idle)


def _task_error(task: asyncio.Task[Response]) -> BaseException | None:
    """Return why a handler has no response; one that was cancelled from within has none either."""
    return asyncio.CancelledError() if task.cancelled() else task.exception()


async def _completed(response: Response) -> Response:
    return response
