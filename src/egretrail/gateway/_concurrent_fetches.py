"""Limits the number of peers from which newer state is fetched concurrently."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from egretrail.gateway._peer_streams import PeerBackoffs

#: If nothing has arrived for this time, another peer is asked as well: a stalled stream must not
#: hold back what other peers have. It is longer than a peer lets a requester wait.
_STALL_S = 0.3
_FETCHES_MAX = 3


@dataclass(slots=True)
class ConcurrentFetches:
    """One fetch at a time, and up to two more while its stream is stalled."""

    #: Peers that failed recently.
    backoffs: PeerBackoffs = field(default_factory=PeerBackoffs)
    _in_progress: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    #: When the first fetch in progress began, or new data last arrived.
    _progress_s: float = float("-inf")

    @property
    def is_asking(self) -> bool:
        """Whether any fetch is in progress."""
        return bool(self._in_progress)

    def may_start(self, peer: str, now_s: float, *, allow_concurrent: bool = True) -> bool:
        """Return whether a fetch from a peer may start now."""
        if peer in self._in_progress or self.backoffs.is_backed_off(peer, now_s):
            return False
        if not self._in_progress:
            return True
        is_stalled = allow_concurrent and now_s - self._progress_s > _STALL_S
        return is_stalled and len(self._in_progress) < _FETCHES_MAX

    def start(self, peer: str, fetch: Coroutine[Any, Any, None], now_s: float) -> None:
        """Start a fetch from a peer that was admitted."""
        if not self._in_progress:
            self._progress_s = now_s
        task = self._in_progress[peer] = asyncio.get_running_loop().create_task(fetch)
        task.add_done_callback(lambda _: self._in_progress.pop(peer))

    def record_progress(self, now_s: float) -> None:
        """Record that new data arrived."""
        self._progress_s = now_s

    def cancel(self, *, keep: asyncio.Task[Any] | None = None) -> None:
        """Cancel all fetches but the one to keep."""
        for task in list(self._in_progress.values()):
            if task is not keep:
                task.cancel()
