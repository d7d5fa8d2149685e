"""Reads the response of one exchange from the bytes of a connection, without input or output."""

import contextlib
import enum
from collections.abc import Callable

import httptools

from egretrail.http1._failures import ExchangeBroken, MalformedResponse
from egretrail.http1._messages import ReceivedResponse, header_value
from egretrail.http1._run_together import (
    STATUS_LINE_BYTES,
    EmbeddedResponses,
    check_no_status_line,
)

#: Response bodies are held in memory, so a longer one is an error. Typical bodies have a few
#: kilobytes.
_BODY_BYTES_MAX = 32 * 1024 * 1024
#: The largest head. Typical ones have a few hundred bytes, and few clients accept more than this.
_HEAD_BYTES_MAX = 64 * 1024
#: The most header fields of a head, with those of its trailer.
_HEADERS_MAX = 256
#: Empty lines before a status line. Some servers send one behind a body.
_LEADING_BYTES_MAX = 8
#: Interim (1xx) responses. Servers send one when they have read a request's head, rarely more.
_INTERIM_MAX = 8
#: Responses of other requests that are skipped: those of the exchange before that were late.
_SKIPPED_MAX = 4
#: Bytes of chunk sizes, chunk extensions and trailers in a row. No field of them reaches a client.
_FRAMING_BYTES_MAX = 16 * 1024
#: Bytes of such framing in addition to as many as the body has. Chunks of one byte have five, so a
#: text that is sent character by character may have 128 KiB.
_FRAMING_ALLOWANCE_BYTES = 512 * 1024
#: Digits of a length; more than a body may have.
_LENGTH_DIGITS_MAX = 16

_HEAD_END = b"\r\n\r\n"
_VERSION_PREFIX = b"HTTP/"


class ResponseOwner(enum.Enum):
    """Whose response a head begins."""

    #: The request's for which a response is awaited.
    THIS_REQUEST = enum.auto()
    #: An earlier request's, which may have got one already.
    ANOTHER_REQUEST = enum.auto()
    #: The head does not tell.
    UNKNOWN = enum.auto()


OwnerFunction = Callable[[ReceivedResponse], ResponseOwner]
HeadCallback = Callable[[ReceivedResponse], None]


def ignore_head(head: ReceivedResponse) -> None:
    """Do nothing with the head of a response."""


class ResponseReader:
    """Reads up to the end of one request's response, past responses of other requests.

    Responses of other requests are skipped as a whole. An upstream may also send responses that
    break off; the next one's bytes then continue them. Status lines (RFC 9112, section 4) tell that
    two messages were run together, since one may only stand where a message begins:

    * Within a head, a trailer or a skipped response, one is an error.
    * Within the body, it is an error if a response begins there as far as bytes were received. Text
      that only mentions a status line is served.
    * A body that ends with the beginning of a status line is an error from five bytes on. With less
      it is held back (``is_held``), and bytes that follow are an error.

    Bytes cannot tell that the last one to four bytes of a body were replaced by as many of another
    response of which nothing else arrives, or that a body without a length has ended too early.
    """

    def __init__(
        self,
        owner: OwnerFunction | None = None,
        *,
        on_head: HeadCallback = ignore_head,
        without_body: bool = False,
    ) -> None:
        self._owner = owner
        self._on_head = on_head
        self._without_body = without_body
        #: The complete response; None while it is incomplete or held back.
        self.response: ReceivedResponse | None = None
        #: Whether the response is complete unless further bytes follow; see ``release``.
        self.is_held = False
        #: Whether any bytes were received.
        self.has_started = False
        #: How many responses of other requests were skipped.
        self.skipped_count = 0
        #: How many bytes follow the response, or were received last when it was refused.
        self.unused_bytes = 0
        #: How long the server keeps an idle connection open; None where it does not say.
        self.idle_timeout_s: float | None = None
        self._keep_alive = True
        self._interim_count = 0
        self._received: ReceivedResponse | None = None
        self._embedded = EmbeddedResponses()
        #: The bytes that are left of a body with a length.
        self._body_left: int | None = None
        self._body_tail = b""
        self._body_bytes = self._framing_run_bytes = self._status = 0
        self._reason = b""
        self._begin_message()

    @property
    def may_reuse(self) -> bool:
        """Whether the connection stands at a message's boundary and may carry another exchange."""
        return (
            self.response is not None
            and self._keep_alive
            and not self._without_body
            and self.skipped_count == 0
            and self.unused_bytes == 0
        )

    def feed(self, data: bytes) -> None:
        """Read received bytes; raises MalformedResponse, after which nothing may be fed."""
        self.has_started = True
        try:
            self._feed(data)
        except MalformedResponse:
            self.unused_bytes = len(data)
            raise

    def discard(self) -> None:
        """Drop what was received but its counts; nothing may be fed afterwards.

        The parser refers back to this reader. Without this, bodies would stay in memory until a
        garbage collection, and the last one of an idle connection for as long as that is kept.
        """
        self.is_held = False
        self.response = self._received = None
        self._body = bytearray()
        self._embedded = EmbeddedResponses()
        del self._parser

    def feed_eof(self) -> None:
        """End the stream; raises ExchangeBroken or MalformedResponse for an incomplete response."""
        if self.is_held:
            self.release()
        elif self.response is None:
            if not (self._is_own and self._ends_with_stream):
                raise ExchangeBroken("closed by the server", self.has_started)
            self._embedded.check_end()
            self._end_message()
            self.release()

    def release(self) -> None:
        """Give a response that was held back."""
        self.is_held = False
        self.response = self._received

    def _feed(self, data: bytes) -> None:
        if self.is_held:
            raise MalformedResponse("bytes continue the beginning of a response in the body")
        position = body_start = 0
        while position < len(data) and self._received is None:
            if self._head_complete:
                position = self._feed_body(data, position)
            else:
                position = body_start = self._feed_head(data, position)
        if self.response is not None or not (self._head_complete and self._is_own):
            self.unused_bytes += len(data) - position
            return
        self._embedded.feed(data[body_start:] if body_start else data, position - body_start)
        if self._received is not None:
            self.unused_bytes = len(data) - position
            self.is_held = self._embedded.check_end(data[position:])
            if not self.is_held:
                self.release()

    def _feed_head(self, data: bytes, start: int) -> int:
        """Read a head up to its end or that of the data; return the position behind."""
        if not self._head:
            while start < len(data) and data[start] in b"\r\n":
                start += 1
                self._leading_bytes += 1
            self._limit("bytes before a status line", self._leading_bytes, _LEADING_BYTES_MAX)
            if start == len(data):
                return start
        end = _end_behind(_HEAD_END, bytes(self._head[-3:]), data, start)
        ends_here = end is not None
        piece = data[start:end] if start or end != len(data) else data
        known = len(self._head)
        self._limit("bytes of a head", known + len(piece), _HEAD_BYTES_MAX)
        self._head += piece
        if not self._head.startswith(_VERSION_PREFIX[: len(self._head)]):
            raise MalformedResponse(f"no status line: {bytes(self._head[:20])!r}")
        # The first one is that of this message.
        check_no_status_line(self._head, max(known - STATUS_LINE_BYTES, 0) or 1)
        self._parse(piece)
        self._limit("header fields", len(self._headers), _HEADERS_MAX)
        if self._head_complete != ends_here:
            raise MalformedResponse("a head without a definite end")
        if ends_here:
            self._end_head()
        return start + len(piece)

    def _end_head(self) -> None:
        self._head.clear()
        if self._status < 100:
            raise MalformedResponse(f"status {self._status}")
        if self._status < 200:
            self._interim_count += 1
            self._limit("interim responses", self._interim_count, _INTERIM_MAX)
            self._begin_message()
            return
        head = ReceivedResponse(self._status, self._reason, self._headers, b"")
        owner = self._owner(head) if self._owner is not None else ResponseOwner.THIS_REQUEST
        if owner is ResponseOwner.UNKNOWN:
            raise MalformedResponse("a response that names no request, or several")
        self._is_own = owner is ResponseOwner.THIS_REQUEST
        length = header_value(self._headers, b"content-length")
        self._limit("digits of a length", len(length or b""), _LENGTH_DIGITS_MAX)
        self._body_left = int(length) if length is not None else None
        if self._body_left is not None and not self._without_body:
            self._limit("bytes of a body", self._body_left, _BODY_BYTES_MAX)
        if not self._is_own:
            self.skipped_count += 1
            self._limit("responses of other requests", self.skipped_count, _SKIPPED_MAX)
        self._on_head(head)
        if self._is_own:
            self._read_idle_timeout()
        if self._is_own and self._without_body:
            self._received = head
            self.release()
        elif self._message_complete:
            self._end_message()

    def _feed_body(self, data: bytes, start: int) -> int:
        """Read a body up to its end or that of the data; return the position behind."""
        end: int | None = None
        if self._body_left is not None:
            end = min(start + self._body_left, len(data))
            self._body_left -= end - start
        elif not self._ends_with_stream:
            # The end of a body in chunks looks like that of a head.
            end = _end_behind(_HEAD_END, self._body_tail, data, start)
        piece = data[start:end] if start or end not in (None, len(data)) else data
        if not self._is_own:
            check_no_status_line(self._body_tail + piece, 0)
        self._body_tail = (self._body_tail + piece[-STATUS_LINE_BYTES:])[1 - STATUS_LINE_BYTES :]
        before = self._body_bytes
        self._parse(piece)
        self._limit("bytes of a body", self._body_bytes, _BODY_BYTES_MAX)
        self._count_framing(len(piece), self._body_bytes - before)
        self._limit("header fields", len(self._headers) + self._trailer_count, _HEADERS_MAX)
        if self._message_complete:
            self._end_message()
        return start + len(piece)

    def _count_framing(self, raw_bytes: int, body_bytes: int) -> None:
        self._framing_bytes += raw_bytes - body_bytes
        self._framing_run_bytes = 0 if body_bytes else self._framing_run_bytes + raw_bytes
        self._limit("bytes of framing in a row", self._framing_run_bytes, _FRAMING_BYTES_MAX)
        allowed = self._body_bytes + _FRAMING_ALLOWANCE_BYTES
        self._limit("bytes of framing", self._framing_bytes, allowed)

    def _end_message(self) -> None:
        if self._is_own:
            self._received = self._take_message()
        else:
            self._begin_message()

    def _take_message(self) -> ReceivedResponse:
        return ReceivedResponse(self._status, self._reason, self._headers, bytes(self._body))

    def _begin_message(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._has_begun = self._has_begun_again = False
        self._head = bytearray()
        self._leading_bytes = 0
        self._head_complete = False
        self._message_complete = False
        self._is_own = False
        self._ends_with_stream = False
        self._status = 0
        self._reason = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._trailer_count = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._body_left = None
        self._body_tail = b""
        self._framing_bytes = 0
        self._framing_run_bytes = 0

    def _parse(self, piece: bytes) -> None:
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedResponse(repr(error)) from error
        if self._has_begun_again:
            raise MalformedResponse("a message without a definite end")

    def _limit(self, what: str, count: int, limit: int) -> None:
        if count > limit:
            raise MalformedResponse(f"more than {limit} {what}")

    def _read_idle_timeout(self) -> None:
        stated = header_value(self._headers, b"keep-alive")
        if stated is None:
            return
        for part in stated.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout":
                with contextlib.suppress(ValueError):
                    self.idle_timeout_s = float(value)

    # Callbacks of the parser, which does not pass on exceptions.

    def on_message_begin(self) -> None:
        self._has_begun_again = self._has_begun
        self._has_begun = True

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_complete:
            # Fields of a trailer say nothing about the response.
            self._trailer_count += 1
        else:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._head_complete = True
        self._status = self._parser.get_status_code()
        self._keep_alive = self._keep_alive and self._parser.should_keep_alive()
        self._ends_with_stream = not (
            header_value(self._headers, b"content-length") is not None
            or header_value(self._headers, b"transfer-encoding") is not None
            or self._status in (204, 304)
            or self._status < 200
        )

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._is_own:
            self._body += body

    def on_message_complete(self) -> None:
        self._message_complete = True


def _end_behind(mark: bytes, before: bytes, data: bytes, start: int) -> int | None:
    """Return the position behind the first mark that ends in data; it may begin before it."""
    for size in range(min(len(before), len(mark) - 1), 0, -1):
        end = start + len(mark) - size
        if before[-size:] + data[start:end] == mark:
            return end
    found = data.find(mark, start)
    return None if found < 0 else found + len(mark)
