"""Caches the key prefixes of other homes for the directory's resolve responses."""

import asyncio
from collections import OrderedDict

from result import Ok

from egretrail.idempotency import FetchPrefix, PrefixReply
from egretrail.identity import Incarnation
from egretrail.peer import PeerNetwork

#: A prefix older than this is refreshed in the background.
_FRESH_S = 5.0
#: A prefix older than this is not issued: clients cache the response, and by the time they use the
#: prefix its generation may accept no more keys.
_STALE_S = 30.0
_TIMEOUT_S = 0.5
#: Most homes in the cache. An instance caches the homes of the services that clients resolve there.
#: Without a limit, memory would grow with every restart in the fleet.
_CACHED_HOMES_LIMIT = 4096


class KeyPrefixes:
    """Cache of the prefixes that other homes issue."""

    def __init__(self, network: PeerNetwork) -> None:
        self._network = network
        self._cache: OrderedDict[Incarnation, tuple[str, float]] = OrderedDict()
        self._fetches: dict[Incarnation, asyncio.Task[str | None]] = {}

    def cached(self, home: Incarnation) -> str | None:
        """Return a home's cached prefix or None; start a refresh if it is not fresh."""
        now_s = asyncio.get_running_loop().time()
        prefix, fetched_s = self._cache.get(home, ("", -_STALE_S))
        if now_s - fetched_s >= _FRESH_S:
            self._start_fetch(home)
        return prefix if now_s - fetched_s < _STALE_S else None

    async def fetch(self, home: Incarnation) -> str | None:
        """Return a home's prefix, asking the home if it is not cached; None when it has none."""
        return self.cached(home) or await asyncio.shield(self._start_fetch(home))

    async def stop(self) -> None:
        """Cancel all pending fetches."""
        tasks = list(self._fetches.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_fetch(self, home: Incarnation) -> asyncio.Task[str | None]:
        """Fetch a home's prefix; concurrent callers share one fetch."""
        task = self._fetches.get(home)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._fetch_prefix(home))
            self._fetches[home] = task
            task.add_done_callback(lambda _done: self._fetches.pop(home, None))
        return task

    async def _fetch_prefix(self, home: Incarnation) -> str | None:
        reply = await self._network.ask(home.instance, FetchPrefix(), PrefixReply, _TIMEOUT_S)
        prefix = reply.ok_value.prefix if isinstance(reply, Ok) else None
        self._cache.pop(home, None)
        if prefix is not None:
            self._cache[home] = (prefix, asyncio.get_running_loop().time())
            while len(self._cache) > _CACHED_HOMES_LIMIT:
                self._cache.popitem(last=False)
        return prefix
