"""Fleets whose instances read a simulated store, for tests on a paused clock."""

import asyncio
import json
import os
import random
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import TypeVar

from result import Err, Result

from egretrail.gateway._log import EventLog
from egretrail.gateway._store_sync import StoreSync
from egretrail.gateway.tests.fleet import Fleet
from egretrail.gateway.tests.streams import SimulatedStreams
from egretrail.platform import PlatformLayout
from egretrail.store import (
    Entry,
    PlatformFailure,
    Snapshot,
    Store,
    StoreRefused,
    StoreUnavailable,
    WatchEvents,
)
from egretrail.testing import FakeStore
from scaffolding.platform import StandInBackend
from scaffolding.platform.fleet import config, route

T = TypeVar("T")

#: The time after which a client gives up a call without an answer.
_ANSWER_TIMEOUT_S = 1.0


class _Client(Store):
    """One instance's connection to the shared store."""

    def __init__(self, fleet: "StoreFleet", address: str) -> None:
        self._fleet = fleet
        self._address = address

    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        return await self._call("get", self._fleet.store.get(path))

    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        return await self._call("put", self._fleet.store.put(path, value, expected_revision))

    async def delete(self, path: str, expected_revision: int) -> Result[int, PlatformFailure]:
        return await self._call("delete", self._fleet.store.delete(path, expected_revision))

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        kind = "stale snapshot" if stale else "snapshot"
        return await self._call(kind, self._fleet.store.snapshot(prefix, stale=stale))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        return await self._call("watch", self._fleet.store.watch(prefix, after_revision, wait_s))

    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        return await self._call("lease", self._fleet.store.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: str) -> Result[None, PlatformFailure]:
        return await self._call("renew", self._fleet.store.renew_lease(lease_id))

    async def _call(
        self, kind: str, call: Awaitable[Result[T, PlatformFailure]]
    ) -> Result[T, PlatformFailure]:
        fleet = self._fleet
        task = asyncio.ensure_future(call)
        try:
            while self._address in fleet.network.paused:
                await asyncio.sleep(0.05)
            fleet.calls[kind] += 1
            fleet.callers.add(self._address)
            if self._address in fleet.refused:
                return Err(StoreRefused(kind, 503))
            result = await task
        finally:
            task.cancel()
        # The answer reaches a process only while it runs.
        while self._address in fleet.network.paused:
            await asyncio.sleep(0.05)
        if self._address in fleet.refused:
            return Err(StoreUnavailable(kind, "refused meanwhile"))
        if self._address in fleet.deaf:
            await asyncio.sleep(_ANSWER_TIMEOUT_S)
            return Err(StoreUnavailable(kind, "no answer"))
        return result


class StoreFleet(Fleet):
    """A fleet with a store, whose entries list the upstreams ``u`` and ``v``."""

    def __init__(self, sizes: Sequence[int]) -> None:
        super().__init__(sizes)
        self.store = FakeStore()
        self.layout = PlatformLayout()
        self.streams = SimulatedStreams(self.network)
        #: The instances that the store refuses.
        self.refused: set[str] = set()
        #: The instances that no message and no answer of the store reaches.
        self.deaf: set[str] = set()
        #: Calls by kind, and the instances that made any.
        self.calls: Counter[str] = Counter()
        self.callers: set[str] = set()
        self._sync_tasks: dict[str, asyncio.Task[None]] = {}
        self.configure(1, "s")
        for _ in range(3):
            for name in "uv":
                self.list(name)

    def configure(self, version: int, service: str) -> None:
        """Write a configuration with one route."""
        document = config(version, [route("r", "/r/", service)])
        self.store._apply(self.layout.config_path, json.dumps(document))

    def list(self, name: str, state: str = "ready", address: str = "10.9.0.1:1") -> None:
        """Write an upstream's entry."""
        entry = {**StandInBackend("s", "z0").store_entry(), "address": address, "state": state}
        self.store._apply(self.layout.upstreams_prefix + name, json.dumps(entry))

    def unlist(self, name: str) -> None:
        """Remove an upstream's entry."""
        self.store._apply(self.layout.upstreams_prefix + name, None)

    def start(self, address: str, contacts: Sequence[str]) -> asyncio.Task[None]:
        """Start an instance that knows some addresses and may call the store."""
        task = super().start(address, contacts)
        log = EventLog(address, descriptor=os.open(os.devnull, os.O_WRONLY))
        sync = StoreSync(
            self.settings(address),
            self.views[address],
            _Client(self, address),
            self.layout,
            self.links[address],
            log,
            random.Random(f"sync {address}"),
        )
        loop = asyncio.get_running_loop()
        context = self.network.contexts[address]
        self._sync_tasks[address] = loop.create_task(sync.run(), context=context)
        return task

    def kill(self, address: str) -> None:
        """Crash an instance."""
        self._sync_tasks.pop(address).cancel()
        super().kill(address)

    def stop(self) -> None:
        """Stop all instances."""
        super().stop()
        for task in self._sync_tasks.values():
            task.cancel()

    def readers(self) -> Sequence[str]:
        """Return the instances in contact with the store."""
        return [address for address, view in self.views.items() if view.store_contact]

    @asynccontextmanager
    async def running(self, settle_s: float = 5.0) -> AsyncIterator[None]:
        """Start all instances and wait until they are ready; stop them in the end."""
        assert self.streams is not None
        with self.streams.in_place_of_sockets():
            for address in self.addresses:
                self.start(address, self.addresses[-3:])
            await asyncio.sleep(settle_s)
            assert all(view.ready for view in self.views.values())
            try:
                yield
            finally:
                self.stop()

    async def time_until(
        self, is_done: Callable[[str], bool], addresses: Sequence[str], limit_s: float
    ) -> dict[str, float]:
        """Return after how many seconds each instance is done, at most ``limit_s``."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        done_s: dict[str, float] = {}
        while len(done_s) < len(addresses) and loop.time() - began_s < limit_s:
            for address in addresses:
                if address not in done_s and is_done(address):
                    done_s[address] = loop.time() - began_s
            await asyncio.sleep(0.01)
        return {address: done_s.get(address, limit_s) for address in addresses}
