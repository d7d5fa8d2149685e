"""HTTP requests and responses, and their encoding."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field

#: Header fields in the order of the message, with names as they were sent.
Headers = Sequence[tuple[bytes, bytes]]

#: Hop-by-hop fields: they concern one connection and are never forwarded.
HOP_BY_HOP_FIELDS = frozenset(
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

#: Reason phrases (RFC 9112, section 4). The parser of responses accepts other bytes, which callers
#: reject.
_REASON = re.compile(rb"[\t\x20-\x7e\x80-\xff]+")
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
    """Return the value of the first field with a name, given in lower case; None if absent."""
    for field_name, value in headers:
        if field_name.lower() == name:
            return value
    return None


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of all fields with a name, given in lower case, in the order sent."""
    return [value for field_name, value in headers if field_name.lower() == name]


def end_to_end_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the fields that are passed on: neither of one connection nor named in Connection."""
    dropped = set(HOP_BY_HOP_FIELDS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    # The target of a request depends on Host, so Connection cannot remove that field.
    dropped.discard(b"host")
    return [(name, value) for name, value in headers if name.lower() not in dropped]


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request of a client."""

    #: The method, as sent.
    method: bytes
    #: The request target, as sent.
    target: bytes
    #: All header fields, as sent.
    headers: Headers
    #: The complete body.
    body: bytes
    #: When its first byte arrived, by the loop's clock.
    received_s: float

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first field with a name, given in lower case; None if absent."""
        return header_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """A complete response that a client connection received."""

    #: The status code.
    status: int
    #: The reason phrase.
    reason: bytes
    #: All header fields, as sent.
    headers: Headers
    #: The complete body.
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first field with a name, given in lower case; None if absent."""
        return header_value(self.headers, name)


@dataclass(frozen=True, slots=True)
class Response:
    """A response to a client."""

    #: The status code.
    status: int
    #: The body.
    body: bytes = b""
    #: Header fields besides those that frame the message.
    headers: Headers = field(default=())
    #: The reason phrase; empty for the standard one of the status code.
    reason: bytes = b""
    #: Whether the connection is closed after this response.
    close: bool = False


def encode_response(response: Response, method: bytes, close: bool) -> bytes:
    """Encode a response, framed by its length."""
    reason = response.reason
    if not reason or not _REASON.fullmatch(reason):
        reason = _REASONS.get(response.status, b"Status")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    without_body = response.status in (204, 304) or method == b"HEAD"
    # The length of the body that a HEAD response or a 304 leaves out; a 204 may state none.
    states_length = without_body and response.status != 204
    for name, value in response.headers:
        if name.lower() != b"content-length" or states_length:
            lines.append(name + b": " + value)
    if not without_body:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if without_body else head + response.body


def encode_request(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Encode a request, framed by its length."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    for name, value in headers:
        if name.lower() != b"content-length":
            lines.append(name + b": " + value)
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
