"""The order in which waiting requests are given to upstreams."""

import abc
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

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

    def _removed(self, entry: Entry) -> None:
        """Note that a request waits no longer."""

    def started(self, entry: Entry) -> None:
        """Note that a waiting request is about to start; ``remove`` follows."""

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


_FlowKey = TypeVar("_FlowKey", bound=Hashable)

#: Flows whose past service is remembered. A flow that is forgotten starts level with the others,
#: so the number only bounds memory.
_MOST_FLOWS = 1024


class _FairTurns(Generic[_FlowKey]):
    """Whose turn it is: the active flow that has been served least, by expected duration."""

    def __init__(self) -> None:
        self._served_s: dict[_FlowKey, float] = {}
        self._active: dict[_FlowKey, int] = {}
        self._heap: list[tuple[float, int, _FlowKey]] = []
        self._serial = itertools.count()
        self._level_s = 0.0

    def activate(self, key: _FlowKey) -> None:
        """Add a flow that has something waiting; its idle time earns it no credit."""
        self._served_s[key] = max(self._served_s.get(key, 0.0), self._level_s)
        self._queue(key)

    def deactivate(self, key: _FlowKey) -> None:
        """Take out a flow that has nothing waiting."""
        del self._active[key]
        if len(self._served_s) > _MOST_FLOWS:
            level_s = self._level_s
            self._served_s = {
                each: served_s
                for each, served_s in self._served_s.items()
                if served_s > level_s or each in self._active
            }

    def charge(self, key: _FlowKey, cost_s: float) -> None:
        """Count service of an active flow."""
        self._served_s[key] += cost_s
        self._queue(key)

    def first(self) -> _FlowKey | None:
        """Return the flow whose turn it is."""
        while self._heap:
            served_s, serial, key = self._heap[0]
            if self._active.get(key) == serial:
                self._level_s = max(self._level_s, served_s)
                return key
            heapq.heappop(self._heap)
        return None

    def _queue(self, key: _FlowKey) -> None:
        serial = next(self._serial)
        self._active[key] = serial
        heapq.heappush(self._heap, (self._served_s[key], serial, key))


class _Team:
    """What one team has waiting."""

    __slots__ = ("callers", "queues")

    def __init__(self) -> None:
        self.callers: _FairTurns[CallerId] = _FairTurns()
        self.queues: dict[CallerId, QueueOrder] = {}


class FairQueueing(QueueOrder):
    """Fair queueing between teams, and between the callers of a team.

    Load: one caller's burst before the requests of many others. Harm prevented: the others wait
    behind the whole burst. A caller's requests start by their latest start; between callers the
    expected duration counts, so that long requests use up a share sooner.
    """

    def __init__(self, within: Callable[[], QueueOrder] = EarliestDeadline) -> None:
        super().__init__()
        self._within = within
        self._turns: _FairTurns[TeamName] = _FairTurns()
        self._teams: dict[TeamName, _Team] = {}

    def _insert(self, entry: Entry) -> None:
        name, caller = entry.work.team, entry.work.caller
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _Team()
        if not team.queues:
            self._turns.activate(name)
        queue = team.queues.get(caller)
        if queue is None:
            queue = team.queues[caller] = self._within()
            team.callers.activate(caller)
        queue.push(entry)

    def _removed(self, entry: Entry) -> None:
        name, caller = entry.work.team, entry.work.caller
        team = self._teams[name]
        queue = team.queues[caller]
        queue.remove(entry)
        if len(queue):
            return
        del team.queues[caller]
        team.callers.deactivate(caller)
        if not team.queues:
            self._turns.deactivate(name)

    def started(self, entry: Entry) -> None:
        """Count the request as service of its caller and team."""
        self._turns.charge(entry.work.team, entry.cost_s)
        self._teams[entry.work.team].callers.charge(entry.work.caller, entry.cost_s)

    def peek(self, now_s: float) -> Entry | None:
        """Return the first request of the caller whose turn it is."""
        name = self._turns.first()
        if name is None:
            return None
        team = self._teams[name]
        caller = team.callers.first()
        return team.queues[caller].peek(now_s) if caller is not None else None

    def cost_ahead_s(self, entry: Entry) -> float:
        """Return what starts earlier: of each caller at most as much as this one has waiting."""
        team = self._teams.get(entry.work.team)
        if team is None:
            return min(self.total_s, entry.cost_s * len(self._teams))
        own = team.queues.get(entry.work.caller)
        own_s = own.cost_ahead_s(entry) if own is not None else 0.0
        level_s = own_s + entry.cost_s
        in_team_s = own_s + sum(
            min(queue.total_s, level_s)
            for caller, queue in team.queues.items()
            if caller != entry.work.caller
        )
        others_s = sum(
            min(sum(queue.total_s for queue in each.queues.values()), in_team_s + entry.cost_s)
            for name, each in self._teams.items()
            if name != entry.work.team and each.queues
        )
        return in_team_s + others_s
