"""Queue disciplines: the order in which waiting requests start."""

import abc
import heapq
import itertools
from collections import deque
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from egretrail.identity import CallerId, TeamName
from egretrail.service._entry import Entry


class QueueOrder(abc.ABC):
    """A queue of waiting requests, ordered by a queue discipline."""

    def __init__(self) -> None:
        #: Sum of the expected durations of the waiting requests.
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
        """Remove a request from any position."""
        self._waiting.remove(entry)
        self.total_s = self.total_s - entry.cost_s if self._waiting else 0.0
        self._removed(entry)

    @abc.abstractmethod
    def peek(self, now_s: float) -> Entry | None:
        """Return the request that starts next, None if the queue is empty."""

    @abc.abstractmethod
    def _insert(self, entry: Entry) -> None:
        """Insert a request at its position in the order."""

    def _removed(self, entry: Entry) -> None:
        """Update the order after the removal of a request."""

    def record_start(self, entry: Entry) -> None:
        """Record that a waiting request is about to start; a call of ``remove`` follows."""

    def cost_ahead_s(self, entry: Entry) -> float:
        """Return the total expected duration of requests ahead of this one if it arrived now."""
        return self.total_s


class Fifo(QueueOrder):
    """First in, first out."""

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
    """Starts the request with the earliest latest start first."""

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Entry]] = []
        self._serial = itertools.count()

    def _insert(self, entry: Entry) -> None:
        heapq.heappush(self._heap, (entry.latest_start_s, next(self._serial), entry))

    def peek(self, now_s: float) -> Entry | None:
        """Return the request with the earliest latest start."""
        while self._heap and self._heap[0][2] not in self._waiting:
            heapq.heappop(self._heap)
        return self._heap[0][2] if self._heap else None

    def cost_ahead_s(self, entry: Entry) -> float:
        """Return the total expected duration of the requests whose latest start is not later."""
        limit_s = entry.latest_start_s
        return sum(each.cost_s for each in self._waiting if each.latest_start_s <= limit_s)


_FlowKey = TypeVar("_FlowKey", bound=Hashable)

#: Number of flows above which the records of idle flows that are behind the virtual time are
#: dropped. A dropped flow restarts at the virtual time, so the number only bounds memory.
_MAX_FLOWS = 1024


class _FlowScheduler(Generic[_FlowKey]):
    """Selects the active flow that has received the least service, by expected duration."""

    def __init__(self) -> None:
        self._served_s: dict[_FlowKey, float] = {}
        self._active: dict[_FlowKey, int] = {}
        self._heap: list[tuple[float, int, _FlowKey]] = []
        self._serial = itertools.count()
        self._virtual_time_s = 0.0

    def activate(self, key: _FlowKey) -> None:
        """Add a flow that has waiting requests; it gets no credit for the time it was idle."""
        self._served_s[key] = max(self._served_s.get(key, 0.0), self._virtual_time_s)
        self._enqueue(key)

    def deactivate(self, key: _FlowKey) -> None:
        """Remove a flow that has no waiting requests."""
        del self._active[key]
        if len(self._served_s) > _MAX_FLOWS:
            level_s = self._virtual_time_s
            self._served_s = {
                each: served_s
                for each, served_s in self._served_s.items()
                if served_s > level_s or each in self._active
            }

    def record_service(self, key: _FlowKey, cost_s: float) -> None:
        """Add the cost of a started request to the service that an active flow has received."""
        self._served_s[key] += cost_s
        self._enqueue(key)

    def least_served(self) -> _FlowKey | None:
        """Return the active flow with the least service, None if no flow is active."""
        while self._heap:
            served_s, serial, key = self._heap[0]
            if self._active.get(key) == serial:
                self._virtual_time_s = max(self._virtual_time_s, served_s)
                return key
            heapq.heappop(self._heap)
        return None

    def _enqueue(self, key: _FlowKey) -> None:
        serial = next(self._serial)
        self._active[key] = serial
        heapq.heappush(self._heap, (self._served_s[key], serial, key))


class _Team:
    """Waiting requests of one team."""

    __slots__ = ("client_flows", "queues")

    def __init__(self) -> None:
        self.client_flows: _FlowScheduler[CallerId] = _FlowScheduler()
        self.queues: dict[CallerId, QueueOrder] = {}


class FairQueueing(QueueOrder):
    """Fair queueing between teams, and between the clients of a team.

    Without it, the requests of all other clients would wait behind the whole burst of one client.
    The requests of one client start in the order given by ``within``, by default earliest latest
    start first. Between clients the service received is measured in expected duration, so long
    requests use up a share sooner.
    """

    def __init__(self, within: Callable[[], QueueOrder] = EarliestDeadline) -> None:
        super().__init__()
        self._within = within
        self._team_flows: _FlowScheduler[TeamName] = _FlowScheduler()
        self._teams: dict[TeamName, _Team] = {}

    def _insert(self, entry: Entry) -> None:
        name, caller = entry.work.team, entry.work.caller
        team = self._teams.get(name)
        if team is None:
            team = self._teams[name] = _Team()
        if not team.queues:
            self._team_flows.activate(name)
        queue = team.queues.get(caller)
        if queue is None:
            queue = team.queues[caller] = self._within()
            team.client_flows.activate(caller)
        queue.push(entry)

    def _removed(self, entry: Entry) -> None:
        name, caller = entry.work.team, entry.work.caller
        team = self._teams[name]
        queue = team.queues[caller]
        queue.remove(entry)
        if len(queue):
            return
        del team.queues[caller]
        team.client_flows.deactivate(caller)
        if not team.queues:
            self._team_flows.deactivate(name)

    def record_start(self, entry: Entry) -> None:
        """Record the cost of the request as service received by its client and team."""
        self._team_flows.record_service(entry.work.team, entry.cost_s)
        self._teams[entry.work.team].client_flows.record_service(entry.work.caller, entry.cost_s)

    def peek(self, now_s: float) -> Entry | None:
        """Return the first request of the least served client of the least served team."""
        name = self._team_flows.least_served()
        if name is None:
            return None
        team = self._teams[name]
        caller = team.client_flows.least_served()
        return team.queues[caller].peek(now_s) if caller is not None else None

    def cost_ahead_s(self, entry: Entry) -> float:
        """Return the total expected duration of the requests that start earlier.

        Each other client or team counts with at most the amount that this one has waiting.
        """
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
