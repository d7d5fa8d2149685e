"""Every order of asking, answering, ejecting, releasing, passing on, killing and reissuing.

Two holders, one asker, two upstreams, one right. Messages arrive late, out of order or never; a
pause is time that passes between any two actions of an instance. At no moment may the ejections
honoured anywhere be more than the rights issued.
"""

import copy
import os
from collections.abc import Hashable, Iterator, Sequence
from dataclasses import dataclass, field

from egretrail.floor import Ejection, HonouredEjections, Right, RightsHolder, RightsTiming
from egretrail.floor.tests._exploration import Action, Exploration, holder_copy, holder_key
from egretrail.identity import InstanceName, UpstreamName
from egretrail.testing import EgretrailTestCase, cases

_TIMING = RightsTiming(validity_s=1, drift_share=0.0, margin_s=0.0, warm_up_s=0.0)
_HOLDERS = (InstanceName("a"), InstanceName("b"))
_UPSTREAMS = (UpstreamName("u"), UpstreamName("v"))
_ALLOWANCE = 1
#: ``make prove`` has two exchanges under way at once, so that answers also come out of order.
_QUESTIONS_LIMIT = 2 if "EGRETRAIL_PROVE" in os.environ else 1


@dataclass(slots=True)
class _Question:
    holder: InstanceName
    asked_s: float
    ejections: Sequence[Ejection] | None = None


@dataclass(slots=True)
class _World:
    holders: dict[InstanceName, RightsHolder]
    honoured: HonouredEjections
    from_receipt: bool = False
    now_s: float = 0
    questions: list[_Question] = field(default_factory=list)
    passed: Right | None = None
    reissued: bool = False

    def ejected(self) -> set[UpstreamName]:
        return {
            upstream
            for upstream in _UPSTREAMS
            if self.honoured.is_ejected(upstream, _ALLOWANCE, self.now_s)
            or any(holder.is_ejected(upstream, _ALLOWANCE) for holder in self.holders.values())
        }


def _tick(world: _World) -> None:
    world.now_s += 1


def _asks(name: InstanceName) -> Action[_World]:
    def act(world: _World) -> None:
        world.questions.append(_Question(name, world.now_s))

    return (f"ask {name}", act)


def _answers(index: int) -> Action[_World]:
    def act(world: _World) -> None:
        question = world.questions[index]
        question.ejections = world.holders[question.holder].answer(world.now_s)

    return (f"question {index} is answered", act)


def _arrives(index: int) -> Action[_World]:
    def act(world: _World) -> None:
        answer = world.questions.pop(index)
        assert answer.ejections is not None
        since_s = world.now_s if world.from_receipt else answer.asked_s
        world.honoured.note(answer.holder, answer.ejections, since_s)

    return (f"answer {index} arrives", act)


def _drops(index: int) -> Action[_World]:
    def act(world: _World) -> None:
        world.questions.pop(index)

    return (f"exchange {index} is lost", act)


def _ejects(name: InstanceName, upstream: UpstreamName) -> Action[_World]:
    def act(world: _World) -> None:
        world.holders[name].eject(upstream, _ALLOWANCE, world.now_s)

    return (f"{name} ejects {upstream}", act)


def _releases(name: InstanceName) -> Action[_World]:
    return (f"{name} releases", lambda world: world.holders[name].release_all())


def _gives(world: _World) -> None:
    world.passed = world.holders[_HOLDERS[0]].give(_HOLDERS[1], _ALLOWANCE, world.now_s)


def _takes(world: _World) -> None:
    assert world.passed is not None
    world.holders[_HOLDERS[1]].accept(world.passed, world.now_s)
    world.passed = None


def _reissues(world: _World) -> None:
    holder = world.holders[_HOLDERS[1]]
    if not holder.promise(0, 1):
        holder.issue(Right(0, 2, _HOLDERS), world.now_s, reissued=True)
        world.reissued = True


def _actions(world: _World) -> Iterator[Action[_World]]:
    yield ("a second passes", _tick)
    for index, question in enumerate(world.questions):
        yield _drops(index)
        if question.ejections is not None:
            yield _arrives(index)
        elif question.holder in world.holders:
            yield _answers(index)
    for name, holder in world.holders.items():
        if len(world.questions) < _QUESTIONS_LIMIT:
            yield _asks(name)
        if holder.ejections():
            yield _releases(name)
        elif holder.rights():
            yield from (_ejects(name, upstream) for upstream in _UPSTREAMS)
    if _HOLDERS[0] in world.holders:
        yield ("a is killed", lambda world: world.holders.__delitem__(_HOLDERS[0]))
        if world.passed is None:
            yield ("a passes its right to b", _gives)
    elif world.passed is None and not world.reissued:
        yield ("the right is reissued to b", _reissues)
    if world.passed is not None:
        yield ("b takes over the right", _takes)


class _UsesAtOnce(RightsHolder):
    """Uses a right for another upstream while the last one is still honoured."""

    def _may_use(self, held: object, upstream: UpstreamName, now_s: float) -> bool:
        return held.upstream is None  # type: ignore[attr-defined]


class _PassesAtOnce(RightsHolder):
    """Passes a right on while its last ejection is still honoured."""

    def _may_transfer(self, held: object, now_s: float) -> bool:
        return held.upstream is None  # type: ignore[attr-defined]


class _ReissuesAtOnce(RightsHolder):
    """Uses a reissued right while its dead holder's answers are still honoured."""

    def issue(self, right: Right, now_s: float, *, reissued: bool) -> None:
        super().issue(right, now_s, reissued=False)


class _PassesInUse(RightsHolder):
    """Passes on a right while it keeps an upstream out."""

    def _may_transfer(self, held: object, now_s: float) -> bool:
        return True


class _NeverRunsOut(HonouredEjections):
    """Honours answers until the next one, as a member would whose timer is paused with it."""

    def _is_valid(self, answer: object, now_s: float) -> bool:
        return True


def _world(holder: type[RightsHolder], honoured: type[HonouredEjections]) -> _World:
    holders = {name: holder(_TIMING, 0) for name in _HOLDERS}
    holders[_HOLDERS[0]].issue(Right(0, 1, _HOLDERS), 0, reissued=False)
    return _World(holders, honoured(_TIMING))


def _key(world: _World) -> Hashable:
    oldest_s = -_TIMING.validity_s - 1

    def age(asked_s: float) -> float:
        return max(asked_s - world.now_s, oldest_s)

    answers = world.honoured._replies.items()
    return (
        tuple((name, holder_key(holder, world.now_s)) for name, holder in world.holders.items()),
        tuple(sorted((name, age(a.asked_s), _plain(a.ejections)) for name, a in answers)),
        tuple(sorted((q.holder, age(q.asked_s), _plain(q.ejections)) for q in world.questions)),
        world.passed is not None,
        world.reissued,
    )


def _clone(world: _World) -> _World:
    copied = copy.copy(world)
    copied.holders = {name: holder_copy(holder) for name, holder in world.holders.items()}
    copied.honoured = copy.copy(world.honoured)
    copied.honoured._replies = dict(world.honoured._replies)
    copied.questions = [copy.copy(question) for question in world.questions]
    return copied


def _plain(ejections: Sequence[Ejection] | None) -> tuple[str, ...]:
    if ejections is None:
        return ("not answered",)
    return tuple(ejection.upstream for ejection in ejections)


def _holds(world: _World) -> bool:
    return len(world.ejected()) <= _ALLOWANCE


class HonouringExplorationTest(EgretrailTestCase):
    def test_no_order_of_actions_ejects_more_than_the_rights_issued(self) -> None:
        world = _world(RightsHolder, HonouredEjections)
        explored = Exploration(_actions, _holds, _key, _clone).run(world)
        print(f"states: {explored.states}")
        self.assertIsNone(explored.counter_example)
        self.assertGreater(explored.states, 10_000)

    @cases(
        {
            "waiting_before_another_use": (_UsesAtOnce, HonouredEjections, False),
            "waiting_before_passing_on": (_PassesAtOnce, HonouredEjections, False),
            "waiting_after_a_reissue": (_ReissuesAtOnce, HonouredEjections, False),
            "keeping_a_right_in_use": (_PassesInUse, HonouredEjections, False),
            "running_out": (RightsHolder, _NeverRunsOut, False),
            "counting_from_the_question": (RightsHolder, HonouredEjections, True),
        }
    )
    def test_each_guard_is_needed(
        self, row: tuple[type[RightsHolder], type[HonouredEjections], bool]
    ) -> None:
        holder, honoured, from_receipt = row
        world = _world(holder, honoured)
        world.from_receipt = from_receipt
        explored = Exploration(_actions, _holds, _key, _clone).run(world)
        print(f"states: {explored.states}, counter-example: {explored.counter_example}")
        self.assertIsNotNone(explored.counter_example)
