"""A client by ``docs/callers.md``: resolves, caches the response, resends with the same key."""

import asyncio
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

_RESOLVE = "/.well-known/egretrail/resolve"
#: Maximum attempts with one key, for lost connections.
_MAX_SENDS = 4
#: Maximum keys for one piece of work; a new one is used after "not-run".
_MAX_KEYS = 4


@dataclass(slots=True)
class WorkResult:
    """The result of one piece of work, as its client learned it."""

    #: ``answered``, ``refused`` (not run), ``ran``, ``unknown`` or ``nothing`` (no response).
    kind: str = "nothing"
    #: Status and body of the last response.
    status: int = 0
    body: bytes = b""
    #: The last part of the last problem's type.
    problem: str = ""
    #: Attempts that egretrail reported as not run, and the last attempt.
    not_run: list[str] = field(default_factory=list)
    attempt: str = ""


@dataclass(slots=True)
class Client:
    """One client with its cache of resolve responses."""

    session: aiohttp.ClientSession
    name: str
    #: Addresses of instances to resolve at.
    resolvers: Sequence[tuple[str, int]]
    rng: random.Random
    timeout_s: float = 8.0
    _resolved: dict[str, tuple[float, Any]] = field(default_factory=dict)

    async def send(
        self, method: str, path: str, work: str, idempotent: bool, body: bytes = b""
    ) -> WorkResult:
        """Send one piece of work; retry with a new key after a refusal that did not run it."""
        result = WorkResult()
        for number in range(_MAX_KEYS):
            result.attempt = f"{work}.{number}"
            problem = await self._send_with_key(result, method, path, idempotent, body)
            if problem is None or result.kind != "refused":
                break
            result.not_run.append(result.attempt)
            self._resolved.pop(path.split("/")[1], None)
            await asyncio.sleep(min(float(problem.get("retry_after_s", 0.2)), 1.0))
        return result

    async def _send_with_key(
        self, result: WorkResult, method: str, path: str, idempotent: bool, body: bytes
    ) -> dict[str, Any] | None:
        resolved = await self._resolve(path)
        if resolved is None:
            result.kind = "refused"
            return {}
        addresses = resolved["addresses"]
        if not idempotent:
            addresses = [address for address in addresses if address["key_prefix"]]
        if not addresses:
            result.kind = "refused"
            return {}
        first = self.rng.randrange(len(addresses))
        headers = {"Authorization": f"Bearer {self.name}", "X-Work": result.attempt}
        if not idempotent:
            prefix = addresses[first]["key_prefix"]
            headers["Idempotency-Key"] = f"{prefix}.{result.attempt.replace('.', '-')}"
        order = [*addresses[first:], *addresses[:first]]
        for address in itertools.islice(itertools.cycle(order), _MAX_SENDS):
            url = f"http://{address['host']}:{address['port']}{path}"
            try:
                async with self.session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=self.timeout_s),
                ) as response:
                    result.status, result.body = response.status, await response.read()
                    if response.content_type != "application/problem+json":
                        result.kind = "answered"
                        return None
                    problem: dict[str, Any] = await response.json()
                    outcome = problem["outcome"]
                    result.problem = problem["type"].rpartition(":")[2]
                    result.kind = "refused" if outcome == "not-run" else outcome
                    return problem
            except (TimeoutError, aiohttp.ClientError):
                result.kind = "nothing"
                await asyncio.sleep(0.05)
        return None

    async def _resolve(self, path: str) -> Any | None:
        name = path.split("/")[1]
        now_s = asyncio.get_running_loop().time()
        until_s, cached = self._resolved.get(name, (0.0, None))
        if now_s < until_s:
            return cached
        for host, port in self.rng.sample(self.resolvers, len(self.resolvers)):
            url = f"http://{host}:{port}{_RESOLVE}"
            timeout = aiohttp.ClientTimeout(total=1.0)
            try:
                async with self.session.get(
                    url, params={"path": path}, timeout=timeout
                ) as response:
                    if response.status == 200:
                        document = await response.json()
                        self._resolved[name] = (now_s + document["ttl_s"], document)
                        return document
            except (TimeoutError, aiohttp.ClientError):
                continue
        return None
