"""Random interleavings of requests, faults and delays, checked against what actually ran."""

import asyncio
from dataclasses import dataclass, replace
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from egretrail.idempotency import KeyLimits
from egretrail.identity import CallerId, InstanceName
from egretrail.request import RequestEnvelope
from egretrail.runtime.tests.keyed_fleet import KeyedFleet, keyed_fleet
from egretrail.testing import EgretrailTestCase, PausedLoop

_NAMES = ("a", "b", "c")
_names = st.sampled_from(_NAMES)
_choice = st.integers(0, 1 << 16)
_recent = st.integers(0, 3)
_PAUSES_S = (0.0, 0.0015, 0.0025, 0.1, 0.3, 1.2, 3.0)
_pauses = st.sampled_from(_PAUSES_S)
_three_pauses = st.tuples(_pauses, _pauses, _pauses)
#: Small, so that generations fill up, close and expire, and answers are evicted.
_LIMITS = KeyLimits(
    answers_size_bytes=1500,
    answer_size_bytes=600,
    generation_keys=4,
    issue_s=8.0,
    accept_s=16.0,
    retain_s=30.0,
    witness_generations=3,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in an episode of a request and its resends."""

    kind: str
    one: str
    other: str
    #: Whether the fault starts before the request, and whether it ends before the last resend.
    first: bool
    healed: bool


_faults = st.builds(
    Fault,
    st.sampled_from(
        ["none", "cut", "cut_both", "slow", "lossy", "doubled", "freeze", "kill", "stop"]
    ),
    _names,
    _names,
    st.booleans(),
    st.booleans(),
)


class KeyedMachine(RuleBasedStateMachine):
    """Three instances; every rule is an action of clients or operators, or a fault."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=PausedLoop)
        self.requests: list[RequestEnvelope] = []
        self.delays_s: dict[tuple[str, str], float] = {}
        self.fleet: KeyedFleet

    @initialize(seed=_choice)
    def begin(self, seed: int) -> None:
        self.fleet = self.runner.run(keyed_fleet(_NAMES, seed, _LIMITS))
        self.fleet.endings = ("answer", "answer", "refused", "lost")

    @rule(home=_names, at=_names, again_at=_names, fault=_faults, pauses_s=_three_pauses)
    def episode(
        self, home: str, at: str, again_at: str, fault: Fault, pauses_s: tuple[float, ...]
    ) -> None:
        request = self.runner.run(self._request(home))
        if request is None:
            return
        self.requests.append(request)
        if fault.first:
            self.inject(fault)
        self._send(at, request)
        self._advance(pauses_s[0])
        if not fault.first:
            self.inject(fault)
        self._send(again_at, request)
        self._advance(pauses_s[1])
        if fault.healed:
            self.restore()
        self._send(at, request)
        self._advance(pauses_s[2])

    @rule()
    def restore(self) -> None:
        network = self.fleet.network
        network.cut.clear()
        network.loss_share = network.double_share = 0.0
        self.delays_s.clear()
        for paused in network.frozen.values():
            paused.set()
        network.frozen.clear()
        for name in _NAMES:
            if InstanceName(name) not in self.fleet.processes:
                self.runner.run(self.fleet.start(name))

    @precondition(lambda self: self.requests)
    @rule(at=_names, which=_recent, pass_s=_pauses)
    def resend(self, at: str, which: int, pass_s: float) -> None:
        self._send(at, self.requests[-1 - which % len(self.requests)])
        self._advance(pass_s)

    @precondition(lambda self: self.requests)
    @rule(at=_names, which=_recent)
    def reuse(self, at: str, which: int) -> None:
        first = self.requests[-1 - which % len(self.requests)]
        self._send(at, replace(first, body=b"another order"))
        self._send(at, replace(first, caller_id=CallerId("z"), body=first.body + b" of z"))

    @rule(pass_s=st.sampled_from([0.5, 2.0, 10.0]))
    def wait(self, pass_s: float) -> None:
        self._advance(pass_s)

    @rule(fault=_faults)
    def inject(self, fault: Fault) -> None:
        one, other = InstanceName(fault.one), InstanceName(fault.other)
        network = self.fleet.network
        match fault.kind:
            case "cut":
                network.cut.add((one, other))
            case "cut_both":
                network.cut_both(one, other)
            case "slow":
                self.delays_s[one, other] = 2.5
                network.latency_s = self._delay_s
            case "lossy":
                network.loss_share = 0.2
            case "doubled":
                network.double_share = 0.5
            case "freeze":
                network.frozen.setdefault(one, asyncio.Event())
            case "kill":
                self.runner.run(self.fleet.kill(one))
            case "stop" if one in self.fleet.processes:
                self.runner.run(self.fleet.stop(one, 3.0))

    @invariant()
    def guarantees_hold(self) -> None:
        if hasattr(self, "fleet"):
            assert self.fleet.faults() == []

    def teardown(self) -> None:
        if hasattr(self, "fleet"):
            self.restore()
            self._advance(20.0)
            for request in self.requests:
                for name in _NAMES:
                    self._send(name, request)
            self._advance(60.0)
            assert self.fleet.faults() == []
            self.runner.run(self.fleet.end())
        self.runner.close()

    def _delay_s(self, one: InstanceName, other: InstanceName) -> float:
        return self.delays_s.get((one, other), 0.001)

    async def _request(self, home: str) -> RequestEnvelope | None:
        return self.fleet.request(home, f"s{len(self.requests)}")

    def _send(self, at: str, request: RequestEnvelope) -> None:
        async def send() -> None:
            self.fleet.send(at, request)

        if InstanceName(at) in self.fleet.processes:
            self.runner.run(send())

    def _advance(self, pass_s: float) -> None:
        self.runner.run(asyncio.sleep(pass_s))


class KeyedMachineTest(EgretrailTestCase):
    def test_no_interleaving_violates_a_guarantee(self) -> None:
        bounds: Any = settings(
            derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
        )
        run_state_machine_as_test(KeyedMachine, settings=bounds)
