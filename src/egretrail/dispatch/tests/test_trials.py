"""When suspects are tried again, at little load, at much, and for work that can be repeated."""

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
    SuspicionBook,
    TrialPace,
)
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

_SERVICE = "orders"
_UPSTREAMS = 19
_SLOTS = 4
_WORK_S = 0.32
#: A sound time and a failing spell last so long on average; spells fail nine of ten requests.
_SOUND_S, _SPELL_S, _FAILS = 21.0, 9.0, 0.9


def _upstream(name: str, slots: int = _SLOTS) -> UpstreamRecord:
    return UpstreamRecord(name, _SERVICE, "10.0.0.1:80", "a", slots, UpstreamState.READY)


def _query(*, repeatable: bool = False) -> PlacementQuery:
    return PlacementQuery(_SERVICE, left_s=5.0, worth_s=1.2, repeatable=repeatable)


@dataclass(frozen=True, slots=True)
class ReplayFigures:
    """What a replay counted."""

    #: Requests.
    asked: int
    #: Those that were answered within the objective.
    in_time: int
    #: Those that an upstream in a spell failed.
    failed: int
    #: Spells that began.
    spells: int


class SpellReplay:
    """A fleet with one view before upstreams whose spells begin and end by chance."""

    def __init__(self, seed: int, load: float, repeatable_share: float = 0.0) -> None:
        self._repeatable_share = repeatable_share
        self._rng = random.Random(seed)
        self._rate = load * _UPSTREAMS * _SLOTS / _WORK_S
        flight, suspicion = FleetLoad(), SuspicionBook("me")
        self._trials = TrialPace(flight, suspicion, request_rate=lambda service, now_s: self._rate)
        self._placement = Placement(
            "a", flight, ServiceDurations(), suspicion, self._trials, rng=self._rng
        )
        self._upstreams = [_upstream(f"u{n}") for n in range(_UPSTREAMS)]
        self._failing = {record.id: False for record in self._upstreams}
        self._turns_s = {
            record.id: self._rng.expovariate(1 / _SOUND_S) for record in self._upstreams
        }
        self._free_s = {record.id: [0.0] * _SLOTS for record in self._upstreams}
        self._ends: list[tuple[float, int, str, Outcome, float]] = []
        self._spells = 0

    def play(self, length_s: float) -> ReplayFigures:
        """Play so many seconds."""
        now_s, asked, in_time, failed = 0.0, 0, 0, 0
        while now_s < length_s:
            now_s += self._rng.expovariate(self._rate)
            self._pass_until(now_s)
            asked += 1
            repeatable = self._rng.random() < self._repeatable_share
            query = _query(repeatable=repeatable)
            choice = self._placement.choose(query, self._upstreams, now_s)
            if not isinstance(choice, Choice):
                continue
            end_s, good = self._run(choice.upstream.id, now_s)
            # Where it may be repeated, another upstream serves it.
            failed += not good and not repeatable
            in_time += good and end_s - now_s <= 1.2
        return ReplayFigures(asked, in_time, failed, self._spells)

    def _run(self, name: str, now_s: float) -> tuple[float, bool]:
        self._placement.load.started(name, now_s)
        good = not (self._failing[name] and self._rng.random() < _FAILS)
        end_s = now_s + 0.003
        if good:
            free = self._free_s[name]
            slot = free.index(min(free))
            work_s = self._rng.lognormvariate(-1.25, 0.45)
            end_s = free[slot] = max(now_s, free[slot]) + work_s
        outcome = Outcome.SUCCESS if good else Outcome.FAILED
        heapq.heappush(self._ends, (end_s, self._rng.randrange(1 << 30), name, outcome, now_s))
        return end_s, good

    def _pass_until(self, now_s: float) -> None:
        placement = self._placement
        for name, turn_s in self._turns_s.items():
            if turn_s <= now_s:
                self._failing[name] = not self._failing[name]
                self._spells += self._failing[name]
                mean_s = _SPELL_S if self._failing[name] else _SOUND_S
                self._turns_s[name] = turn_s + self._rng.expovariate(1 / mean_s)
        while self._ends and self._ends[0][0] <= now_s:
            at_s, _, name, outcome, started_s = heapq.heappop(self._ends)
            placement.load.finished(name)
            seen = Observation(name, outcome, at_s - started_s)
            placement.suspicion.observe(seen, "other", _WORK_S, at_s)
            placement.load.answered(name, at_s)
            if outcome is Outcome.FAILED:
                self._trials.failed(_SERVICE, at_s)


class SpellTest(EgretrailTestCase):
    @cases({f"seed {seed}": seed for seed in range(5)})
    def test_a_service_with_room_loses_few_requests_to_a_spell(self, seed: int) -> None:
        figures = SpellReplay(seed, 0.2).play(120.0)
        self.assertLess(figures.failed / figures.spells, 1.5)
        self.assertGreater(figures.in_time / (figures.asked - figures.failed), 0.995)

    @cases({f"seed {seed}": seed for seed in range(5)})
    def test_a_full_service_uses_what_is_sound_again(self, seed: int) -> None:
        # Seven tenths of the slots are sound at a time; the load is seventeen twentieths of these.
        figures = SpellReplay(seed, 0.6).play(120.0)
        self.assertGreater(figures.in_time / figures.asked, 0.9)
        self.assertLess(figures.failed / figures.spells, 3.4)


class PaceTest(EgretrailTestCase):
    @cases(
        {
            "much room": (4, False, 0.0, 3.0),
            "usual load": (8, False, 0.0, 1.0),
            "full": (10, False, 0.0, 0.5),
            "much room, much fails": (1, False, 8.0, 1.0),
            "can be repeated": (1, True, 0.0, 0.2),
        }
    )
    def test_the_pause_before_a_trial(self, case: tuple[int, bool, float, float]) -> None:
        taken, repeatable, failures_per_s, part = case
        load, suspicion = FleetLoad(), SuspicionBook("me")
        trials = TrialPace(load, suspicion, request_rate=lambda service, now_s: 100.0)
        suspicion.observe(Observation("bad", Outcome.FAILED, 0.003), "other", _WORK_S, 0.0)
        load.told("other", {"good": taken}, 0.0)
        bad, good = [_upstream("bad")], [_upstream("good", slots=10)]

        def is_due(now_s: float) -> bool:
            for _ in range(int(failures_per_s * 4)):
                trials.failed(_SERVICE, now_s)
            due = trials.due(_SERVICE, bad, good, now_s, is_retryable=repeatable)
            return due is not None

        self.assertFalse(is_due(part * FIRST_PAUSE_S - 0.05))
        self.assertTrue(is_due(part * FIRST_PAUSE_S + 0.05))

    @cases(
        {
            "room, and repeatable work flows": (4, 1.0, False),
            "room, repeatable work has ceased": (4, 9.0, True),
            "no room": (9, 1.0, True),
        }
    )
    def test_trials_are_left_to_repeatable_work_while_it_flows(
        self, case: tuple[int, float, bool]
    ) -> None:
        taken, before_s, expected = case
        load, suspicion = FleetLoad(), SuspicionBook("me")
        trials = TrialPace(load, suspicion, request_rate=lambda service, now_s: 100.0)
        now_s = 3.5 * FIRST_PAUSE_S
        bad, good = [_upstream("bad")], [_upstream("good", slots=10)]
        trials.due(_SERVICE, [], good, now_s - before_s, is_retryable=True)
        suspicion.observe(Observation("bad", Outcome.FAILED, 0.003), "other", _WORK_S, 0.0)
        load.told("other", {"good": taken}, 0.0)
        due = trials.due(_SERVICE, bad, good, now_s, is_retryable=False)
        self.assertIs(expected, due is not None)


class MixedSpellTest(EgretrailTestCase):
    @cases({f"seed {seed}": seed for seed in range(3)})
    def test_a_third_of_repeatable_work_takes_the_trials(self, seed: int) -> None:
        replay = SpellReplay(seed, 0.35, repeatable_share=0.33)
        figures = replay.play(120.0)
        self.assertLess(figures.failed / figures.spells, 0.85)
