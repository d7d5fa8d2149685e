"""The order in which waiting requests are given to upstreams."""

import abc
import heapq
import itertools
from collections import deque

from egretrail.identity import CallerId, TeamName
from egretrail.service._entry import Entry


class QueueOrder(abc.ABC):
    """Waiting requests in the order in which they start."""

    def __init__(self) -> None:
        #: Sum of the expected durations of what waits.
        self.total_s = 0.0
        self._waiting: set[Entry] = set()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, entry: Entry) -> None:
        """Add a request."""
        self._waiting.add(entry)
        self.total_s += entry.cost_s
        self._insert(entry)

    def remove(self, entry: Entry) -> None:
        """Take a request out, wherever it stands."""
        self._waiting.remove(entry)
        self.total_s = self.total_s - entry.cost_s if self._waiting else 0.0
        self._removed(entry)

    @abc.abstractmethod
    def peek(self, now_s: float) -> Entry | None:
        """Return the request that starts next."""

    @abc.abstractmethod
    def _insert(self, entry: Entry) -> None:
        """Put a request where it belongs."""

    def _removed(self, entry: Entry) -> None:  # noqa: B027 - only some orders keep more
        """Note that a request waits no longer."""

    def cost_ahead_s(self, entry: Entry) -> float:
        """Return the expected duration of what would start before this request if it came now."""
        return self.total_s


class Fifo(QueueOrder):
    """First come, first served."""

    def __init__(self) -> None:
        super().__init__()
        self._queue: deque[Entry] = deque()

    def _insert(self, entry: Entry) -> None:
        self._queue.append(entry)

    def peek(self, now_s: float) -> Entry | None:
        """Return the oldest request."""
        while self._queue and self._queue[0] not in self._waiting:
            self._queue.popleft()
        return self._queue[0] if self._queue else None


class EarliestDeadline(QueueOrder):
    """The request whose latest start comes first."""

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Entry]] = []
        self._serial = itertools.count()

    def _insert(self, entry: Entry) -> None:
        heapq.heappush(self._heap, (entry.latest_start_s, next(self._serial), entry))

    def peek(self, now_s: float) -> Entry | None:
        """Return the request whose latest start comes first."""
        while self._heap and self._heap[0][2] not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def cost_ahead_s(self, entry: Entry) -> float:
        """Return the expected duration of the requests with an earlier latest start."""
        limit_s = entry.latest_start_s
        return sum(each.cost_s for each in self._waiting if each.latest_start_s <= limit_s)


class _Flow:
    """What one caller of one team has waiting."""

    __slots__ = ("finish_s", "waiting", "waiting_s")

    def __init__(self) -> None:
        self.finish_s = 0.0
        self.waiting_s = 0.0
        self.waiting = 0


_FlowKey = tuple[TeamName, CallerId]


class FairQueueing(QueueOrder):
    """Start-time fair queueing between teams, and between the callers of a team.

    Load: one caller's burst before the requests of many others. Harm prevented: the others wait
    behind the whole burst. A caller's requests start in the order of their arrival; between
    callers the expected duration counts, so that long requests use up a share sooner.
    """

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Entry]] = []
        self._serial = itertools.count()
        self._virtual_s = 0.0
        self._flows: dict[_FlowKey, _Flow] = {}
        self._callers: dict[TeamName, int] = {}

    def _insert(self, entry: Entry) -> None:
        key = (entry.work.team, entry.work.caller)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _Flow()
            self._callers[key[0]] = self._callers.get(key[0], 0) + 1
        start_s = max(self._virtual_s, flow.finish_s)
        # Each active caller of a team has an equal part of the team's share.
        flow.finish_s = start_s + entry.cost_s * self._callers[key[0]]
        flow.waiting_s += entry.cost_s
        flow.waiting += 1
        heapq.heappush(self._heap, (start_s, next(self._serial), entry))

    def _removed(self, entry: Entry) -> None:
        key = (entry.work.team, entry.work.caller)
        flow = self._flows[key]
        flow.waiting -= 1
        flow.waiting_s -= entry.cost_s
        if flow.waiting:
            return
        del self._flows[key]
        self._callers[key[0]] -= 1
        if not self._callers[key[0]]:
            del self._callers[key[0]]

    def peek(self, now_s: float) -> Entry | None:
        """Return the request with the earliest virtual start."""
        while self._heap and self._heap[0][2] not in self._waiting:
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        self._virtual_s = max(self._virtual_s, self._heap[0][0])
        return self._heap[0][2]

    def cost_ahead_s(self, entry: Entry) -> float:
        """Return what starts earlier: of each caller at most as much as this one has waiting."""
        key = (entry.work.team, entry.work.caller)
        own = self._flows.get(key)
        own_s = own.waiting_s if own is not None else 0.0
        level_s = own_s + entry.cost_s
        others = sum(
            min(flow.waiting_s, level_s) for each, flow in self._flows.items() if each != key
        )
        return own_s + others
