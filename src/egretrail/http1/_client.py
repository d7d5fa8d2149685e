"""One connection to an HTTP/1.1 server, one exchange at a time."""

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from egretrail.http1._messages import ReceivedAnswer, header_value

#: Unacknowledged bytes end a connection after this long, so that a path that went silent is seen
#: well before the shortest timeouts of routes (2 s), and three lost packets in a row are survived.
_UNACKNOWLEDGED_MAX_S = 1.5
#: A connection on which answers may be long in coming is probed after so many seconds without a
#: packet, and again each second; the limit on unacknowledged bytes holds for probes too.
_PROBE_IDLE_S = _PROBE_INTERVAL_S = 1
_PROBES_MAX = 2
#: The system's errors for a path on which nothing arrives.
_SILENT_ERRORS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
#: Answers are held in memory; a longer one is an error. Bodies in use have some kilobytes.
_ANSWER_BYTES_MAX = 32 * 1024 * 1024


class ExchangeFailed(Exception):  # noqa: N818 - named for what happened, as its kinds are
    """Base of the failures of one exchange."""


@dataclass
class ConnectFailed(ExchangeFailed):
    """No connection was opened, so nothing was sent."""

    #: Where to.
    address: str
    #: The system's or the timer's account.
    cause: str

    def __str__(self) -> str:
        return f"cannot connect to {self.address}: {self.cause}"


@dataclass
class ExchangeBroken(ExchangeFailed):
    """The connection ended before the answer was whole; the request may have run."""

    #: The system's account.
    cause: str
    #: Whether a part of an answer had arrived.
    answer_begun: bool
    #: Whether the path went silent: nothing that was sent was acknowledged.
    silent: bool = False

    def __str__(self) -> str:
        return f"the connection ended without a whole answer: {self.cause}"


@dataclass
class MalformedAnswer(ExchangeFailed):
    """Bytes arrived that are no answer; the request may have run."""

    #: The parser's account.
    cause: str

    def __str__(self) -> str:
        return f"malformed answer: {self.cause}"


Accepts = Callable[[ReceivedAnswer], bool]


class ClientConnection(asyncio.Protocol):
    """Sends a request and waits for its answer.

    Answers that the caller does not accept as its own are skipped, and end the connection's reuse:
    a late second answer to an earlier request may stand where this one's is expected.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future[ReceivedAnswer] | None = None
        self._accepts: Accepts | None = None
        self._without_body = False
        self._reset_message()
        #: Whether another exchange may use this connection.
        self.reusable = True
        #: When the last exchange ended, by the loop's clock.
        self.idle_since_s = self._loop.time()
        #: How long the server keeps an idle connection, where it says so.
        self.server_idle_timeout_s: float | None = None
        #: Exchanges that were begun on this connection.
        self.exchanges = 0
        #: Called when bytes of an answer arrive.
        self.on_progress: Callable[[], None] = lambda: None

    async def exchange(
        self, data: bytes, accepts: Accepts | None = None, *, without_body: bool = False
    ) -> ReceivedAnswer:
        """Send a request's bytes and return the answer.

        Raises ExchangeBroken or MalformedAnswer. A cancelled exchange ends the connection.
        ``without_body`` is set for HEAD, whose answers end with their head.
        """
        if self._transport is None or not self.reusable:
            raise ExchangeBroken("closed before it was used", answer_begun=False)
        self.exchanges += 1
        self._accepts = accepts
        self._without_body = without_body
        self._answer = self._loop.create_future()
        self._transport.write(data)
        done = False
        try:
            answer = await self._answer
            done = True
            return answer
        finally:
            self._answer = None
            self.idle_since_s = self._loop.time()
            # An answer before the whole request was written: what is left of the body is still due
            # on this connection, where the next request would be read as part of it.
            unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
            if not done or unsent or not self.reusable or without_body:
                self.abort()

    def abort(self) -> None:
        """End the connection at once."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; called by the loop."""
        if self._answer is None or self._answer.done():
            # Bytes without a question belong to nobody.
            self.abort()
            return
        self.on_progress()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            self._fail(MalformedAnswer(repr(error)))

    def eof_received(self) -> bool:
        """Take the server's end of the stream; called by the loop."""
        self.reusable = False
        if self._head_complete and not self._framed:
            self._complete()
        else:
            self._fail(ExchangeBroken("closed by the server", self._begun))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits; called by the loop."""
        self.reusable = False
        self._transport = None
        silent = isinstance(exc, OSError) and exc.errno in _SILENT_ERRORS
        self._fail(ExchangeBroken(repr(exc) if exc else "closed", self._begun, silent))

    # The parser's callbacks.

    def on_message_begin(self) -> None:
        self._reset_message()
        self._begun = True

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._head_complete = True
        self._status = self._parser.get_status_code()
        self._framed = (
            header_value(self._headers, b"content-length") is not None
            or header_value(self._headers, b"transfer-encoding") is not None
            or self._status in (204, 304)
            or self._status < 200
        )
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._read_idle_timeout()
        if self._without_body and self._status >= 200:
            self._complete()

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > _ANSWER_BYTES_MAX:
            self.reusable = False
            self._fail(MalformedAnswer(f"longer than {_ANSWER_BYTES_MAX} bytes"))
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._status >= 200 and not self._without_body:
            self._complete()

    def _reset_message(self) -> None:
        self._begun = False
        self._head_complete = False
        self._framed = False
        self._status = 0
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _read_idle_timeout(self) -> None:
        stated = header_value(self._headers, b"keep-alive")
        if stated is None:
            return
        for part in stated.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout":
                with contextlib.suppress(ValueError):
                    self.server_idle_timeout_s = float(value)

    def _complete(self) -> None:
        answer = ReceivedAnswer(self._status, self._reason, self._headers, b"".join(self._body))
        if self._answer is None or self._answer.done():
            self.reusable = False
            return
        if self._accepts is not None and not self._accepts(answer):
            self.reusable = False
            return
        self._answer.set_result(answer)

    def _fail(self, failure: ExchangeFailed) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(failure)


async def open_connection(
    address: str, timeout_s: float, *, probed: bool = False
) -> ClientConnection:
    """Open a connection to ``IP:PORT``; raises ConnectFailed.

    ``probed`` ends it within some three seconds after its path went silent, also while nothing is
    sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(ClientConnection, host, int(port))
    except TimeoutError as error:
        raise ConnectFailed(address, f"no answer within {timeout_s} s") from error
    except (OSError, ValueError) as error:
        raise ConnectFailed(address, repr(error)) from error
    sock = transport.get_extra_info("socket")
    if sock is not None:
        milliseconds = int(_UNACKNOWLEDGED_MAX_S * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
        if probed:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES_MAX)
    return connection
