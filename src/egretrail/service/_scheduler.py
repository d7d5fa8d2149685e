"""Scheduling of the requests for one service on one instance, without any I/O."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator, Sequence

from egretrail.identity import AvailabilityZone, UpstreamName
from egretrail.service._actions import Abandon, Action, Dispatch, Finish, Hedge, Refuse
from egretrail.service._backlog import Backlog
from egretrail.service._budget import RetryBudget
from egretrail.service._candidates import UpstreamWeights
from egretrail.service._durations import Durations
from egretrail.service._entry import Entry
from egretrail.service._limits import ConcurrencyLimits
from egretrail.service._long_share import LongRequestShare
from egretrail.service._order import FairQueueing, QueueOrder
from egretrail.service._refusals import (
    MayCrashUpstreams,
    NoUsableUpstream,
    OverFairShare,
    Refusal,
    UpstreamsDeclined,
    WaitedTooLong,
    WouldWaitTooLong,
)
from egretrail.service._selection import UpstreamSelector
from egretrail.service._upstream_pool import Pool, PoolBuilder
from egretrail.service._waits import WaitCorrection
from egretrail.service._work import AttemptResult, Work, WorkId

#: Maximum number of requests that wait for one service on one instance. At a few kilobytes each,
#: the limit bounds the memory used for a stalled service and the time of each decision.
_MAX_WAITING = 1000
#: Minimum retry delay after a refusal; an earlier retry would find the same queue.
_MIN_RETRY_AFTER_S = 0.1
#: Retry delay when no upstream is usable: about the time that health checking needs to detect an
#: upstream that has recovered.
_NO_UPSTREAM_RETRY_AFTER_S = 1.0
#: Random spread of the retry delay, so that clients refused together do not retry together.
_RETRY_AFTER_SPREAD = 0.5
#: Number of retries in the retry budget that hedges must leave unspent.
_RESERVED_FOR_RETRIES = 5.0
#: Interval of the check for slots released by peers while requests wait.
_RECHECK_S = 0.02
#: Retry delay for a request suspected of crashing upstreams: as long as the suspicion is kept.
_SUSPECT_RETRY_AFTER_S = 600.0
#: Maximum number of attempts for one request, including the first.
_MAX_ATTEMPTS = 3


class Scheduler:
    """Admits, queues, dispatches, retries, hedges and refuses the requests for one service.

    Event-driven: each call returns the actions for its driver. Every ``Dispatch`` and ``Hedge``
    must be followed by exactly one ``record_attempt_end``, also after ``Abandon`` or ``cancel``.
    """

    def __init__(
        self,
        zone: AvailabilityZone,
        weights: UpstreamWeights,
        retry_budget: float,
        rng: random.Random,
        order: Callable[[], QueueOrder] = FairQueueing,
    ) -> None:
        self._weights = weights
        self._rng = rng
        self._limits = ConcurrencyLimits()
        self._pool_builder = PoolBuilder(weights, self._limits)
        self._pool = Pool((), (), (), (), 0.0, 1.0)
        self._selector = UpstreamSelector(zone, self._limits, rng)
        self._backlog = Backlog(order)
        self._durations = Durations()
        self._waits = WaitCorrection()
        self._long_share = LongRequestShare()
        #: The retry budget, with counts of first attempts and of retries and hedges.
        self.budget = RetryBudget(retry_budget)
        self._entries: dict[WorkId, Entry] = {}
        self._hedges: list[tuple[float, int, Entry]] = []
        self._serial = itertools.count()
        self._in_flight = 0
        self._long_in_flight = 0
        self._last_start_s = 0.0

    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Process a new request: it starts, waits, or is refused at once."""
        self._refresh_pool(now_s)
        cost_s = self._durations.expected_s(work.cost_class)
        entry = Entry(work, now_s, now_s, cost_s, self._durations.is_long(work.cost_class))
        refusal = self._refusal_on_arrival(entry, now_s)
        if refusal is not None:
            return [Refuse(work.work_id, refusal)]
        self._entries[work.work_id] = entry
        self._backlog.push(entry)
        actions = self._start_waiting(now_s)
        if entry.queued:
            actions += self._refuse_over_share(now_s)
            actions += self._refuse_expired(now_s)
        return actions

    def record_attempt_end(
        self, work_id: WorkId, upstream: UpstreamName, result: AttemptResult, now_s: float
    ) -> Sequence[Action]:
        """Process the end of one attempt: the request ends, or is retried."""
        self._refresh_pool(now_s)
        entry = self._entries.get(work_id)
        actions: list[Action] = []
        self._release_slot(entry, upstream, result, now_s)
        if entry is not None:
            actions += self._after_attempt(entry, upstream, result, now_s)
        actions += self._start_waiting(now_s)
        return actions

    def cancel(self, work_id: WorkId, now_s: float) -> Sequence[Action]:
        """Drop a request whose client is gone, and abandon its running attempts."""
        entry = self._entries.get(work_id)
        if entry is None:
            return []
        if entry.queued:
            self._backlog.remove(entry)
        return self._forget(entry)

    def tick(self, now_s: float) -> Sequence[Action]:
        """Process expired waits, due hedges and changes of the upstreams."""
        self._limits.discard_recovered([each.candidate for each in self._pool.upstreams])
        self._refresh_pool(now_s)
        actions: list[Action] = []
        actions += self._start_waiting(now_s)
        actions += self._refuse_expired(now_s)
        actions += self._start_due_hedges(now_s)
        return actions

    def next_wakeup_s(self) -> float | None:
        """Return when ``tick`` is due next, None if nothing is scheduled."""
        times = [self._backlog.next_expiry_s(), self._next_hedge_s()]
        if len(self._backlog):
            times.append(self._last_start_s + _RECHECK_S)
        return min((time for time in times if time is not None), default=None)

    def in_flight(self) -> dict[UpstreamName, int]:
        """Return how many requests of this instance run on each upstream, for its peers."""
        return self._limits.all_in_flight()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._backlog)

    @property
    def demand(self) -> float:
        """Return how many slots this instance could use now, for its peers."""
        return float(self._in_flight + len(self._backlog))

    def _refresh_pool(self, now_s: float) -> None:
        short = self._in_flight - self._long_in_flight + self._backlog.short_waiting
        self._long_share.record_short_demand(short, now_s)
        self._pool = self._pool_builder.refresh(self.demand, self._long_in_flight, now_s)

    # Admission

    def _refusal_on_arrival(self, entry: Entry, now_s: float) -> Refusal | None:
        """Return why a request cannot be served in time, None if it probably can."""
        upstreams = self._pool.upstreams
        if not any(not each.candidate.is_on_trial or entry.work.idempotent for each in upstreams):
            return NoUsableUpstream(self._retry_after_s(_NO_UPSTREAM_RETRY_AFTER_S))
        wait_s = 0.0
        if len(self._backlog):
            wait_s = self._expected_wait_s(entry)
        allowed_s = max(0.0, entry.latest_start_s - now_s)
        if wait_s > allowed_s or len(self._backlog) >= _MAX_WAITING:
            over_s = min(wait_s, entry.work.deadline_s - now_s) - allowed_s
            return WouldWaitTooLong(self._retry_after_s(over_s), wait_s, allowed_s)
        return None

    def _expected_wait_s(self, entry: Entry) -> float:
        entry.caller_waiting = self._backlog.waiting_of_client(entry)
        entry.raw_wait_s = self._backlog.wait_s(
            entry, self._short_concurrency(), self._long_limit()
        )
        return self._waits.expected_s(entry.raw_wait_s, entry.caller_waiting)

    def _long_limit(self) -> float:
        return self._long_share.share(self._pool.allowance) * self._pool.allowance

    def _short_concurrency(self) -> float:
        """Return the concurrency left for short requests by the running long ones."""
        return max(1.0, self._pool.allowance - self._long_in_flight)

    def _refuse_over_share(self, now_s: float) -> list[Action]:
        """Refuse the newest requests of the heaviest clients that can no longer start in time.

        A client with few waiting requests is served before one that fills the queue. The requests
        delayed by it would otherwise be refused only after their whole allowed wait.
        """
        actions: list[Action] = []
        while len(self._backlog) > 1:
            heaviest = self._backlog.newest_of_heaviest_client()
            if heaviest is None:
                break
            entry, waiting = heaviest
            raw_s = self._backlog.wait_as_last_s(
                entry, self._short_concurrency(), self._long_limit()
            )
            wait_s = self._waits.expected_s(raw_s, waiting)
            over_s = wait_s - (entry.latest_start_s - now_s)
            if over_s <= 0:
                break
            self._backlog.remove(entry)
            actions += self._end(entry, OverFairShare(self._retry_after_s(over_s), waiting))
        return actions

    def _refuse_expired(self, now_s: float) -> list[Action]:
        """Refuse the requests whose latest start has been reached."""
        actions: list[Action] = []
        for entry in self._backlog.pop_expired(now_s):
            waited_s = now_s - entry.arrived_s
            self._waits.record_wait(entry.raw_wait_s, entry.caller_waiting, waited_s)
            actions += self._end(entry, WaitedTooLong(self._retry_after_s(0.0), waited_s))
        return actions

    def _retry_after_s(self, least_s: float) -> float:
        spread = 1.0 + _RETRY_AFTER_SPREAD * self._rng.random()
        return max(_MIN_RETRY_AFTER_S, least_s) * spread

    # Starting

    def _start_waiting(self, now_s: float) -> list[Action]:
        """Start waiting requests while there are free slots."""
        if not len(self._backlog):
            return []
        self._last_start_s = now_s
        actions: list[Action] = []
        while started := self._start_one(now_s):
            actions += started
        return actions

    def _start_one(self, now_s: float) -> list[Action]:
        concurrency = self._pool.allowance
        if self._in_flight >= concurrency:
            return []
        for entry in self._backlog.startable(self._long_in_flight, self._long_limit(), now_s):
            if not self._weights.permits_another_upstream(entry.work.digest, now_s):
                self._backlog.remove(entry)
                return self._end(entry, MayCrashUpstreams(_SUSPECT_RETRY_AFTER_S))
            chosen = self._selector.choose(entry.work, self._pool, entry.tried)
            if chosen is None:
                continue
            self._backlog.remove_started(entry)
            if not entry.tried:
                self._waits.record_wait(
                    entry.raw_wait_s, entry.caller_waiting, now_s - entry.arrived_s
                )
                self.budget.record_first_attempt()
            return [self._start(entry, chosen.name, now_s)]
        return []

    def _start(self, entry: Entry, upstream: UpstreamName, now_s: float) -> Dispatch:
        self._record_attempt_start(entry, upstream, now_s)
        if entry.work.hedge and entry.work.idempotent:
            slow_s = now_s + self._durations.slow_after_s(entry.work.cost_class)
            heapq.heappush(self._hedges, (slow_s, next(self._serial), entry))
        return Dispatch(entry.work.work_id, upstream)

    def _record_attempt_start(self, entry: Entry, upstream: UpstreamName, now_s: float) -> None:
        entry.tried.append(upstream)
        entry.running[upstream] = now_s
        self._limits.record_start(upstream)
        self._in_flight += 1
        self._long_in_flight += entry.is_long

    # Ending

    def _release_slot(
        self, entry: Entry | None, upstream: UpstreamName, result: AttemptResult, now_s: float
    ) -> None:
        """Release the slot, and record the duration and limit learned from the attempt."""
        self._limits.record_end(upstream)
        self._in_flight -= 1
        if result is AttemptResult.SHED:
            self._record_shed(upstream)
        if result is AttemptResult.ANSWERED:
            self._limits.record_response(upstream)
        if entry is None:
            return
        started_s = entry.running.pop(upstream)
        self._long_in_flight -= entry.is_long
        if result is AttemptResult.ANSWERED:
            self._durations.record_duration(entry.work.cost_class, now_s - started_s)

    def _record_shed(self, upstream: UpstreamName) -> None:
        for each in self._pool.upstreams:
            if each.candidate.name == upstream:
                self._limits.record_shed(each.candidate)

    def _after_attempt(
        self, entry: Entry, upstream: UpstreamName, result: AttemptResult, now_s: float
    ) -> list[Action]:
        if result is AttemptResult.ANSWERED:
            return [Finish(entry.work.work_id, upstream), *self._forget(entry)]
        if not result.certainly_not_run:
            entry.last_run = upstream
        if entry.running:
            return []
        entry.queued_s = now_s
        if self._may_retry(entry, result, now_s):
            self.budget.spend()
            self._backlog.push(entry)
            return []
        retry_after_s = self._retry_after_s(entry.cost_s)
        return self._end(entry, UpstreamsDeclined(retry_after_s, len(entry.tried)))

    def _may_retry(self, entry: Entry, result: AttemptResult, now_s: float) -> bool:
        """Return whether the request may be retried on another upstream.

        The request must be idempotent or certainly not begun by any upstream, and its deadline must
        still be reachable: a final response is not delayed for a retry that cannot succeed.
        """
        safe = entry.work.idempotent or entry.last_run is None
        return (
            safe
            and result is not AttemptResult.ABANDONED
            and len(entry.tried) < _MAX_ATTEMPTS
            and entry.latest_start_s > now_s
            and self.budget.is_available()
            and self._weights.permits_another_upstream(entry.work.digest, now_s)
            and any(each.candidate.name not in entry.tried for each in self._pool.upstreams)
        )

    def _end(self, entry: Entry, refusal: Refusal) -> list[Action]:
        """End a request without a further attempt; refuse it only if it was certainly not run."""
        work_id = entry.work.work_id
        last: Action = Refuse(work_id, refusal)
        if entry.last_run is not None:
            last = Finish(work_id, entry.last_run)
        return [last, *self._forget(entry)]

    def _forget(self, entry: Entry) -> list[Action]:
        """Remove a request, and abandon its running attempts."""
        del self._entries[entry.work.work_id]
        self._long_in_flight -= entry.is_long * len(entry.running)
        running = list(entry.running)
        entry.running.clear()
        return [Abandon(entry.work.work_id, upstream) for upstream in running]

    # Hedging

    def _next_hedge_s(self) -> float | None:
        while self._hedges and not _may_hedge(self._hedges[0][2]):
            heapq.heappop(self._hedges)
        return self._hedges[0][0] if self._hedges else None

    def _start_due_hedges(self, now_s: float) -> list[Action]:
        return list(self._due_hedges(now_s))

    def _due_hedges(self, now_s: float) -> Iterator[Action]:
        """Send slow requests a second time if no request waits and the budget allows it."""
        while (due_s := self._next_hedge_s()) is not None and due_s <= now_s:
            entry = heapq.heappop(self._hedges)[2]
            entry.hedged = True
            if len(self._backlog) or not self.budget.is_available(_RESERVED_FOR_RETRIES):
                continue
            if not self._weights.permits_another_upstream(entry.work.digest, now_s):
                continue
            chosen = self._selector.choose(entry.work, self._pool, entry.tried)
            if chosen is None:
                continue
            self.budget.spend()
            self._record_attempt_start(entry, chosen.name, now_s)
            yield Hedge(entry.work.work_id, chosen.name)


def _may_hedge(entry: Entry) -> bool:
    """Return whether the request has exactly one running attempt and no hedge yet."""
    return len(entry.running) == 1 and not entry.hedged and not entry.queued
