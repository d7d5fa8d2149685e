"""The reader of one response, without a connection."""

from egretrail.http1 import ExchangeFailed, MalformedResponse, ReceivedResponse, ResponseOwner
from egretrail.http1._response_reader import ResponseReader
from egretrail.testing import EgretrailTestCase, cases

_STATUS = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _STATUS + b"Id: B\r\nTransfer-Encoding: chunked\r\n\r\n"
_OTHER = _STATUS + b"Id: A\r\nContent-Length: 2\r\n\r\nab"
#: More than any bound on what is no body.
_ENDLESS_BYTES = 1024 * 1024


def _owner(head: ReceivedResponse) -> ResponseOwner:
    stated = head.header(b"id")
    if stated is None:
        return ResponseOwner.UNKNOWN
    return ResponseOwner.THIS_REQUEST if stated == b"B" else ResponseOwner.ANOTHER_REQUEST


def _own(body: bytes) -> bytes:
    return _STATUS + b"Id: B\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class BoundsTest(EgretrailTestCase):
    @cases(
        {
            "header value": (_STATUS + b"X: ", b"a"),
            "header name": (_STATUS, b"a"),
            "headers": (_STATUS, b"a: b\r\n"),
            "reason": (b"HTTP/1.1 200 ", b"a"),
            "trailer": (_CHUNKED + b"2\r\nab\r\n0\r\nX: ", b"a"),
            "trailers": (_CHUNKED + b"2\r\nab\r\n0\r\n", b"a: b\r\n"),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "empty lines": (b"", b"\r\n"),
            "chunk extension": (_CHUNKED + b"1;", b"a"),
            "chunk extensions": (_CHUNKED, b"2;aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nab\r\n"),
            "chunk size": (_CHUNKED, b"0"),
            "responses of others": (b"", _OTHER),
        }
    )
    def test_bytes_without_end_are_refused(self, case: tuple[bytes, bytes]) -> None:
        """Guards against a process that is filled by one response."""
        first, repeated = case
        reader = ResponseReader(_owner)
        reader.feed(first)

        def feed_all() -> None:
            for _ in range(_ENDLESS_BYTES // len(repeated)):
                reader.feed(repeated)

        self.assertRaises(MalformedResponse, feed_all)
        self.assertIsNone(reader.response)

    @cases(
        {
            "no status": b"HTTP/1.1 099 Odd\r\nId: B\r\n\r\n",
            "no version": b"hello\r\n\r\n",
            "long length": _STATUS + b"Id: B\r\nContent-Length: " + b"0" * 4_400 + b"5\r\n\r\n",
        }
    )
    def test_what_is_no_response_is_refused_at_once(self, data: bytes) -> None:
        """Guards against a request that waits until its deadline for a response that is lost."""
        self.assertRaises(ExchangeFailed, ResponseReader(_owner).feed, data)


class BodyTest(EgretrailTestCase):
    @cases(
        {
            "a mention": b"<p>HTTP/1.1 200 OK</p>\n<p>is a status line</p>",
            "a log line": b'"GET / HTTP/1.1" 200 512\n',
            "a version": b"HTTP/1.1 and HTTP/2 are spoken",
            "empty": b"",
        }
    )
    def test_text_about_responses_is_served(self, body: bytes) -> None:
        """Guards against a service whose pages can't be read because they write about HTTP."""
        reader = ResponseReader(_owner)
        reader.feed(_own(body))
        assert reader.response is not None
        self.assertEqual(body, reader.response.body)
        self.assertTrue(reader.may_reuse)

    @cases({"H": b"H", "HTT": b"HTT", "HTTP/": b"HTTP/", "HTTP/1.1 2": b"HTTP/1.1 2"})
    def test_a_body_that_is_continued_by_a_broken_response_is_refused(self, end: bytes) -> None:
        """Guards against a body whose last bytes are another response's, in one segment."""
        reader = ResponseReader(_owner)
        self.assertRaises(MalformedResponse, reader.feed, _own(b"text" + end) + b"yyyyyyyyyy")

    def test_many_mentions_of_status_lines_do_not_block_the_process(self) -> None:
        """Guards against time that grows with the square of a body."""
        reader = ResponseReader(_owner)
        self.assertRaises(MalformedResponse, reader.feed, _own(b"HTTP/1.1 200 " * 2_000_000))

    def test_chunks_of_one_byte_are_served(self) -> None:
        """Guards against a bound on framing that refuses streams of single characters."""
        reader = ResponseReader(_owner)
        reader.feed(_CHUNKED + b"1\r\na\r\n" * 100_000 + b"0\r\n\r\n")
        assert reader.response is not None
        self.assertEqual(100_000, len(reader.response.body))

    @cases({"one segment": True, "byte by byte": False})
    def test_a_whole_response_of_another_request_is_skipped(self, in_one: bool) -> None:
        """Guards against an order that fails because an earlier one was answered twice."""
        reader = ResponseReader(_owner)
        data = _OTHER + _own(b"mine")
        for piece in [data] if in_one else [data[i : i + 1] for i in range(len(data))]:
            reader.feed(piece)
        assert reader.response is not None
        self.assertEqual(b"mine", reader.response.body)
        self.assertFalse(reader.may_reuse)
