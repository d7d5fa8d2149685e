"""A client of the gateways: resolves gateway addresses and sends client attempts."""

import asyncio
import itertools
import json
from dataclasses import dataclass

from egretrail.http1 import ExchangeFailed, ReceivedResponse, encode_request, open_connection

_attempts = itertools.count(1)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one client attempt."""

    #: The client attempt's id.
    attempt: str
    #: The status; 0 if the connection ended without a response.
    status: int
    #: The body.
    body: bytes
    #: The value of Retry-After in seconds; None without this header.
    retry_after_s: float | None
    #: The upstream's seal; None without one.
    seal: str | None = None
    #: The attempt's id as the response states it; None where it states none.
    stated_attempt: str | None = None


@dataclass(frozen=True, slots=True)
class GatewayClient:
    """Sends requests to gateways, each on a new connection."""

    #: The value of the requests' Host header.
    host: str

    async def resolve_addresses(self, address: str, zone: str) -> list[str]:
        """Return the addresses in a directory's response; empty unless its status is 200."""
        target = f"/api/resolve?name={self.host}&region=r&zone={zone}"
        response = await self._exchange(address, b"GET", target.encode(), [], b"")
        if response is None or response.status != 200:
            return []
        return [str(one) for one in json.loads(response.body)["addresses"]]

    async def resolve_ttl(self, address: str, zone: str) -> str | None:
        """Return the TTL of a directory's response, as text; None unless its status is 200."""
        target = f"/api/resolve?name={self.host}&region=r&zone={zone}"
        response = await self._exchange(address, b"GET", target.encode(), [], b"")
        if response is None or response.status != 200:
            return None
        return str(json.loads(response.body)["ttl"])

    async def read_metric(self, address: str, name: str) -> float | None:
        """Return the value of a metric; None if the gateway does not report it."""
        response = await self._exchange(address, b"GET", b"/", [], b"")
        for line in response.body.decode().splitlines() if response is not None else ():
            if line.startswith(f"{name} "):
                return float(line.rpartition(" ")[2])
        return None

    async def is_ready(self, address: str) -> bool:
        """Return whether an instance responds that it is ready."""
        response = await self._exchange(address, b"GET", b"/api/ready", [], b"")
        return response is not None and response.status == 200

    async def send(
        self, address: str, method: str, target: str, body: bytes = b"", wait_s: float = 3.0
    ) -> AttemptResult:
        """Send one client attempt."""
        attempt = f"attempt-{next(_attempts):06d}"
        fields = [
            (b"X-Egretrail-Attempt-Id", attempt.encode()),
            (b"X-Egretrail-Request-Deadline", b"%d" % round(wait_s * 1000)),
        ]
        response = await self._exchange(
            address, method.encode(), target.encode(), fields, body, wait_s + 1.0
        )
        if response is None:
            return AttemptResult(attempt, 0, b"", None)
        stated = response.header(b"retry-after")
        retry_after_s = float(stated) if stated is not None else None
        return AttemptResult(attempt, response.status, response.body, retry_after_s)

    async def _exchange(
        self,
        address: str,
        method: bytes,
        target: bytes,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
        timeout_s: float = 2.0,
    ) -> ReceivedResponse | None:
        data = encode_request(method, target, [(b"Host", self.host.encode()), *fields], body)
        try:
            connection = await open_connection(address, 1.0)
        except ExchangeFailed:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await connection.exchange(data)
        except (ExchangeFailed, TimeoutError):
            return None
        finally:
            connection.abort()
