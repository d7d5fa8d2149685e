"""A stand-in for the platform's store, implemented from its published protocol."""

import asyncio
import base64
import enum
import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web


class StoreMode(enum.Enum):
    """How the store responds to some or all callers."""

    SERVING = "serving"
    #: Every call is rejected with 503.
    UNAVAILABLE = "busy"
    #: Calls get no response.
    UNRESPONSIVE = "silent"
    #: Writes are applied, but get no response.
    LOSING_REPLIES = "losing replies"


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    created: int


@dataclass(frozen=True, slots=True)
class StoreBackup:
    """A backup of all keys of a store."""

    #: Items by key.
    items: dict[str, _Item]
    #: The revision of the last change.
    revision: int


@dataclass(slots=True)
class StandInStore:
    """Keys with one revision counter, watches, and a history that can be discarded."""

    #: The mode for callers without a mode of their own.
    mode: StoreMode = StoreMode.SERVING
    #: Modes of single instances, by the IP on which they reach the store.
    mode_overrides: dict[str, StoreMode] = field(default_factory=dict)
    #: Number of calls by path.
    call_counts: Counter[str] = field(default_factory=Counter)
    #: The revision of the last change.
    revision: int = 10
    #: Incremented with each restore from a backup.
    era: int = 0
    _items: dict[str, _Item] = field(default_factory=dict)
    _events: list[dict[str, Any]] = field(default_factory=list)
    _discarded_revision: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, key: str, document: object) -> None:
        """Write a JSON value, as operators and backends do."""
        self._put(key, json.dumps(document).encode())

    def write_bytes(self, key: str, data: bytes) -> None:
        """Write arbitrary bytes, as a faulty writer may."""
        self._put(key, data)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._events.append(event)
            self._notify_watches()

    def take_backup(self) -> StoreBackup:
        """Return a backup of all keys, for a later restore."""
        return StoreBackup(dict(self._items), self.revision)

    def restore(self, backup: StoreBackup) -> None:
        """Restore a backup; later changes are lost, and their revision numbers are reused."""
        self._items = dict(backup.items)
        self.revision = backup.revision
        self.era += 1
        self.discard_history()

    def discard_history(self) -> None:
        """Discard the history; watches after an earlier revision get 410."""
        self._discarded_revision = self.revision
        self._events.clear()
        self._notify_watches()

    def app(self) -> web.Application:
        """Return the store as a web application."""
        app = web.Application(middlewares=[self._count_call])
        app.add_routes(
            [
                web.get("/api/kv-key", self._key),
                web.get("/api/kv-range", self._range),
                web.get("/api/kv-watch", self._watch),
                web.post("/api/kv-txn", self._transact),
            ]
        )
        return app

    @web.middleware
    async def _count_call(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.call_counts[request.path] += 1
        response = await self._apply_mode(request, handler)
        response.headers["Store-Era"] = str(self.era)
        return response

    async def _apply_mode(self, request: web.Request, handler: Any) -> web.StreamResponse:
        mode = self.mode_overrides.get(request.host.partition(":")[0], self.mode)
        if mode is StoreMode.UNAVAILABLE:
            return web.Response(status=503)
        if mode is StoreMode.UNRESPONSIVE:
            await asyncio.sleep(3600)
        response: web.StreamResponse = await handler(request)
        # The mode may have changed while a watch waited; the watch is then rejected as well.
        mode = self.mode_overrides.get(request.host.partition(":")[0], self.mode)
        if mode is StoreMode.UNAVAILABLE:
            return web.Response(status=503)
        if mode is StoreMode.LOSING_REPLIES and request.method == "POST":
            await asyncio.sleep(3600)
        return response

    async def _key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        item = self._items.get(key)
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**_row(key, item), "currentRev": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [_row(key, self._items[key]) for key in keys[:20]]
        document = {"items": page, "hasMore": len(keys) > 20, "currentRev": self.revision}
        return web.json_response(document)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self._discarded_revision:
                return web.json_response({}, status=410)
            found = [
                event
                for event in self._events
                if event["revision"] > after and str(event["key"]).startswith(prefix)
            ]
            left_s = end_s - loop.time()
            if found or left_s <= 0:
                return web.json_response({"events": found, "currentRev": self.revision})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, request: web.Request) -> web.Response:
        change = await request.json()
        for row in change["expect"]:
            item = self._items.get(row["key"])
            if row["revision"] != (item.revision if item else 0):
                held = [_row(row["key"], item)] if item else []
                return web.json_response({"items": held}, status=412)
        for put in change["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]))
        for key in change["deletes"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    def _put(self, key: str, value: bytes) -> None:
        self.revision += 1
        before = self._items.get(key)
        item = _Item(value, self.revision, before.created if before else self.revision)
        self._items[key] = item
        self._events.append(_row(key, item))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _row(key: str, item: _Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createdAt": item.created,
        "lease": 0,
    }
