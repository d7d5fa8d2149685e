"""Exhaustive exploration of the protocol between a key's home and its witness.

The network is the set of all messages ever sent: at each step any of them may be delivered, any
number of times, in any order, or never. So losses, doubles, reordering and pauses of any length are
all covered, and a timeout is a step that may come at any moment.
"""

import copy
import enum
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from egretrail.idempotency import (
    AskWitness,
    Dispatch,
    Generation,
    Home,
    IdempotencyKey,
    KeyLimits,
    KeyPrefix,
    RecordStore,
    RecordVerdict,
    Reply,
    Settled,
    Witness,
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

    #: Home and witness of each key, None: the home is alone; both roles of an instance die with it.
    keys: Sequence[tuple[str, str | None]] = (("a", "b"),)
    #: Each request names its key by index, and its caller's binding.
    requests: Sequence[tuple[int, bytes]] = ((0, b"x"),)
    #: Instances that may be killed, and those that may then start again.
    killed: Sequence[str] = ("a", "b")
    restarted: Sequence[str] = ()
    #: Whether homes close, drop and reopen generations, and witnesses drop them.
    generations_end: bool = False
    #: Whether homes stop as planned.
    stops: bool = False
    #: Bounds under which the machines run.
    limits: KeyLimits = field(default_factory=KeyLimits)


class Violation(enum.Enum):
    """What must never happen."""

    SECOND_DISPATCH = "dispatched a second time"
    FALSE_NOT_RUN = "told not-run, and it has run or may run"
    FALSE_RAN = "told ran, and it has not run"
    CROSSED_ANSWER = "told another request's answer"


@dataclass(frozen=True, slots=True)
class Sent:
    """A message on the network: its receiver's instance, and what it says."""

    to: str
    kind: str
    sender: Incarnation
    key: IdempotencyKey | None = None
    binding: bytes = b""
    verdict: RecordVerdict | None = None
    answer: Answer | None = None
    prefix: KeyPrefix | None = None
    opening: int = 0


_interned: dict[Sent, Sent] = {}
_numbers: dict[Hashable, int] = {}


@dataclass(slots=True)
class World:
    """One state of everything."""

    homes: dict[str, Home | None]
    witnesses: dict[str, Witness | None]
    numbers: dict[str, int]
    keys: tuple[IdempotencyKey, ...]
    sent: frozenset[Sent] = frozenset()
    executing: frozenset[tuple[IdempotencyKey, bytes]] = frozenset()
    dispatched: frozenset[IdempotencyKey] = frozenset()
    may_have_run: frozenset[IdempotencyKey] = frozenset()
    told_not_run: frozenset[IdempotencyKey] = frozenset()
    violations: frozenset[Violation] = frozenset()
    #: Machines that belong to this world alone; the others are shared with the world before.
    touched: set[int] = field(default_factory=set)
    #: Fingerprints of the machines that are not touched.
    prints: dict[int, Hashable] = field(default_factory=dict)

    def home(self, name: str) -> Home | None:
        """Return the home of an instance, to be changed."""
        self.homes[name] = self._touch(self.homes[name])
        return self.homes[name]

    def witness(self, name: str) -> Witness | None:
        """Return the witness of an instance, to be changed."""
        self.witnesses[name] = self._touch(self.witnesses[name])
        return self.witnesses[name]

    def replace(self, name: str, home: Home | None, witness: Witness | None) -> None:
        """End or start a process."""
        self.homes[name] = home
        self.witnesses[name] = witness

    def _touch(self, machine: M) -> M:
        if machine is None or id(machine) in self.touched:
            return machine
        copied = _clone_machine(machine)
        self.touched.add(id(copied))
        return copied

    def own(self, name: str) -> Incarnation:
        """Return the present incarnation of an instance."""
        return Incarnation(InstanceName(name), self.numbers[name])

    def send(self, message: Sent) -> None:
        """Put a message on the network, for good."""
        self.sent |= {_interned.setdefault(message, message)}

    def dispatch(self, key: IdempotencyKey, binding: bytes) -> None:
        """Start the work of a key."""
        if key in self.dispatched:
            self.violations |= {Violation.SECOND_DISPATCH}
        self.dispatched |= {key}
        self.may_have_run |= {key}
        self.executing |= {(key, binding)}
        self._check_not_run(key)

    def tell(self, key: IdempotencyKey, binding: bytes, answer: Answer) -> None:
        """Tell a caller what the answer to its request is."""
        if isinstance(answer, RecordedAnswer):
            if answer.body != binding:
                self.violations |= {Violation.CROSSED_ANSWER}
        elif answer.outcome is Outcome.NOT_RUN:
            self.told_not_run |= {key}
        elif answer.outcome is Outcome.RAN and key not in self.may_have_run:
            self.violations |= {Violation.FALSE_RAN}
        self._check_not_run(key)

    def _check_not_run(self, key: IdempotencyKey) -> None:
        if key in self.told_not_run and key in self.may_have_run:
            self.violations |= {Violation.FALSE_NOT_RUN}


#: One thing that may happen next: its name, and how it changes a world.
Event = tuple[str, Callable[[World], None]]


@dataclass(frozen=True, slots=True)
class Explored:
    """What an exploration found."""

    #: Distinct states reached.
    states_count: int
    #: Steps between them.
    steps_count: int
    #: The shortest way to the violation; empty when there is none.
    counter_example: Sequence[str]


def explore(case: Case, guards: Guards | None = None, sought: Violation | None = None) -> Explored:
    """Visit every reachable state, nearest first, until a step violates a promise.

    With ``sought`` only that promise counts: a missing guard often breaks several.
    """
    kinds = guards or Guards()
    first = _first_world(case, kinds)
    parents: dict[Hashable, tuple[Hashable, str] | None] = {_fingerprint(first): None}
    layer = [first]
    steps_count = 0
    while layer:
        following: list[World] = []
        for state in layer:
            here = _fingerprint(state)
            for name, act in _events(state, case, kinds):
                world = _clone(state)
                act(world)
                steps_count += 1
                if sought in world.violations or (sought is None and world.violations):
                    return Explored(len(parents), steps_count, [*_way(parents, here), name])
                world.violations = frozenset()
                reached = _fingerprint(world)
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


def _open(world: World, home: str, witness: str | None, doubled: bool) -> KeyPrefix:
    at_home = world.homes[home]
    assert at_home is not None
    if witness is None:
        alone = at_home.open_alone(_NOW_S)
        assert alone is not None
        return alone
    at_witness = world.witnesses[witness]
    assert at_witness is not None
    opening = at_home.ask_generation()
    prefix = at_witness.open(world.own(home), _NOW_S)
    assert at_home.open(opening, prefix, _NOW_S)
    if doubled:
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
    def act(world: World) -> None:
        home = world.home(key.prefix.home.instance)
        assert home is not None
        step = home.on_request(key, binding)
        if isinstance(step, Reply):
            world.tell(key, binding, step.answer)
        elif isinstance(step, Dispatch):
            world.dispatch(key, binding)
        if isinstance(step, AskWitness):
            assert key.prefix.witness is not None
            to = key.prefix.witness.instance
            sender = world.own(key.prefix.home.instance)
            world.send(Sent(to, "record", sender, key, binding))

    return act


def _await(key: IdempotencyKey, binding: bytes) -> Callable[[World], None]:
    def act(world: World) -> None:
        home = world.home(key.prefix.home.instance)
        assert home is not None
        step = home.on_await(key, binding) if home.owns(key) else None
        if isinstance(step, Reply):
            world.tell(key, binding, step.answer)
            _send_outcome(world, key, binding, step.answer)

    return act


def _query(key: IdempotencyKey, binding: bytes) -> Callable[[World], None]:
    def act(world: World) -> None:
        assert key.prefix.witness is not None
        witness = world.witness(key.prefix.witness.instance)
        assert witness is not None
        answer = witness.on_query(key, binding)
        if answer is not None:
            world.tell(key, binding, answer)

    return act


def _verdict(key: IdempotencyKey, verdict: RecordVerdict | None) -> Callable[[World], None]:
    def act(world: World) -> None:
        home = world.home(key.prefix.home.instance)
        if home is None or not home.owns(key):
            return
        record = home.records.find(key)
        step = home.on_verdict(key, verdict)
        binding = (record.binding if record is not None else None) or b""
        if isinstance(step, Dispatch):
            world.dispatch(key, binding)
        elif isinstance(step, Settled):
            world.tell(key, binding, step.answer)
            _send_outcome(world, key, binding, step.answer)

    return act


def _end(key: IdempotencyKey, binding: bytes, answer: Answer) -> Callable[[World], None]:
    def act(world: World) -> None:
        world.executing -= {(key, binding)}
        if answer == _REFUSED:
            world.may_have_run -= {key}
        home = world.home(key.prefix.home.instance)
        if home is not None and home.owns(key):
            step = home.on_executed(key, answer)
            world.tell(key, binding, step.answer)
            _send_outcome(world, key, binding, step.answer)

    return act


def _send_outcome(world: World, key: IdempotencyKey, binding: bytes, answer: Answer) -> None:
    if key.prefix.witness is not None:
        to = key.prefix.witness.instance
        world.send(Sent(to, "outcome", key.prefix.home, key, binding, answer=answer))


def _arrive(message: Sent) -> Callable[[World], None]:
    def act(world: World) -> None:
        if world.homes[message.to] is None:
            return
        key, binding = message.key, message.binding
        if message.kind == "record" and key is not None:
            verdict = _alive(world.witness(message.to)).on_record(message.sender, key, binding)
            own = world.own(message.to)
            world.send(Sent(key.prefix.home.instance, "verdict", own, key, verdict=verdict))
        elif message.kind == "verdict" and key is not None:
            _verdict(key, message.verdict)(world)
        elif message.kind == "outcome" and key is not None and message.answer is not None:
            _alive(world.witness(message.to)).on_outcome(
                message.sender, key, binding, message.answer
            )
            home_again = world.home(key.prefix.home.instance)
            if home_again is not None:
                home_again.on_kept(key)
        elif message.kind == "close" and message.prefix is not None:
            _alive(world.witness(message.to)).on_close(message.sender, message.prefix)
        elif message.kind == "opened" and message.prefix is not None:
            _alive(world.home(message.to)).open(message.opening, message.prefix, _NOW_S)

    return act


def _kill(name: str) -> Callable[[World], None]:
    def act(world: World) -> None:
        world.replace(name, None, None)

    return act


def _restart(name: str, case: Case, guards: Guards) -> Callable[[World], None]:
    def act(world: World) -> None:
        world.numbers[name] += 1
        own = world.own(name)
        world.replace(name, guards.home(own, case.limits), guards.witness(own, case.limits))

    return act


def _close(prefix: KeyPrefix) -> Callable[[World], None]:
    def act(world: World) -> None:
        home = world.home(prefix.home.instance)
        if home is not None and home.records.holds(prefix):
            home.close(prefix)
            _send_close(world, prefix)

    return act


def _send_close(world: World, prefix: KeyPrefix) -> None:
    if prefix.witness is not None:
        world.send(Sent(prefix.witness.instance, "close", prefix.home, prefix=prefix))


def _drop_at_home(prefix: KeyPrefix) -> Callable[[World], None]:
    def act(world: World) -> None:
        home = world.home(prefix.home.instance)
        if home is not None:
            home.drop(prefix)

    return act


def _drop_at_witness(prefix: KeyPrefix) -> Callable[[World], None]:
    def act(world: World) -> None:
        witness = world.witness(prefix.witness.instance) if prefix.witness else None
        if witness is not None:
            witness.drop(prefix)

    return act


def _stop(prefix: KeyPrefix) -> Callable[[World], None]:
    def act(world: World) -> None:
        home = world.home(prefix.home.instance)
        if home is not None:
            for closed in home.stop():
                _send_close(world, closed)

    return act


def _way(parents: Mapping[Hashable, tuple[Hashable, str] | None], state: Hashable) -> list[str]:
    way: list[str] = []
    parent = parents[state]
    while parent is not None:
        way.append(parent[1])
        parent = parents[parent[0]]
    return way[::-1]


def _clone(world: World) -> World:
    cloned = copy.copy(world)
    cloned.homes = dict(world.homes)
    cloned.witnesses = dict(world.witnesses)
    cloned.numbers = dict(world.numbers)
    cloned.touched = set()
    cloned.prints = dict(world.prints)
    return cloned


def _alive(machine: M | None) -> M:
    assert machine is not None
    return machine


def _clone_machine(machine: M) -> M:
    """Copy a machine; whatever it holds is immutable, a dictionary of such, or its records."""
    if machine is None:
        return machine
    copied: M = object.__new__(type(machine))
    for name, value in vars(machine).items():
        vars(copied)[name] = _clone_value(value)
    return copied


def _clone_value(value: Any) -> Any:
    if isinstance(value, RecordStore):
        copied = _clone_machine(value)
        vars(copied)["_generations"] = {
            prefix: replace(
                generation,
                records={suffix: replace(r) for suffix, r in generation.records.items()},
            )
            for prefix, generation in value.generations()
        }
        return copied
    return value.copy() if isinstance(value, (dict, OrderedDict)) else value


def _fingerprint(world: World) -> Hashable:
    machines: list[object] = [*world.homes.values(), *world.witnesses.values()]
    prints = {id(machine): world.prints.get(id(machine)) for machine in machines}
    for machine in machines:
        if prints[id(machine)] is None or id(machine) in world.touched:
            prints[id(machine)] = _machine_fingerprint(machine)
    world.prints = prints
    return (
        tuple(prints[id(machine)] for machine in machines),
        tuple(world.numbers.values()),
        world.sent,
        world.executing,
        world.dispatched,
        world.may_have_run,
        world.told_not_run,
    )


def _machine_fingerprint(machine: object) -> Hashable:
    if machine is None:
        return 0
    print_ = tuple(_value_fingerprint(value) for value in vars(machine).values())
    # A number stands for each, so that comparing worlds compares numbers.
    return _numbers.setdefault((type(machine), print_), len(_numbers) + 1)


def _value_fingerprint(value: Any) -> Hashable:
    if not isinstance(value, RecordStore):
        return frozenset(value) if isinstance(value, dict) else value
    generations = tuple(
        (prefix, generation.accepting, _records_fingerprint(generation))
        for prefix, generation in value.generations()
    )
    return (generations, tuple(vars(value)["_answers"]))


def _records_fingerprint(generation: Generation) -> Hashable:
    # As a set: in which order keys came in decides nothing.
    return frozenset(
        (suffix, record.binding, record.phase, record.answer)
        for suffix, record in generation.records.items()
    )
