"""The waiting requests, in separate queues for short and long ones."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from egretrail.identity import CallerId, TeamName
from egretrail.service._entry import Entry
from egretrail.service._order import QueueOrder

#: Lower bound of the concurrency in wait estimates; keeps them finite while this instance has no
#: free slot.
_MIN_CONCURRENCY = 0.1


class Backlog:
    """Two queues with the same ordering policy, one for short and one for long requests.

    In a mix of a few requests that take seconds and many that take milliseconds, the long ones
    would otherwise fill all slots, and the short ones would miss their deadlines behind them.
    """

    def __init__(self, order: Callable[[], QueueOrder]) -> None:
        self._short = order()
        self._long = order()
        #: Requests that wait for a retry. They start before all others. A retry that finds no other
        #: upstream free does not block the queues. The retry budget bounds their number.
        self._retries: dict[Entry, None] = {}
        self._teams: dict[TeamName, dict[CallerId, dict[Entry, None]]] = {}
        self._expiries: list[tuple[float, int, Entry]] = []
        self._serial = itertools.count()

    def __len__(self) -> int:
        return len(self._short) + len(self._long) + len(self._retries)

    def push(self, entry: Entry) -> None:
        """Add a request."""
        entry.queued = True
        if entry.tried:
            self._retries[entry] = None
        else:
            self._queue_for(entry).push(entry)
            callers = self._teams.setdefault(entry.work.team, {})
            callers.setdefault(entry.work.caller, {})[entry] = None
        heapq.heappush(self._expiries, (entry.latest_start_s, next(self._serial), entry))

    def remove_started(self, entry: Entry) -> None:
        """Remove a request that starts now, and record it as service of its client and team."""
        if not entry.tried:
            self._queue_for(entry).record_start(entry)
        self.remove(entry)

    def remove(self, entry: Entry) -> None:
        """Remove a request."""
        entry.queued = False
        if entry.tried:
            del self._retries[entry]
            return
        self._queue_for(entry).remove(entry)
        callers = self._teams[entry.work.team]
        del callers[entry.work.caller][entry]
        if not callers[entry.work.caller]:
            del callers[entry.work.caller]
        if not callers:
            del self._teams[entry.work.team]

    def waiting_of_client(self, entry: Entry) -> int:
        """Return how many requests of the same client wait."""
        callers = self._teams.get(entry.work.team, {})
        return len(callers.get(entry.work.caller, ()))

    @property
    def short_waiting(self) -> int:
        """Return how many short requests wait."""
        return len(self._short)

    def startable(self, long_in_flight: int, long_limit: float, now_s: float) -> Iterator[Entry]:
        """Yield the requests that may start next, most preferred first."""
        yield from list(self._retries)
        short = self._short.peek(now_s)
        long = self._long.peek(now_s)
        if long is not None and long_in_flight < max(1.0, long_limit):
            yield long
        if short is not None:
            yield short

    def wait_s(self, entry: Entry, concurrency: float, long_limit: float) -> float:
        """Return how long the request would wait if it arrived now."""
        return self._queue_for(entry).cost_ahead_s(entry) / _usable_concurrency(
            entry, concurrency, long_limit
        )

    def wait_as_last_s(self, entry: Entry, concurrency: float, long_limit: float) -> float:
        """Return how long a waiting request would wait if all others of its queue started first."""
        ahead_s = self._queue_for(entry).total_s - entry.cost_s
        return ahead_s / _usable_concurrency(entry, concurrency, long_limit)

    def newest_of_heaviest_client(self) -> tuple[Entry, int] | None:
        """Return the newest request of the client with the most waiting requests, and their number.

        The client is chosen within the team that has the most waiting requests.
        """
        if not self._teams:
            return None
        team = max(self._teams.values(), key=lambda callers: sum(map(len, callers.values())))
        heaviest = max(team.values(), key=len)
        return next(reversed(heaviest)), len(heaviest)

    def next_expiry_s(self) -> float | None:
        """Return when the next waiting request reaches its latest start, None if none waits."""
        while self._expiries and not self._expiries[0][2].queued:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def pop_expired(self, now_s: float) -> Iterator[Entry]:
        """Remove and yield the requests whose latest start has been reached."""
        while True:
            expiry_s = self.next_expiry_s()
            if expiry_s is None or expiry_s > now_s:
                return
            entry = self._expiries[0][2]
            self.remove(entry)
            yield entry

    def _queue_for(self, entry: Entry) -> QueueOrder:
        return self._long if entry.is_long else self._short


def _usable_concurrency(entry: Entry, concurrency: float, long_limit: float) -> float:
    """Return the concurrency available to the queue of the request."""
    part = long_limit if entry.is_long else concurrency
    return max(_MIN_CONCURRENCY, part)
