"""Messages of peers that cannot be decoded."""

import struct
import zlib
from dataclasses import dataclass

import msgpack

#: The exceptions that decoding invalid bytes may raise, for example for rows that are too short or
#: values that are not tables.
MALFORMED = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    struct.error,
    msgpack.UnpackException,
    zlib.error,
)


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """Bytes that are not a valid message of this protocol version; they are discarded."""

    #: The reason why decoding failed.
    cause: str

    def __str__(self) -> str:
        return f"malformed message of a peer: {self.cause}"
