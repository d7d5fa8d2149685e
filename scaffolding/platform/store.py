"""A stand-in for the platform's store, implemented from its published protocol."""

import asyncio
import base64
import enum
import json
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from scaffolding.platform.nonsense import NonsenseReply, nonsense_reply


class StoreMode(enum.Enum):
    """How the store responds to some or all callers."""

    SERVING = "serving"
    #: Every call is rejected with 503.
    UNAVAILABLE = "busy"
    #: Calls get no response.
    UNRESPONSIVE = "silent"
    #: Writes are applied, but get no response.
    LOSING_REPLIES = "losing replies"
    #: The connection of every call is reset.
    RESETTING = "resetting"
    #: Watches are cut while they wait.
    CUTTING_WATCHES = "cutting watches"
    #: Watches after an earlier revision than the current one get 410.
    FORGETFUL = "forgetful"
    #: Replies are nonsense.
    TALKING_NONSENSE = "talking nonsense"


#: The longest time until a waiting watch is cut.
_CUT_WITHIN_S = 0.5


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
    #: Modes that apply to a share of the calls; a call gets the first one that is drawn for it.
    mode_shares: Mapping[StoreMode, float] = field(default_factory=dict)
    #: The shortest and the longest time by which responses are delayed, in seconds.
    delay_s: tuple[float, float] = (0.0, 0.0)
    #: The replies of a store that talks nonsense.
    nonsense: Sequence[NonsenseReply] = tuple(NonsenseReply)
    #: Draws the modes of calls, their delays and their nonsense.
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    #: The most items of a page; the platform's store returns about 500.
    page_items: int = 20
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
        if self.delay_s[1]:
            await asyncio.sleep(self.rng.uniform(*self.delay_s))
        response.headers.setdefault("Store-Era", str(self.era))
        return response

    def _mode(self, request: web.Request) -> StoreMode:
        drawn = (mode for mode, share in self.mode_shares.items() if self.rng.random() < share)
        mode = next(drawn, self.mode)
        return self.mode_overrides.get(request.host.partition(":")[0], mode)

    async def _apply_mode(self, request: web.Request, handler: Any) -> web.StreamResponse:
        mode = self._mode(request)
        is_watch = request.path.endswith("-watch")
        match mode:
            case StoreMode.UNAVAILABLE:
                return web.Response(status=503)
            case StoreMode.UNRESPONSIVE:
                await asyncio.sleep(3600)
            case StoreMode.RESETTING:
                return _reset(request)
            case StoreMode.FORGETFUL if is_watch:
                if int(request.query["after"]) < self.revision or self.rng.random() < 0.5:
                    return web.json_response({}, status=410)
            case StoreMode.CUTTING_WATCHES if is_watch:
                try:
                    async with asyncio.timeout(self.rng.uniform(0, _CUT_WITHIN_S)):
                        return await handler(request)  # type: ignore[no-any-return]
                except TimeoutError:
                    return _reset(request)
        response: web.Response = await handler(request)
        # The mode may have changed while a watch waited, which then fails as well.
        match self.mode_overrides.get(request.host.partition(":")[0], self.mode):
            case StoreMode.UNAVAILABLE:
                return web.Response(status=503)
            case StoreMode.UNRESPONSIVE:
                await asyncio.sleep(3600)
            case StoreMode.RESETTING:
                return _reset(request)
        if mode is StoreMode.LOSING_REPLIES and request.method == "POST":
            await asyncio.sleep(3600)
        if mode is StoreMode.TALKING_NONSENSE:
            return self._nonsense(response)
        return response

    def _nonsense(self, response: web.Response) -> web.StreamResponse:
        kind = self.rng.choice(self.nonsense)
        document = json.loads(response.text or "{}")
        status, body, headers = nonsense_reply(kind, document, self.era, self.rng)
        return web.Response(status=status, body=body, headers=headers)

    async def _key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        item = self._items.get(key)
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**_row(key, item), "currentRev": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [_row(key, self._items[key]) for key in keys[: self.page_items]]
        document = {
            "items": page,
            "hasMore": len(keys) > self.page_items,
            "currentRev": self.revision,
        }
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


def _reset(request: web.Request) -> web.Response:
    """Reset the connection of a call; the response that is returned reaches nobody."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _row(key: str, item: _Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "createdAt": item.created,
        "lease": 0,
    }
