"""Replays load on overload policies side by side, before the simulated slots of one service."""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from egretrail.overload import (
    Arrival,
    DemandReport,
    FleetOverloadPolicy,
    ServiceRoom,
    ServiceState,
    ServiceTerms,
)

#: Settlements, reads and assignments of 88 instances: rate per second, work and objective.
MIXED_OBJECTIVE_KINDS = ((44.0, 0.22, 1.1), (75.0, 0.4, 1.5), (207.0, 0.3, 3.0))
#: The same of confirmations and holds of 132 instances.
TIGHT_OBJECTIVE_KINDS = ((88.0, 0.13, 0.4), (297.0, 0.23, 0.8))
#: Part of the slots that the usual load takes.
_USUAL_LOAD = 0.75
_ATTEMPTS_MAX = 3
#: Zones send the sums of their reports this often; other zones get them 0.1 to 0.3 s late.
_REPORT_INTERVAL_S = 0.2
_OWN_ZONE_DELAY_S = 0.1
#: A zone that has not been heard for this long is not known.
_HEARD_S = 1.0
_SAMPLE_S = 0.05
#: The budget permits 1.25 times its rate within this time.
PACING_WINDOW_S = 2.0


@dataclass(slots=True)
class Pattern:
    """The load and the failures of one replay."""

    instances: int = 88
    burst: tuple[float, float] = (2.0, 7.0)
    factor: float = 2.5
    #: By how much of its mean demand swings within 15 s.
    swing: float = 0.0
    #: The account "big" sends this many times its usual load in the burst.
    big_factor: float = 1.0
    #: Accounts beside "big"; the n-th one sends 1/n of what the first one does. Without any,
    #: accounts do not share the capacity.
    accounts: int = 70
    #: The kinds by priority, and the priorities that are offered.
    kinds: Sequence[tuple[float, float, float]] = MIXED_OBJECTIVE_KINDS
    priorities: tuple[int, ...] = (0, 1, 2)
    #: Instances for which the rates of the kinds are meant.
    rated_instances: int = 88
    #: The part of the load that "big" usually sends.
    big_part: float = 0.1
    shed: tuple[float, float] = (0.0, 0.0)
    retries_per_s: float = 50.0
    until_s: float = 10.0
    #: Actual duration of work, as a multiple of what the policies are told.
    work_factor: float = 1.0
    #: Whether a report of a time from a zone reaches another one.
    delivers: Callable[[float, int, int, random.Random], bool] = lambda *_: True
    #: When which instances restart, and which is frozen from when until when.
    restart_s: float = float("inf")
    frozen: tuple[int, float, float] = (-1, 0.0, 0.0)


@dataclass(slots=True)
class Request:
    """One request and what became of it."""

    at_s: float
    instance: int
    arrival: Arrival
    work_s: float
    admitted: bool = False
    attempts: int = 1
    ended_s: float = float("inf")
    started_s: float = float("inf")
    #: When its client may return, if it was refused on arrival.
    return_s: float = float("inf")

    @property
    def in_time(self) -> bool:
        """Whether it was served within its objective."""
        return self.ended_s - self.at_s <= self.arrival.objective_s


@dataclass
class Replay:
    """Policies in four zones, one queue before all slots, and a loop over events."""

    pattern: Pattern
    seed: int = 1
    requests: list[Request] = field(default_factory=list)
    #: Time, requests in flight, requests refused so far, and the state at each instance.
    samples: list[tuple[float, int, int, list[ServiceState]]] = field(default_factory=list)
    #: Time of each attempt, and whether an upstream refused it.
    attempts: list[tuple[float, bool]] = field(default_factory=list)
    #: Time and priority of each retry that was asked for, and whether it was permitted.
    retries: list[tuple[float, int, bool]] = field(default_factory=list)

    def run(self) -> "Replay":
        """Play the pattern to its end."""
        pattern, self._rng = self.pattern, random.Random(self.seed)
        size = pattern.instances
        kinds = [self.pattern.kinds[priority] for priority in pattern.priorities]
        self._rate = sum(rate for rate, _, _ in kinds) * size / pattern.rated_instances
        work = sum(rate * work_s for rate, work_s, _ in kinds) * size / pattern.rated_instances
        self.mean_s = work / self._rate
        self.slots = round(work / _USUAL_LOAD)
        self._names = [f"a{index}" for index in range(pattern.accounts)]
        self._weights = [1.0 / (index + 1) for index in range(pattern.accounts)]
        self._policies = [self._new_policy(index) for index in range(size)]
        #: When each zone was heard last at each instance, and what it had in flight.
        self._heard: list[dict[int, tuple[float, int]]] = [{} for _ in range(size)]
        #: Requests in flight of each instance.
        self._own = [0] * size
        self._busy, self._queue = 0, deque[Request]()
        self._refused = 0
        self._budget = deque[float]()
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._counter = itertools.count()
        for zone in range(4):
            self._at(zone * _REPORT_INTERVAL_S / 4, self._report, zone)
        self._at(0.0, self._sample, None)
        self._at(0.0, self._arrive, None)
        self._at(pattern.restart_s, self._restart, None)
        self.now_s = 0.0
        while self._events and self._events[0][0] < pattern.until_s:
            self.now_s, _, action, argument = heapq.heappop(self._events)
            action(argument)
        return self

    def _at(self, at_s: float, action: Callable[..., None], argument: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._counter), action, argument))

    def _new_policy(self, index: int) -> FleetOverloadPolicy:
        policy = FleetOverloadPolicy(random.Random(f"{self.seed} {index}"))
        objectives_s = {
            priority: self.pattern.kinds[priority][2] for priority in self.pattern.priorities
        }
        shares_accounts = self.pattern.accounts > 0
        policy.configure({"s": ServiceTerms(True, shares_accounts, objectives_s)})
        return policy

    def _room(self, index: int) -> ServiceRoom:
        """Return the slots and what is in flight at the zones that are heard, or here if none is.

        As in the gateway, instances that are not heard belong to the part that is not known.
        """
        heard = [
            in_flight
            for received_s, in_flight in self._heard[index].values()
            if self.now_s - received_s < _HEARD_S
        ]
        own_share = 1 / self.pattern.instances
        known_share = len(heard) / 4 if heard else own_share
        self._policies[index].set_fleet(known_share, own_share, str(index % 4))
        return ServiceRoom(self.slots, sum(heard) if heard else self._own[index], self.mean_s)

    def _is_frozen(self, index: int) -> bool:
        frozen, from_s, until_s = self.pattern.frozen
        return index == frozen and from_s <= self.now_s < until_s

    def _arrive(self, _: object) -> None:
        pattern, rng = self.pattern, self._rng
        in_burst = pattern.burst[0] <= self.now_s < pattern.burst[1]
        factor = pattern.factor if in_burst else 1.0
        factor *= 1.0 + pattern.swing * math.sin(math.tau * self.now_s / 15.0)
        # What "big" sends beyond its usual load is not part of the factor's load.
        big = pattern.big_part * (pattern.big_factor if in_burst else 1.0)
        rate = self._rate * (1.0 - pattern.big_part + big)
        self._at(self.now_s + rng.expovariate(rate * factor), self._arrive, None)
        weights = [self.pattern.kinds[priority][0] for priority in pattern.priorities]
        (priority,) = rng.choices(pattern.priorities, weights)
        is_big = rng.random() < big / (1.0 - pattern.big_part + big)
        account = "big" if is_big or not self._names else rng.choices(self._names, self._weights)[0]
        index = rng.randrange(pattern.instances)
        if self._is_frozen(index):
            return
        _, mean_s, objective_s = self.pattern.kinds[priority]
        work_s = mean_s * rng.lognormvariate(-0.08, 0.4) * pattern.work_factor
        arrival = Arrival("s", priority, account, objective_s, 10.0)
        request = Request(self.now_s, index, arrival, work_s)
        self.requests.append(request)
        refusal = self._policies[index].admit(arrival, self._room(index), self.now_s)
        if refusal is None:
            request.admitted = True
            self._own[index] += 1
            self._attempt(request)
        else:
            self._refused += 1
            request.return_s = self.now_s + refusal.retry_after_s

    def _attempt(self, request: Request) -> None:
        index, priority = request.instance, request.arrival.priority
        from_s, until_s = self.pattern.shed
        is_shed = from_s <= self.now_s < until_s and self._rng.random() < 0.55
        self.attempts.append((self.now_s, is_shed))
        if is_shed:
            policy = self._policies[index]
            policy.record_shed("s", priority, self.now_s)
            if request.attempts < _ATTEMPTS_MAX and self._retries(index, priority):
                request.attempts += 1
                self._at(self.now_s + 0.002, self._attempt, request)
            else:
                self._own[index] -= 1
        elif self._busy < self.slots:
            self._start(request)
        else:
            self._queue.append(request)

    def _retries(self, index: int, priority: int) -> bool:
        """Ask the policy, then a budget with the pacing of ``FleetRetryBudget``."""
        allowed = self.pattern.retries_per_s
        room = self._room(index)
        permits = self._policies[index].permits_retry("s", priority, allowed, room, self.now_s)
        while self._budget and self._budget[0] < self.now_s - PACING_WINDOW_S:
            self._budget.popleft()
        permits = permits and len(self._budget) < allowed * PACING_WINDOW_S * 1.25
        if permits:
            self._budget.append(self.now_s)
        self.retries.append((self.now_s, priority, permits))
        return permits

    def _start(self, request: Request) -> None:
        self._busy += 1
        request.started_s = self.now_s
        self._at(self.now_s + request.work_s, self._finish, request)

    def _finish(self, request: Request) -> None:
        request.ended_s = self.now_s
        self._busy -= 1
        self._own[request.instance] -= 1
        if self._queue:
            self._start(self._queue.popleft())

    def _report(self, zone: int) -> None:
        self._at(self.now_s + _REPORT_INTERVAL_S, self._report, zone)
        rows: dict[Any, Any] = {}
        accounts: dict[Any, int] = {}
        for index in range(zone, self.pattern.instances, 4):
            if self._is_frozen(index):
                continue
            report = self._policies[index].own_report(self.now_s)
            for key, row in report.rows.items():
                rows[key] = rows[key].plus(row) if key in rows else row
            for account, count in report.accounts.items():
                accounts[account] = accounts.get(account, 0) + count
        heaviest = sorted(accounts, key=lambda key: -accounts[key])[:24]
        report = DemandReport(rows, {key: accounts[key] for key in heaviest})
        for other in range(4):
            delay_s = _OWN_ZONE_DELAY_S if other == zone else self._rng.uniform(0.1, 0.3)
            found = (zone, other, report, sum(self._own[zone::4]), self.now_s)
            self._at(self.now_s + delay_s, self._deliver, found)

    def _deliver(self, found: tuple[int, int, DemandReport, int, float]) -> None:
        zone, other, report, in_flight, sent_s = found
        if not self.pattern.delivers(sent_s, zone, other, self._rng):
            return
        for index in range(other, self.pattern.instances, 4):
            if not self._is_frozen(index):
                self._policies[index].apply_zone_report(str(zone), report, self.now_s)
                self._heard[index][zone] = (self.now_s, in_flight)

    def _restart(self, _: object) -> None:
        for index in range(0, self.pattern.instances, 3):
            self._policies[index] = self._new_policy(index)
            self._heard[index] = {}

    def _sample(self, _: object) -> None:
        self._at(self.now_s + _SAMPLE_S, self._sample, None)
        states = []
        for index, policy in enumerate(self._policies):
            if self._is_frozen(index):
                states.append(ServiceState.NORMAL)
                continue
            snapshot = policy.snapshot("s", self._room(index), self.now_s)
            assert snapshot is not None
            states.append(snapshot.state)
        self.samples.append((self.now_s, sum(self._own), self._refused, states))

    def served(self, from_s: float, until_s: float, **kind: object) -> float:
        """Return the share of requests served in time, of those whose arrival is as given."""
        chosen = [
            request
            for request in self.requests
            if from_s <= request.at_s < until_s
            and all(getattr(request.arrival, name) == value for name, value in kind.items())
        ]
        return sum(request.in_time for request in chosen) / max(len(chosen), 1)

    def refused_from(self, from_s: float) -> list[Request]:
        """Return the requests that were refused on arrival from a time on."""
        return [each for each in self.requests if each.at_s >= from_s and not each.admitted]

    def late(self) -> float:
        """Return the share of what was served that was late."""
        ended = [request for request in self.requests if request.ended_s < float("inf")]
        return sum(not request.in_time for request in ended) / len(ended)

    def utilization(self) -> float:
        """Return the mean share of the slots taken while anything waits or is refused."""
        taken = [
            min(after[1] / self.slots, 1.0)
            for before, after in itertools.pairwise(self.samples)
            if after[1] > self.slots or after[2] > before[2]
        ]
        return sum(taken) / max(len(taken), 1)

    def retries_from(self, from_s: float) -> Mapping[int, tuple[int, int]]:
        """Return how many retries were asked for and permitted from a time on, by priority."""
        found: dict[int, tuple[int, int]] = {}
        for at_s, priority, permitted in self.retries:
            if at_s >= from_s:
                asked, granted = found.get(priority, (0, 0))
                found[priority] = (asked + 1, granted + permitted)
        return found

    def changes(self, index: int) -> list[tuple[float, ServiceState]]:
        """Return when an instance's state changed, and to what."""
        found = [(sample[0], sample[3][index]) for sample in self.samples]
        return [after for before, after in itertools.pairwise(found) if before[1] != after[1]]
