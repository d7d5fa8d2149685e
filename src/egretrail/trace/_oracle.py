"""The best possible: one queue before all slots, which knows every fault and every duration."""

import heapq
from collections import deque

from egretrail.trace._clock import VirtualClock
from egretrail.trace._records import Fault, FaultKind, Trace, TracedRequest
from egretrail.trace._upstreams import FakeUpstream

#: Faults that an answer may survive.
_MILD = (FaultKind.SLOW, FaultKind.STARTS)


class Oracle:
    """Plays a trace with perfect knowledge: no latency, no member, no request sent in vain.

    It serves in the order of arrival and drops what can no longer be answered in time. It knows
    the faults and durations of requests that have come, and does not sort by duration: that would
    answer more requests by refusing all long ones.
    """

    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        clock = VirtualClock()
        self._upstreams = [
            FakeUpstream(clock, each, [f for f in trace.faults if f.upstream == each.name])
            for each in trace.header.upstreams
        ]
        self._busy = [0] * len(self._upstreams)
        self._queue: deque[int] = deque()
        self._ends: list[tuple[float, int]] = []
        #: Whether each request is answered in time, before the trace ends.
        self.answered = [False] * len(trace.requests)

    def run(self) -> list[bool]:
        """Return which requests can be answered in time."""
        for number, request in enumerate(self._trace.requests):
            self._run_until(request.at_s)
            self._queue.append(number)
            self._start(request.at_s)
        self._run_until(float("inf"))
        return self.answered

    def _run_until(self, at_s: float) -> None:
        while self._ends and self._ends[0][0] <= at_s:
            now_s, upstream = heapq.heappop(self._ends)
            self._busy[upstream] -= 1
            self._start(now_s)

    def _start(self, now_s: float) -> None:
        while self._queue:
            request = self._trace.requests[self._queue[0]]
            if self._hopeless(request, now_s):
                self._queue.popleft()
                continue
            best = self._best(request, now_s)
            if best is None:
                return
            number = self._queue.popleft()
            upstream, work_s = best
            self._busy[upstream] += 1
            heapq.heappush(self._ends, (now_s + work_s, upstream))
            end_s = now_s + work_s
            in_time = end_s <= request.at_s + request.deadline_s
            self.answered[number] = in_time and end_s <= self._trace.header.duration_s

    def _hopeless(self, request: TracedRequest, now_s: float) -> bool:
        if now_s + request.work_s > request.at_s + request.deadline_s:
            return True
        if now_s > request.at_s + request.queue_s:
            return True
        return any(
            fault.kind is FaultKind.CRASHES and fault.digest == request.digest
            for fault in self._trace.faults
        )

    def _best(self, request: TracedRequest, now_s: float) -> tuple[int, float] | None:
        """Return the free upstream that answers first, and after how long."""
        found: tuple[int, float] | None = None
        avoided = [self._avoided(each, request, now_s) for each in self._upstreams]
        for index, upstream in enumerate(self._upstreams):
            if self._busy[index] >= upstream.slots or (avoided[index] and not all(avoided)):
                continue
            work_s = upstream.work_s(request, -1, now_s)
            in_time = now_s + work_s <= request.at_s + request.deadline_s
            if in_time and (found is None or work_s < found[1]):
                found = index, work_s
        return found

    def _avoided(self, upstream: FakeUpstream, request: TracedRequest, now_s: float) -> bool:
        """Return whether the request could fail there.

        Where it could fail everywhere it counts as answered: an upper bound.
        """
        if not upstream.faults:
            return False
        met: list[Fault] = upstream.faults_of(request, -1, now_s)
        unlisted = any(
            fault.kind is FaultKind.STARTS and now_s < fault.at_s for fault in upstream.faults
        )
        return unlisted or any(fault.kind not in _MILD for fault in met)
