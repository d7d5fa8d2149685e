"""A stand-in for clients: sends attempts to a node, each with its own id."""

import asyncio
import itertools
from dataclasses import dataclass

from standins.messages import Message, encode, read_message
from standins.record import Record

_attempts = itertools.count(1)


@dataclass(slots=True)
class Attempt:
    """One client attempt."""

    id: str
    #: When its last byte was sent, in seconds since the start of the script.
    sent_s: float
    #: When it ended.
    ended_s: float = 0.0
    #: The status; 0 if the connection ended without a complete answer.
    status: int = 0
    #: The path that was requested.
    path: str = ""


async def send(
    record: Record,
    address: str,
    host: str,
    path: str,
    method: str = "POST",
    body: bytes = b"",
    wait_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> Attempt:
    """Send one attempt on a connection of its own and return how it ended."""
    attempt = Attempt(f"a-{next(_attempts):07d}", record.now_s(), path=path)
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
        fields = {
            "Host": host,
            "X-Egretrail-Attempt-Id": attempt.id,
            "X-Egretrail-Request-Deadline": str(round(wait_s * 1000)),
            **(headers or {}),
        }
        writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
        attempt.sent_s = record.now_s()
        record.line("sent", attempt=attempt.id, to=address, path=path)
        async with asyncio.timeout(wait_s + 0.5):
            answer = await read_message(reader)
        attempt.status = answer.status if answer is not None else 0
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    attempt.ended_s = record.now_s()
    record.line("answered", attempt=attempt.id, status=attempt.status)
    return attempt


async def get(address: str, target: str, timeout_s: float = 1.0) -> Message | None:
    """Call one of a node's own interfaces; None without an answer."""
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(encode(f"GET {target} HTTP/1.1", {"Host": address}))
                return await read_message(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
