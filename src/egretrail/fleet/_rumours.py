"""Queue of the rumours to piggyback on the next messages."""

import heapq
import itertools
from collections.abc import Sequence

from egretrail.fleet._messages import Rumour
from egretrail.identity import InstanceName


class RumourQueue:
    """Rumours to retransmit, at most one for each instance, least often sent first.

    The loss of a whole rack or availability zone produces hundreds of rumours. Each message carries
    a bounded number of them, and each rumour is dropped after a bounded number of transmissions. A
    mass failure therefore delays rumours but does not increase the traffic of an instance. The
    comparison of tables repairs what was missed.
    """

    def __init__(self) -> None:
        self._queued: dict[InstanceName, Rumour] = {}
        self._sent: dict[InstanceName, int] = {}
        self._order = itertools.count()
        self._arrival: dict[InstanceName, int] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, rumour: Rumour) -> None:
        """Queue a rumour; it replaces an earlier one of the same instance."""
        self._queued[rumour.instance] = rumour
        self._sent[rumour.instance] = 0
        self._arrival[rumour.instance] = next(self._order)

    def next_batch(self, limit: int, retransmissions: int) -> Sequence[Rumour]:
        """Return the rumours for one message, and count one more transmission of each."""
        chosen = heapq.nsmallest(limit, self._queued, key=self._rank)
        rumours = [self._queued[name] for name in chosen]
        for name in chosen:
            self._sent[name] += 1
            if self._sent[name] >= retransmissions:
                self._drop(name)
        return rumours

    def _rank(self, name: InstanceName) -> tuple[int, int]:
        return (self._sent[name], -self._arrival[name])

    def _drop(self, name: InstanceName) -> None:
        del self._queued[name]
        del self._sent[name]
        del self._arrival[name]
