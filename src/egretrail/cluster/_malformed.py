"""Messages of peers that cannot be read."""

import struct
import zlib
from dataclasses import dataclass

import msgpack

#: What reading foreign bytes raises; rows that are too short or tables that are none among it.
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
    """Bytes that are no message of this version; they are dropped."""

    #: What is wrong.
    cause: str

    def __str__(self) -> str:
        return f"malformed message of a peer: {self.cause}"
