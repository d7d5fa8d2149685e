"""The requests that wait, parted into short and long ones."""

import heapq
import itertools
from collections.abc import Callable, Iterator

from egretrail.identity import CallerId, TeamName
from egretrail.service._entry import Entry
from egretrail.service._order import QueueOrder

#: Keeps the expected wait finite while no slot is free for this instance.
_LEAST_CONCURRENCY = 0.1


class Backlog:
    """Two queues with the same order, one for short and one for long requests.

    Load: a few requests that take seconds among many that take milliseconds. Harm prevented: the
    long ones fill all slots, and short ones miss their deadlines behind them.
    """

    def __init__(self, order: Callable[[], QueueOrder]) -> None:
        self._short = order()
        self._long = order()
        #: Requests to be tried again. They go first, and one that finds no other upstream free
        #: does not stand in the way of the rest; the retry budget bounds their number.
        self._again: dict[Entry, None] = {}
        self._teams: dict[TeamName, dict[CallerId, dict[Entry, None]]] = {}
        self._expiries: list[tuple[float, int, Entry]] = []
        self._serial = itertools.count()

    def __len__(self) -> int:
        return len(self._short) + len(self._long) + len(self._again)

    def push(self, entry: Entry) -> None:
        """Add a request."""
        entry.queued = True
        if entry.tried:
            self._again[entry] = None
        else:
            self._lane(entry).push(entry)
            callers = self._teams.setdefault(entry.work.team, {})
            callers.setdefault(entry.work.caller, {})[entry] = None
        heapq.heappush(self._expiries, (entry.latest_start_s, next(self._serial), entry))

    def take(self, entry: Entry) -> None:
        """Take a request out that starts now."""
        if not entry.tried:
            self._lane(entry).started(entry)
        self.remove(entry)

    def remove(self, entry: Entry) -> None:
        """Take a request out."""
        entry.queued = False
        if entry.tried:
            del self._again[entry]
            return
        self._lane(entry).remove(entry)
        callers = self._teams[entry.work.team]
        del callers[entry.work.caller][entry]
        if not callers[entry.work.caller]:
            del callers[entry.work.caller]
        if not callers:
            del self._teams[entry.work.team]

    def waiting_of(self, entry: Entry) -> int:
        """Return how many requests of the same caller wait."""
        callers = self._teams.get(entry.work.team, {})
        return len(callers.get(entry.work.caller, ()))

    @property
    def short_waiting(self) -> int:
        """Return how many short requests wait."""
        return len(self._short)

    def heads(self, long_in_flight: int, long_limit: float, now_s: float) -> Iterator[Entry]:
        """Yield the requests that may start next, the preferred one first."""
        yield from list(self._again)
        short = self._short.peek(now_s)
        long = self._long.peek(now_s)
        if long is not None and long_in_flight < max(1.0, long_limit):
            yield long
        if short is not None:
            yield short

    def wait_s(self, entry: Entry, concurrency: float, long_limit: float) -> float:
        """Return how long the request would wait if it came now."""
        return self._lane(entry).cost_ahead_s(entry) / _part(entry, concurrency, long_limit)

    def wait_as_last_s(self, entry: Entry, concurrency: float, long_limit: float) -> float:
        """Return how long a waiting request would wait if it were the last to start."""
        ahead_s = self._lane(entry).total_s - entry.cost_s
        return ahead_s / _part(entry, concurrency, long_limit)

    def heaviest_last(self) -> tuple[Entry, int] | None:
        """Return the newest request of the caller with most waiting, and how many it has.

        The caller is one of the team with most waiting.
        """
        if not self._teams:
            return None
        team = max(self._teams.values(), key=lambda callers: sum(map(len, callers.values())))
        heaviest = max(team.values(), key=len)
        return next(reversed(heaviest)), len(heaviest)

    def next_expiry_s(self) -> float | None:
        """Return when the next request has waited as long as it may."""
        while self._expiries and not self._expiries[0][2].queued:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def expired(self, now_s: float) -> Iterator[Entry]:
        """Take out and yield the requests that have waited as long as they may."""
        while True:
            expiry_s = self.next_expiry_s()
            if expiry_s is None or expiry_s > now_s:
                return
            entry = self._expiries[0][2]
            self.remove(entry)
            yield entry

    def _lane(self, entry: Entry) -> QueueOrder:
        return self._long if entry.is_long else self._short


def _part(entry: Entry, concurrency: float, long_limit: float) -> float:
    """Return the part of the concurrency that serves the request's queue."""
    part = long_limit if entry.is_long else concurrency
    return max(_LEAST_CONCURRENCY, part)
