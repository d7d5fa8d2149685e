"""A client that keeps its connection open and reads responses byte for byte, on its own."""

import asyncio

from scaffolding.platform.client import AttemptResult

#: How long a connection may take to open.
_CONNECT_TIMEOUT_S = 1.0
#: How long beyond its deadline a request is waited for.
_OVERTIME_S = 1.0
#: Longest head of a response.
_HEAD_BYTES_MAX = 65_536


class NotAnAnswer(Exception):  # noqa: N818 - named for what was received
    """The bytes that a gateway sent are not a response with a length."""


class StrictClient:
    """Sends one request at a time, on the same connection as long as it is open.

    It shares no code with the product, so that a fault of the product's parser is not hidden by
    the same fault here.
    """

    def __init__(self, host: str, address: str) -> None:
        self._host = host
        self._address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, attempt: str, method: str, target: str, body: bytes, wait_s: float
    ) -> AttemptResult:
        """Send one client attempt; status 0 stands for no whole response.

        Raises NotAnAnswer.
        """
        request = (
            f"{method} {target} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"X-Egretrail-Attempt-Id: {attempt}\r\n"
            f"X-Egretrail-Request-Deadline: {round(wait_s * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        try:
            async with asyncio.timeout(wait_s + _OVERTIME_S):
                reader, writer = await self._connect()
                writer.write(request)
                return await self._read(reader, attempt)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return AttemptResult(attempt, 0, b"", None)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is not None and self._streams[0].at_eof():
            self.close()
        if self._streams is None:
            host, _, port = self._address.rpartition(":")
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(
                    host, int(port), limit=_HEAD_BYTES_MAX
                )
        return self._streams

    async def _read(self, reader: asyncio.StreamReader, attempt: str) -> AttemptResult:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *rows = head.decode("latin-1").removesuffix("\r\n\r\n").split("\r\n")
        version, _, rest = line.partition(" ")
        fields = {
            name.lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)
        }
        length, status = fields.get("content-length", ""), rest[:3]
        if version != "HTTP/1.1" or not (status.isdigit() and length.isdigit()):
            raise NotAnAnswer(head)
        body = await reader.readexactly(int(length))
        if fields.get("connection", "").lower() == "close":
            self.close()
        retry_after = fields.get("retry-after")
        return AttemptResult(
            attempt,
            int(status),
            body,
            float(retry_after) if retry_after is not None else None,
            fields.get("x-egretrail-response-seal"),
            fields.get("x-egretrail-attempt-id"),
        )
