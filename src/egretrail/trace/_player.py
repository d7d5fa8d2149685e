"""Plays a trace through the decisions of every instance, on virtual time."""

import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.identity import RouteName, UpstreamName
from egretrail.service import (
    Abandon,
    Action,
    CostClass,
    Dispatch,
    Finish,
    Hedge,
    Refuse,
    Work,
    WorkId,
)
from egretrail.trace._clock import VirtualClock
from egretrail.trace._policy import Peers, Policy, PolicyFactory
from egretrail.trace._records import FaultKind, Trace, TracedRequest
from egretrail.trace._upstreams import FakeUpstream, Visit
from egretrail.upstream import Attempt, AttemptOutcome

#: Interval of the policies' ticks.
_TICK_INTERVAL_S = 0.05
#: Time simulated after the trace's end, for responses still under way.
_TAIL_S = 5.0


class Ending(enum.Enum):
    """How a request ended for its client."""

    #: The request has not ended.
    OPEN = "open"
    #: A complete response arrived before the deadline.
    ANSWERED = "answered"
    #: The request was refused and not run.
    REFUSED = "refused"
    #: A failure was returned before the deadline.
    FAILED = "failed"
    #: No response arrived before the deadline.
    MISSED = "missed"


@dataclass(slots=True)
class RequestLog:
    """The course of one request."""

    #: How the request ended for its client.
    ending: Ending = Ending.OPEN
    #: When the request ended.
    ended_s: float = 0.0
    #: Attempts that were sent.
    attempts: int = 0
    #: Attempts that an upstream began to run.
    runs: int = 0


@dataclass(slots=True)
class PlayLog:
    """The events of one replay."""

    #: Each request's log, in the order of the trace.
    requests: list[RequestLog]
    #: For each upstream, the time and the instance index of each request that reached it.
    visits_s: dict[UpstreamName, Sequence[tuple[float, int]]] = field(default_factory=dict)
    #: Ejections: time, instance index and upstream.
    ejections: list[tuple[float, int, UpstreamName]] = field(default_factory=list)
    #: Messages between instances.
    messages: int = 0


class _Attempt:
    """One attempt between an instance and an upstream."""

    __slots__ = ("done", "started_s", "visit")

    def __init__(self, started_s: float, visit: Visit) -> None:
        self.started_s = started_s
        self.visit = visit
        self.done = False


class _Member(Peers):
    """One instance: its policy, its attempts and its link to the others."""

    def __init__(self, player: "Player", index: int) -> None:
        self._player = player
        self.index = index
        self.policy: Policy
        self.is_gone = False
        self.wakeup_s = float("inf")
        self.attempts: dict[tuple[WorkId, UpstreamName], _Attempt] = {}
        self.outcomes: dict[tuple[WorkId, UpstreamName], AttemptOutcome] = {}
        self.ejected: frozenset[UpstreamName] = frozenset()

    def broadcast(self, message: object) -> None:
        """Send a message to every other member."""
        self._player.broadcast(self, message)


class Player:
    """Replays one trace once, with one policy on every instance."""

    def __init__(self, trace: Trace, factory: PolicyFactory, seed: int) -> None:
        self._trace = trace
        self._header = trace.header
        self._clock = VirtualClock()
        self._upstreams = {
            each.name: FakeUpstream(
                self._clock, each, [f for f in trace.faults if f.upstream == each.name]
            )
            for each in trace.header.upstreams
        }
        self._zones = {each.name: each.availability_zone for each in trace.header.upstreams}
        self._works: dict[WorkId, Work] = {}
        self.log = PlayLog([RequestLog() for _ in trace.requests])
        self._members = [_Member(self, index) for index in range(len(trace.header.members))]
        for member in self._members:
            member.policy = factory.make(
                trace.header, member.index, member, seed * 1009 + member.index
            )

    def run(self) -> PlayLog:
        """Replay the trace to its end and return the log."""
        self._schedule_list_updates()
        for number, request in enumerate(self._trace.requests):
            self._clock.schedule(request.at_s, self._arrive, number)
        for member in self._members:
            offset_s = _TICK_INTERVAL_S * (member.index + 1) / (len(self._members) + 1)
            self._clock.schedule(offset_s, self._tick, member)
        for lost in self._trace.lost_members:
            self._clock.schedule(lost.at_s, self._remove_member, self._members[lost.member])
        self._clock.run(self._header.duration_s + _TAIL_S)
        for name, upstream in self._upstreams.items():
            self.log.visits_s[name] = upstream.visits_s
        return self.log

    def broadcast(self, sender: _Member, message: object) -> None:
        """Deliver a message to the other members after the link's latency."""
        for member in self._members:
            if member is not sender:
                self.log.messages += 1
                at_s = self._clock.now_s + self._header.zone_latency_s
                self._clock.schedule(at_s, self._receive, sender.index, member, message)

    # The instance list

    def _schedule_list_updates(self) -> None:
        self._update_lists()
        for fault in self._trace.faults:
            if fault.kind is FaultKind.STARTS:
                self._clock.schedule(fault.at_s, self._update_lists)
            elif fault.kind is FaultKind.LEAVES:
                self._clock.schedule(fault.at_s + fault.factor, self._update_lists)

    def _update_lists(self) -> None:
        now_s = self._clock.now_s
        unlisted = {
            fault.upstream
            for fault in self._trace.faults
            if (fault.kind is FaultKind.STARTS and now_s < fault.at_s)
            or (fault.kind is FaultKind.LEAVES and now_s >= fault.at_s + fault.factor)
        }
        names = [name for name in self._upstreams if name not in unlisted]
        for member in self._members:
            member.policy.set_upstreams(names, now_s)

    # Instances

    def _tick(self, member: _Member) -> None:
        if member.is_gone:
            return
        now_s = self._clock.now_s
        self._apply_actions(member, member.policy.tick(now_s))
        self._record_ejections(member)
        if now_s < self._header.duration_s + _TAIL_S:
            self._clock.schedule(now_s + _TICK_INTERVAL_S, self._tick, member)

    def _wake(self, member: _Member) -> None:
        if member.is_gone or self._clock.now_s < member.wakeup_s:
            return
        member.wakeup_s = float("inf")
        self._apply_actions(member, member.policy.tick(self._clock.now_s))

    def _receive(self, sender: int, member: _Member, message: object) -> None:
        if not member.is_gone:
            self._apply_actions(
                member, member.policy.handle_message(sender, message, self._clock.now_s)
            )

    def _remove_member(self, member: _Member) -> None:
        """Remove an instance; its requests in flight fail."""
        member.is_gone = True
        for (work_id, _), attempt in member.attempts.items():
            self._upstreams[attempt.visit.upstream].cancel(attempt.visit)
            self._end_request(work_id, Ending.FAILED)

    def _record_ejections(self, member: _Member) -> None:
        ejected = member.policy.ejected(self._clock.now_s)
        for name in sorted(ejected - member.ejected):
            self.log.ejections.append((self._clock.now_s, member.index, name))
        member.ejected = ejected

    # Requests

    def _arrive(self, number: int) -> None:
        request = self._trace.requests[number]
        member = self._members[request.member]
        work = _work(number, request)
        self._works[work.work_id] = work
        if member.is_gone:
            self._end_request(work.work_id, Ending.REFUSED)
            return
        self._apply_actions(member, member.policy.submit(work, self._clock.now_s))

    def _apply_actions(self, member: _Member, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Dispatch() | Hedge():
                    self._send(member, action.work_id, action.upstream)
                case Abandon():
                    self._clock.schedule(
                        self._clock.now_s, self._abandon, member, action.work_id, action.upstream
                    )
                case Refuse():
                    self._end_request(action.work_id, Ending.REFUSED)
                case Finish():
                    outcome = member.outcomes[(action.work_id, action.upstream)]
                    is_answered = outcome is AttemptOutcome.ANSWERED
                    self._end_request(
                        action.work_id, Ending.ANSWERED if is_answered else Ending.FAILED
                    )
        self._set_wakeup(member)

    def _set_wakeup(self, member: _Member) -> None:
        at_s = member.policy.next_wakeup_s()
        if at_s is not None and at_s < member.wakeup_s:
            member.wakeup_s = max(at_s, self._clock.now_s)
            self._clock.schedule(member.wakeup_s, self._wake, member)

    def _end_request(self, work_id: WorkId, ending: Ending) -> None:
        log = self.log.requests[int(work_id)]
        if log.ending is not Ending.OPEN:
            return
        is_late = self._clock.now_s > self._works[work_id].deadline_s + 1e-9
        timed_out = ending is Ending.FAILED and self._clock.now_s >= self._works[work_id].deadline_s
        log.ending = Ending.MISSED if is_late or timed_out else ending
        log.ended_s = self._clock.now_s

    # Attempts

    def _latency_s(self, member: _Member, upstream: UpstreamName) -> float:
        own = self._header.members[member.index].availability_zone
        is_same_zone = own == self._zones[upstream]
        return self._header.zone_latency_s * (0.5 if is_same_zone else 1.0)

    def _send(self, member: _Member, work_id: WorkId, name: UpstreamName) -> None:
        now_s = self._clock.now_s
        number = int(work_id)
        work = self._works[work_id]
        latency_s = self._latency_s(member, name)

        def on_ended(outcome: AttemptOutcome) -> None:
            at_s = self._clock.now_s + latency_s
            self._clock.schedule(at_s, self._finish_attempt, member, work_id, name, outcome)

        request = self._trace.requests[number]
        visit = Visit(number, request, member.index, work.deadline_s, name, on_ended)
        member.attempts[(work_id, name)] = _Attempt(now_s, visit)
        self.log.requests[number].attempts += 1
        member.policy.record_attempt_start(name, work, now_s)
        self._clock.schedule(now_s + latency_s, self._upstreams[name].receive, visit)
        self._clock.schedule(work.deadline_s, self._time_out, member, work_id, name)

    def _finish_attempt(
        self, member: _Member, work_id: WorkId, name: UpstreamName, outcome: AttemptOutcome
    ) -> None:
        """Record the end of an attempt at the instance that sent it."""
        attempt = member.attempts.pop((work_id, name), None)
        if attempt is None or member.is_gone:
            return
        now_s = self._clock.now_s
        work = self._works[work_id]
        request = self._trace.requests[int(work_id)]
        self.log.requests[int(work_id)].runs += attempt.visit.has_run
        member.outcomes[(work_id, name)] = outcome
        observed = Attempt(
            name,
            outcome,
            now_s - attempt.started_s,
            attempt.started_s,
            request.digest,
            request.kind,
            request.caller,
            request.answer_size_bytes,
            request.idempotent,
        )
        self._apply_actions(member, member.policy.record_attempt_end(work.work_id, observed, now_s))
        if outcome is not AttemptOutcome.ANSWERED:
            self._record_ejections(member)

    def _time_out(self, member: _Member, work_id: WorkId, name: UpstreamName) -> None:
        self._stop_attempt(member, work_id, name, AttemptOutcome.TIMED_OUT)

    def _abandon(self, member: _Member, work_id: WorkId, name: UpstreamName) -> None:
        self._stop_attempt(member, work_id, name, AttemptOutcome.CANCELLED)

    def _stop_attempt(
        self, member: _Member, work_id: WorkId, name: UpstreamName, outcome: AttemptOutcome
    ) -> None:
        attempt = member.attempts.get((work_id, name))
        if attempt is None or member.is_gone:
            return
        latency_s = self._latency_s(member, name)
        self._clock.schedule(
            self._clock.now_s + latency_s, self._upstreams[name].cancel, attempt.visit
        )
        self._finish_attempt(member, work_id, name, outcome)


def _work(number: int, request: TracedRequest) -> Work:
    return Work(
        WorkId(str(number)),
        request.caller,
        request.team,
        RouteName(request.kind),
        request.idempotent,
        request.at_s + request.deadline_s,
        request.queue_s,
        CostClass(request.kind),
        request.digest.to_bytes(8, "big"),
        request.hedge,
    )
