"""Reads and writes HTTP/1.1 messages for the stand-ins."""

import asyncio
from dataclasses import dataclass


class MessageError(Exception):
    """The bytes are not a message that the stand-ins understand."""


@dataclass(slots=True)
class Message:
    """A request or a response."""

    #: The first line, split at spaces: method, target, version; or version, status, reason.
    start: list[str]
    #: The header fields with names in lower case; the last one of a name counts.
    headers: dict[str, str]
    #: The complete body.
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader, on_head: object = None) -> Message | None:
    """Read a message; None if the stream ends before its first byte.

    Raises IncompleteReadError if the stream ends inside it, and OSError for a reset.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *rows = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        raise MessageError("chunked bodies are not used by the stand-ins")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first.split(" ", 2), headers, body)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message, framed by its length."""
    rows = [start, *(f"{name}: {value}" for name, value in headers.items())]
    rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body
