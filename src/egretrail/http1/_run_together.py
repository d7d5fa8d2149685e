"""Tells whether the bytes of a message contain the beginning of another response."""

import re

import httptools

from egretrail.http1._failures import MalformedResponse

#: The beginning of a status line, RFC 9112, section 4.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
STATUS_LINE_BYTES = 12
#: A shorter beginning at the end of what was received.
_PARTIAL_STATUS_LINE = re.compile(rb"H(T(T(P(/(\d(\.(\d( (\d(\d)?)?)?)?)?)?)?)?)?)?\Z")
#: A body that ends with so much of a status line ended too early. Shorter ends occur in texts.
_TELLING_BYTES = len(b"HTTP/")
#: Status lines in a body that may each begin a response, as far as bytes were received. A text that
#: mentions more of them in a row than this is not told from responses.
_CANDIDATES_MAX = 8


def check_no_status_line(data: bytes | bytearray, start: int) -> None:
    """Raise MalformedResponse if a status line begins in the bytes from a position on."""
    if _STATUS_LINE.search(data, start) is not None:
        raise MalformedResponse("a status line within a message")


class _Candidate:
    """A status line in a body, and what follows it."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.has_head = False

    def on_headers_complete(self) -> None:
        self.has_head = True

    def continues(self, data: bytes) -> bool:
        """Return whether a response begins here as far as bytes were received."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self.has_head
        return True


class EmbeddedResponses:
    """Looks for the beginnings of other responses in one body."""

    def __init__(self) -> None:
        self._candidates: list[_Candidate] = []
        self._tail = b""

    def feed(self, data: bytes, body_bytes: int) -> None:
        """Look at received bytes, the first of which are the body's with its framing.

        Raises MalformedResponse if a whole head stands among them.
        """
        self._candidates = [one for one in self._candidates if one.continues(data)]
        window = self._tail + data if self._tail else data
        body_end = len(self._tail) + body_bytes
        for found in _STATUS_LINE.finditer(window):
            if found.start() >= body_end:
                break
            candidate = _Candidate()
            if candidate.continues(window[found.start() :]):
                self._candidates.append(candidate)
            # Each candidate reads all that follows it, so their number is limited at once.
            self._check_candidates()
        self._check_candidates()
        self._tail = window[max(body_end + 1 - STATUS_LINE_BYTES, 0) : body_end]

    def _check_candidates(self) -> None:
        if len(self._candidates) > _CANDIDATES_MAX or any(one.has_head for one in self._candidates):
            raise MalformedResponse("a response begins within the body")

    def check_end(self, behind: bytes = b"") -> bool:
        """Return whether the body may have ended too early if further bytes follow.

        ``behind`` are the bytes that follow it already. Raises MalformedResponse if another
        response begins in the body.
        """
        if self._candidates:
            raise MalformedResponse("the body ends within a response")
        partial = _PARTIAL_STATUS_LINE.search(self._tail)
        if partial is None:
            return False
        size = len(partial[0])
        # A response that begins where the body ends shows that the body is whole.
        if size < _TELLING_BYTES and behind.startswith(b"HTTP/"):
            return False
        if behind or size >= _TELLING_BYTES:
            raise MalformedResponse("the body ends within a status line")
        return True
