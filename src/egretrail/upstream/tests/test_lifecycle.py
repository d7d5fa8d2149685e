"""Ejection, trial, ramp, and ejections that grow while an upstream flaps."""

import random
from itertools import pairwise

from egretrail.identity import CallerId, InstanceName, UpstreamName
from egretrail.settings import Detection
from egretrail.testing import EgretrailTestCase
from egretrail.upstream import (
    Attempt,
    AttemptOutcome,
    Cause,
    EjectionRights,
    ServiceHealth,
    UnlimitedRights,
    UpstreamState,
)
from egretrail.upstream.tests._simulation import SERVICE

_NAMES = [UpstreamName(f"u{index}") for index in range(6)]
_BAD = _NAMES[0]


class _Revocable(UnlimitedRights):
    """Covers ejections until it is told not to."""

    def __init__(self) -> None:
        self.covered = True

    def may_eject(self, service: object, upstream: object, now_s: float) -> bool:
        return self.covered


class _Driven:
    """One member's health with a clock that attempts move on."""

    def __init__(self, rights: EjectionRights | None = None) -> None:
        self.health = ServiceHealth(
            SERVICE, Detection.PROMPT, 10.0, rights or UnlimitedRights(), random.Random(1)
        )
        self.health.set_upstreams(_NAMES, 0.0)
        self.now_s = 0.0
        self._digest = 0

    def attempt(
        self,
        upstream: UpstreamName,
        outcome: AttemptOutcome,
        suspect: bool = False,
        caller: CallerId | None = None,
    ) -> None:
        self._digest += 1
        self.now_s += 0.02
        caller = caller or CallerId(f"c{self._digest % 40}")
        self.health.record(
            Attempt(upstream, outcome, 0.01, self.now_s - 0.01, self._digest, "GET", caller),
            self.now_s,
            suspect,
        )

    def round(self, bad: AttemptOutcome) -> None:
        for name in _NAMES[1:]:
            self.attempt(name, AttemptOutcome.ANSWERED)
        self.attempt(_BAD, bad)

    def until(self, state: UpstreamState, bad: AttemptOutcome) -> int:
        rounds = 0
        while self.state is not state and rounds < 200:
            self.round(bad)
            rounds += 1
        return rounds

    def wait(self, state: UpstreamState) -> float:
        start_s = self.now_s
        while self.state is not state and self.now_s < start_s + 1000.0:
            self.now_s += 0.1
            self.health.tick(self.now_s)
        return self.now_s - start_s

    @property
    def state(self) -> UpstreamState:
        return self.health.verdict(_BAD, self.now_s).state


class LifecycleTest(EgretrailTestCase):
    def _ejected(self, rights: EjectionRights | None = None) -> _Driven:
        driven = _Driven(rights)
        for _ in range(10):
            driven.round(AttemptOutcome.ANSWERED)
        driven.until(UpstreamState.EJECTED, AttemptOutcome.FAILED)
        return driven

    def test_it_returns_through_a_trial_and_a_ramp(self) -> None:
        driven = self._ejected()
        driven.wait(UpstreamState.TRIAL)
        verdict = driven.health.verdict(_BAD, driven.now_s)
        self.assertTrue(verdict.idempotent_only)
        self.assertLessEqual(verdict.weight, 0.1)
        driven.until(UpstreamState.RAMPING, AttemptOutcome.ANSWERED)
        self.assertLess(driven.health.verdict(_BAD, driven.now_s).weight, 0.3)
        driven.wait(UpstreamState.HEALTHY)
        self.assertEqual(1.0, driven.health.verdict(_BAD, driven.now_s).weight)

    def test_one_failure_ends_a_trial_and_each_ejection_is_longer(self) -> None:
        driven = self._ejected()
        lengths_s = []
        for _ in range(4):
            lengths_s.append(driven.wait(UpstreamState.TRIAL))
            driven.attempt(_BAD, AttemptOutcome.FAILED)
            self.assertIs(UpstreamState.EJECTED, driven.state)
        for shorter_s, longer_s in pairwise(lengths_s):
            self.assertGreater(longer_s, 1.5 * shorter_s)

    def test_answers_that_began_before_the_ejection_do_not_shorten_it(self) -> None:
        driven = self._ejected()
        late = Attempt(
            _BAD, AttemptOutcome.FAILED, 9.0, driven.now_s - 1.0, 1, "GET", CallerId("late")
        )
        driven.wait(UpstreamState.TRIAL)
        driven.health.record(late, driven.now_s)
        self.assertIs(UpstreamState.TRIAL, driven.state)

    def test_a_lapsed_right_ends_the_ejection_at_once(self) -> None:
        rights = _Revocable()
        driven = self._ejected(rights)
        rights.covered = False
        verdict = driven.health.verdict(_BAD, driven.now_s)
        self.assertIs(UpstreamState.DEGRADED, verdict.state)
        self.assertTrue(verdict.in_service)

    def test_a_peer_adopts_an_ejection_once(self) -> None:
        driven = self._ejected()
        other = _Driven()
        evidence = driven.health.own_evidence(driven.now_s)
        other.health.merge(InstanceName("m1"), evidence, 0.0)
        self.assertIs(UpstreamState.EJECTED, other.state)
        self.assertEqual(Cause.PEER, other.health.verdict(_BAD, 0.0).cause)
        other.wait(UpstreamState.TRIAL)
        other.health.merge(InstanceName("m1"), evidence, other.now_s)
        self.assertIs(UpstreamState.TRIAL, other.state)

    def test_a_new_upstream_ramps(self) -> None:
        driven = _Driven()
        driven.health.set_upstreams([*_NAMES, UpstreamName("new")], 1.0)
        verdict = driven.health.verdict(UpstreamName("new"), 1.0)
        self.assertIs(UpstreamState.RAMPING, verdict.state)
        self.assertLess(verdict.weight, 0.2)

    def test_an_upstream_that_alone_sheds_gets_less_but_stays(self) -> None:
        driven = _Driven()
        for _ in range(20):
            driven.round(AttemptOutcome.SHED)
        verdict = driven.health.verdict(_BAD, driven.now_s)
        self.assertEqual(Cause.SHEDDING, verdict.cause)
        self.assertTrue(0.1 < verdict.weight < 0.6)

    def test_losses_to_a_suspect_request_do_not_eject(self) -> None:
        driven = _Driven()
        for _ in range(10):
            driven.round(AttemptOutcome.ANSWERED)
        for outcome in (AttemptOutcome.LOST, *[AttemptOutcome.REFUSED] * 12):
            for name in _NAMES[1:]:
                driven.attempt(name, AttemptOutcome.ANSWERED)
            driven.attempt(_BAD, outcome, suspect=outcome is AttemptOutcome.LOST)
        verdict = driven.health.verdict(_BAD, driven.now_s)
        self.assertEqual(Cause.CRASHED_BY_REQUEST, verdict.cause)
        self.assertTrue(verdict.in_service)

    def test_a_caller_that_fails_everywhere_convicts_nobody(self) -> None:
        driven = _Driven()
        broken = CallerId("broken")
        for name in _NAMES[1:]:
            driven.attempt(name, AttemptOutcome.FAILED, caller=broken)
        for _ in range(10):
            driven.round(AttemptOutcome.ANSWERED)
        for _ in range(8):
            for name in _NAMES[1:]:
                driven.attempt(name, AttemptOutcome.ANSWERED)
            driven.attempt(_BAD, AttemptOutcome.FAILED, caller=broken)
        self.assertTrue(driven.health.verdict(_BAD, driven.now_s).in_service)

    def test_an_excused_upstream_returns_at_once(self) -> None:
        driven = self._ejected()
        driven.health.excuse(_BAD, observed_here=True, now_s=driven.now_s)
        verdict = driven.health.verdict(_BAD, driven.now_s)
        self.assertEqual(Cause.CRASHED_BY_REQUEST, verdict.cause)
        self.assertTrue(verdict.in_service)
        driven.attempt(_BAD, AttemptOutcome.ANSWERED)
        self.assertIs(UpstreamState.TRIAL, driven.state)
