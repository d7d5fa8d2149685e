"""Takes the positions that a store states only if the store confirms them."""

import asyncio

from result import Err, Ok, Result

from egretrail.store._errors import HistoryLost, PlatformFailure, StoreUnavailable
from egretrail.store._store import Entry, Snapshot, Store, WatchEvents

#: A position that is further ahead than this is confirmed by another call. At a thousand changes a
#: second, a watch of 8 s stays below it.
_JUMP_MAX = 10_000
_CONFIRM_WAIT_S = 0.001
#: A stale read may be seconds old. One that states an earlier position than has been known for this
#: long proves nothing, but a call that does is worth its cost.
_STALE_S = 2.0


def needs_confirmation(known: int, stated: int) -> bool:
    """Return whether a stated position is too far from the known one to be taken at once."""
    return stated - known > _JUMP_MAX


class ConfirmedStore(Store):
    """A store whose positions are confirmed before anything is done with an answer.

    A reader watches from the last position on. One answer with a position that the store has not
    reached would hide all later changes from it, and from all instances that learn the position.
    The answers to watches are linearizable: one that states an earlier position than the watched
    one shows that this was not the store's.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        #: The last confirmed position; 0 before the first.
        self._known = 0
        #: When it was taken.
        self._known_s = 0.0

    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        """Read one path; None when it does not exist."""
        return await self._store.get(path)

    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        """Write a path if it is at ``expected_revision``; return the new revision."""
        return await self._store.put(path, value, expected_revision, lease_id)

    async def delete(self, path: str, expected_revision: int) -> Result[int, PlatformFailure]:
        """Delete a path if it is at ``expected_revision``; return the revision of the deletion."""
        return await self._store.delete(path, expected_revision)

    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        """Grant a lease."""
        return await self._store.grant_lease(ttl_s)

    async def renew_lease(self, lease_id: str) -> Result[None, PlatformFailure]:
        """Renew a lease for its full TTL."""
        return await self._store.renew_lease(lease_id)

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        """Read all paths under a prefix, at a confirmed position."""
        read = await self._store.snapshot(prefix, stale=stale)
        if isinstance(read, Err):
            return read
        stated = read.ok_value.revision
        if stale and stated < self._known and self._now_s() - self._known_s > _STALE_S:
            watched = await self.watch(prefix, self._known, _CONFIRM_WAIT_S)
            return read if isinstance(watched, Ok) else watched
        failure = await self._confirm(prefix, stated)
        return read if failure is None else Err(failure)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        """Wait for changes under a prefix after a revision, up to a confirmed position."""
        watched = await self._store.watch(prefix, after_revision, wait_s)
        if isinstance(watched, Err):
            return watched
        if watched.ok_value.revision < after_revision:
            self._known = 0
            return Err(HistoryLost(prefix, after_revision, is_refuted=True))
        failure = await self._confirm(prefix, watched.ok_value.revision)
        return watched if failure is None else Err(failure)

    async def _confirm(self, prefix: str, stated: int) -> PlatformFailure | None:
        """Take a stated position, after a call that confirms it if need be."""
        if needs_confirmation(self._known, stated):
            confirmed = await self._store.watch(prefix, stated, _CONFIRM_WAIT_S)
            if not isinstance(confirmed, Ok) or confirmed.ok_value.revision < stated:
                return StoreUnavailable(prefix, f"the store does not confirm revision {stated}")
        if stated > self._known:
            self._known, self._known_s = stated, self._now_s()
        return None

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
