"""The invariants hold in every reachable state, and every guard is necessary."""

from dataclasses import dataclass

from egretrail.idempotency import (
    Dispatch,
    Home,
    IdempotencyKey,
    KeyLimits,
    Phase,
    Record,
    RecordAtWitness,
    RecordVerdict,
    RequestStep,
    Settled,
    Witness,
)
from egretrail.idempotency.tests.exploration import Case, Guards, explore
from egretrail.idempotency.tests.exploration_world import Violation
from egretrail.identity import Incarnation
from egretrail.request import Answer, Outcome, Refusal, RefusalCause
from egretrail.testing import EgretrailTestCase, cases

_SEALED = Refusal(Outcome.NOT_RUN, RefusalCause.KEY_SEALED)
_X, _Y = (0, b"x"), (0, b"y")
_SAME_HOME = (("a", "b"), ("a", "b"))
_CROSSED = (("a", "b"), ("b", "a"))
_TWO = ((0, b"x"), (1, b"y"))
_BOTH = ("a", "b")
_RESTARTS = Case(restarted=_BOTH)
_GENERATIONS = Case(generations_end=True, stops=True, restarted=_BOTH)
_TWO_CLIENTS = Case(requests=(_X, _Y), restarted=_BOTH)
_FULL = Case(_SAME_HOME, _TWO, limits=KeyLimits(generation_keys=1))


@dataclass(frozen=True, slots=True)
class Expected:
    """An exploration and the number of states it visits."""

    case: Case
    states_count: int


class ExplorationTest(EgretrailTestCase):
    @cases(
        {
            "one_key": Expected(Case(), 98),
            "one_key_restarts": Expected(_RESTARTS, 274),
            "one_key_without_a_witness": Expected(
                Case((("a", None),), (_X, _Y), ("a",), ("a",), True, True), 58
            ),
            "answers_too_large_to_keep": Expected(
                Case(restarted=_BOTH, limits=KeyLimits(answer_size_bytes=0)), 304
            ),
            "one_key_two_callers": Expected(_TWO_CLIENTS, 1260),
            "generations_end_and_stops": Expected(_GENERATIONS, 2502),
            "two_callers_generations_end": Expected(
                Case(requests=(_X, _Y), generations_end=True, stops=True), 4606
            ),
            "two_keys": Expected(Case(_SAME_HOME, _TWO), 2464),
            "two_keys_each_instance_both_roles": Expected(Case(_CROSSED, _TWO), 2425),
            "two_keys_answers_displace_each_other": Expected(
                Case(_SAME_HOME, _TWO, limits=KeyLimits(answers_size_bytes=300)), 2550
            ),
            "two_generations_displace_each_other": Expected(
                Case((("a", "b"), ("a", "c")), _TWO, limits=KeyLimits(records_count=1)), 3293
            ),
            "two_generations_displace_each_other_at_a_witness": Expected(
                Case((("a", "c"), ("b", "c")), _TWO, (), limits=KeyLimits(records_count=1)), 3636
            ),
            "two_keys_in_a_full_generation": Expected(_FULL, 640),
        }
    )
    def test_no_reachable_state_violates_an_invariant(self, expected: Expected) -> None:
        found = explore(expected.case)
        self.assertEqual([], found.counter_example)
        self.assertEqual(expected.states_count, found.states_count)


class DispatchesBeforeTheVerdict(Home):
    def on_request(self, key: IdempotencyKey, binding: bytes) -> RequestStep:
        step = super().on_request(key, binding)
        record = self.records.find(key)
        if not isinstance(step, RecordAtWitness) or record is None:
            return step
        record.phase = Phase.STARTED
        return Dispatch()


class DispatchesOnEveryVerdict(Home):
    def _awaits_verdict(self, record: Record) -> bool:
        return True


class RefusesWithoutSealing(Home):
    def _seal(self, key: IdempotencyKey, record: Record, refusal: Refusal) -> None:
        pass


class ForgetsRefusedKeys(Home):
    def _seal(self, key: IdempotencyKey, record: Record, refusal: Refusal) -> None:
        _forget(self, key)


class ForgetsUndispatchedKeys(Home):
    def on_result(self, key: IdempotencyKey, answer: Answer) -> Settled:
        settled = super().on_result(key, answer)
        if isinstance(answer, Refusal) and answer.outcome is Outcome.NOT_RUN:
            _forget(self, key)
        return settled


class EvictsRecords(Home):
    def on_request(self, key: IdempotencyKey, binding: bytes) -> RequestStep:
        for _, generation in self.records.generations():
            if key.suffix not in generation.records:
                generation.records.clear()
        return super().on_request(key, binding)


class IgnoresTheBinding(Home):
    def _same_request(self, record: Record, binding: bytes) -> bool:
        return True


class OpensOnDoubledReplies(Home):
    def _awaits_opening(self, opening: int) -> bool:
        return True


class AdoptsKeysOfEarlierProcesses(Home):
    def owns(self, key: IdempotencyKey) -> bool:
        if not self.records.holds(key.prefix):
            self.records.open(key.prefix, 0.0)
        return True


class WitnessDoesNotSeal(Witness):
    def _seal(self, key: IdempotencyKey) -> Refusal:
        return _SEALED


class RecordsSealedKeys(Witness):
    def on_record(self, sender: Incarnation, key: IdempotencyKey, binding: bytes) -> RecordVerdict:
        super().on_record(sender, key, binding)
        return RecordVerdict.RECORDED


class RecordsInClosedGenerations(Witness):
    def on_record(self, sender: Incarnation, key: IdempotencyKey, binding: bytes) -> RecordVerdict:
        for _, generation in self.records.generations():
            generation.is_accepting = True
        return super().on_record(sender, key, binding)


class ReopensDroppedGenerations(Witness):
    def on_record(self, sender: Incarnation, key: IdempotencyKey, binding: bytes) -> RecordVerdict:
        if not self.records.holds(key.prefix):
            self.records.open(key.prefix, 0.0)
        return super().on_record(sender, key, binding)


class WitnessIgnoresTheBinding(Witness):
    def _same_request(self, record: Record, binding: bytes) -> bool:
        return True


@dataclass(frozen=True, slots=True)
class Unguarded:
    """State machines that lack a guard, and the violation that this causes."""

    case: Case
    guards: Guards
    violation: Violation


class GuardsTest(EgretrailTestCase):
    @cases(
        {
            "dispatch_only_after_the_verdict": Unguarded(
                Case(), Guards(home=DispatchesBeforeTheVerdict), Violation.FALSE_NOT_RUN
            ),
            "a_second_verdict_starts_nothing": Unguarded(
                Case(), Guards(home=DispatchesOnEveryVerdict), Violation.SECOND_DISPATCH
            ),
            "the_home_seals_before_it_reports_not_run": Unguarded(
                Case(), Guards(home=RefusesWithoutSealing), Violation.FALSE_NOT_RUN
            ),
            "the_home_keeps_its_seals": Unguarded(
                Case(), Guards(home=ForgetsRefusedKeys), Violation.FALSE_NOT_RUN
            ),
            "a_refused_dispatch_seals": Unguarded(
                Case(), Guards(home=ForgetsUndispatchedKeys), Violation.SECOND_DISPATCH
            ),
            "a_full_generation_keeps_its_records": Unguarded(
                _FULL, Guards(home=EvictsRecords), Violation.SECOND_DISPATCH
            ),
            "the_home_compares_the_binding": Unguarded(
                _TWO_CLIENTS, Guards(home=IgnoresTheBinding), Violation.CROSSED_ANSWER
            ),
            "a_dropped_generation_stays_dropped": Unguarded(
                _GENERATIONS, Guards(home=OpensOnDoubledReplies), Violation.SECOND_DISPATCH
            ),
            "keys_end_with_their_process": Unguarded(
                _RESTARTS, Guards(home=AdoptsKeysOfEarlierProcesses), Violation.SECOND_DISPATCH
            ),
            "the_witness_seals_before_it_reports_not_run": Unguarded(
                Case(), Guards(witness=WitnessDoesNotSeal), Violation.FALSE_NOT_RUN
            ),
            "the_seal_is_final": Unguarded(
                Case(), Guards(witness=RecordsSealedKeys), Violation.FALSE_NOT_RUN
            ),
            "a_closed_generation_records_nothing": Unguarded(
                _GENERATIONS, Guards(witness=RecordsInClosedGenerations), Violation.FALSE_NOT_RUN
            ),
            "a_forgotten_generation_records_nothing": Unguarded(
                _GENERATIONS, Guards(witness=ReopensDroppedGenerations), Violation.FALSE_NOT_RUN
            ),
            "the_witness_compares_the_binding": Unguarded(
                _TWO_CLIENTS, Guards(witness=WitnessIgnoresTheBinding), Violation.CROSSED_ANSWER
            ),
        }
    )
    def test_removing_a_guard_gives_a_counter_example(self, unguarded: Unguarded) -> None:
        found = explore(unguarded.case, unguarded.guards, unguarded.violation)
        self.assertNotEqual([], found.counter_example)


def _forget(home: Home, key: IdempotencyKey) -> None:
    for prefix, generation in home.records.generations():
        if prefix == key.prefix:
            generation.records.pop(key.suffix, None)
