"""Which peers are asked for newer state at a time."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from egretrail.gateway._peer_streams import Pauses

#: Where nothing has arrived for this time, another peer is asked beside the first: a stream that
#: stands still must not keep back what others have. Longer than a peer lets an asker wait.
_OVERTAKE_S = 0.3
_ASKED_MAX = 3


@dataclass(slots=True)
class PeerTurns:
    """One peer is asked at a time, and up to two others where its stream stands still."""

    #: Peers that are left out.
    pauses: Pauses = field(default_factory=Pauses)
    _under_way: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    #: When the first fetch under way began, or something new last arrived.
    _moved_s: float = float("-inf")

    @property
    def is_asking(self) -> bool:
        """Whether any peer has been asked and has not answered."""
        return bool(self._under_way)

    def admits(self, peer: str, now_s: float, *, may_overtake: bool = True) -> bool:
        """Return whether a peer may be asked now."""
        if peer in self._under_way or self.pauses.holds(peer, now_s):
            return False
        if not self._under_way:
            return True
        overtakes = may_overtake and now_s - self._moved_s > _OVERTAKE_S
        return overtakes and len(self._under_way) < _ASKED_MAX

    def begin(self, peer: str, fetch: Coroutine[Any, Any, None], now_s: float) -> None:
        """Ask a peer that was admitted."""
        if not self._under_way:
            self._moved_s = now_s
        task = self._under_way[peer] = asyncio.get_running_loop().create_task(fetch)
        task.add_done_callback(lambda _: self._under_way.pop(peer))

    def moved(self, now_s: float) -> None:
        """Take that something new arrived."""
        self._moved_s = now_s

    def stop(self, *, but: asyncio.Task[Any] | None = None) -> None:
        """End what is under way."""
        for task in list(self._under_way.values()):
            if task is not but:
                task.cancel()
