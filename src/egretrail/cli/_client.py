"""Speaks to the operators' face of one instance."""

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
    """What the tool's exit code says."""

    OK = 0
    #: The instance refused, or what was waited for did not come.
    REFUSED = 1
    #: The command line was wrong; click ends with this one itself.
    USAGE = 2
    #: The instance could not be reached, or did not answer.
    UNREACHABLE = 3
    #: Another operator's change came first.
    LOST_RACE = 4


@dataclass(frozen=True, slots=True)
class Unreachable:
    """The instance did not answer."""

    #: What was asked.
    url: str
    #: The transport's own account of the failure.
    cause: str

    def __str__(self) -> str:
        return f"{self.url} does not answer: {self.cause}"


@dataclass(frozen=True, slots=True)
class Refused:
    """The instance answered with a problem."""

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
    """One instance's operators' face."""

    #: Base URL of the face.
    url: str
    #: The team's token; empty: none is sent.
    token: str
    #: How long an answer is waited for.
    timeout_s: float

    def call(
        self, method: str, path: str, query: Mapping[str, str] | None = None, body: str = ""
    ) -> Result[Any, CallFailure]:
        """Make one call and return the JSON document of its answer."""
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
