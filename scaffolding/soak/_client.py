"""A client that keeps connections to gateways open until the gateways close them."""

import asyncio
import itertools
import re
import socket

from egretrail.http1 import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    encode_request,
    open_connection,
)
from scaffolding.platform import AttemptResult

#: A client that reads slowly takes a chunk per pause and has a small buffer, so that most of a
#: large response waits in the gateway. It takes 3.0 to 3.4 s for one, since the buffer fills less
#: than a chunk.
_SLOW_CHUNK_BYTES, _SLOW_PAUSE_S, _SLOW_BUFFER_BYTES = 16_384, 0.02, 4_096
_HEAD = re.compile(rb"HTTP/1.1 (\d+) .*?\r\ncontent-length: *(\d+)\r\n", re.DOTALL | re.IGNORECASE)
#: A client that reads slowly gives up after this time. Beside the clients of a burst, which share
#: the event loop, reads of up to 6.7 s were seen; with 6 s, two were taken as cut by a stop.
SLOW_WAIT_S = 9.0
_numbers = itertools.count(1)


class KeepAliveClient:
    """Reuses open connections, including those to a gateway that is stopping."""

    def __init__(self, host: str, api_key: str) -> None:
        self._host = host
        self._api_key = api_key
        self._idle: dict[str, list[ClientConnection]] = {}

    async def send(
        self, address: str, method: str, target: str, wait_s: float, *, slowly: bool = False
    ) -> AttemptResult:
        """Send one client attempt; ``slowly`` reads the response in small pieces."""
        attempt = f"soak-{next(_numbers):06d}"
        fields = [
            (b"Host", self._host.encode()),
            (b"X-Egretrail-Attempt-Id", attempt.encode()),
            (b"X-Egretrail-Request-Deadline", b"%d" % round(wait_s * 1000)),
            (b"Api-Key", self._api_key.encode()),
        ]
        body = b"an order" if method == "POST" else b""
        data = encode_request(method.encode(), target.encode(), fields, body)
        if slowly:
            return await _exchange_slowly(address, data, attempt)
        connection = await self._connect(address)
        if connection is None:
            return AttemptResult(attempt, 0, b"", None)
        try:
            async with asyncio.timeout(wait_s + 1.0):
                response = await connection.exchange(data)
        except (ExchangeFailed, TimeoutError):
            connection.abort()
            return AttemptResult(attempt, 0, b"", None)
        if connection.is_reusable:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.abort()
        return AttemptResult(attempt, response.status, response.body, None)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    async def _connect(self, address: str) -> ClientConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        try:
            return await open_connection(address, 1.0)
        except ConnectFailed:
            return None


async def _exchange_slowly(address: str, data: bytes, attempt: str) -> AttemptResult:
    """Send a request on a new connection and read the response in small pieces."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES)
    received = b""
    try:
        async with asyncio.timeout(SLOW_WAIT_S):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, data)
            while (result := _result(attempt, received)) is None:
                chunk = await loop.sock_recv(sock, _SLOW_CHUNK_BYTES)
                if not chunk:
                    break
                received += chunk
                await asyncio.sleep(_SLOW_PAUSE_S)
    except (OSError, TimeoutError):
        result = None
    finally:
        sock.close()
    return result or AttemptResult(attempt, 0, b"", None)


def _result(attempt: str, received: bytes) -> AttemptResult | None:
    """Return the result of a whole response, else None."""
    head, end, body = received.partition(b"\r\n\r\n")
    matched = _HEAD.match(head + b"\r\n") if end else None
    if matched is None or len(body) < int(matched[2]):
        return None
    return AttemptResult(attempt, int(matched[1]), body, None)
