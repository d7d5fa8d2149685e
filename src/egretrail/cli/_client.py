"""HTTP client of one instance's operator API."""

import asyncio
import enum
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import click
from result import Err, Ok, Result


class ExitCode(enum.IntEnum):
    """Exit codes of the tool."""

    OK = 0
    #: The instance refused the call, or an awaited condition did not hold in time.
    REFUSED = 1
    #: The command line was invalid; click exits with this code itself.
    USAGE = 2
    #: The instance could not be reached, or did not answer.
    UNREACHABLE = 3
    #: Another operator's change was applied first.
    LOST_RACE = 4


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The instance could not be reached or did not respond."""

    #: The URL of the request.
    url: str
    #: The transport's description of the failure.
    cause: str

    def __str__(self) -> str:
        return f"{self.url} does not answer: {self.cause}"


@dataclass(frozen=True, slots=True)
class Refused:
    """The instance responded with a problem document."""

    #: The HTTP status.
    status: int
    #: The problem document.
    problem: Mapping[str, Any]

    def __str__(self) -> str:
        title = self.problem.get("title", f"status {self.status}")
        detail = self.problem.get("detail") or self.problem.get("description")
        return f"{title}\n{detail}" if detail else str(title)


CallFailure = Unreachable | Refused


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Client of one instance's operator API."""

    #: Base URL of the operator API.
    url: str
    #: The team's token; if empty, none is sent.
    token: str
    #: Time-out of a call, in seconds.
    timeout_s: float

    def call(
        self, method: str, path: str, query: Mapping[str, str] | None = None, body: str = ""
    ) -> Result[Any, CallFailure]:
        """Make one call and return the JSON document of its response."""
        if not self.url:
            raise click.UsageError("give --operator-url or set EGRETRAIL_OPERATOR_URL")
        return asyncio.run(self._call(method, path, query or {}, body))

    async def _call(
        self, method: str, path: str, query: Mapping[str, str], body: str
    ) -> Result[Any, CallFailure]:
        url = self.url.rstrip("/") + path
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(method, url, params=query, data=body.encode()) as response,
            ):
                text = await response.text()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return Err(Unreachable(url, repr(error)))
        document = _document(text)
        return Ok(document) if status < 300 else Err(Refused(status, document))


def _document(text: str) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return {"detail": text}
