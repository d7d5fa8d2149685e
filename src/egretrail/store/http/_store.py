"""The settings store over HTTP/JSON."""

from collections.abc import Callable
from typing import Any, TypeVar

import aiohttp
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.client_http import never_resend, reject_run_together
from egretrail.store import (
    Entry,
    PlatformFailure,
    RevisionConflict,
    Snapshot,
    Store,
    StoreRefused,
    StoreUnavailable,
    WatchEvents,
    WriteUnknown,
)

T = TypeVar("T")

#: Added to the wait time of a watch to give the timeout of the HTTP request.
_WATCH_MARGIN_S = 5.0


_ENTRY = TypeAdapter(Entry)
_SNAPSHOT = TypeAdapter(Snapshot)
_EVENTS = TypeAdapter(WatchEvents)


class HttpStore(Store):
    """Client of the store's HTTP/JSON API, see ``docs/platform.md``."""

    def __init__(self, base_url: str, session: aiohttp.ClientSession, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout_s = timeout_s

    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        """Read one path; None when it does not exist."""
        result = await self._read(f"get {path}", f"/v1/kv/{path}", {}, self._timeout_s)
        if isinstance(result, Err):
            return result
        status, body = result.ok_value
        if status == 404:
            return Ok(None)
        entry = _parse_response(_ENTRY, f"get {path}", status, body)
        if isinstance(entry, Ok) and entry.ok_value.path != path:
            return Err(StoreUnavailable(f"get {path}", f"an entry of {entry.ok_value.path}"))
        return entry

    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        """Write a path if it is at ``expected_revision`` (0: absent); return the new revision."""
        query = {"revision": str(expected_revision)}
        if lease_id is not None:
            query["lease"] = lease_id
        return await self._write("PUT", path, query, value, expected_revision)

    async def delete(self, path: str, expected_revision: int) -> Result[int, PlatformFailure]:
        """Delete a path if it is at ``expected_revision``; return the revision of the deletion."""
        query = {"revision": str(expected_revision)}
        return await self._write("DELETE", path, query, None, expected_revision)

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        """Read all paths under a prefix; ``stale`` has no effect here."""
        call = f"snapshot {prefix}"
        result = await self._read(call, "/v1/list", {"prefix": prefix}, self._timeout_s)
        if isinstance(result, Err):
            return result
        return _parse_response(_SNAPSHOT, call, *result.ok_value)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        """Wait for changes under a prefix after a revision, for at most ``wait_s``."""
        query = {"prefix": prefix, "after": str(after_revision), "wait_s": str(wait_s)}
        call = f"watch {prefix}"
        result = await self._read(call, "/v1/watch", query, wait_s + _WATCH_MARGIN_S)
        if isinstance(result, Err):
            return result
        return _parse_response(_EVENTS, call, *result.ok_value)

    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        """Grant a lease: paths written with it are deleted if it is not renewed in ``ttl_s``."""
        result = await self._send("POST", "lease", "/v1/lease", {"ttl_s": str(ttl_s)}, None)
        if isinstance(result, Err):
            return result
        status, body = result.ok_value
        if status != 200:
            return Err(StoreRefused("lease", status))
        return _decode_write("/v1/lease", lambda: str(body["lease"]))

    async def renew_lease(self, lease_id: str) -> Result[None, PlatformFailure]:
        """Renew a lease for its full TTL."""
        result = await self._send("POST", "renew", f"/v1/lease/{lease_id}/renew", {}, None)
        if isinstance(result, Err):
            return result
        status, _ = result.ok_value
        return Ok(None) if status == 200 else Err(StoreRefused("renew", status))

    async def _read(
        self, call: str, path: str, query: dict[str, str], timeout_s: float
    ) -> Result[tuple[int, Any], PlatformFailure]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._base_url + path,
                params=query,
                timeout=timeout,
                middlewares=(reject_run_together,),
            ) as response:
                return Ok((response.status, await response.json()))
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return Err(StoreUnavailable(call, repr(error)))

    async def _send(
        self, method: str, call: str, path: str, query: dict[str, str], body: str | None
    ) -> Result[tuple[int, Any], PlatformFailure]:
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                params=query,
                data=body,
                timeout=timeout,
                middlewares=(never_resend, reject_run_together),
            ) as response:
                return Ok((response.status, await response.json()))
        except aiohttp.ClientConnectorError as error:
            return Err(StoreUnavailable(call, repr(error)))
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            return Err(WriteUnknown(path, repr(error)))

    async def _write(
        self, method: str, path: str, query: dict[str, str], body: str | None, expected: int
    ) -> Result[int, PlatformFailure]:
        call = f"{method.lower()} {path}"
        result = await self._send(method, call, f"/v1/kv/{path}", query, body)
        if isinstance(result, Err):
            return result
        status, document = result.ok_value
        if status == 409:
            actual = _decode_write(path, lambda: int(document["revision"]))
            if isinstance(actual, Err):
                return actual
            return Err(RevisionConflict(path, expected, actual.ok_value))
        if status == 503:
            return Err(StoreUnavailable(call, "status 503"))
        if status != 200:
            return Err(StoreRefused(call, status))
        return _decode_write(path, lambda: int(document["revision"]))


def _decode_write(path: str, read: Callable[[], T]) -> Result[T, WriteUnknown]:
    """Decode the response to a write, which may have been applied if this fails."""
    try:
        return Ok(read())
    except (KeyError, TypeError, ValueError) as error:
        return Err(WriteUnknown(path, f"unreadable answer: {error!r}"))


def _parse_response(
    adapter: TypeAdapter[T], call: str, status: int, body: object
) -> Result[T, PlatformFailure]:
    if status == 503:
        return Err(StoreUnavailable(call, "status 503"))
    if status != 200:
        return Err(StoreRefused(call, status))
    try:
        return Ok(adapter.validate_python(body))
    except ValidationError as error:
        return Err(StoreUnavailable(call, f"unreadable answer: {error.error_count()} faults"))
