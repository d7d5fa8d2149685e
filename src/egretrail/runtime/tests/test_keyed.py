"""Keyed requests over the fake network: what each fault ends in."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from egretrail.identity import InstanceName
from egretrail.request import Answer, Refusal, RequestEnvelope
from egretrail.runtime.tests.keyed_fleet import KeyedFleet, keyed_fleet
from egretrail.testing import EgretrailTestCase, cases

ANSWER, NOT_RUN, UNKNOWN = "answer", "not-run", "unknown"


@dataclass(slots=True)
class Scene:
    """A home, its witness, and the instance where the caller is."""

    fleet: KeyedFleet
    home: str
    witness: str
    receiver: str
    request: RequestEnvelope
    stopping: list[asyncio.Task[None]] = field(default_factory=list)

    def cut(self, one: str, other: str) -> None:
        self.fleet.network.cut.add((InstanceName(one), InstanceName(other)))

    def cut_both(self, one: str, other: str) -> None:
        self.fleet.network.cut_both(InstanceName(one), InstanceName(other))

    def freeze(self, name: str) -> None:
        self.fleet.network.frozen[InstanceName(name)] = asyncio.Event()

    def thaw(self) -> None:
        for paused in self.fleet.network.frozen.values():
            paused.set()
        self.fleet.network.frozen.clear()


Fault = Callable[[Scene], Awaitable[None]]


async def home_killed(scene: Scene) -> None:
    await scene.fleet.kill(scene.home)


async def home_restarted(scene: Scene) -> None:
    await scene.fleet.kill(scene.home)
    await scene.fleet.start(scene.home)


async def witness_killed(scene: Scene) -> None:
    await scene.fleet.kill(scene.witness)


async def witness_restarted(scene: Scene) -> None:
    await scene.fleet.kill(scene.witness)
    await scene.fleet.start(scene.witness)


async def both_killed(scene: Scene) -> None:
    await scene.fleet.kill(scene.witness)
    await scene.fleet.kill(scene.home)


async def home_frozen(scene: Scene) -> None:
    scene.freeze(scene.home)


async def witness_frozen(scene: Scene) -> None:
    scene.freeze(scene.witness)


async def home_cut_off_from_receiver(scene: Scene) -> None:
    scene.cut_both(scene.home, scene.receiver)


async def home_silent_to_receiver(scene: Scene) -> None:
    scene.cut(scene.home, scene.receiver)


async def receiver_silent_to_home(scene: Scene) -> None:
    scene.cut(scene.receiver, scene.home)


async def home_cut_off_from_witness(scene: Scene) -> None:
    scene.cut_both(scene.home, scene.witness)


async def witness_silent_to_home(scene: Scene) -> None:
    scene.cut(scene.witness, scene.home)


async def home_silent_to_witness(scene: Scene) -> None:
    scene.cut(scene.home, scene.witness)


async def receiver_cut_off(scene: Scene) -> None:
    scene.cut_both(scene.receiver, scene.home)
    scene.cut_both(scene.receiver, scene.witness)


async def home_cut_off(scene: Scene) -> None:
    scene.cut_both(scene.home, scene.witness)
    scene.cut_both(scene.home, scene.receiver)


async def home_stopped(scene: Scene) -> None:
    await scene.fleet.stop(scene.home)


async def home_stopping(scene: Scene) -> None:
    stop = scene.fleet.stop(scene.home)
    scene.stopping.append(asyncio.get_running_loop().create_task(stop))
    await asyncio.sleep(0)


async def witness_stopped(scene: Scene) -> None:
    await scene.fleet.stop(scene.witness)


async def nothing(_scene: Scene) -> None:
    pass


@dataclass(frozen=True, slots=True)
class Row:
    """What a request or its resend ends in when the fault comes at one of three moments."""

    fault: Fault
    #: Before the first request.
    before: str
    #: While the upstream works; the resend comes at once.
    during: str
    #: After the first answer.
    after: str


_TABLE = {
    fault.__name__: Row(fault, before, during, after)
    for fault, before, during, after in [
        (nothing, ANSWER, ANSWER, ANSWER),
        (home_killed, NOT_RUN, UNKNOWN, ANSWER),
        (home_restarted, NOT_RUN, UNKNOWN, ANSWER),
        (home_frozen, NOT_RUN, UNKNOWN, ANSWER),
        (home_stopping, NOT_RUN, ANSWER, ANSWER),
        (home_stopped, NOT_RUN, ANSWER, ANSWER),
        (home_cut_off, NOT_RUN, UNKNOWN, ANSWER),
        (home_cut_off_from_receiver, NOT_RUN, ANSWER, ANSWER),
        (home_silent_to_receiver, ANSWER, ANSWER, ANSWER),
        (receiver_silent_to_home, NOT_RUN, ANSWER, ANSWER),
        (home_cut_off_from_witness, NOT_RUN, ANSWER, ANSWER),
        (home_silent_to_witness, NOT_RUN, ANSWER, ANSWER),
        (witness_silent_to_home, NOT_RUN, ANSWER, ANSWER),
        (witness_killed, NOT_RUN, ANSWER, ANSWER),
        (witness_restarted, NOT_RUN, ANSWER, ANSWER),
        (witness_frozen, NOT_RUN, ANSWER, ANSWER),
        (witness_stopped, NOT_RUN, ANSWER, ANSWER),
        (both_killed, UNKNOWN, UNKNOWN, UNKNOWN),
        (receiver_cut_off, UNKNOWN, UNKNOWN, UNKNOWN),
    ]
}


class FaultTest(EgretrailTestCase):
    @cases(_TABLE)
    def test_a_fault_before_the_request(self, row: Row) -> None:
        self.assertEqual(row.before, self.run_paused(self._resend(row.fault, None)))

    @cases(_TABLE)
    def test_a_fault_during_the_run(self, row: Row) -> None:
        self.assertEqual(row.during, self.run_paused(self._resend(row.fault, 0.1)))

    @cases(_TABLE)
    def test_a_fault_after_the_answer(self, row: Row) -> None:
        self.assertEqual(row.after, self.run_paused(self._resend(row.fault, 0.4)))

    async def _resend(self, fault: Fault, fault_after_s: float | None) -> str:
        """Return what a request that is sent after the fault ends in, at the receiver."""
        scene = await _scene()
        fleet, request = scene.fleet, scene.request
        if fault_after_s is not None:
            fleet.send(scene.receiver, request)
            await asyncio.sleep(fault_after_s)
        await fault(scene)
        answer = await fleet.send(scene.receiver, request)
        scene.thaw()
        fleet.network.cut.clear()
        await asyncio.sleep(60.0)
        self.assertEqual([], fleet.faults())
        await fleet.end()
        return _kind(answer)


class IsolationTest(EgretrailTestCase):
    @cases({"before": None, "during": 0.1, "after": 2.0})
    def test_an_instance_cut_off_from_home_and_witness_asks_another(
        self, fault_after_s: float | None
    ) -> None:
        self.assertEqual(ANSWER, self.run_paused(self._isolated(fault_after_s)))

    async def _isolated(self, fault_after_s: float | None) -> str:
        scene = await _scene(("a", "b", "c", "d"))
        if fault_after_s is not None:
            scene.fleet.send(scene.receiver, scene.request)
            await asyncio.sleep(fault_after_s)
        await receiver_cut_off(scene)
        answer = await scene.fleet.send(scene.receiver, scene.request)
        self.assertEqual([], scene.fleet.faults())
        await scene.fleet.end()
        return _kind(answer)


#: Of 20 moments, from just before the request to 1.35 s after its answer, those at which the fault
#: makes an immediate resend end in ``unknown``. The upstream works for 1.5 s, longer than an
#: instance waits before it takes a silent one for unreachable.
_UNKNOWN_COUNTS = {
    fault.__name__: (fault, count)
    for fault, count in [
        (home_killed, 10),
        (home_restarted, 10),
        (home_frozen, 10),
        (home_stopping, 0),
        (home_stopped, 0),
        (home_cut_off, 0),
        (home_cut_off_from_receiver, 0),
        (home_silent_to_receiver, 0),
        (receiver_silent_to_home, 0),
        (home_cut_off_from_witness, 0),
        (home_silent_to_witness, 0),
        (witness_silent_to_home, 0),
        (witness_killed, 0),
        (witness_restarted, 0),
        (witness_frozen, 0),
        (witness_stopped, 0),
        (both_killed, 20),
        (receiver_cut_off, 1),
    ]
}


class UnknownTest(EgretrailTestCase):
    @cases(_UNKNOWN_COUNTS)
    def test_how_often_a_fault_ends_in_unknown(self, row: tuple[Fault, int]) -> None:
        outcomes = [self.run_paused(self._after_fault(row[0], step * 0.15)) for step in range(20)]
        self.assertEqual(row[1], outcomes.count(UNKNOWN))

    async def _after_fault(self, fault: Fault, after_s: float) -> str:
        scene = await _scene(("a", "b", "c", "d"))
        scene.fleet.work_s = 1.5
        scene.fleet.send(scene.receiver, scene.request)
        await asyncio.sleep(after_s)
        await fault(scene)
        answer = await scene.fleet.send(scene.receiver, scene.request)
        self.assertEqual([], scene.fleet.faults())
        await scene.fleet.end()
        return _kind(answer)


async def _scene(names: Sequence[str] = ("a", "b", "c")) -> Scene:
    """Return a fleet, a request for its first instance, and the caller at a third one."""
    fleet = await keyed_fleet(names)
    request = fleet.request("a", "order-1")
    assert request is not None
    witness = fleet.witness_of(request)
    receiver = next(name for name in names if name not in ("a", witness))
    return Scene(fleet, "a", witness, receiver, request)


def _kind(answer: Answer) -> str:
    return answer.outcome.value if isinstance(answer, Refusal) else ANSWER
