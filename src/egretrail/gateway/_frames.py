"""Length-prefixed messages (frames) on the streams between peers."""

import asyncio

#: Reading a slower message is abandoned so that another peer is asked. The timeout between bytes
#: does not detect a trickle: one message could occupy the only fetch of its kind for hours.
_BYTES_PER_S_MIN = 20_000.0
#: The largest message: the list of 110,000 upstreams takes 9 MB.
FRAME_BYTES_MAX = 16 * 1024 * 1024
_CHUNK_BYTES = 65_536
_LENGTH_BYTES = 4


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write a message with its length in front."""
    writer.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)


async def read_frame(reader: asyncio.StreamReader, idle_timeout_s: float) -> bytes:
    """Read a message, with a timeout for every gap between bytes and one for the whole message.

    The timeout for the whole message grows with its size: under a fixed one, a large message could
    never be received, however often it is requested. Raises TimeoutError after a gap of
    ``idle_timeout_s`` or if the message is too slow for its size, EOFError if the stream ends and
    ValueError if the length exceeds FRAME_BYTES_MAX.
    """
    async with asyncio.timeout(idle_timeout_s):
        length = await _read_exactly(reader, _LENGTH_BYTES, idle_timeout_s)
    size_bytes = int.from_bytes(length, "big")
    if size_bytes > FRAME_BYTES_MAX:
        raise ValueError(f"frame of {size_bytes} bytes exceeds {FRAME_BYTES_MAX} bytes")
    async with asyncio.timeout(idle_timeout_s + size_bytes / _BYTES_PER_S_MIN):
        return await _read_exactly(reader, size_bytes, idle_timeout_s)


async def _read_exactly(
    reader: asyncio.StreamReader, size_bytes: int, idle_timeout_s: float
) -> bytes:
    data = bytearray()
    while len(data) < size_bytes:
        wanted_bytes = min(size_bytes - len(data), _CHUNK_BYTES)
        data += await _read_chunk(reader, wanted_bytes, idle_timeout_s)
    return bytes(data)


async def _read_chunk(reader: asyncio.StreamReader, max_bytes: int, idle_timeout_s: float) -> bytes:
    async with asyncio.timeout(idle_timeout_s):
        chunk = await reader.read(max_bytes)
    if not chunk:
        raise EOFError("the peer closed the stream before the end of the frame")
    return chunk
