"""Encodes frames as msgpack, and decodes and validates received ones into data classes."""

import enum
from dataclasses import dataclass
from typing import Any

import msgpack
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.wire._message import Message, message_tag, message_type

#: Incremented when the frame layout changes; peers of another version are refused at the handshake.
PROTOCOL_VERSION = 1


class FrameKind(enum.IntEnum):
    """The role of a frame in an exchange."""

    NOTIFY = 0
    ASK = 1
    REPLY = 2


_KIND_VALUES = {int(kind) for kind in FrameKind}


@dataclass(frozen=True, slots=True)
class Frame:
    """One message with the fields that match a reply to its request."""

    #: A notification, a request that expects a reply, or a reply.
    kind: FrameKind
    #: Chosen by the requester and repeated in the reply; 0 for notifications.
    exchange_id: int
    #: The message itself.
    body: Message


@dataclass(frozen=True, slots=True)
class MalformedFrame:
    """A frame that cannot be decoded; the stream that it arrived on is closed."""

    #: What is wrong with the frame.
    cause: str

    def __str__(self) -> str:
        return f"malformed frame: {self.cause}"


_adapters: dict[type[Message], TypeAdapter[Any]] = {}


def _adapter(cls: type[Message]) -> TypeAdapter[Any]:
    adapter = _adapters.get(cls)
    if adapter is None:
        adapter = _adapters[cls] = TypeAdapter(cls)
    return adapter


def _enum_value(value: object) -> object:
    if isinstance(value, enum.Enum):
        return value.value
    raise TypeError(f"{type(value).__name__} has no msgpack encoding")


def encode_frame(frame: Frame) -> bytes:
    """Return the msgpack encoding of a frame, without its length prefix."""
    cls = type(frame.body)
    document = _adapter(cls).dump_python(frame.body)
    head = [PROTOCOL_VERSION, int(frame.kind), frame.exchange_id, message_tag(cls), document]
    packed: bytes = msgpack.packb(head, default=_enum_value)
    return packed


def decode_frame(data: bytes) -> Result[Frame, MalformedFrame]:
    """Decode a frame; the failure states what is wrong with it."""
    try:
        head = msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        return Err(MalformedFrame(f"not msgpack: {error!r}"))
    if not isinstance(head, list) or len(head) != 5:
        return Err(MalformedFrame("not a list of five elements"))
    version, kind, exchange_id, tag, document = head
    if version != PROTOCOL_VERSION:
        return Err(MalformedFrame(f"protocol version {version!r}, expected {PROTOCOL_VERSION}"))
    if type(kind) is not int or kind not in _KIND_VALUES or type(exchange_id) is not int:
        return Err(MalformedFrame("invalid frame kind or exchange id"))
    cls = message_type(tag) if isinstance(tag, str) else None
    if cls is None:
        return Err(MalformedFrame(f"unknown message tag {tag!r}"))
    try:
        body = _adapter(cls).validate_python(document)
    except ValidationError as error:
        return Err(MalformedFrame(f"{tag}: {error.error_count()} invalid fields"))
    return Ok(Frame(FrameKind(kind), exchange_id, body))
