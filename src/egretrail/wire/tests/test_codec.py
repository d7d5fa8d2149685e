"""Encoding and decoding of frames, including malformed ones."""

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from egretrail.testing import EgretrailTestCase, cases
from egretrail.wire import Acknowledged, Frame, FrameKind, decode_frame, encode_frame


class CodecTest(EgretrailTestCase):
    def test_a_frame_is_equal_after_encoding_and_decoding(self) -> None:
        frame = Frame(FrameKind.ASK, 7, Acknowledged())
        self.assertEqual(Ok(frame), decode_frame(encode_frame(frame)))

    @cases(
        {
            "not_msgpack": b"\xc1",
            "not_a_list": msgpack.packb({"a": 1}),
            "too_short": msgpack.packb([1, 0, 0]),
            "other_version": msgpack.packb([99, 0, 0, "ack", {}]),
            "unknown_kind": msgpack.packb([1, 9, 0, "ack", {}]),
            "unhashable_kind": msgpack.packb([1, [], 0, "ack", {}]),
            "unknown_message": msgpack.packb([1, 0, 0, "no-such", {}]),
            "tag_is_no_text": msgpack.packb([1, 0, 0, 5, {}]),
            "body_is_no_map": msgpack.packb([1, 0, 0, "ack", 5]),
            "trailing_bytes": msgpack.packb([1, 0, 0, "ack", {}]) + b"\x00",
        }
    )
    def test_malformed_frames_are_returned_as_errors(self, data: bytes) -> None:
        self.assertIsInstance(decode_frame(data), Err)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_no_bytes_raise_in_the_decoder(self, data: bytes) -> None:
        self.assertIsInstance(decode_frame(data), (Ok, Err))
