"""One state of the explored protocol: state machines, messages, and responses to clients."""

import copy
import enum
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from egretrail.idempotency import (
    Generation,
    Home,
    IdempotencyKey,
    KeyPrefix,
    RecordStore,
    RecordVerdict,
    Witness,
)
from egretrail.identity import Incarnation, InstanceName
from egretrail.request import Answer, Outcome, RecordedAnswer

M = TypeVar("M")


class Violation(enum.Enum):
    """An invariant that a step has violated."""

    SECOND_DISPATCH = "dispatched twice"
    FALSE_NOT_RUN = "reported not-run, but it has run or may run"
    FALSE_RAN = "reported ran, but it has not run"
    CROSSED_ANSWER = "got the response to another request"


@dataclass(frozen=True, slots=True)
class Sent:
    """A message on the network: its receiving instance and its content."""

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
    """One state of the whole system."""

    homes: dict[str, Home | None]
    witnesses: dict[str, Witness | None]
    numbers: dict[str, int]
    keys: tuple[IdempotencyKey, ...]
    sent: frozenset[Sent] = frozenset()
    executing: frozenset[tuple[IdempotencyKey, bytes]] = frozenset()
    dispatched: frozenset[IdempotencyKey] = frozenset()
    may_have_run: frozenset[IdempotencyKey] = frozenset()
    reported_not_run: frozenset[IdempotencyKey] = frozenset()
    violations: frozenset[Violation] = frozenset()
    #: Ids of machines that only this world refers to; others are shared with its predecessor.
    copied_ids: set[int] = field(default_factory=set)
    #: Fingerprints of the machines that are not touched.
    prints: dict[int, Hashable] = field(default_factory=dict)

    def home(self, name: str) -> Home | None:
        """Return the home of an instance, copied for modification."""
        self.homes[name] = self._copied(self.homes[name])
        return self.homes[name]

    def witness(self, name: str) -> Witness | None:
        """Return the witness of an instance, copied for modification."""
        self.witnesses[name] = self._copied(self.witnesses[name])
        return self.witnesses[name]

    def replace(self, name: str, home: Home | None, witness: Witness | None) -> None:
        """Replace both machines of an instance: None ends its process."""
        self.homes[name] = home
        self.witnesses[name] = witness

    def _copied(self, machine: M) -> M:
        if machine is None or id(machine) in self.copied_ids:
            return machine
        copied = _clone_machine(machine)
        self.copied_ids.add(id(copied))
        return copied

    def own(self, name: str) -> Incarnation:
        """Return the current incarnation of an instance."""
        return Incarnation(InstanceName(name), self.numbers[name])

    def send(self, message: Sent) -> None:
        """Put a message on the network, where it stays."""
        self.sent |= {_interned.setdefault(message, message)}

    def dispatch(self, key: IdempotencyKey, binding: bytes) -> None:
        """Start the request of a key."""
        if key in self.dispatched:
            self.violations |= {Violation.SECOND_DISPATCH}
        self.dispatched |= {key}
        self.may_have_run |= {key}
        self.executing |= {(key, binding)}
        self._check_not_run(key)

    def respond(self, key: IdempotencyKey, binding: bytes, answer: Answer) -> None:
        """Send a client the response to its request, and check it."""
        if isinstance(answer, RecordedAnswer):
            if answer.body != binding:
                self.violations |= {Violation.CROSSED_ANSWER}
        elif answer.outcome is Outcome.NOT_RUN:
            self.reported_not_run |= {key}
        elif answer.outcome is Outcome.RAN and key not in self.may_have_run:
            self.violations |= {Violation.FALSE_RAN}
        self._check_not_run(key)

    def _check_not_run(self, key: IdempotencyKey) -> None:
        if key in self.reported_not_run and key in self.may_have_run:
            self.violations |= {Violation.FALSE_NOT_RUN}


def clone(world: World) -> World:
    """Return a copy that may be changed; machines are copied when they are first modified."""
    cloned = copy.copy(world)
    cloned.homes = dict(world.homes)
    cloned.witnesses = dict(world.witnesses)
    cloned.numbers = dict(world.numbers)
    cloned.copied_ids = set()
    cloned.prints = dict(world.prints)
    return cloned


def _clone_machine(machine: M) -> M:
    """Copy a machine, whose values are immutable, dictionaries of immutable values, or records."""
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


def fingerprint(world: World) -> Hashable:
    """Return a value that is equal for two worlds in the same state."""
    machines: list[object] = [*world.homes.values(), *world.witnesses.values()]
    prints = {id(machine): world.prints.get(id(machine)) for machine in machines}
    for machine in machines:
        if prints[id(machine)] is None or id(machine) in world.copied_ids:
            prints[id(machine)] = _machine_fingerprint(machine)
    world.prints = prints
    return (
        tuple(prints[id(machine)] for machine in machines),
        tuple(world.numbers.values()),
        world.sent,
        world.executing,
        world.dispatched,
        world.may_have_run,
        world.reported_not_run,
    )


def _machine_fingerprint(machine: object) -> Hashable:
    if machine is None:
        return 0
    state = tuple(_value_fingerprint(value) for value in vars(machine).values())
    # Each fingerprint is replaced by a number, which makes comparing worlds cheap.
    return _numbers.setdefault((type(machine), state), len(_numbers) + 1)


def _value_fingerprint(value: Any) -> Hashable:
    if not isinstance(value, RecordStore):
        return frozenset(value) if isinstance(value, dict) else value
    generations = tuple(
        (prefix, generation.is_accepting, _records_fingerprint(generation))
        for prefix, generation in value.generations()
    )
    return (generations, tuple(vars(value)["_answers"]))


def _records_fingerprint(generation: Generation) -> Hashable:
    # A set: the order in which keys arrived does not affect behaviour.
    return frozenset(
        (suffix, record.binding, record.phase, record.answer)
        for suffix, record in generation.records.items()
    )
