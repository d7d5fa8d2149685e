"""The key-value store: compare-and-swap, leases and long-poll watches."""

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from result import Result

from egretrail.store._errors import PlatformFailure


@dataclass(frozen=True, slots=True)
class Entry:
    """One path of the store. Watches report a deletion as an entry with ``value`` None."""

    #: The path, without a leading slash.
    path: str
    #: The value; None when the path is deleted.
    value: str | None
    #: The store-wide revision of the last write to the path.
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All paths under a prefix at one revision."""

    #: The existing paths, sorted.
    entries: Sequence[Entry]
    #: The store-wide revision of the snapshot.
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvents:
    """The changes under a prefix after a revision; empty when the watch timed out."""

    #: The changes in revision order.
    entries: Sequence[Entry]
    #: The revision to continue watching from.
    revision: int


class Store(abc.ABC):
    """The platform's store. The platform counts every call; a pending watch counts as one."""

    #: Number of calls sent so far.
    calls_total: int = 0

    def close(self) -> None:
        """Close idle connections and keep none alive; calls in flight are not cancelled."""

    @abc.abstractmethod
    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        """Read one path; None when it does not exist."""

    @abc.abstractmethod
    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        """Write a path if it is at ``expected_revision`` (0: absent); return the new revision."""

    @abc.abstractmethod
    async def delete(self, path: str, expected_revision: int) -> Result[int, PlatformFailure]:
        """Delete a path if it is at ``expected_revision``; return the revision of the deletion."""

    @abc.abstractmethod
    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        """Read all paths under a prefix; a stale read is cheaper and may be seconds out of date."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        """Wait for changes under a prefix after a revision, for at most ``wait_s``."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        """Grant a lease: paths written with it are deleted if it is not renewed in ``ttl_s``."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> Result[None, PlatformFailure]:
        """Renew a lease for its full TTL."""
