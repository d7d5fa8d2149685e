"""The typed messages that instances exchange, and their msgpack encoding."""

from egretrail.wire._codec import (
    PROTOCOL_VERSION,
    Frame,
    FrameKind,
    MalformedFrame,
    decode_frame,
    encode_frame,
)
from egretrail.wire._message import Acknowledged, Message, message, message_tag, message_type

__all__ = [
    "PROTOCOL_VERSION",
    "Acknowledged",
    "Frame",
    "FrameKind",
    "MalformedFrame",
    "Message",
    "decode_frame",
    "encode_frame",
    "message",
    "message_tag",
    "message_type",
]
