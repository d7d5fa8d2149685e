"""A caller that follows ``docs/callers.md``: resolves, keeps the answer, resends with one key."""

import asyncio
import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import aiohttp

_RESOLVE = "/.well-known/egretrail/resolve"
#: Tries of one key after connections were lost, and new keys after a "not-run".
_RESENDS = 4
_NEW_KEYS = 4


@dataclass(slots=True)
class Told:
    """What a caller was told of one piece of work."""

    #: ``answered``, ``refused`` (not run), ``ran``, ``unknown`` or ``nothing``.
    result: str = "nothing"
    #: The answer's status and body.
    status: int = 0
    body: bytes = b""
    #: The last problem's type.
    problem: str = ""
    #: Attempts that were said not to have run, and the one that was answered.
    not_run: list[str] = field(default_factory=list)
    attempt: str = ""


@dataclass(slots=True)
class Caller:
    """One caller with its resolve answers."""

    session: aiohttp.ClientSession
    name: str
    #: Addresses of any instances, to ask where to go.
    entries: Sequence[tuple[str, int]]
    rng: random.Random
    timeout_s: float = 8.0
    _kept: dict[str, tuple[float, Any]] = field(default_factory=dict)

    async def send(
        self, method: str, path: str, work: str, idempotent: bool, body: bytes = b""
    ) -> Told:
        """Have one piece of work done; come back with a new key where that is safe."""
        told = Told()
        for number in range(_NEW_KEYS):
            told.attempt = f"{work}.{number}"
            problem = await self._send_one(told, method, path, idempotent, body)
            if problem is None or told.result != "refused":
                break
            told.not_run.append(told.attempt)
            self._kept.pop(path.split("/")[1], None)
            await asyncio.sleep(min(float(problem.get("retry_after_s", 0.2)), 1.0))
        return told

    async def _send_one(
        self, told: Told, method: str, path: str, idempotent: bool, body: bytes
    ) -> dict[str, Any] | None:
        resolved = await self._resolve(path)
        if resolved is None:
            told.result = "refused"
            return {}
        addresses = resolved["addresses"]
        if not idempotent:
            addresses = [address for address in addresses if address["key_prefix"]]
        if not addresses:
            told.result = "refused"
            return {}
        first = self.rng.randrange(len(addresses))
        headers = {"Authorization": f"Bearer {self.name}", "X-Work": told.attempt}
        if not idempotent:
            prefix = addresses[first]["key_prefix"]
            headers["Idempotency-Key"] = f"{prefix}.{told.attempt.replace('.', '-')}"
        order = [*addresses[first:], *addresses[:first]]
        for address in itertools.islice(itertools.cycle(order), _RESENDS):
            url = f"http://{address['host']}:{address['port']}{path}"
            try:
                async with self.session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=self.timeout_s),
                ) as response:
                    told.status, told.body = response.status, await response.read()
                    if response.content_type != "application/problem+json":
                        told.result = "answered"
                        return None
                    problem: dict[str, Any] = await response.json()
                    outcome = problem["outcome"]
                    told.problem = problem["type"].rpartition(":")[2]
                    told.result = "refused" if outcome == "not-run" else outcome
                    return problem
            except (TimeoutError, aiohttp.ClientError):
                told.result = "nothing"
                await asyncio.sleep(0.05)
        return None

    async def _resolve(self, path: str) -> Any | None:
        name = path.split("/")[1]
        now_s = asyncio.get_running_loop().time()
        until_s, kept = self._kept.get(name, (0.0, None))
        if now_s < until_s:
            return kept
        for host, port in self.rng.sample(self.entries, len(self.entries)):
            url = f"http://{host}:{port}{_RESOLVE}"
            timeout = aiohttp.ClientTimeout(total=1.0)
            try:
                async with self.session.get(
                    url, params={"path": path}, timeout=timeout
                ) as response:
                    if response.status == 200:
                        answer = await response.json()
                        self._kept[name] = (now_s + answer["ttl_s"], answer)
                        return answer
            except (TimeoutError, aiohttp.ClientError):
                continue
        return None
