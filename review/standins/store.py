"""A stand-in for the platform's key-value store."""

import asyncio
import base64
import itertools
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote, urlsplit

from standins.messages import Message, encode, read_message

_ANSWER_S = 0.004
_PAGE_ITEMS = 500


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Linearizable keys with one revision counter, watches and leases; it is never impaired."""

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, _Item] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._leases: dict[int, tuple[float, asyncio.TimerHandle]] = {}
        self._lease_ids = itertools.count(77_000)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        #: Calls by peer address, for the record.
        self.calls: dict[str, int] = {}

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=256)

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def write(self, key: str, document: object) -> int:
        """Write a key as the operator and the backends do; return the revision."""
        return self._put(key, json.dumps(document, separators=(",", ":")).encode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"key": key, "revision": self.revision, "removed": True})

    def _put(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        before = self._items.get(key)
        created = before.created if before else self.revision
        self._items[key] = _Item(value, self.revision, created, lease)
        self._publish(self._row(key))
        return self.revision

    def _publish(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, key: str) -> dict[str, object]:
        item = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "createdAt": item.created,
            "lease": item.lease,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        peer = writer.get_extra_info("peername")[0]
        try:
            while (request := await read_message(reader)) is not None:
                self.calls[peer] = self.calls.get(peer, 0) + 1
                await asyncio.sleep(_ANSWER_S)
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "0"}
                writer.write(encode(f"HTTP/1.1 {status} Status", headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(self, request: Message) -> tuple[int, object]:
        method, target, _ = request.start
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        path = unquote(url.path)
        if method == "GET" and path == "/api/kv-key":
            if query["key"] not in self._items:
                return 404, {}
            return 200, {**self._row(query["key"]), "currentRev": self.revision}
        if method == "GET" and path == "/api/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if method == "GET" and path == "/api/kv-watch":
            wait_s = min(int(query["waitMs"]), 30_000) / 1000
            return 200, await self._watch(query["prefix"], int(query["after"]), wait_s)
        if method == "POST" and path == "/api/kv-txn":
            return self._transact(json.loads(request.body))
        if method == "POST" and path == "/api/kv-lease":
            return 200, self._grant(json.loads(request.body)["ttl_time"])
        if method == "POST" and path.startswith("/api/kv-keep/"):
            return self._renew(int(path.rpartition("/")[2]))
        if method == "DELETE" and path.startswith("/api/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, {}

    def _range(self, prefix: str, after: str) -> object:
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        rows = [self._row(key) for key in keys[:_PAGE_ITEMS]]
        return {"items": rows, "hasMore": len(keys) > _PAGE_ITEMS, "currentRev": self.revision}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> object:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while True:
            changed = self._changed
            found = [
                event
                for event in self._events
                if int(str(event["revision"])) > after and str(event["key"]).startswith(prefix)
            ]
            if found or loop.time() >= end_s:
                return {"events": found, "currentRev": self.revision}
            try:
                async with asyncio.timeout_at(end_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _transact(self, change: dict[str, list[dict[str, object]]]) -> tuple[int, object]:
        for row in change["expect"]:
            item = self._items.get(str(row["key"]))
            if row["revision"] != (item.revision if item else 0):
                keys = [str(one["key"]) for one in change["expect"]]
                return 412, {"items": [self._row(key) for key in keys if key in self._items]}
        touched = [str(put["key"]) for put in change["puts"]] + [str(k) for k in change["deletes"]]
        if any(key.startswith(("op/", "servers/")) for key in touched):
            return 403, {}
        for put in change["puts"]:
            lease = int(str(put.get("lease", 0)))
            if lease and lease not in self._leases:
                return 404, {}
            self._put(str(put["key"]), base64.b64decode(str(put["value"])), lease)
        for key in change["deletes"]:
            self.remove(str(key))
        return 200, {"revision": self.revision}

    def _grant(self, ttl: str) -> object:
        lease = next(self._lease_ids)
        ttl_s = float(ttl[:-2]) / 1000 if ttl.endswith("ms") else float(ttl[:-1])
        self._start_lease(lease, ttl_s)
        return {"lease": lease, "ttl_time": ttl}

    def _renew(self, lease: int) -> tuple[int, object]:
        if lease not in self._leases:
            return 404, {}
        ttl_s, timer = self._leases[lease]
        timer.cancel()
        self._start_lease(lease, ttl_s)
        return 200, {"ttl_time": f"{round(ttl_s * 1000)}ms"}

    def _start_lease(self, lease: int, ttl_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._leases[lease] = (ttl_s, loop.call_later(ttl_s, self._end_lease, lease))

    def _end_lease(self, lease: int) -> None:
        if lease in self._leases:
            self._leases.pop(lease)[1].cancel()
            for key in [key for key, item in self._items.items() if item.lease == lease]:
                self.remove(key)
