"""The client of the platform's key-value store."""

import asyncio
import base64
import functools
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

from result import Err, Ok, Result

from egretrail.http1 import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    ReceivedAnswer,
    encode_request,
    open_connection,
)
from egretrail.store import (
    Entry,
    HistoryLost,
    PlatformFailure,
    RevisionConflict,
    Snapshot,
    Store,
    StoreRefused,
    StoreUnavailable,
    WatchEvents,
    WriteUnknown,
)
from egretrail.traffic import revision_era, revision_number, store_revision

T = TypeVar("T")

#: Rises each time that the store has come back from an older copy; in all its answers.
_ERA = b"store-era"

#: How long a call waits for its answer to begin, and for each next piece of it: the store answers
#: in 4 ms and in some 250 ms when it is slow, and a large value takes a slow link seconds.
_CALL_TIMEOUT_S = 1.0
#: After a call that waited in vain the next ones wait twice as long, up to the maximum: a store
#: that is slower than any fixed time would never be read. Each quick answer halves it again.
_CALL_TIMEOUT_MAX_S = 3.0
_CONNECT_TIMEOUT_S = 0.5
#: Idle connections kept for the next call.
_IDLE_MAX = 2
#: Statuses with which the store says that it did nothing.
_UNAVAILABLE = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class _Reply:
    """An answer of the store."""

    #: The HTTP status.
    status: int
    #: The body.
    document: Any
    #: The era of the store; 0 for a store that does not name one.
    era: int


class PlatformStore(Store):
    """Calls the store over a few kept connections; a connection that fails is not used again.

    Revisions that it returns have the era of the store, so that they never go back.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[ClientConnection] = []
        self._idle_max = _IDLE_MAX
        #: The newest era that an answer named.
        self._era = 0
        #: How long a call waits for its answer to begin now.
        self._patience_s = _CALL_TIMEOUT_S

    def close(self) -> None:
        """Keep no connections any more; calls under way end as they would."""
        self._idle_max = 0
        while self._idle:
            self._idle.pop().abort()

    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        """Read one path; None when it does not exist."""
        call = f"get {path}"
        reply = await self._call("GET", f"/api/kv-key?key={quote(path, safe='')}", call)
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.status == 404:
            return Ok(None)
        if answer.status != 200:
            return Err(_refused(call, answer.status))
        return _decoded(call, lambda: _entry(answer.document, answer.era))

    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        """Write a path if it is at ``expected_revision`` (0: absent); return its new revision."""
        put: dict[str, object] = {
            "key": path,
            "value": base64.b64encode(value.encode()).decode(),
            # 0 says that the path stays when no lease is held.
            "lease": int(lease_id) if lease_id is not None else 0,
        }
        return await self._write(path, expected_revision, {"puts": [put], "deletes": []})

    async def delete(self, path: str, expected_revision: int) -> Result[int, PlatformFailure]:
        """Delete a path if it is at ``expected_revision``; return the revision of the deletion."""
        return await self._write(path, expected_revision, {"puts": [], "deletes": [path]})

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        """Read all paths under a prefix, page by page.

        Pages are read one after the other, so the snapshot's revision is the first page's: what
        changed between the pages is told again by a watch after it.
        """
        call = f"snapshot {prefix}"
        entries: list[Entry] = []
        first: _Reply | None = None
        revision = 0
        after = ""
        while True:
            target = f"/api/kv-range?prefix={quote(prefix, safe='')}"
            target += "&staleOk=1" if stale else ""
            target += f"&after={quote(after, safe='')}" if after else ""
            reply = await self._call("GET", target, call)
            if isinstance(reply, Err):
                return reply
            answer = reply.ok_value
            if answer.status != 200:
                return Err(_refused(call, answer.status))
            page = _decoded(call, functools.partial(_snapshot, answer.document, answer.era))
            if isinstance(page, Err):
                return page
            if first is None:
                first, revision = answer, page.ok_value.revision
            if answer.era != first.era:
                return Err(StoreUnavailable(call, "it came back from a copy between two pages"))
            entries.extend(page.ok_value.entries)
            if not answer.document.get("hasMore") or not page.ok_value.entries:
                return Ok(Snapshot(entries, revision))
            after = page.ok_value.entries[-1].path

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        """Wait for changes under a prefix after a revision, for at most ``wait_s``."""
        call = f"watch {prefix}"
        target = (
            f"/api/kv-watch?prefix={quote(prefix, safe='')}&after={revision_number(after_revision)}"
            f"&waitMs={round(wait_s * 1000)}"
        )
        reply = await self._call("GET", target, call, wait_s=wait_s)
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        # The number stands for other changes in another era.
        if answer.status == 410 or answer.era != revision_era(after_revision):
            return Err(HistoryLost(prefix, after_revision))
        if answer.status != 200:
            return Err(_refused(call, answer.status))
        return _decoded(call, lambda: _events(answer.document, answer.era))

    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        """Open a lease: paths written under it are deleted when it is not renewed in time."""
        body = {"ttl_time": f"{round(ttl_s * 1000)}ms"}
        reply = await self._call("POST", "/api/kv-lease", "lease", body)
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.status != 200:
            return Err(_refused("lease", answer.status))
        return _decoded("lease", lambda: str(int(answer.document["lease"])))

    async def renew_lease(self, lease_id: str) -> Result[None, PlatformFailure]:
        """Renew a lease for its full time."""
        reply = await self._call("POST", f"/api/kv-keep/{lease_id}", "renew", {})
        if isinstance(reply, Err):
            return reply
        status = reply.ok_value.status
        return Ok(None) if status == 200 else Err(_refused("renew", status))

    async def _write(
        self, path: str, expected_revision: int, change: dict[str, Any]
    ) -> Result[int, PlatformFailure]:
        call = f"write {path}"
        if expected_revision and revision_era(expected_revision) != self._era:
            # Its number may be that of another change by now.
            return Err(RevisionConflict(path, expected_revision, 0))
        number = revision_number(expected_revision)
        body = {"expect": [{"key": path, "revision": number}], **change}
        reply = await self._call("POST", "/api/kv-txn", call, body, written_path=path)
        if isinstance(reply, Err):
            return reply
        answer = reply.ok_value
        if answer.status == 412:
            document = {**answer.document, "currentRev": 0}
            held = _decoded(call, lambda: _snapshot(document, answer.era))
            actual = held.ok_value.entries if isinstance(held, Ok) else ()
            revision = actual[0].revision if actual else 0
            return Err(RevisionConflict(path, expected_revision, revision))
        if answer.status != 200:
            return Err(_refused(call, answer.status))
        return _decoded(call, lambda: store_revision(answer.era, int(answer.document["revision"])))

    async def _call(
        self,
        method: str,
        target: str,
        call: str,
        body: dict[str, Any] | None = None,
        *,
        wait_s: float = 0.0,
        written_path: str | None = None,
    ) -> Result[_Reply, PlatformFailure]:
        """Send one call that the store answers after up to ``wait_s``, or later where it is slow.

        A write whose reply is lost is unknown, and never sent again here.
        """
        self.calls_total += 1
        payload = b"" if body is None else json.dumps(body).encode()
        headers = [(b"Host", self._address.encode())]
        if body is not None:
            headers.append((b"Content-Type", b"application/json"))
        data = encode_request(method.encode(), target.encode(), headers, payload)
        try:
            connection = await self._connection()
        except ConnectFailed as error:
            return Err(StoreUnavailable(call, str(error)))
        try:
            asked_s = asyncio.get_running_loop().time()
            answer = await _exchange(connection, data, wait_s, self._patience_s)
            took_s = asyncio.get_running_loop().time() - asked_s
            if took_s < self._patience_s / 4:
                self._patience_s = max(self._patience_s / 2, _CALL_TIMEOUT_S)
        except (TimeoutError, ExchangeFailed) as error:
            if isinstance(error, TimeoutError):
                self._patience_s = min(self._patience_s * 2, _CALL_TIMEOUT_MAX_S)
            cause = f"{error!r}"
            if written_path is not None:
                return Err(WriteUnknown(written_path, cause))
            return Err(StoreUnavailable(call, cause))
        if connection.reusable and len(self._idle) < self._idle_max:
            self._idle.append(connection)
        else:
            connection.abort()
        if answer.status in _UNAVAILABLE:
            return Err(StoreUnavailable(call, f"status {answer.status}"))
        try:
            era = int(answer.value(_ERA) or 0)
            self._era = max(self._era, era)
            document = json.loads(answer.body) if answer.body else {}
            return Ok(_Reply(answer.status, document, era))
        except ValueError as error:
            return Err(StoreUnavailable(call, f"unreadable reply: {error}"))

    async def _connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        # A watch waits for seconds on a path that may have gone silent meanwhile.
        return await open_connection(self._address, _CONNECT_TIMEOUT_S, probed=True)


async def _exchange(
    connection: ClientConnection, data: bytes, wait_s: float, patience_s: float
) -> ReceivedAnswer:
    """Send a request's bytes and return the answer, for as long as pieces of it arrive."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(wait_s + patience_s) as limit:

        def extend() -> None:
            if not limit.expired():
                end_s = loop.time() + patience_s
                limit.reschedule(max(limit.when() or end_s, end_s))

        connection.on_progress = extend
        try:
            return await connection.exchange(data)
        finally:
            connection.on_progress = lambda: None


def _refused(call: str, status: int) -> StoreRefused:
    return StoreRefused(call, status)


def _decoded(call: str, read: Callable[[], T]) -> Result[T, PlatformFailure]:
    try:
        return Ok(read())
    except (KeyError, TypeError, ValueError) as error:
        return Err(StoreUnavailable(call, f"unreadable reply: {error!r}"))


def _entry(row: dict[str, Any], era: int) -> Entry:
    revision = store_revision(era, int(row["revision"]))
    return Entry(str(row["key"]), None if row.get("removed") else _value(row), revision)


def _value(row: dict[str, Any]) -> str:
    """Return an entry's text. One entry that cannot be read must not hide the others of its page.

    Bytes that are no text become lone surrogates, and a value in another encoding an empty text:
    the reader of the entry refuses both and logs it.
    """
    try:
        return base64.b64decode(row["value"], validate=True).decode(errors="surrogateescape")
    except (KeyError, TypeError, ValueError):
        return ""


def _snapshot(document: dict[str, Any], era: int) -> Snapshot:
    entries = [_entry(row, era) for row in document["items"]]
    return Snapshot(entries, store_revision(era, int(document["currentRev"])))


def _events(document: dict[str, Any], era: int) -> WatchEvents:
    entries = [_entry(row, era) for row in document["events"]]
    return WatchEvents(entries, store_revision(era, int(document["currentRev"])))
