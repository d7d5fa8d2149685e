"""Simulates a seeded stream of requests with the real health decisions of a group of members.

Faults are functions that change requests.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from egretrail.identity import CallerId, InstanceName, ServiceName, UpstreamName
from egretrail.settings import Detection
from egretrail.upstream import (
    Attempt,
    AttemptOutcome,
    EjectionRights,
    ServiceHealth,
    UnlimitedRights,
    UpstreamState,
)

SERVICE = ServiceName("team/service")


@dataclass(slots=True)
class Request:
    """One simulated request to an upstream."""

    at_s: float
    member: int
    upstream: int
    kind: str
    caller: str
    work_s: float
    outcome: AttemptOutcome = AttemptOutcome.ANSWERED
    size_bytes: int = 1000


#: Changes a request to apply a fault.
Fault = Callable[[Request, random.Random], None]


@dataclass(slots=True)
class Plan:
    """The parameters of a simulation."""

    upstreams: int = 6
    members: int = 3
    rate_per_s: Callable[[float], float] = lambda _at_s: 50.0
    seconds: float = 30.0
    #: Standard deviation of log latency: 0.5 is typical, 1.0 has a heavy tail (p99 is ten times the
    #: median).
    spread: float = 0.5
    median_s: float = 0.03
    background_failures: float = 0.001
    slots: int = 4
    kinds: Sequence[str] = ("GET a", "GET b")
    callers: int = 20
    detection: Detection = Detection.PROMPT
    fault: Fault = lambda _request, _rng: None
    rights: EjectionRights = field(default_factory=UnlimitedRights)
    share_evidence: bool = True
    ramp_s: float = 10.0


@dataclass(slots=True)
class Outcome:
    """The events of a simulation."""

    #: (time, member, upstream) of each transition to the ejected state.
    ejections: list[tuple[float, int, int]] = field(default_factory=list)
    #: Times at which requests were sent to each upstream.
    sent: dict[int, list[float]] = field(default_factory=dict)
    outcomes: Counter[AttemptOutcome] = field(default_factory=Counter)
    health: list[ServiceHealth] = field(default_factory=list)

    def ejected(self) -> set[int]:
        """Return the indexes of the upstreams that any member ejected."""
        return {upstream for _, _, upstream in self.ejections}

    def stopped_s(self, upstream: int, onset_s: float) -> float:
        """Return the time from the onset until all members ejected the upstream, else infinity."""
        first: dict[int, float] = {}
        for at_s, member, which in self.ejections:
            if which == upstream and at_s >= onset_s:
                first.setdefault(member, at_s)
        complete = len(first) == len(self.health)
        return max(first.values()) - onset_s if complete else float("inf")

    def sent_between(self, upstream: int, start_s: float, end_s: float) -> int:
        """Return the number of requests sent to an upstream in an interval."""
        return sum(start_s <= at_s < end_s for at_s in self.sent.get(upstream, []))


class Simulation:
    """Members, upstreams with slots and queues, and the messages between members."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.names = [UpstreamName(f"u{index}") for index in range(plan.upstreams)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = 0
        self._free_s = [[0.0] * plan.slots for _ in self.names]
        self._was_out = [[False] * plan.upstreams for _ in range(plan.members)]
        for member in range(plan.members):
            health = ServiceHealth(
                SERVICE, plan.detection, plan.ramp_s, plan.rights, random.Random(seed * 97 + member)
            )
            health.set_upstreams(self.names, 0.0)
            self.outcome.health.append(health)

    def run(self) -> Outcome:
        """Run the simulation to its end and return its events."""
        self._at(0.0, self._arrive)
        for member in range(self.plan.members):
            self._at(0.05, partial(self._tick, member))
            self._at(0.3 * member, partial(self._exchange, member))
        while self._events:
            at_s, _, act = heapq.heappop(self._events)
            if at_s > self.plan.seconds:
                break
            act(at_s)
        return self.outcome

    def _at(self, at_s: float, act: Callable[[float], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, act))

    def _arrive(self, now_s: float) -> None:
        rng = self.rng
        self._at(now_s + rng.expovariate(self.plan.rate_per_s(now_s)), self._arrive)
        member = rng.randrange(self.plan.members)
        verdicts = self.outcome.health[member].verdicts(now_s)
        weights = [verdicts[name].weight for name in self.names]
        if sum(weights) <= 0:
            return
        request = Request(
            now_s,
            member,
            rng.choices(range(len(self.names)), weights)[0],
            rng.choice(self.plan.kinds),
            f"c{rng.randrange(self.plan.callers)}",
            self.plan.median_s * rng.lognormvariate(0.0, self.plan.spread),
            size_bytes=int(1000 * rng.lognormvariate(0.0, 1.5)),
        )
        if rng.random() < self.plan.background_failures:
            request.outcome = AttemptOutcome.FAILED
        self.plan.fault(request, rng)
        self._send(request)

    def _send(self, request: Request) -> None:
        free_s = self._free_s[request.upstream]
        slot = free_s.index(min(free_s))
        end_s = max(free_s[slot], request.at_s) + request.work_s
        if request.outcome is AttemptOutcome.REFUSED:
            end_s = request.at_s + 0.001
        else:
            free_s[slot] = end_s
        health = self.outcome.health[request.member]
        ticket = health.record_start(self.names[request.upstream], request.kind, request.at_s)
        self.outcome.sent.setdefault(request.upstream, []).append(request.at_s)
        self._at(end_s, lambda now_s: self._end(request, ticket, now_s))

    def _end(self, request: Request, ticket: int, now_s: float) -> None:
        health = self.outcome.health[request.member]
        self.outcome.outcomes[request.outcome] += 1
        health.record_end(ticket)
        attempt = Attempt(
            self.names[request.upstream],
            request.outcome,
            now_s - request.at_s,
            request.at_s,
            self.rng.getrandbits(64),
            request.kind,
            CallerId(request.caller),
            request.size_bytes,
        )
        health.record_outcome(attempt, now_s)
        self._record_ejection(request.member, request.upstream, now_s)
        self._exchange_urgent(request.member, now_s)

    def _tick(self, member: int, now_s: float) -> None:
        self.outcome.health[member].tick(now_s)
        self._record_ejections(member, now_s)
        self._exchange_urgent(member, now_s)
        self._at(now_s + 0.1, partial(self._tick, member))

    def _exchange(self, member: int, now_s: float) -> None:
        self._deliver(member, self.outcome.health[member].own_evidence(now_s), now_s)
        self._at(now_s + 1.0, partial(self._exchange, member))

    def _exchange_urgent(self, member: int, now_s: float) -> None:
        evidence = self.outcome.health[member].urgent_evidence(now_s)
        if evidence is not None:
            self._deliver(member, evidence, now_s)

    def _deliver(self, member: int, evidence: object, now_s: float) -> None:
        if not self.plan.share_evidence:
            return
        for other in range(self.plan.members):
            if other != member:
                self._at(
                    now_s + 0.001,
                    lambda at_s, to=other: self._merge(member, to, evidence, at_s),  # type: ignore[misc]
                )

    def _merge(self, sender: int, to: int, evidence: object, now_s: float) -> None:
        health = self.outcome.health[to]
        health.apply_evidence(InstanceName(f"m{sender}"), evidence, now_s)  # type: ignore[arg-type]
        self._record_ejections(to, now_s)

    def _record_ejections(self, member: int, now_s: float) -> None:
        for index in range(len(self.names)):
            self._record_ejection(member, index, now_s)

    def _record_ejection(self, member: int, index: int, now_s: float) -> None:
        verdict = self.outcome.health[member].verdict(self.names[index], now_s)
        out = verdict.state is UpstreamState.EJECTED
        if out and not self._was_out[member][index]:
            self.outcome.ejections.append((now_s, member, index))
        self._was_out[member][index] = out


def simulate(plan: Plan, seed: int) -> Outcome:
    """Run one simulation and return its events."""
    return Simulation(plan, seed).run()
