"""Requests and answers, and their form on the wire."""

from collections.abc import Sequence
from dataclasses import dataclass, field

#: Fields in the order of the message, names as they were sent.
Headers = Sequence[tuple[bytes, bytes]]

#: Fields that concern one connection and are never passed on.
CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field with a name, given in lower case."""
    for field_name, value in headers:
        if field_name.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the fields that are passed on: neither of one connection nor named in Connection."""
    dropped = set(CONNECTION_FIELDS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    # Host frames the request's meaning, whatever Connection names.
    dropped.discard(b"host")
    return [(name, value) for name, value in headers if name.lower() not in dropped]


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request of a client."""

    #: The method, as sent.
    method: bytes
    #: The request target, as sent.
    target: bytes
    #: All fields, as sent.
    headers: Headers
    #: The whole body.
    body: bytes
    #: When its first byte arrived, by the loop's clock.
    received_s: float

    def value(self, name: bytes) -> bytes | None:
        """Return the value of the first field with a name, given in lower case."""
        return header_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """A whole answer that a client connection received."""

    #: The status code.
    status: int
    #: The reason phrase.
    reason: bytes
    #: All fields, as sent.
    headers: Headers
    #: The whole body.
    body: bytes

    def value(self, name: bytes) -> bytes | None:
        """Return the value of the first field with a name, given in lower case."""
        return header_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a client."""

    #: The status code.
    status: int
    #: The body.
    body: bytes = b""
    #: Fields besides those that frame the message.
    headers: Headers = field(default=())
    #: The reason phrase; empty for the usual one.
    reason: bytes = b""
    #: Whether the connection ends after this answer.
    close: bool = False


def encode_answer(answer: Answer, method: bytes, close: bool) -> bytes:
    """Return the answer's bytes, framed by its length."""
    reason = answer.reason or _REASONS.get(answer.status, b"Status")
    lines = [b"HTTP/1.1 %d %b" % (answer.status, reason)]
    bodiless = answer.status in (204, 304) or method == b"HEAD"
    for name, value in answer.headers:
        if name.lower() != b"content-length" or bodiless:
            lines.append(name + b": " + value)
    if not bodiless:
        lines.append(b"Content-Length: %d" % len(answer.body))
    if close:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if bodiless else head + answer.body


def encode_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Return the request's bytes, framed by its length."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    for name, value in headers:
        if name.lower() != b"content-length":
            lines.append(name + b": " + value)
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
