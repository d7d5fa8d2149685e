"""A client that keeps connections to gateways open until the gateways close them."""

import asyncio
import itertools

from egretrail.http1 import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    encode_request,
    open_connection,
)
from scaffolding.platform import AttemptResult

_numbers = itertools.count(1)


class KeepAliveClient:
    """Reuses open connections, including those to a gateway that is stopping."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._idle: dict[str, list[ClientConnection]] = {}

    async def send(
        self, address: str, method: str, target: str, wait_s: float
    ) -> tuple[AttemptResult, bool]:
        """Send one client attempt; return its result and whether the connection was new."""
        attempt = f"soak-{next(_numbers):06d}"
        fields = [
            (b"Host", self._host.encode()),
            (b"X-Egretrail-Attempt-Id", attempt.encode()),
            (b"X-Egretrail-Request-Deadline", b"%d" % round(wait_s * 1000)),
        ]
        body = b"an order" if method == "POST" else b""
        data = encode_request(method.encode(), target.encode(), fields, body)
        connection, is_new = await self._connect(address)
        if connection is None:
            return AttemptResult(attempt, 0, b"", None), is_new
        try:
            async with asyncio.timeout(wait_s + 1.0):
                response = await connection.exchange(data)
        except (ExchangeFailed, TimeoutError):
            connection.abort()
            return AttemptResult(attempt, 0, b"", None), is_new
        if connection.is_reusable:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.abort()
        return AttemptResult(attempt, response.status, response.body, None), is_new

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        self._idle.clear()

    async def _connect(self, address: str) -> tuple[ClientConnection | None, bool]:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_reusable:
                return connection, False
            connection.abort()
        try:
            return await open_connection(address, 1.0), True
        except ConnectFailed:
            return None, True
