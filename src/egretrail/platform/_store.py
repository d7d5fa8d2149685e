"""Client of the platform's key-value store."""

import asyncio
import base64
import functools
import json
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

from result import Err, Ok, Result

from egretrail.http1 import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    MalformedResponse,
    ReceivedResponse,
    encode_request,
    open_connection,
)
from egretrail.platform._store_codec import (
    LEASE_MAX,
    decode_entry,
    decode_era,
    decode_events,
    decode_integer,
    decode_revision,
    decode_snapshot,
)
from egretrail.store import (
    Entry,
    HistoryLost,
    PlatformFailure,
    ReplyUnusable,
    RevisionConflict,
    Snapshot,
    Store,
    StoreRefused,
    StoreUnavailable,
    WatchEvents,
    WriteUnknown,
)
from egretrail.traffic import revision_era, revision_number

T = TypeVar("T")

#: The store's era, present in all its responses; rises with each restore from a backup.
_ERA_HEADER = b"store-era"

#: How long a call waits for the first bytes of its response, and then for each further piece.
#: The store responds in 4 ms, or in about 250 ms when slow; a large value takes seconds on a slow
#: link.
_CALL_TIMEOUT_S = 1.0
#: Each time-out doubles the time-out of the next calls, up to this maximum: with a fixed time-out a
#: slower store could never be read. Each quick response halves the time-out again.
_CALL_TIMEOUT_MAX_S = 3.0
_CONNECT_TIMEOUT_S = 0.5
#: Idle connections kept open for later calls.
_IDLE_CONNECTIONS_MAX = 2
#: Responses whose newest era counts as the store's: a single one that states another era is
#: forgotten.
_ERAS_KEPT = 8
#: Statuses with which the store reports that it did not apply the call.
_UNAVAILABLE_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class _Reply:
    """A response of the store."""

    #: The HTTP status.
    status: int
    #: The decoded JSON body.
    document: dict[str, Any]
    #: The era of the store; 0 if the response does not name one.
    era: int


class PlatformStore(Store):
    """Calls the store over a small connection pool; a failed connection is not reused.

    Returned revisions include the store's era, so that they never decrease, even after the store
    is restored from a backup.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle_connections: list[ClientConnection] = []
        self._idle_connections_max = _IDLE_CONNECTIONS_MAX
        #: The eras that the last responses stated.
        self._eras: deque[int] = deque(maxlen=_ERAS_KEPT)
        #: The current time-out for the first bytes of a response and for each further piece.
        self._call_timeout_s = _CALL_TIMEOUT_S

    def close(self) -> None:
        """Close idle connections and keep no others; calls in progress complete normally."""
        self._idle_connections_max = 0
        while self._idle_connections:
            self._idle_connections.pop().abort()

    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        """Read one path; None if it does not exist."""
        call = f"get {path}"
        reply = await self._call("GET", f"/api/kv-key?key={quote(path, safe='')}", call)
        if isinstance(reply, Err):
            return reply
        response = reply.ok_value
        if response.status == 404:
            return Ok(None)
        if response.status != 200:
            return Err(_refused(call, response.status))
        return _decode(call, lambda: decode_entry(response.document, response.era, path))

    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        """Write a path if it is at ``expected_revision`` (0: absent); return its new revision."""
        put: dict[str, object] = {
            "key": path,
            "value": base64.b64encode(value.encode()).decode(),
            # 0 attaches no lease: the path stays until it is deleted.
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

        The store may change between pages. The snapshot therefore has the revision of the first
        page, so that a watch after this revision returns those changes again.
        """
        call = f"snapshot {prefix}"
        entries: list[Entry] = []
        first: _Reply | None = None
        revision = 0
        after = ""
        while True:
            target = f"/api/kv-range?prefix={quote(prefix, safe='')}"
            target += "&staleOk=1" if stale else ""
            target += f"&after={_quote_key(after)}" if after else ""
            reply = await self._call("GET", target, call)
            if isinstance(reply, Err):
                return reply
            response = reply.ok_value
            if response.status != 200:
                return Err(_refused(call, response.status))
            page = _decode(
                call, functools.partial(decode_snapshot, response.document, response.era, prefix)
            )
            if isinstance(page, Err):
                return page
            if first is None:
                first, revision = response, page.ok_value.revision
            if response.era != first.era:
                return Err(
                    StoreUnavailable(call, "the store was restored from a backup between two pages")
                )
            entries.extend(page.ok_value.entries)
            if not response.document.get("hasMore") or not page.ok_value.entries:
                return Ok(Snapshot(entries, revision))
            before, after = after, page.ok_value.entries[-1].path
            if after <= before:
                return Err(StoreUnavailable(call, "a page that does not begin after the last one"))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        """Wait up to ``wait_s`` for changes under a prefix after a revision."""
        call = f"watch {prefix}"
        target = (
            f"/api/kv-watch?prefix={quote(prefix, safe='')}&after={revision_number(after_revision)}"
            f"&waitMs={round(wait_s * 1000)}"
        )
        reply = await self._call("GET", target, call, wait_s=wait_s)
        if isinstance(reply, Err):
            return reply
        response = reply.ok_value
        # In another era the same revision number stands for other changes.
        if response.status == 410 or response.era != revision_era(after_revision):
            return Err(HistoryLost(prefix, after_revision))
        if response.status != 200:
            return Err(_refused(call, response.status))
        return _decode(call, lambda: decode_events(response.document, response.era, prefix))

    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        """Open a lease; paths written under it are deleted if it is not renewed in time."""
        body = {"ttl_time": f"{round(ttl_s * 1000)}ms"}
        reply = await self._call("POST", "/api/kv-lease", "lease", body)
        if isinstance(reply, Err):
            return reply
        response = reply.ok_value
        if response.status != 200:
            return Err(_refused("lease", response.status))
        return _decode("lease", lambda: str(decode_integer(response.document["lease"], LEASE_MAX)))

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
        if expected_revision and revision_era(expected_revision) != max(self._eras, default=0):
            # In the current era the same revision number may stand for another change.
            return Err(RevisionConflict(path, expected_revision, 0))
        number = revision_number(expected_revision)
        body = {"expect": [{"key": path, "revision": number}], **change}
        reply = await self._call("POST", "/api/kv-txn", call, body, written_path=path)
        if isinstance(reply, Err):
            return reply
        response = reply.ok_value
        if response.status == 412:
            return Err(_decode_conflict(call, path, expected_revision, response))
        if response.status != 200:
            return Err(_refused(call, response.status))
        return _decode(
            call,
            lambda: decode_revision(response.era, response.document["revision"]),
            written_path=path,
        )

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
        """Send one call, to which the store may respond after up to ``wait_s``, or later if slow.

        The outcome of a write whose response is lost is unknown; this client does not retry it.
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
            sent_s = asyncio.get_running_loop().time()
            response = await _exchange(connection, data, wait_s, self._call_timeout_s)
            duration_s = asyncio.get_running_loop().time() - sent_s
            if duration_s < self._call_timeout_s / 4:
                self._call_timeout_s = max(self._call_timeout_s / 2, _CALL_TIMEOUT_S)
        except (TimeoutError, ExchangeFailed) as error:
            if isinstance(error, TimeoutError):
                self._call_timeout_s = min(self._call_timeout_s * 2, _CALL_TIMEOUT_MAX_S)
            is_reply = isinstance(error, MalformedResponse)
            return Err(_failure(call, written_path, repr(error), is_reply=is_reply))
        if connection.is_reusable and len(self._idle_connections) < self._idle_connections_max:
            self._idle_connections.append(connection)
        else:
            connection.abort()
        if response.status in _UNAVAILABLE_STATUSES:
            return Err(StoreUnavailable(call, f"status {response.status}"))
        reply = self._read_reply(response)
        if isinstance(reply, _Reply):
            return Ok(reply)
        return Err(_failure(call, written_path, reply, is_reply=True))

    def _read_reply(self, response: ReceivedResponse) -> _Reply | str:
        """Decode a response; return why it can't be one of the store."""
        try:
            era = decode_era(response.header(_ERA_HEADER) or b"0")
            document = json.loads(response.body) if response.body else {}
        except (ValueError, RecursionError) as error:
            # The text of an error may repeat all of a long value.
            return f"unreadable reply: {str(error)[:200]}"
        if not isinstance(document, dict):
            return "unreadable reply: not an object"
        if any(self._eras) and not era:
            return "a reply without the era that the store states"
        self._eras.append(era)
        return _Reply(response.status, document, era)

    async def _connection(self) -> ClientConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable():
                return connection
            connection.abort()
        # A watch waits for seconds, in which the network path may fail without any notice.
        return await open_connection(self._address, _CONNECT_TIMEOUT_S, keepalive=True)


async def _exchange(
    connection: ClientConnection, data: bytes, wait_s: float, call_timeout_s: float
) -> ReceivedResponse:
    """Send a request and return its response; each piece that arrives extends the time-out."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(wait_s + call_timeout_s) as limit:

        def extend() -> None:
            if not limit.expired():
                end_s = loop.time() + call_timeout_s
                limit.reschedule(max(limit.when() or end_s, end_s))

        connection.on_response_bytes = extend
        try:
            return await connection.exchange(data)
        finally:
            connection.on_response_bytes = lambda: None


def _quote_key(key: str) -> str:
    """Return a key that the store has stated, as part of a query; it need not be UTF-8."""
    try:
        data = key.encode(errors="surrogateescape")
    except UnicodeEncodeError:
        data = key.encode(errors="surrogatepass")
    return quote(data, safe="")


def _refused(call: str, status: int) -> StoreRefused:
    return StoreRefused(call, status)


def _failure(call: str, written_path: str | None, cause: str, *, is_reply: bool) -> PlatformFailure:
    """Return the failure of a call that got no usable response: a write may have been applied."""
    if written_path is not None:
        return WriteUnknown(written_path, cause)
    return ReplyUnusable(call, cause) if is_reply else StoreUnavailable(call, cause)


def _decode(
    call: str, read: Callable[[], T], *, written_path: str | None = None
) -> Result[T, PlatformFailure]:
    try:
        return Ok(read())
    except (KeyError, TypeError, ValueError) as error:
        cause = f"unreadable reply: {repr(error)[:200]}"
        return Err(_failure(call, written_path, cause, is_reply=True))


def _decode_conflict(
    call: str, path: str, expected_revision: int, reply: _Reply
) -> PlatformFailure:
    """Return the conflict that a reply to a write states.

    The write is unknown if the reply does not show a conflict of this path: it may belong to
    another write.
    """

    def read() -> RevisionConflict:
        rows = [row for row in reply.document["items"] if row["key"] == path]
        if len(rows) != len(reply.document["items"]):
            raise ValueError("a conflict of another path")
        actual = decode_revision(reply.era, rows[0]["revision"]) if rows else 0
        if actual == expected_revision:
            raise ValueError("a conflict at the expected revision")
        return RevisionConflict(path, expected_revision, actual)

    return _decode(call, read, written_path=path).unwrap_or_else(lambda failure: failure)
