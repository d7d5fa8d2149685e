"""Fake upstreams: slots, a short queue, shedding beyond it, and the faults of a trace."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from egretrail.identity import UpstreamName
from egretrail.trace._clock import VirtualClock
from egretrail.trace._records import Fault, FaultKind, TracedRequest, TracedUpstream
from egretrail.upstream import AttemptOutcome

#: How long opening a connection to an upstream that is gone takes to fail.
CONNECT_TIMEOUT_S = 1.0
#: How long a cold start keeps an upstream slow.
_COLD_S = 5.0
#: Share of its work after which a failing request is answered.
_FAIL_WORK = 0.3


@dataclass(slots=True, eq=False)
class Visit:
    """One attempt as an upstream sees it."""

    #: Which request it is, an index into the trace.
    number: int
    #: The request.
    request: TracedRequest
    #: The instance that sent it, an index.
    member: int
    #: When its answer is of no more use.
    deadline_s: float
    #: Where it was sent.
    upstream: UpstreamName
    #: Called once with the outcome, when it leaves the upstream.
    ended: Callable[[AttemptOutcome], None]
    #: Whether it has ended.
    done: bool = False
    #: Whether it occupies a slot.
    running: bool = False


class FakeUpstream:
    """One upstream of a trace."""

    def __init__(
        self, clock: VirtualClock, traced: TracedUpstream, faults: Sequence[Fault]
    ) -> None:
        self.name = traced.name
        self.slots = traced.slots
        self._connections = traced.connections
        self._clock = clock
        self.faults = faults
        self._running: set[Visit] = set()
        self._waiting: deque[Visit] = deque()
        self._down_until_s = 0.0
        self._serials: dict[int, int] = {}
        #: When each request came, for detection times.
        self.visits_s: list[tuple[float, int]] = []

    def faults_of(self, request: TracedRequest, member: int, now_s: float) -> list[Fault]:
        """Return the faults that the request would meet, whatever share of requests they hit."""
        return [
            fault
            for fault in self.faults
            if fault.active(now_s)
            and fault.member in (-1, member)
            and fault.request_kind in ("", request.kind)
            and fault.least_size_bytes <= request.answer_size_bytes
            and (fault.kind is not FaultKind.CRASHES or fault.digest == request.digest)
        ]

    def down(self, now_s: float) -> bool:
        """Return whether it is starting again after a crash."""
        return now_s < self._down_until_s

    def busy(self) -> int:
        """Return how many requests it works on."""
        return len(self._running)

    def work_s(self, request: TracedRequest, member: int, now_s: float) -> float:
        """Return how long it works on a request that starts now."""
        factor = 1.0
        for fault in self.faults_of(request, member, now_s):
            if fault.kind is FaultKind.SLOW or (
                fault.kind is FaultKind.STARTS and now_s < fault.at_s + _COLD_S
            ):
                factor *= fault.factor
        return request.work_s * factor

    def receive(self, visit: Visit) -> None:
        """Take a request that has just reached the upstream."""
        if visit.done:
            return
        now_s = self._clock.now_s
        self.visits_s.append((now_s, visit.member))
        faults = self._meeting(visit, now_s)
        kinds = {fault.kind for fault in faults}
        if kinds & {FaultKind.UNREACHABLE, FaultKind.PATH}:
            self._clock.at(now_s + CONNECT_TIMEOUT_S, self._end, visit, AttemptOutcome.REFUSED)
        elif self.down(now_s):
            self._end(visit, AttemptOutcome.REFUSED)
        elif FaultKind.LEAVES in kinds:
            self._end(visit, AttemptOutcome.DRAINING)
        elif len(self._running) < self.slots:
            self._start(visit)
        elif len(self._running) + len(self._waiting) < self._connections:
            self._waiting.append(visit)
        else:
            self._end(visit, AttemptOutcome.SHED)

    def cancel(self, visit: Visit) -> None:
        """Take a cancellation: the slot is free at once."""
        self._end(visit, AttemptOutcome.CANCELLED)

    def _meeting(self, visit: Visit, now_s: float) -> list[Fault]:
        """Return the faults that this attempt meets; drawn from its number, not from the order."""
        draw = self._draw(visit.number)
        found = self.faults_of(visit.request, visit.member, now_s)
        return [fault for fault in found if draw < fault.share]

    def _draw(self, number: int) -> float:
        serial = self._serials.get(number, 0)
        return xxhash.xxh32_intdigest(f"{self.name} {number} {serial}".encode()) / 2.0**32

    def _start(self, visit: Visit) -> None:
        now_s = self._clock.now_s
        faults = self._meeting(visit, now_s)
        self._serials[visit.number] = self._serials.get(visit.number, 0) + 1
        self._running.add(visit)
        visit.running = True
        duration_s = self.work_s(visit.request, visit.member, now_s)
        outcome = AttemptOutcome.ANSWERED
        for fault in faults:
            if fault.kind is FaultKind.FAILS:
                outcome = AttemptOutcome.FAILED
                duration_s *= _FAIL_WORK * fault.factor
            elif fault.kind is FaultKind.CUTS_LARGE:
                outcome = AttemptOutcome.TRUNCATED
            elif fault.kind is FaultKind.CRASHES:
                self._clock.at(now_s + duration_s / 2, self._crash, fault)
        self._clock.at(now_s + duration_s, self._end, visit, outcome)

    def _crash(self, fault: Fault) -> None:
        self._down_until_s = self._clock.now_s + fault.factor
        for visit in sorted(self._running, key=lambda each: each.number) + list(self._waiting):
            self._end(visit, AttemptOutcome.LOST)

    def _end(self, visit: Visit, outcome: AttemptOutcome) -> None:
        if visit.done:
            return
        visit.done = True
        self._running.discard(visit)
        if not visit.running and visit in self._waiting:
            self._waiting.remove(visit)
        visit.ended(outcome)
        self._next()

    def _next(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            visit = self._waiting.popleft()
            if visit.done:
                continue
            if visit.deadline_s <= self._clock.now_s:
                visit.done = True
                visit.ended(AttemptOutcome.TIMED_OUT)
                continue
            self._start(visit)
