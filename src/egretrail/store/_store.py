"""The key-value store: compare-and-swap, leases and long-poll watches."""

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from result import Result

from egretrail.store._errors import PlatformFailure


@dataclass(frozen=True, slots=True)
class Entry:
    """One path of the store. A deleted path appears in watches with ``value`` None."""

    #: The path, without a leading slash.
    path: str
    #: The value; None once the path is deleted.
    value: str | None
    #: The store-wide revision of the write that left the path as it is.
    revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All paths under a prefix at one revision."""

    #: The paths that exist, in order.
    entries: Sequence[Entry]
    #: The store-wide revision that the snapshot shows.
    revision: int


@dataclass(frozen=True, slots=True)
class WatchEvents:
    """The changes under a prefix after a revision; none when the waiting time passed."""

    #: The changes in revision order.
    entries: Sequence[Entry]
    #: Watch again after this revision.
    revision: int


class Store(abc.ABC):
    """The platform's store. Every call is counted by the platform, a waiting watch as one."""

    #: Calls that were sent so far.
    calls_total: int = 0

    def close(self) -> None:
        """Keep no connections any more; calls under way end as they would."""

    @abc.abstractmethod
    async def get(self, path: str) -> Result[Entry | None, PlatformFailure]:
        """Read one path; None when it does not exist."""

    @abc.abstractmethod
    async def put(
        self, path: str, value: str, expected_revision: int, lease_id: str | None = None
    ) -> Result[int, PlatformFailure]:
        """Write a path if it is at ``expected_revision`` (0: absent); return its new revision."""

    @abc.abstractmethod
    async def delete(self, path: str, expected_revision: int) -> Result[int, PlatformFailure]:
        """Delete a path if it is at ``expected_revision``; return the revision of the deletion."""

    @abc.abstractmethod
    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        """Read all paths under a prefix; a stale read is cheaper and may be seconds old."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        """Wait for changes under a prefix after a revision, for at most ``wait_s``."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: float) -> Result[str, PlatformFailure]:
        """Open a lease: paths written under it are deleted when it is not renewed in time."""

    @abc.abstractmethod
    async def renew_lease(self, lease_id: str) -> Result[None, PlatformFailure]:
        """Renew a lease for its full time."""
