"""Model checking of ejections that are honoured by other instances.

The model has two holders, one requester, two upstreams and one right. Actions are requests,
replies, ejections, releases, transfers, kills and reissues. Messages are delayed, reordered or
lost; a paused process is modelled by time that passes between two of its actions. Invariant: at no
time are more ejections honoured, over all instances, than rights were issued.
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
#: ``make prove`` allows two exchanges at once, so that replies also arrive out of order.
_EXCHANGES_LIMIT = 2 if "EGRETRAIL_PROVE" in os.environ else 1


@dataclass(slots=True)
class _Exchange:
    holder: InstanceName
    requested_s: float
    ejections: Sequence[Ejection] | None = None


@dataclass(slots=True)
class _World:
    holders: dict[InstanceName, RightsHolder]
    honoured: HonouredEjections
    is_valid_from_receipt: bool = False
    now_s: float = 0
    exchanges: list[_Exchange] = field(default_factory=list)
    in_transit: Right | None = None
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


def _request(name: InstanceName) -> Action[_World]:
    def act(world: _World) -> None:
        world.exchanges.append(_Exchange(name, world.now_s))

    return (f"ask {name}", act)


def _reply(index: int) -> Action[_World]:
    def act(world: _World) -> None:
        exchange = world.exchanges[index]
        exchange.ejections = world.holders[exchange.holder].report_ejections(world.now_s)

    return (f"exchange {index}: the holder replies", act)


def _receive_reply(index: int) -> Action[_World]:
    def act(world: _World) -> None:
        exchange = world.exchanges.pop(index)
        assert exchange.ejections is not None
        since_s = world.now_s if world.is_valid_from_receipt else exchange.requested_s
        world.honoured.record_reply(exchange.holder, exchange.ejections, since_s)

    return (f"exchange {index}: the reply arrives", act)


def _lose_exchange(index: int) -> Action[_World]:
    def act(world: _World) -> None:
        world.exchanges.pop(index)

    return (f"exchange {index} is lost", act)


def _eject(name: InstanceName, upstream: UpstreamName) -> Action[_World]:
    def act(world: _World) -> None:
        world.holders[name].eject(upstream, _ALLOWANCE, world.now_s)

    return (f"{name} ejects {upstream}", act)


def _release(name: InstanceName) -> Action[_World]:
    return (f"{name} releases", lambda world: world.holders[name].release_all())


def _transfer(world: _World) -> None:
    world.in_transit = world.holders[_HOLDERS[0]].transfer(_HOLDERS[1], _ALLOWANCE, world.now_s)


def _receive_right(world: _World) -> None:
    assert world.in_transit is not None
    world.holders[_HOLDERS[1]].accept(world.in_transit, world.now_s)
    world.in_transit = None


def _reissue(world: _World) -> None:
    holder = world.holders[_HOLDERS[1]]
    if not holder.refuse_unless_held(0, 1):
        holder.issue(Right(0, 2, _HOLDERS), world.now_s, reissued=True)
        world.reissued = True


def _actions(world: _World) -> Iterator[Action[_World]]:
    yield ("a second passes", _tick)
    for index, exchange in enumerate(world.exchanges):
        yield _lose_exchange(index)
        if exchange.ejections is not None:
            yield _receive_reply(index)
        elif exchange.holder in world.holders:
            yield _reply(index)
    for name, holder in world.holders.items():
        if len(world.exchanges) < _EXCHANGES_LIMIT:
            yield _request(name)
        if holder.ejections():
            yield _release(name)
        elif holder.rights():
            yield from (_eject(name, upstream) for upstream in _UPSTREAMS)
    if _HOLDERS[0] in world.holders:
        yield ("a is killed", lambda world: world.holders.__delitem__(_HOLDERS[0]))
        if world.in_transit is None:
            yield ("a transfers its right to b", _transfer)
    elif world.in_transit is None and not world.reissued:
        yield ("the right is reissued to b", _reissue)
    if world.in_transit is not None:
        yield ("b takes over the right", _receive_right)


class _ReusesWithoutWaiting(RightsHolder):
    """Reuses a right for another upstream while its last ejection is still honoured."""

    def _may_use(self, held: object, upstream: UpstreamName, now_s: float) -> bool:
        return held.upstream is None  # type: ignore[attr-defined]


class _TransfersWithoutWaiting(RightsHolder):
    """Transfers a right while its last ejection is still honoured."""

    def _may_transfer(self, held: object, now_s: float) -> bool:
        return held.upstream is None  # type: ignore[attr-defined]


class _ReissuesWithoutWaiting(RightsHolder):
    """Uses a reissued right while its dead holder's replies are still honoured."""

    def issue(self, right: Right, now_s: float, *, reissued: bool) -> None:
        super().issue(right, now_s, reissued=False)


class _TransfersInUse(RightsHolder):
    """Transfers a right that is in use."""

    def _may_transfer(self, held: object, now_s: float) -> bool:
        return True


class _NeverExpires(HonouredEjections):
    """Honours a reply until the next one, like a process whose expiry timer was paused with it."""

    def _is_valid(self, answer: object, now_s: float) -> bool:
        return True


def _world(holder: type[RightsHolder], honoured: type[HonouredEjections]) -> _World:
    holders = {name: holder(_TIMING, 0) for name in _HOLDERS}
    holders[_HOLDERS[0]].issue(Right(0, 1, _HOLDERS), 0, reissued=False)
    return _World(holders, honoured(_TIMING))


def _key(world: _World) -> Hashable:
    oldest_s = -_TIMING.validity_s - 1

    def age(requested_s: float) -> float:
        return max(requested_s - world.now_s, oldest_s)

    replies = world.honoured._replies.items()
    return (
        tuple((name, holder_key(holder, world.now_s)) for name, holder in world.holders.items()),
        tuple(
            sorted(
                (name, age(reply.requested_s), _plain(reply.ejections)) for name, reply in replies
            )
        ),
        tuple(sorted((q.holder, age(q.requested_s), _plain(q.ejections)) for q in world.exchanges)),
        world.in_transit is not None,
        world.reissued,
    )


def _clone(world: _World) -> _World:
    copied = copy.copy(world)
    copied.holders = {name: holder_copy(holder) for name, holder in world.holders.items()}
    copied.honoured = copy.copy(world.honoured)
    copied.honoured._replies = dict(world.honoured._replies)
    copied.exchanges = [copy.copy(exchange) for exchange in world.exchanges]
    return copied


def _plain(ejections: Sequence[Ejection] | None) -> tuple[str, ...]:
    if ejections is None:
        return ("no reply",)
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
            "waiting_before_reuse": (_ReusesWithoutWaiting, HonouredEjections, False),
            "waiting_before_transfer": (_TransfersWithoutWaiting, HonouredEjections, False),
            "waiting_after_a_reissue": (_ReissuesWithoutWaiting, HonouredEjections, False),
            "keeping_a_right_in_use": (_TransfersInUse, HonouredEjections, False),
            "expiry": (RightsHolder, _NeverExpires, False),
            "validity_from_the_request": (RightsHolder, HonouredEjections, True),
        }
    )
    def test_each_guard_is_needed(
        self, row: tuple[type[RightsHolder], type[HonouredEjections], bool]
    ) -> None:
        holder, honoured, is_valid_from_receipt = row
        world = _world(holder, honoured)
        world.is_valid_from_receipt = is_valid_from_receipt
        explored = Exploration(_actions, _holds, _key, _clone).run(world)
        print(f"states: {explored.states}, counter-example: {explored.counter_example}")
        self.assertIsNotNone(explored.counter_example)
