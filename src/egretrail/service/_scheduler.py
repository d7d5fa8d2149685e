"""The decisions about one service's requests on one instance, without input or output."""

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
from egretrail.service._limits import UpstreamLimits
from egretrail.service._long_share import LongShare
from egretrail.service._order import FairQueueing, QueueOrder
from egretrail.service._placing import Placing
from egretrail.service._pool import Pool, Pools
from egretrail.service._refusals import (
    MayCrashUpstreams,
    NoUsableUpstream,
    OverFairShare,
    Refusal,
    UpstreamsDeclined,
    WaitedTooLong,
    WouldWaitTooLong,
)
from egretrail.service._waits import WaitCorrection
from egretrail.service._work import AttemptResult, Work, WorkId

#: Most requests that wait for one service on one instance. At a few kilobytes a request it bounds
#: the memory of a service that stands still, and the time that a decision takes.
_MOST_WAITING = 1000
#: Shortest time to come back after a refusal; sooner would only find the same queue.
_LEAST_RETRY_AFTER_S = 0.1
#: Time to come back when no upstream is usable: the order of the time that health takes to find
#: one that has recovered.
_NO_UPSTREAM_RETRY_AFTER_S = 1.0
#: Spread of the time to come back, so that callers refused together do not return together.
_RETRY_AFTER_SPREAD = 0.5
#: Share of the retry budget's savings that hedges leave to retries.
_KEPT_FOR_RETRIES = 5.0
#: While requests wait, slots that peers gave back are looked for this often.
_RECHECK_S = 0.02
#: Time to come back with a request that upstreams were lost with: as long as that is remembered.
_SUSPECT_RETRY_AFTER_S = 600.0
#: Most attempts for one request, its first included.
_MOST_ATTEMPTS = 3


class Scheduler:
    """Admits, queues, places, retries, hedges and refuses the requests for one service.

    Event-driven: each call returns what its driver has to do now. Every ``Dispatch`` and ``Hedge``
    is answered by exactly one ``finished``, also after ``Abandon`` or ``cancelled``.
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
        self._limits = UpstreamLimits()
        self._pools = Pools(weights, self._limits)
        self._pool = Pool((), (), (), (), 0.0, 1.0)
        self._placing = Placing(zone, self._limits, rng)
        self._backlog = Backlog(order)
        self._durations = Durations()
        self._waits = WaitCorrection()
        self._long_share = LongShare()
        #: First tries and further attempts so far.
        self.budget = RetryBudget(retry_budget)
        self._entries: dict[WorkId, Entry] = {}
        self._hedges: list[tuple[float, int, Entry]] = []
        self._serial = itertools.count()
        self._in_flight = 0
        self._long_in_flight = 0
        self._last_start_s = 0.0

    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Take a request that has just come: it starts, waits or is refused at once."""
        self._take_pool(now_s)
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

    def finished(
        self, work_id: WorkId, upstream: UpstreamName, result: AttemptResult, now_s: float
    ) -> Sequence[Action]:
        """Take the end of one attempt; the request ends with it, or is tried again."""
        self._take_pool(now_s)
        entry = self._entries.get(work_id)
        actions: list[Action] = []
        self._count_end(entry, upstream, result, now_s)
        if entry is not None:
            actions += self._after_attempt(entry, upstream, result, now_s)
        actions += self._start_waiting(now_s)
        return actions

    def cancelled(self, work_id: WorkId, now_s: float) -> Sequence[Action]:
        """Take the loss of a request's caller: what runs for it is abandoned."""
        entry = self._entries.get(work_id)
        if entry is None:
            return []
        if entry.queued:
            self._backlog.remove(entry)
        return self._forget(entry)

    def tick(self, now_s: float) -> Sequence[Action]:
        """Act on the passing of time and on changes of the upstreams."""
        self._limits.retain([each.candidate for each in self._pool.upstreams])
        self._take_pool(now_s)
        actions: list[Action] = []
        actions += self._start_waiting(now_s)
        actions += self._refuse_expired(now_s)
        actions += self._due_hedges(now_s)
        return actions

    def next_wakeup_s(self) -> float | None:
        """Return when ``tick`` is due next, None while nothing depends on time."""
        times = [self._backlog.next_expiry_s(), self._next_hedge_s()]
        if len(self._backlog):
            times.append(self._last_start_s + _RECHECK_S)
        return min((time for time in times if time is not None), default=None)

    def in_flight(self) -> dict[UpstreamName, int]:
        """Return this instance's requests running on each upstream, for its peers."""
        return self._limits.all_in_flight()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._backlog)

    @property
    def demand(self) -> float:
        """Return how many slots this instance could use now, for its peers."""
        return float(self._in_flight + len(self._backlog))

    def _take_pool(self, now_s: float) -> None:
        short = self._in_flight - self._long_in_flight + self._backlog.short_waiting
        self._long_share.note(short, now_s)
        self._pool = self._pools.take(self.demand, self._long_in_flight, now_s)

    # Admission

    def _refusal_on_arrival(self, entry: Entry, now_s: float) -> Refusal | None:
        """Return why a request cannot be served in time, None when it probably can."""
        upstreams = self._pool.upstreams
        if not any(not each.candidate.trial or entry.work.idempotent for each in upstreams):
            return NoUsableUpstream(self._retry_after_s(_NO_UPSTREAM_RETRY_AFTER_S))
        wait_s = 0.0
        if len(self._backlog):
            wait_s = self._expected_wait_s(entry)
        allowed_s = max(0.0, entry.latest_start_s - now_s)
        if wait_s > allowed_s or len(self._backlog) >= _MOST_WAITING:
            over_s = min(wait_s, entry.work.deadline_s - now_s) - allowed_s
            return WouldWaitTooLong(self._retry_after_s(over_s), wait_s, allowed_s)
        return None

    def _expected_wait_s(self, entry: Entry) -> float:
        entry.caller_waiting = self._backlog.waiting_of(entry)
        entry.raw_wait_s = self._backlog.wait_s(entry, self._short_part(), self._long_limit())
        return self._waits.expected_s(entry.raw_wait_s, entry.caller_waiting)

    def _long_limit(self) -> float:
        return self._long_share.share(self._pool.allowance) * self._pool.allowance

    def _short_part(self) -> float:
        """Return the concurrency that short requests have beside the long ones that run."""
        return max(1.0, self._pool.allowance - self._long_in_flight)

    def _refuse_over_share(self, now_s: float) -> list[Action]:
        """Refuse the newest requests of the heaviest callers that can no longer start in time.

        Load: a caller with little waiting comes while another fills the queue. Harm prevented:
        what it pushes back would be refused only after its whole wait.
        """
        actions: list[Action] = []
        while len(self._backlog) > 1:
            heaviest = self._backlog.heaviest_last()
            if heaviest is None:
                break
            entry, waiting = heaviest
            raw_s = self._backlog.wait_as_last_s(entry, self._short_part(), self._long_limit())
            wait_s = self._waits.expected_s(raw_s, waiting)
            over_s = wait_s - (entry.latest_start_s - now_s)
            if over_s <= 0:
                break
            self._backlog.remove(entry)
            actions += self._end(entry, OverFairShare(self._retry_after_s(over_s), waiting))
        return actions

    def _refuse_expired(self, now_s: float) -> list[Action]:
        """Refuse what has waited as long as it may."""
        actions: list[Action] = []
        for entry in self._backlog.expired(now_s):
            waited_s = now_s - entry.arrived_s
            self._waits.note(entry.raw_wait_s, entry.caller_waiting, waited_s)
            actions += self._end(entry, WaitedTooLong(self._retry_after_s(0.0), waited_s))
        return actions

    def _retry_after_s(self, least_s: float) -> float:
        spread = 1.0 + _RETRY_AFTER_SPREAD * self._rng.random()
        return max(_LEAST_RETRY_AFTER_S, least_s) * spread

    # Starting

    def _start_waiting(self, now_s: float) -> list[Action]:
        """Give waiting requests to upstreams while there are free slots."""
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
        for entry in self._backlog.heads(self._long_in_flight, self._long_limit(), now_s):
            if not self._weights.may_run(entry.work.digest, now_s):
                self._backlog.remove(entry)
                return self._end(entry, MayCrashUpstreams(_SUSPECT_RETRY_AFTER_S))
            chosen = self._placing.choose(entry.work, self._pool, entry.tried)
            if chosen is None:
                continue
            self._backlog.take(entry)
            if not entry.tried:
                self._waits.note(entry.raw_wait_s, entry.caller_waiting, now_s - entry.arrived_s)
                self.budget.first_try()
            return [self._start(entry, chosen.name, now_s)]
        return []

    def _start(self, entry: Entry, upstream: UpstreamName, now_s: float) -> Dispatch:
        self._run(entry, upstream, now_s)
        if entry.work.hedge and entry.work.idempotent:
            slow_s = now_s + self._durations.slow_after_s(entry.work.cost_class)
            heapq.heappush(self._hedges, (slow_s, next(self._serial), entry))
        return Dispatch(entry.work.work_id, upstream)

    def _run(self, entry: Entry, upstream: UpstreamName, now_s: float) -> None:
        entry.tried.append(upstream)
        entry.running[upstream] = now_s
        self._limits.started(upstream)
        self._in_flight += 1
        self._long_in_flight += entry.is_long

    # Ending

    def _count_end(
        self, entry: Entry | None, upstream: UpstreamName, result: AttemptResult, now_s: float
    ) -> None:
        """Free the slot and learn from the attempt."""
        self._limits.ended(upstream)
        self._in_flight -= 1
        if result is AttemptResult.SHED:
            self._on_shed(upstream)
        if result is AttemptResult.ANSWERED:
            self._limits.answered(upstream)
        if entry is None:
            return
        started_s = entry.running.pop(upstream)
        self._long_in_flight -= entry.is_long
        if result is AttemptResult.ANSWERED:
            self._durations.add(entry.work.cost_class, now_s - started_s)

    def _on_shed(self, upstream: UpstreamName) -> None:
        for each in self._pool.upstreams:
            if each.candidate.name == upstream:
                self._limits.shed(each.candidate)

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
            self.budget.take()
            self._backlog.push(entry)
            return []
        retry_after_s = self._retry_after_s(entry.cost_s)
        return self._end(entry, UpstreamsDeclined(retry_after_s, len(entry.tried)))

    def _may_retry(self, entry: Entry, result: AttemptResult, now_s: float) -> bool:
        """Return whether the request may be tried on another upstream.

        Only idempotent work, or work that no upstream can have begun, and only while its deadline
        can still be met: a final answer is never held back for a try that cannot succeed.
        """
        safe = entry.work.idempotent or entry.last_run is None
        return (
            safe
            and result is not AttemptResult.ABANDONED
            and len(entry.tried) < _MOST_ATTEMPTS
            and entry.latest_start_s > now_s
            and self.budget.available()
            and self._weights.may_run(entry.work.digest, now_s)
            and any(each.candidate.name not in entry.tried for each in self._pool.upstreams)
        )

    def _end(self, entry: Entry, refusal: Refusal) -> list[Action]:
        """End a request that gets no further attempt: refused only if it surely did not run."""
        work_id = entry.work.work_id
        last: Action = Refuse(work_id, refusal)
        if entry.last_run is not None:
            last = Finish(work_id, entry.last_run)
        return [last, *self._forget(entry)]

    def _forget(self, entry: Entry) -> list[Action]:
        """Forget a request, and abandon what still runs for it."""
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

    def _due_hedges(self, now_s: float) -> list[Action]:
        return list(self._hedge_each(now_s))

    def _hedge_each(self, now_s: float) -> Iterator[Action]:
        """Send slow requests a second time, while nothing waits and the budget allows it."""
        while (due_s := self._next_hedge_s()) is not None and due_s <= now_s:
            entry = heapq.heappop(self._hedges)[2]
            entry.hedged = True
            if len(self._backlog) or not self.budget.available(_KEPT_FOR_RETRIES):
                continue
            if not self._weights.may_run(entry.work.digest, now_s):
                continue
            chosen = self._placing.choose(entry.work, self._pool, entry.tried)
            if chosen is None:
                continue
            self.budget.take()
            self._run(entry, chosen.name, now_s)
            yield Hedge(entry.work.work_id, chosen.name)


def _may_hedge(entry: Entry) -> bool:
    """Return whether the request still runs its first attempt alone."""
    return len(entry.running) == 1 and not entry.hedged and not entry.queued
