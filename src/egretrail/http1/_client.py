"""A connection to an HTTP/1.1 server that carries one exchange at a time."""

import asyncio
import errno
import itertools
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass

from egretrail.http1._failures import (
    ConnectFailed,
    ExchangeBroken,
    ExchangeFailed,
)
from egretrail.http1._messages import ReceivedResponse
from egretrail.http1._response_reader import (
    HeadCallback,
    OwnerFunction,
    ResponseReader,
    ignore_head,
)

#: A connection ends when sent bytes stay unacknowledged for this long. A network path that stopped
#: delivering packets is thus detected well before the shortest route timeouts (2 s), while three
#: lost packets in a row are survived.
_UNACKNOWLEDGED_TIMEOUT_S = 1.5
#: TCP keepalive, for connections whose responses may take long: seconds without a packet before the
#: first probe, and seconds between probes. The limit on unacknowledged bytes replaces the number of
#: probes: the first probe after it ends the connection if an earlier one was not answered. The
#: limit of these connections is therefore longer, so that they survive one lost probe.
_KEEPALIVE_IDLE_S = _KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_KEEPALIVE_UNACKNOWLEDGED_TIMEOUT_S = 2.5
#: Socket errors that mean that the network path delivers no packets.
_PATH_FAILURE_ERRORS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
#: A response that may end too early is held back for so long. The rest of what broke into it is in
#: transit by then, and few responses end so.
_HOLD_S = 0.05


@dataclass(frozen=True, slots=True)
class ExchangeTrace:
    """Where an exchange took place, and what else was received, for the log."""

    #: The number of the connection, in the order in which the process opened them.
    connection: int
    #: The number of the exchange on its connection; 1 is the first.
    exchange: int
    #: How many responses to other requests were skipped.
    skipped: int
    #: How many received bytes were no part of the response and of those that were skipped.
    unused_bytes: int


#: Numbers connections.
_CONNECTION_NUMBERS = itertools.count(1)


class ClientConnection(asyncio.Protocol):
    """Sends a request and waits for its response.

    An exchange begins only where the one before ended exactly at a message's boundary and nothing
    was received since. A late second response to an earlier request may still arrive first. It is
    skipped, and the connection is not reused.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._response: asyncio.Future[ReceivedResponse] | None = None
        self._reader = ResponseReader()
        #: Whether another exchange may use this connection.
        self.is_reusable = True
        #: When the last exchange ended, by the loop's clock.
        self.idle_since_s = self._loop.time()
        #: How long the server keeps an idle connection open; None where it does not say.
        self.server_idle_timeout_s: float | None = None
        #: How many exchanges were started on this connection.
        self.exchange_count = 0
        #: The number of this connection in the process.
        self.number = next(_CONNECTION_NUMBERS)
        #: Called with the number of bytes that arrive while no exchange is active.
        self.on_idle_bytes: Callable[[int], None] = lambda size_bytes: None
        #: Called when bytes of a response arrive.
        self.on_response_bytes: Callable[[], None] = lambda: None

    async def exchange(
        self,
        data: bytes,
        owner: OwnerFunction | None = None,
        *,
        on_head: HeadCallback = ignore_head,
        without_body: bool = False,
    ) -> ReceivedResponse:
        """Send an encoded request and return its response.

        ``owner`` tells by its head whose response is received; None takes all for this request's.
        ``on_head`` is called with the head of each response whose owner is known, with an empty
        body: also of one that is skipped or never completed. ``without_body`` is set for HEAD,
        whose responses end with their head. Raises ExchangeBroken or MalformedResponse.
        Cancellation closes the connection.
        """
        if self._transport is None or not self.is_usable():
            raise ExchangeBroken("closed before it was used", response_started=False)
        self.exchange_count += 1
        self._reader = ResponseReader(owner, on_head=on_head, without_body=without_body)
        self._response = self._loop.create_future()
        self._transport.write(data)
        completed = False
        try:
            response = await self._response
            completed = True
            return response
        finally:
            self._response = None
            self.idle_since_s = self._loop.time()
            # The server responded before it had read the whole request. It still expects the rest
            # of the body on this connection and would read the next request as part of it.
            unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
            if not completed or unsent or not self._reader.may_reuse or not self.is_reusable:
                self.abort()
            self._reader.discard()

    def is_usable(self) -> bool:
        """Return whether an exchange may begin now: nothing was received since the last one.

        Asks the socket, since the loop may not have delivered bytes or a close yet.
        """
        return self.is_reusable and not self.has_unread()

    def has_unread(self) -> bool:
        """Return whether the socket holds bytes, or the server's close, that were not read yet."""
        sock = self._transport.get_extra_info("socket") if self._transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def trace(self) -> ExchangeTrace:
        """Return where the last exchange took place, and what else was received in it."""
        reader = self._reader
        return ExchangeTrace(
            self.number, self.exchange_count, reader.skipped_count, reader.unused_bytes
        )

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Read received bytes; called by the event loop."""
        if not self._is_active():
            # These bytes belong to no request.
            if self.is_reusable:
                self.on_idle_bytes(len(data))
            self.abort()
            return
        self.on_response_bytes()
        try:
            self._reader.feed(data)
        except ExchangeFailed as failure:
            self._fail(failure)
        self._give_response()

    def eof_received(self) -> bool:
        """Handle that the server closed its end of the stream; called by the event loop."""
        self.is_reusable = False
        if self._is_active():
            try:
                self._reader.feed_eof()
            except ExchangeFailed as failure:
                self._fail(failure)
            self._give_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the active exchange; called by the event loop."""
        self.is_reusable = False
        self._transport = None
        path_failed = isinstance(exc, OSError) and exc.errno in _PATH_FAILURE_ERRORS
        if self._reader.is_held:
            self._release(self._reader)
        cause = repr(exc) if exc else "closed"
        self._fail(ExchangeBroken(cause, self._reader.has_started, path_failed))

    def _is_active(self) -> bool:
        """Return whether a response is awaited."""
        return self._response is not None and not self._response.done()

    def _give_response(self) -> None:
        """Give a complete response to the exchange, also one that is held back, after a while."""
        reader = self._reader
        if self._response is None or self._response.done():
            return
        if reader.is_held:
            self._loop.call_later(_HOLD_S, self._release, reader)
        elif reader.response is not None:
            self.is_reusable = self.is_reusable and reader.may_reuse
            if reader.idle_timeout_s is not None:
                self.server_idle_timeout_s = reader.idle_timeout_s
            self._response.set_result(reader.response)

    def _release(self, reader: ResponseReader) -> None:
        if reader is self._reader and reader.is_held and self._is_active():
            reader.release()
            self._give_response()

    def _fail(self, failure: ExchangeFailed) -> None:
        self.is_reusable = False
        if self._response is not None and not self._response.done():
            self._response.set_exception(failure)


async def open_connection(
    address: str, timeout_s: float, *, keepalive: bool = False
) -> ClientConnection:
    """Open a connection to ``IP:PORT``; raises ConnectFailed.

    ``keepalive`` enables TCP keepalive: the connection ends within about three seconds after its
    network path failed, also while nothing is sent.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, connection = await loop.create_connection(ClientConnection, host, int(port))
    except TimeoutError as error:
        raise ConnectFailed(address, f"timed out after {timeout_s} s") from error
    except (OSError, ValueError, OverflowError) as error:
        raise ConnectFailed(address, repr(error)) from error
    sock = transport.get_extra_info("socket")
    if sock is not None:
        limit_s = _KEEPALIVE_UNACKNOWLEDGED_TIMEOUT_S if keepalive else _UNACKNOWLEDGED_TIMEOUT_S
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(limit_s * 1000))
        if keepalive:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    return connection
