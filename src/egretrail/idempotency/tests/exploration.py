"""Model checker for the protocol between a key's home and its witness: visits every state.

The network is the set of all messages ever sent: at each step any of them may be delivered, any
number of times, in any order, or never. This covers loss, duplication, reordering and delays of any
length. A timeout is a step that may happen at any time.
"""

from collections.abc import Callable, Hashable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from egretrail.idempotency import (
    Dispatch,
    Home,
    IdempotencyKey,
    KeyLimits,
    KeyPrefix,
    RecordAtWitness,
    RecordVerdict,
    Reply,
    Settled,
    Witness,
)
from egretrail.idempotency.tests.exploration_world import (
    Sent,
    Violation,
    World,
    clone,
    fingerprint,
)
from egretrail.identity import Incarnation, InstanceName
from egretrail.request import Answer, Outcome, RecordedAnswer, Refusal, RefusalCause

M = TypeVar("M")

_NOW_S = 0.0
_REFUSED = Refusal(Outcome.NOT_RUN, RefusalCause.QUEUE_FULL)
_LOST = Refusal(Outcome.UNKNOWN, RefusalCause.UPSTREAM_LOST)


@dataclass(frozen=True, slots=True)
class Guards:
    """The classes under exploration; a test replaces one by a class that lacks a guard."""

    home: type[Home] = Home
    witness: type[Witness] = Witness


@dataclass(frozen=True, slots=True)
class Case:
    """What may happen in one exploration."""

    #: Home and witness of each key (None: no witness). Killing an instance ends both its roles.
    keys: Sequence[tuple[str, str | None]] = (("a", "b"),)
    #: Index of the key, and binding, of each request.
    requests: Sequence[tuple[int, bytes]] = ((0, b"x"),)
    #: Instances that may be killed, and those that may then start again.
    killed: Sequence[str] = ("a", "b")
    restarted: Sequence[str] = ()
    #: Whether homes close, drop and reopen generations, and witnesses drop them.
    generations_end: bool = False
    #: Whether homes stop gracefully.
    stops: bool = False
    #: Limits of the state machines.
    limits: KeyLimits = field(default_factory=KeyLimits)


#: A possible next step: its name, and a function that applies it to a world.
Event = tuple[str, Callable[[World], None]]


@dataclass(frozen=True, slots=True)
class Explored:
    """Result of an exploration."""

    #: Distinct states reached.
    states_count: int
    #: Transitions taken.
    steps_count: int
    #: The shortest path to the violation; empty when there is none.
    counter_example: Sequence[str]


def explore(case: Case, guards: Guards | None = None, sought: Violation | None = None) -> Explored:
    """Visit every reachable state in breadth-first order until a step violates an invariant.

    With ``sought``, only that violation counts: a missing guard often causes several.
    """
    kinds = guards or Guards()
    first = _first_world(case, kinds)
    parents: dict[Hashable, tuple[Hashable, str] | None] = {fingerprint(first): None}
    layer = [first]
    steps_count = 0
    while layer:
        following: list[World] = []
        for state in layer:
            here = fingerprint(state)
            for name, apply in _events(state, case, kinds):
                world = clone(state)
                apply(world)
                steps_count += 1
                if sought in world.violations or (sought is None and world.violations):
                    return Explored(len(parents), steps_count, [*_path_to(parents, here), name])
                world.violations = frozenset()
                reached = fingerprint(world)
                if reached not in parents:
                    parents[reached] = (here, name)
                    following.append(world)
        layer = following
    return Explored(len(parents), steps_count, [])


def _first_world(case: Case, guards: Guards) -> World:
    names = sorted({name for pair in case.keys for name in pair if name is not None})
    numbers = dict.fromkeys(names, 1)
    homes: dict[str, Home | None] = {}
    witnesses: dict[str, Witness | None] = {}
    for name in names:
        own = Incarnation(InstanceName(name), 1)
        homes[name] = guards.home(own, case.limits)
        witnesses[name] = guards.witness(own, case.limits)
    world = World(homes, witnesses, numbers, ())
    prefixes: dict[tuple[str, str | None], KeyPrefix] = {}
    for home, witness in case.keys:
        if (home, witness) not in prefixes:
            prefixes[home, witness] = _open(world, home, witness, case.generations_end)
    world.keys = tuple(
        IdempotencyKey(prefixes[pair], f"k{index}") for index, pair in enumerate(case.keys)
    )
    return world


def _open(world: World, home: str, witness: str | None, resend: bool) -> KeyPrefix:
    at_home = world.homes[home]
    assert at_home is not None
    if witness is None:
        alone = at_home.open_without_witness(_NOW_S)
        assert alone is not None
        return alone
    at_witness = world.witnesses[witness]
    assert at_witness is not None
    opening = at_home.start_opening()
    prefix = at_witness.open(world.own(home), _NOW_S)
    assert at_home.open(opening, prefix, _NOW_S)
    if resend:
        reply = Sent(home, "opened", world.own(witness), prefix=prefix, opening=opening)
        world.send(reply)
    return prefix


def _events(world: World, case: Case, guards: Guards) -> Iterator[Event]:
    for index, binding in case.requests:
        key = world.keys[index]
        if world.homes[key.prefix.home.instance] is not None:
            yield f"request k{index} {binding!r} at home", _request(key, binding)
            yield f"witness asks home of k{index} {binding!r}", _await(key, binding)
        if key.prefix.witness and world.witnesses[key.prefix.witness.instance] is not None:
            yield f"query k{index} {binding!r} at witness", _query(key, binding)
        if world.homes[key.prefix.home.instance] is not None:
            yield f"record of k{index} times out", _verdict(key, None)
    for message in world.sent:
        yield f"{message.kind} arrives at {message.to}: {message.verdict}", _arrive(message)
    for key, binding in world.executing:
        for answer in (RecordedAnswer(200, (), binding), _REFUSED, _LOST):
            yield f"{key.suffix} ends: {type(answer).__name__}", _end(key, binding, answer)
    yield from _lifecycle(world, case, guards)


def _lifecycle(world: World, case: Case, guards: Guards) -> Iterator[Event]:
    for name in case.killed:
        if world.homes[name] is not None and world.numbers[name] == 1:
            yield f"{name} dies", _kill(name)
    for name in case.restarted:
        if world.homes[name] is None:
            yield f"{name} starts again", _restart(name, case, guards)
    for prefix in sorted({key.prefix for key in world.keys}, key=str):
        if case.generations_end:
            yield "home closes the generation", _close(prefix)
            yield "home drops the generation", _drop_at_home(prefix)
            yield "witness drops the generation", _drop_at_witness(prefix)
        if case.stops:
            yield "home stops", _stop(prefix)


def _request(key: IdempotencyKey, binding: bytes) -> Callable[[World], None]:
    def apply(world: World) -> None:
        home = world.home(key.prefix.home.instance)
        assert home is not None
        step = home.on_request(key, binding)
        if isinstance(step, Reply):
            world.respond(key, binding, step.answer)
        elif isinstance(step, Dispatch):
            world.dispatch(key, binding)
        if isinstance(step, RecordAtWitness):
            assert key.prefix.witness is not None
            to = key.prefix.witness.instance
            sender = world.own(key.prefix.home.instance)
            world.send(Sent(to, "record", sender, key, binding))

    return apply


def _await(key: IdempotencyKey, binding: bytes) -> Callable[[World], None]:
    def apply(world: World) -> None:
        home = world.home(key.prefix.home.instance)
        assert home is not None
        step = home.on_await(key, binding) if home.owns(key) else None
        if isinstance(step, Reply):
            world.respond(key, binding, step.answer)
            _send_outcome(world, key, binding, step.answer)

    return apply


def _query(key: IdempotencyKey, binding: bytes) -> Callable[[World], None]:
    def apply(world: World) -> None:
        assert key.prefix.witness is not None
        witness = world.witness(key.prefix.witness.instance)
        assert witness is not None
        answer = witness.on_query(key, binding)
        if answer is not None:
            world.respond(key, binding, answer)

    return apply


def _verdict(key: IdempotencyKey, verdict: RecordVerdict | None) -> Callable[[World], None]:
    def apply(world: World) -> None:
        home = world.home(key.prefix.home.instance)
        if home is None or not home.owns(key):
            return
        record = home.records.find(key)
        step = home.on_verdict(key, verdict)
        binding = (record.binding if record is not None else None) or b""
        if isinstance(step, Dispatch):
            world.dispatch(key, binding)
        elif isinstance(step, Settled):
            world.respond(key, binding, step.answer)
            _send_outcome(world, key, binding, step.answer)

    return apply


def _end(key: IdempotencyKey, binding: bytes, answer: Answer) -> Callable[[World], None]:
    def apply(world: World) -> None:
        world.executing -= {(key, binding)}
        if answer == _REFUSED:
            world.may_have_run -= {key}
        home = world.home(key.prefix.home.instance)
        if home is not None and home.owns(key):
            step = home.on_result(key, answer)
            world.respond(key, binding, step.answer)
            _send_outcome(world, key, binding, step.answer)

    return apply


def _send_outcome(world: World, key: IdempotencyKey, binding: bytes, answer: Answer) -> None:
    if key.prefix.witness is not None:
        to = key.prefix.witness.instance
        world.send(Sent(to, "outcome", key.prefix.home, key, binding, answer=answer))


def _arrive(message: Sent) -> Callable[[World], None]:
    def apply(world: World) -> None:
        if world.homes[message.to] is None:
            return
        key, binding = message.key, message.binding
        if message.kind == "record" and key is not None:
            verdict = _not_none(world.witness(message.to)).on_record(message.sender, key, binding)
            own = world.own(message.to)
            world.send(Sent(key.prefix.home.instance, "verdict", own, key, verdict=verdict))
        elif message.kind == "verdict" and key is not None:
            _verdict(key, message.verdict)(world)
        elif message.kind == "outcome" and key is not None and message.answer is not None:
            _not_none(world.witness(message.to)).on_outcome(
                message.sender, key, binding, message.answer
            )
            sender_home = world.home(key.prefix.home.instance)
            if sender_home is not None:
                sender_home.on_outcome_confirmed(key)
        elif message.kind == "close" and message.prefix is not None:
            _not_none(world.witness(message.to)).on_close(message.sender, message.prefix)
        elif message.kind == "opened" and message.prefix is not None:
            _not_none(world.home(message.to)).open(message.opening, message.prefix, _NOW_S)

    return apply


def _kill(name: str) -> Callable[[World], None]:
    def apply(world: World) -> None:
        world.replace(name, None, None)

    return apply


def _restart(name: str, case: Case, guards: Guards) -> Callable[[World], None]:
    def apply(world: World) -> None:
        world.numbers[name] += 1
        own = world.own(name)
        world.replace(name, guards.home(own, case.limits), guards.witness(own, case.limits))

    return apply


def _close(prefix: KeyPrefix) -> Callable[[World], None]:
    def apply(world: World) -> None:
        home = world.home(prefix.home.instance)
        if home is not None and home.records.holds(prefix):
            home.close(prefix)
            _send_close(world, prefix)

    return apply


def _send_close(world: World, prefix: KeyPrefix) -> None:
    if prefix.witness is not None:
        world.send(Sent(prefix.witness.instance, "close", prefix.home, prefix=prefix))


def _drop_at_home(prefix: KeyPrefix) -> Callable[[World], None]:
    def apply(world: World) -> None:
        home = world.home(prefix.home.instance)
        if home is not None:
            home.drop(prefix)

    return apply


def _drop_at_witness(prefix: KeyPrefix) -> Callable[[World], None]:
    def apply(world: World) -> None:
        witness = world.witness(prefix.witness.instance) if prefix.witness else None
        if witness is not None:
            witness.drop(prefix)

    return apply


def _stop(prefix: KeyPrefix) -> Callable[[World], None]:
    def apply(world: World) -> None:
        home = world.home(prefix.home.instance)
        if home is not None:
            for closed in home.stop():
                _send_close(world, closed)

    return apply


def _path_to(parents: Mapping[Hashable, tuple[Hashable, str] | None], state: Hashable) -> list[str]:
    path: list[str] = []
    parent = parents[state]
    while parent is not None:
        path.append(parent[1])
        parent = parents[parent[0]]
    return path[::-1]


def _not_none(machine: M | None) -> M:
    assert machine is not None
    return machine
