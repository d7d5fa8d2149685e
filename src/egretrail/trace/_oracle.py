"""An upper bound: one queue for all slots, with knowledge of every fault and duration."""

import heapq
from collections import deque

from egretrail.trace._clock import VirtualClock
from egretrail.trace._records import Fault, FaultKind, Trace, TracedRequest
from egretrail.trace._upstreams import FakeUpstream

#: Faults under which a request is still answered.
_HARMLESS_KINDS = (FaultKind.SLOW, FaultKind.STARTS)


class Oracle:
    """Replays a trace with perfect knowledge: no latency, no members, no failed attempt.

    Requests are served in the order of arrival; those that can no longer be answered in time are
    dropped. The oracle knows the faults, and the durations of requests that have arrived. It does
    not sort by duration, because that would answer more requests by refusing all long ones.
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
        self._finish_times: list[tuple[float, int]] = []
        #: Whether each request is answered in time, before the trace ends.
        self.answered = [False] * len(trace.requests)

    def run(self) -> list[bool]:
        """Return which requests can be answered in time."""
        for number, request in enumerate(self._trace.requests):
            self._finish_until(request.at_s)
            self._queue.append(number)
            self._start(request.at_s)
        self._finish_until(float("inf"))
        return self.answered

    def _finish_until(self, at_s: float) -> None:
        while self._finish_times and self._finish_times[0][0] <= at_s:
            now_s, upstream = heapq.heappop(self._finish_times)
            self._busy[upstream] -= 1
            self._start(now_s)

    def _start(self, now_s: float) -> None:
        while self._queue:
            request = self._trace.requests[self._queue[0]]
            if self._cannot_succeed(request, now_s):
                self._queue.popleft()
                continue
            best = self._best(request, now_s)
            if best is None:
                return
            number = self._queue.popleft()
            upstream, work_s = best
            self._busy[upstream] += 1
            heapq.heappush(self._finish_times, (now_s + work_s, upstream))
            end_s = now_s + work_s
            in_time = end_s <= request.at_s + request.deadline_s
            self.answered[number] = in_time and end_s <= self._trace.header.duration_s

    def _cannot_succeed(self, request: TracedRequest, now_s: float) -> bool:
        if now_s + request.work_s > request.at_s + request.deadline_s:
            return True
        if now_s > request.at_s + request.queue_s:
            return True
        return any(
            fault.kind is FaultKind.CRASHES and fault.digest == request.digest
            for fault in self._trace.faults
        )

    def _best(self, request: TracedRequest, now_s: float) -> tuple[int, float] | None:
        """Return the free upstream that would answer first, and its duration in seconds."""
        best: tuple[int, float] | None = None
        may_fail = [self._may_fail(each, request, now_s) for each in self._upstreams]
        for index, upstream in enumerate(self._upstreams):
            if self._busy[index] >= upstream.slots or (may_fail[index] and not all(may_fail)):
                continue
            work_s = upstream.work_s(request, -1, now_s)
            in_time = now_s + work_s <= request.at_s + request.deadline_s
            if in_time and (best is None or work_s < best[1]):
                best = index, work_s
        return best

    def _may_fail(self, upstream: FakeUpstream, request: TracedRequest, now_s: float) -> bool:
        """Return whether the request could fail at the upstream.

        A request that could fail at every upstream counts as answered, for an upper bound.
        """
        if not upstream.faults:
            return False
        met: list[Fault] = upstream.faults_of(request, -1, now_s)
        unlisted = any(
            fault.kind is FaultKind.STARTS and now_s < fault.at_s for fault in upstream.faults
        )
        return unlisted or any(fault.kind not in _HARMLESS_KINDS for fault in met)
