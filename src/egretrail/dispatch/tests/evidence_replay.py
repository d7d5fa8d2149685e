"""A fleet of decision objects that exchange outcomes late, before upstreams with failing paths."""

import functools
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from egretrail.dispatch import (
    Choice,
    FleetLoad,
    Observation,
    Outcome,
    Placement,
    PlacementQuery,
    ServiceDurations,
    SuspicionTable,
    TrialScheduler,
    UpstreamHealth,
)
from egretrail.traffic import UpstreamRecord, UpstreamState

_SERVICE = "orders"
#: Each instance sends about 4 requests a second, which take 0.2 s. Each upstream gets as many.
_REQUESTS_PER_S, _WORK_S = 4.0, 0.2
_CONNECT_S = 0.35
#: The delay of outcomes and counts on their way to other instances.
_DELAY_S = (0.1, 0.3)
_SAMPLE_S = 0.1
_OUT_OF_SERVICE = (UpstreamHealth.SUSPECT, UpstreamHealth.PROBATION)


@dataclass(slots=True)
class _Instance:
    """One instance with its own view, which it updates from late reports."""

    placement: Placement
    in_flight: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class ReplayResult:
    """What a replay showed."""

    #: Samples of pairs of an instance and a working upstream that it reaches, and how many of these
    #: upstreams were out of service there.
    working: int = 0
    avoided: int = 0
    #: The time from the crash of each upstream until all instances had it out of service.
    found_s: dict[str, float] = field(default_factory=dict)
    #: Trials that were sent to crashed upstreams.
    crashed_trials: int = 0

    @property
    def avoided_share(self) -> float:
        """Return the share of working upstreams that were wrongly avoided."""
        return self.avoided / self.working


class EvidenceReplay:
    """Instances, upstreams and the paths between them; all random numbers come from the seed."""

    def __init__(self, seed: int, instances: int = 32, retryable_share: float = 0.3) -> None:
        self._rng = random.Random(seed)
        self._retryable_share = retryable_share
        self.upstreams = [
            UpstreamRecord(f"u{n}", _SERVICE, "10.0.0.1:80", "a", 4, UpstreamState.READY)
            for n in range(instances)
        ]
        self._instances = [self._make_instance(n, instances) for n in range(instances)]
        #: The probability that an instance cannot connect to an upstream, by number and id.
        self.loss: dict[tuple[int, str], float] = {}
        self._crashed_s: dict[str, float] = {}
        self._crash_outcome_s = _CONNECT_S
        self._failing_s: dict[str, float] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_count = 0
        self.result = ReplayResult()

    def _make_instance(self, number: int, count: int) -> _Instance:
        load, suspicion = FleetLoad(), SuspicionTable(f"i{number}")
        trials = TrialScheduler(
            load,
            suspicion,
            rank=lambda record: (number * 7 + int(record.name[1:]) * 5) % count,
            request_rate=lambda service, now_s: count * _REQUESTS_PER_S,
        )
        rng = random.Random(self._rng.random())
        return _Instance(Placement("a", load, ServiceDurations(), suspicion, trials, rng=rng))

    def cut(self, instances: int, upstreams_share: float, loss: float = 1.0) -> None:
        """Cut the first instances from a share of the upstreams."""
        chosen = self.upstreams[: round(len(self.upstreams) * upstreams_share)]
        for number in range(instances):
            for record in chosen:
                self.loss[number, record.id] = loss

    def crash(self, upstream_id: str, at_s: float, *, is_refusing: bool = False) -> None:
        """Let an upstream crash; its address then hangs, or refuses connections."""
        self._crashed_s[upstream_id] = at_s
        self._crash_outcome_s = 0.002 if is_refusing else _CONNECT_S

    def fail(self, upstream_id: str, at_s: float) -> None:
        """Let an upstream fail nine of ten requests from a moment on."""
        self._failing_s[upstream_id] = at_s

    def run(self, length_s: float) -> ReplayResult:
        """Replay the given number of seconds."""
        for number in range(len(self._instances)):
            self._at(self._rng.random() / 4, self._arrival(number))
        self._at(1.0, self._sample)
        while self._events and self._events[0][0] < length_s:
            at_s, _, event = heapq.heappop(self._events)
            event(at_s)
        return self.result

    def _at(self, at_s: float, event: Callable[[float], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, event))

    def _arrival(self, number: int) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            self._at(now_s + self._rng.expovariate(_REQUESTS_PER_S), arrive)
            self._send(number, now_s, ())

        return arrive

    def _send(self, number: int, now_s: float, tried: tuple[str, ...]) -> None:
        instance = self._instances[number]
        query = PlacementQuery(
            _SERVICE, 3.0, 1.0, self._rng.random() < self._retryable_share, excluded=tried
        )
        choice = instance.placement.choose(query, self.upstreams, now_s)
        if not isinstance(choice, Choice):
            return
        name = choice.upstream.id
        instance.placement.load.record_start(name, now_s)
        self._report_count(number, name, 1, now_s)
        crashed_s = self._crashed_s.get(name, float("inf"))
        if crashed_s <= now_s:
            self.result.crashed_trials += choice.is_trial
            outcome, duration_s = Outcome.UNREACHABLE, self._crash_outcome_s
        elif self._rng.random() < self.loss.get((number, name), 0.0):
            outcome, duration_s = Outcome.UNREACHABLE, _CONNECT_S
        elif self._failing_s.get(name, float("inf")) <= now_s and self._rng.random() < 0.9:
            outcome, duration_s = Outcome.FAILED, 0.003
        else:
            outcome, duration_s = Outcome.SUCCESS, self._rng.lognormvariate(-1.75, 0.5)
            if now_s + duration_s > crashed_s:
                outcome, duration_s = Outcome.BROKEN, crashed_s - now_s

        def finish(end_s: float) -> None:
            instance.placement.load.record_finish(name)
            self._report_count(number, name, -1, end_s)
            self._report(number, Observation(name, outcome, duration_s), end_s)
            if outcome is Outcome.UNREACHABLE and len(tried) < 2:
                self._send(number, end_s, (*tried, name))

        self._at(now_s + duration_s, finish)

    def _report_count(self, number: int, name: str, change: int, now_s: float) -> None:
        counts = self._instances[number].in_flight
        counts[name] = counts.get(name, 0) + change
        count = counts[name]

        def deliver(at_s: float) -> None:
            for other, instance in enumerate(self._instances):
                if other != number:
                    load = instance.placement.load
                    load.update_peer_counts(f"i{number}", {name: count}, at_s)

        self._at(now_s + _DELAY_S[0], deliver)

    def _report(self, number: int, observation: Observation, now_s: float) -> None:
        self._record(number, number, observation, now_s)
        for other in range(len(self._instances)):
            if other != number:
                delay_s = self._rng.uniform(*_DELAY_S)
                record = functools.partial(self._record, other, number, observation)
                self._at(now_s + delay_s, record)

    def _record(self, number: int, observer: int, observation: Observation, now_s: float) -> None:
        placement = self._instances[number].placement
        placement.suspicion.record_outcome(observation, f"i{observer}", _WORK_S, now_s)
        if observation.outcome is Outcome.SUCCESS:
            placement.load.record_response(observation.upstream_id, now_s)

    def _sample(self, now_s: float) -> None:
        self._at(now_s + _SAMPLE_S, self._sample)
        for record in self.upstreams:
            crashed_s = self._crashed_s.get(record.id, float("inf"))
            avoided = [
                instance.placement.suspicion.health(record.id, now_s) in _OUT_OF_SERVICE
                for instance in self._instances
            ]
            if crashed_s > now_s and record.id not in self._failing_s:
                reached = [
                    one
                    for number, one in enumerate(avoided)
                    if not self.loss.get((number, record.id))
                ]
                self.result.working += len(reached)
                self.result.avoided += sum(reached)
            elif crashed_s <= now_s and all(avoided) and record.id not in self.result.found_s:
                self.result.found_s[record.id] = now_s - crashed_s
