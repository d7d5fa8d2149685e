"""An in-memory store with outages, delays and writes whose reply is lost."""

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import replace

from result import Err, Ok, Result

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


class FakeStore(Store):
    """An in-memory implementation of the platform's store; clients may share an instance."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.history: list[Entry] = []
        #: The revision after which ``history`` is complete.
        self._history_since = 0
        #: Number of calls by kind; a watch that waits counts once.
        self.calls: Counter[str] = Counter()
        #: Number of reads and writes of single paths, by the path's first segment.
        self.path_calls: Counter[str] = Counter()
        #: While set, the store is unavailable: every call fails without effect.
        self.out = False
        #: Delay of each call, in seconds.
        self.delay_s = 0.0
        #: Number of following writes that take effect but whose reply is lost.
        self.lose_replies = 0
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_of: dict[str, str] = {}
        self._changed = asyncio.Event()

    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        """Read one path; None if it does not exist."""
        self.path_calls[path.partition("/")[0]] += 1
        if not await self._begin_call("get"):
            return Err(StoreUnavailable(f"get {path}", "outage"))
        return Ok(self.entries.get(path))

    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        """Write a path if it is at ``expected_revision`` (0: absent); return its new revision."""
        result = await self._write("put", path, value, expected_revision)
        if lease_id is not None:
            self._lease_of[path] = lease_id
        return result

    async def delete(self, path: str, expected_revision: int) -> Result[int, PlatformFailure]:
        """Delete a path if it is at ``expected_revision``; return the revision of the deletion."""
        return await self._write("delete", path, None, expected_revision)

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        """Read all paths under a prefix."""
        if not await self._begin_call("stale snapshot" if stale else "snapshot"):
            return Err(StoreUnavailable(f"snapshot {prefix}", "outage"))
        entries = [e for path, e in sorted(self.entries.items()) if path.startswith(prefix)]
        return Ok(Snapshot(entries, self.revision))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        """Wait for changes under a prefix after a revision, for at most ``wait_s``."""
        if not await self._begin_call("watch"):
            return Err(StoreUnavailable(f"watch {prefix}", "outage"))
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            if self.out:
                return Err(StoreUnavailable(f"watch {prefix}", "outage"))
            in_other_era = revision_era(after_revision) != revision_era(self.revision)
            if in_other_era or after_revision < self._history_since:
                return Err(HistoryLost(prefix, after_revision))
            events = [
                entry
                for entry in self.history
                if entry.revision > after_revision and entry.path.startswith(prefix)
            ]
            remaining_s = deadline_s - loop.time()
            # A remaining time below the clock's resolution would never elapse.
            if events or remaining_s <= 1e-6:
                return Ok(WatchEvents(events, self.revision))
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        """Open a lease. Paths written under it are deleted when it expires without renewal."""
        if not await self._begin_call("lease"):
            return Err(StoreUnavailable("lease", "outage"))
        lease_id = f"lease-{len(self._leases) + 1}"
        self._leases[lease_id] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
        return Ok(lease_id)

    async def renew_lease(self, lease_id: str) -> Result[None, PlatformFailure]:
        """Renew a lease for its full time."""
        if not await self._begin_call("renew"):
            return Err(StoreUnavailable("renew", "outage"))
        if lease_id not in self._leases:
            return Err(StoreRefused("renew", 404))
        ttl_s, _ = self._leases[lease_id]
        self._leases[lease_id] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
        return Ok(None)

    def restore(self, entries: Mapping[str, Entry], revision: int) -> None:
        """Restore a backup that was taken at a revision, in a new era; waiting watches fail."""
        era = revision_era(self.revision) + 1
        self.revision = store_revision(era, revision_number(revision))
        self.entries = {
            path: replace(entry, revision=store_revision(era, revision_number(entry.revision)))
            for path, entry in entries.items()
        }
        self.history = []
        self._leases.clear()
        self._notify()

    def discard_history(self) -> None:
        """Discard the changes up to now; only watches of later changes succeed."""
        self.history = []
        self._history_since = self.revision

    def set_out(self, out: bool) -> None:
        """Begin or end an outage; waiting watches fail at once."""
        self.out = out
        self._notify()

    async def _begin_call(self, kind: str) -> bool:
        self.calls[kind] += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        self._expire_leases()
        return not self.out

    def _expire_leases(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for lease_id, (_, until_s) in list(self._leases.items()):
            if until_s < now_s:
                del self._leases[lease_id]
                for path, owner in list(self._lease_of.items()):
                    if owner == lease_id and path in self.entries:
                        self._apply(path, None)

    async def _write(
        self, kind: str, path: str, value: str | None, expected_revision: int
    ) -> Result[int, PlatformFailure]:
        self.path_calls[path.partition("/")[0]] += 1
        if not await self._begin_call(kind):
            return Err(StoreUnavailable(f"{kind} {path}", "outage"))
        current = self.entries[path].revision if path in self.entries else 0
        if current != expected_revision:
            return Err(RevisionConflict(path, expected_revision, current))
        self._apply(path, value)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return Err(WriteUnknown(path, "the reply was lost"))
        return Ok(self.revision)

    def _apply(self, path: str, value: str | None) -> None:
        self.revision += 1
        entry = Entry(path, value, self.revision)
        self.history.append(entry)
        if value is None:
            self.entries.pop(path, None)
        else:
            self.entries[path] = entry
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
