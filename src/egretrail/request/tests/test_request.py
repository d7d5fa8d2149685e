"""Requests forwarded between instances."""

from dataclasses import replace
from typing import Any

from result import Ok

from egretrail.identity import CallerId, RouteName, ServiceName
from egretrail.request import (
    Answer,
    ForwardReply,
    ForwardRequest,
    Outcome,
    RecordedAnswer,
    Refusal,
    RefusalCause,
    RequestEnvelope,
    request_digest,
)
from egretrail.testing import EgretrailTestCase, cases
from egretrail.wire import Frame, FrameKind, Message, decode_frame, encode_frame

_REQUEST = RequestEnvelope(
    "POST",
    "/varaus?board=7",
    (("Content-Type", "text/plain"), ("X-Ä", "\xe4")),
    b"\x00\xffbody",
    CallerId("c" * 32),
    ServiceName("lv/varaus"),
    RouteName("lv/varaus"),
    2.5,
    "prefix.suffix",
)
_ANSWERS: dict[str, Answer] = {
    "recorded": RecordedAnswer(200, (("A", "b"), ("A", "c")), b"\xff\x00"),
    "empty": RecordedAnswer(204, (), b""),
    "refusal": Refusal(Outcome.NOT_RUN, RefusalCause.QUEUE_FULL, 0.5),
    "final_refusal": Refusal(Outcome.UNKNOWN, RefusalCause.UPSTREAM_LOST),
}


def _encode_and_decode(body: Message) -> Message:
    return decode_frame(encode_frame(Frame(FrameKind.ASK, 1, body))).unwrap().body


class RequestOnTheWireTest(EgretrailTestCase):
    def test_a_request_is_equal_after_encoding_and_decoding(self) -> None:
        self.assertEqual(ForwardRequest(_REQUEST), _encode_and_decode(ForwardRequest(_REQUEST)))

    @cases(_ANSWERS)
    def test_an_answer_is_equal_after_encoding_and_decoding(self, answer: Answer) -> None:
        self.assertEqual(ForwardReply(answer), _encode_and_decode(ForwardReply(answer)))

    def test_a_frame_with_a_changed_field_is_refused(self) -> None:
        data = encode_frame(Frame(FrameKind.ASK, 1, ForwardRequest(_REQUEST)))
        self.assertNotIsInstance(decode_frame(data.replace(b"target", b"tarfet")), Ok)


class DigestTest(EgretrailTestCase):
    @cases(
        {
            "method": {"method": "PUT"},
            "target": {"target": "/varaus?board=8"},
            "body": {"body": b""},
            "route": {"route": RouteName("lv/other")},
            "parts_shifted": {"method": "POST/", "target": "varaus?board=7"},
        }
    )
    def test_different_requests_have_different_digests(self, change: dict[str, Any]) -> None:
        self.assertNotEqual(request_digest(_REQUEST), request_digest(replace(_REQUEST, **change)))

    def test_headers_and_deadline_do_not_change_the_digest(self) -> None:
        resend = replace(_REQUEST, headers=(("Host", "10.0.0.1"),), deadline_s=0.1)
        self.assertEqual(request_digest(_REQUEST), request_digest(resend))
