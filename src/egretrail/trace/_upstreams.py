"""Simulated upstreams with slots, a bounded queue, load shedding and the faults of a trace."""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

from egretrail.identity import UpstreamName
from egretrail.trace._clock import VirtualClock
from egretrail.trace._records import Fault, FaultKind, TracedRequest, TracedUpstream
from egretrail.upstream import AttemptOutcome

#: Time after which connecting to an unreachable upstream fails.
CONNECT_TIMEOUT_S = 1.0
#: Time for which an upstream is slow after a cold start.
_COLD_START_S = 5.0
#: Share of its work after which a failing request is answered.
_FAILED_WORK_SHARE = 0.3


@dataclass(slots=True, eq=False)
class Visit:
    """One attempt at an upstream."""

    #: The request's index in the trace.
    number: int
    #: The request.
    request: TracedRequest
    #: The index of the instance that sent it.
    member: int
    #: When the request's deadline passes.
    deadline_s: float
    #: The receiving upstream.
    upstream: UpstreamName
    #: Called once with the outcome when the attempt ends.
    on_ended: Callable[[AttemptOutcome], None]
    #: Whether the attempt has ended.
    is_done: bool = False
    #: Whether the attempt has occupied a slot.
    has_run: bool = False


class FakeUpstream:
    """The simulation of one upstream."""

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
        self._attempt_counts: dict[int, int] = {}
        #: Arrival time and sending instance of each request, for detection times.
        self.visits_s: list[tuple[float, int]] = []

    def faults_of(self, request: TracedRequest, member: int, now_s: float) -> list[Fault]:
        """Return the faults that could affect the request, regardless of their share."""
        return [
            fault
            for fault in self.faults
            if fault.active(now_s)
            and fault.member in (-1, member)
            and fault.request_kind in ("", request.kind)
            and fault.least_size_bytes <= request.answer_size_bytes
            and (fault.kind is not FaultKind.CRASHES or fault.digest == request.digest)
        ]

    def is_down(self, now_s: float) -> bool:
        """Return whether the upstream is restarting after a crash."""
        return now_s < self._down_until_s

    def busy(self) -> int:
        """Return how many requests the upstream is running."""
        return len(self._running)

    def work_s(self, request: TracedRequest, member: int, now_s: float) -> float:
        """Return how long a request that starts now would run, in seconds."""
        factor = 1.0
        for fault in self.faults_of(request, member, now_s):
            if fault.kind is FaultKind.SLOW or (
                fault.kind is FaultKind.STARTS and now_s < fault.at_s + _COLD_START_S
            ):
                factor *= fault.factor
        return request.work_s * factor

    def receive(self, visit: Visit) -> None:
        """Accept a request, queue it or end it, by the upstream's state and faults."""
        if visit.is_done:
            return
        now_s = self._clock.now_s
        self.visits_s.append((now_s, visit.member))
        faults = self._active_faults(visit, now_s)
        kinds = {fault.kind for fault in faults}
        if kinds & {FaultKind.UNREACHABLE, FaultKind.PATH}:
            self._clock.schedule(
                now_s + CONNECT_TIMEOUT_S, self._finish, visit, AttemptOutcome.REFUSED
            )
        elif self.is_down(now_s):
            self._finish(visit, AttemptOutcome.REFUSED)
        elif FaultKind.LEAVES in kinds:
            self._finish(visit, AttemptOutcome.DRAINING)
        elif len(self._running) < self.slots:
            self._start(visit)
        elif len(self._running) + len(self._waiting) < self._connections:
            self._waiting.append(visit)
        else:
            self._finish(visit, AttemptOutcome.SHED)

    def cancel(self, visit: Visit) -> None:
        """Cancel an attempt; its slot is free at once."""
        self._finish(visit, AttemptOutcome.CANCELLED)

    def _active_faults(self, visit: Visit, now_s: float) -> list[Fault]:
        """Return the faults of this attempt, drawn by its number so that order does not matter."""
        draw = self._draw(visit.number)
        candidates = self.faults_of(visit.request, visit.member, now_s)
        return [fault for fault in candidates if draw < fault.share]

    def _draw(self, number: int) -> float:
        attempt = self._attempt_counts.get(number, 0)
        return xxhash.xxh32_intdigest(f"{self.name} {number} {attempt}".encode()) / 2.0**32

    def _start(self, visit: Visit) -> None:
        now_s = self._clock.now_s
        faults = self._active_faults(visit, now_s)
        self._attempt_counts[visit.number] = self._attempt_counts.get(visit.number, 0) + 1
        self._running.add(visit)
        visit.has_run = True
        duration_s = self.work_s(visit.request, visit.member, now_s)
        outcome = AttemptOutcome.ANSWERED
        for fault in faults:
            if fault.kind is FaultKind.FAILS:
                outcome = AttemptOutcome.FAILED
                duration_s *= _FAILED_WORK_SHARE * fault.factor
            elif fault.kind is FaultKind.CUTS_LARGE:
                outcome = AttemptOutcome.TRUNCATED
            elif fault.kind is FaultKind.CRASHES:
                self._clock.schedule(now_s + duration_s / 2, self._crash, fault)
        self._clock.schedule(now_s + duration_s, self._finish, visit, outcome)

    def _crash(self, fault: Fault) -> None:
        self._down_until_s = self._clock.now_s + fault.factor
        for visit in sorted(self._running, key=lambda each: each.number) + list(self._waiting):
            self._finish(visit, AttemptOutcome.LOST)

    def _finish(self, visit: Visit, outcome: AttemptOutcome) -> None:
        if visit.is_done:
            return
        visit.is_done = True
        self._running.discard(visit)
        if not visit.has_run and visit in self._waiting:
            self._waiting.remove(visit)
        visit.on_ended(outcome)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            visit = self._waiting.popleft()
            if visit.is_done:
                continue
            if visit.deadline_s <= self._clock.now_s:
                visit.is_done = True
                visit.on_ended(AttemptOutcome.TIMED_OUT)
                continue
            self._start(visit)
