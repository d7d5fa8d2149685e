"""Messages of a known length on the peers' streams."""

import asyncio

#: A message that comes more slowly is given up, so that another peer is asked: bytes that trickle
#: in are no silence, and one message would keep the only fetch of its kind for hours.
_LEAST_BYTES_PER_S = 20_000.0
#: No message is longer: the list of 110,000 upstreams takes 9 MB.
FRAME_BYTES_MAX = 16 * 1024 * 1024
_PIECE_BYTES = 65_536
_LENGTH_BYTES = 4


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write a message."""
    writer.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)


async def read_frame(reader: asyncio.StreamReader, silence_s: float) -> bytes:
    """Read a message while at least some of its bytes arrive in every ``silence_s``.

    Raises TimeoutError after a longer silence or where it comes too slowly for its size, EOFError
    where the stream ends and ValueError for a length beyond all messages. A limit on the whole time
    whatever the size would never let a large message arrive, however often it is asked for.
    """
    async with asyncio.timeout(silence_s):
        length = await _read_whole(reader, _LENGTH_BYTES, silence_s)
    size_bytes = int.from_bytes(length, "big")
    if size_bytes > FRAME_BYTES_MAX:
        raise ValueError(f"frame of {size_bytes} bytes")
    async with asyncio.timeout(silence_s + size_bytes / _LEAST_BYTES_PER_S):
        return await _read_whole(reader, size_bytes, silence_s)


async def _read_whole(reader: asyncio.StreamReader, size_bytes: int, silence_s: float) -> bytes:
    data = bytearray()
    while len(data) < size_bytes:
        wanted_bytes = min(size_bytes - len(data), _PIECE_BYTES)
        data += await _read_piece(reader, wanted_bytes, silence_s)
    return bytes(data)


async def _read_piece(reader: asyncio.StreamReader, most_bytes: int, silence_s: float) -> bytes:
    async with asyncio.timeout(silence_s):
        piece = await reader.read(most_bytes)
    if not piece:
        raise EOFError("the peer ended the stream")
    return piece
