"""When suspects are tried again, by load and by whether requests can be retried."""

import heapq
import random
from dataclasses import dataclass

from egretrail.dispatch import (
    FIRST_PAUSE_S,
    Choice,
    FleetLoad,
    Observation,
    Outcome,
    Placement,
    PlacementQuery,
    ServiceDurations,
    SuspicionTable,
    TrialScheduler,
)
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

_SERVICE = "orders"
_UPSTREAMS = 19
_SLOTS = 4
_WORK_S = 0.32
#: Mean lengths of healthy and failure periods; in the latter nine of ten requests fail.
_HEALTHY_S, _FAILURE_PERIOD_S, _FAILURE_SHARE = 21.0, 9.0, 0.9


def _upstream(name: str, slots: int = _SLOTS) -> UpstreamRecord:
    return UpstreamRecord(name, _SERVICE, "10.0.0.1:80", "a", slots, UpstreamState.READY)


def _query(*, is_retryable: bool = False) -> PlacementQuery:
    return PlacementQuery(
        _SERVICE, remaining_s=5.0, objective_remaining_s=1.2, is_retryable=is_retryable
    )


@dataclass(frozen=True, slots=True)
class ReplayFigures:
    """Counts of a replay."""

    #: Requests sent.
    sent: int
    #: Requests that were answered within the objective.
    in_time: int
    #: Requests that failed at an upstream in a failure period.
    failed: int
    #: Failure periods that began.
    failure_periods: int


class FailureReplay:
    """A fleet with one view; failure periods of upstreams begin and end at random."""

    def __init__(self, seed: int, load: float, retryable_share: float = 0.0) -> None:
        self._retryable_share = retryable_share
        self._rng = random.Random(seed)
        self._rate = load * _UPSTREAMS * _SLOTS / _WORK_S
        fleet_load, suspicion = FleetLoad(), SuspicionTable("me")
        self._trials = TrialScheduler(
            fleet_load, suspicion, request_rate=lambda service, now_s: self._rate
        )
        self._placement = Placement(
            "a", fleet_load, ServiceDurations(), suspicion, self._trials, rng=self._rng
        )
        self._upstreams = [_upstream(f"u{n}") for n in range(_UPSTREAMS)]
        self._failing = {record.id: False for record in self._upstreams}
        self._next_change_s = {
            record.id: self._rng.expovariate(1 / _HEALTHY_S) for record in self._upstreams
        }
        self._free_s = {record.id: [0.0] * _SLOTS for record in self._upstreams}
        self._ends: list[tuple[float, int, str, Outcome, float]] = []
        self._failure_periods = 0

    def run(self, length_s: float) -> ReplayFigures:
        """Replay the given number of seconds."""
        now_s, sent, in_time, failed = 0.0, 0, 0, 0
        while now_s < length_s:
            now_s += self._rng.expovariate(self._rate)
            self._process_events(now_s)
            sent += 1
            is_retryable = self._rng.random() < self._retryable_share
            query = _query(is_retryable=is_retryable)
            choice = self._placement.choose(query, self._upstreams, now_s)
            if not isinstance(choice, Choice):
                continue
            end_s, good = self._run(choice.upstream.id, now_s)
            # A retryable request is served by another upstream.
            failed += not good and not is_retryable
            in_time += good and end_s - now_s <= 1.2
        return ReplayFigures(sent, in_time, failed, self._failure_periods)

    def _run(self, name: str, now_s: float) -> tuple[float, bool]:
        self._placement.load.record_start(name, now_s)
        good = not (self._failing[name] and self._rng.random() < _FAILURE_SHARE)
        end_s = now_s + 0.003
        if good:
            free = self._free_s[name]
            slot = free.index(min(free))
            work_s = self._rng.lognormvariate(-1.25, 0.45)
            end_s = free[slot] = max(now_s, free[slot]) + work_s
        outcome = Outcome.SUCCESS if good else Outcome.FAILED
        heapq.heappush(self._ends, (end_s, self._rng.randrange(1 << 30), name, outcome, now_s))
        return end_s, good

    def _process_events(self, now_s: float) -> None:
        placement = self._placement
        for name, change_s in self._next_change_s.items():
            if change_s <= now_s:
                self._failing[name] = not self._failing[name]
                self._failure_periods += self._failing[name]
                mean_s = _FAILURE_PERIOD_S if self._failing[name] else _HEALTHY_S
                self._next_change_s[name] = change_s + self._rng.expovariate(1 / mean_s)
        while self._ends and self._ends[0][0] <= now_s:
            at_s, _, name, outcome, started_s = heapq.heappop(self._ends)
            placement.load.record_finish(name)
            seen = Observation(name, outcome, at_s - started_s)
            placement.suspicion.record_outcome(seen, "other", _WORK_S, at_s)
            placement.load.record_response(name, at_s)
            if outcome is Outcome.FAILED:
                self._trials.record_failure(_SERVICE, at_s)


class FailurePeriodTest(EgretrailTestCase):
    @cases({f"seed {seed}": seed for seed in range(5)})
    def test_a_service_with_spare_capacity_loses_few_requests(self, seed: int) -> None:
        figures = FailureReplay(seed, 0.2).run(120.0)
        self.assertLess(figures.failed / figures.failure_periods, 1.5)
        self.assertGreater(figures.in_time / (figures.sent - figures.failed), 0.995)

    @cases({f"seed {seed}": seed for seed in range(5)})
    def test_a_full_service_uses_recovered_upstreams(self, seed: int) -> None:
        # Seven tenths of the slots are healthy at a time, and the load is 17/20 of these.
        figures = FailureReplay(seed, 0.6).run(120.0)
        self.assertGreater(figures.in_time / figures.sent, 0.9)
        self.assertLess(figures.failed / figures.failure_periods, 3.4)


class TrialPauseTest(EgretrailTestCase):
    @cases(
        {
            "much spare capacity": (4, False, 0.0, 3.0),
            "typical load": (8, False, 0.0, 1.0),
            "full": (10, False, 0.0, 0.5),
            "much spare capacity, many failures": (1, False, 8.0, 1.0),
            "retryable": (1, True, 0.0, 0.2),
        }
    )
    def test_the_pause_before_a_trial(self, case: tuple[int, bool, float, float]) -> None:
        in_flight, is_retryable, failures_per_s, factor = case
        load, suspicion = FleetLoad(), SuspicionTable("me")
        trials = TrialScheduler(load, suspicion, request_rate=lambda service, now_s: 100.0)
        suspicion.record_outcome(Observation("bad", Outcome.FAILED, 0.003), "other", _WORK_S, 0.0)
        load.replace_peer_counts("other", {"good": in_flight}, 0.0)
        bad, good = [_upstream("bad")], [_upstream("good", slots=10)]

        def is_due(now_s: float) -> bool:
            for _ in range(int(failures_per_s * 4)):
                trials.record_failure(_SERVICE, now_s)
            due = trials.find_due(_SERVICE, bad, good, now_s, is_retryable=is_retryable)
            return due is not None

        self.assertFalse(is_due(factor * FIRST_PAUSE_S - 0.05))
        self.assertTrue(is_due(factor * FIRST_PAUSE_S + 0.05))

    @cases(
        {
            "spare capacity, recent retryable requests": (4, 1.0, False),
            "spare capacity, no recent retryable requests": (4, 9.0, True),
            "no spare capacity": (9, 1.0, True),
        }
    )
    def test_retryable_requests_are_preferred_as_trials(
        self, case: tuple[int, float, bool]
    ) -> None:
        in_flight, before_s, expected = case
        load, suspicion = FleetLoad(), SuspicionTable("me")
        trials = TrialScheduler(load, suspicion, request_rate=lambda service, now_s: 100.0)
        now_s = 3.5 * FIRST_PAUSE_S
        bad, good = [_upstream("bad")], [_upstream("good", slots=10)]
        trials.find_due(_SERVICE, [], good, now_s - before_s, is_retryable=True)
        suspicion.record_outcome(Observation("bad", Outcome.FAILED, 0.003), "other", _WORK_S, 0.0)
        load.replace_peer_counts("other", {"good": in_flight}, 0.0)
        due = trials.find_due(_SERVICE, bad, good, now_s, is_retryable=False)
        self.assertIs(expected, due is not None)


class MixedRequestsTest(EgretrailTestCase):
    @cases({f"seed {seed}": seed for seed in range(3)})
    def test_a_third_of_retryable_requests_is_enough_for_the_trials(self, seed: int) -> None:
        replay = FailureReplay(seed, 0.35, retryable_share=0.33)
        figures = replay.run(120.0)
        self.assertLess(figures.failed / figures.failure_periods, 0.85)
