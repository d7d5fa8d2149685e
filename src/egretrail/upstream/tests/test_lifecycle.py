"""Tests ejections, trials, ramps, and the growth of ejections of an upstream that flaps."""

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
    """Permits ejections while ``covered`` is set."""

    def __init__(self) -> None:
        self.covered = True

    def may_eject(self, service: object, upstream: object, now_s: float) -> bool:
        return self.covered


class _HealthDriver:
    """Drives one member's health decisions, with a clock that each attempt advances."""

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
        self.health.record_outcome(
            Attempt(upstream, outcome, 0.01, self.now_s - 0.01, self._digest, "GET", caller),
            self.now_s,
            suspect,
        )

    def attempt_all(self, bad: AttemptOutcome) -> None:
        for name in _NAMES[1:]:
            self.attempt(name, AttemptOutcome.ANSWERED)
        self.attempt(_BAD, bad)

    def attempt_until(self, state: UpstreamState, bad: AttemptOutcome) -> int:
        rounds = 0
        while self.state is not state and rounds < 200:
            self.attempt_all(bad)
            rounds += 1
        return rounds

    def wait_until(self, state: UpstreamState) -> float:
        start_s = self.now_s
        while self.state is not state and self.now_s < start_s + 1000.0:
            self.now_s += 0.1
            self.health.tick(self.now_s)
        return self.now_s - start_s

    @property
    def state(self) -> UpstreamState:
        return self.health.verdict(_BAD, self.now_s).state


class LifecycleTest(EgretrailTestCase):
    def _ejected(self, rights: EjectionRights | None = None) -> _HealthDriver:
        driver = _HealthDriver(rights)
        for _ in range(10):
            driver.attempt_all(AttemptOutcome.ANSWERED)
        driver.attempt_until(UpstreamState.EJECTED, AttemptOutcome.FAILED)
        return driver

    def test_an_ejected_upstream_returns_through_a_trial_and_a_ramp(self) -> None:
        driver = self._ejected()
        driver.wait_until(UpstreamState.TRIAL)
        verdict = driver.health.verdict(_BAD, driver.now_s)
        self.assertTrue(verdict.idempotent_only)
        self.assertLessEqual(verdict.weight, 0.1)
        driver.attempt_until(UpstreamState.RAMPING, AttemptOutcome.ANSWERED)
        self.assertLess(driver.health.verdict(_BAD, driver.now_s).weight, 0.3)
        driver.wait_until(UpstreamState.HEALTHY)
        self.assertEqual(1.0, driver.health.verdict(_BAD, driver.now_s).weight)

    def test_one_failure_fails_a_trial_and_each_ejection_is_longer(self) -> None:
        driver = self._ejected()
        lengths_s = []
        for _ in range(4):
            lengths_s.append(driver.wait_until(UpstreamState.TRIAL))
            driver.attempt(_BAD, AttemptOutcome.FAILED)
            self.assertIs(UpstreamState.EJECTED, driver.state)
        for shorter_s, longer_s in pairwise(lengths_s):
            self.assertGreater(longer_s, 1.5 * shorter_s)

    def test_an_attempt_that_began_before_the_ejection_does_not_fail_the_trial(self) -> None:
        driver = self._ejected()
        late = Attempt(
            _BAD, AttemptOutcome.FAILED, 9.0, driver.now_s - 1.0, 1, "GET", CallerId("late")
        )
        driver.wait_until(UpstreamState.TRIAL)
        driver.health.record_outcome(late, driver.now_s)
        self.assertIs(UpstreamState.TRIAL, driver.state)

    def test_the_ejection_ends_when_its_right_is_no_longer_valid(self) -> None:
        rights = _Revocable()
        driver = self._ejected(rights)
        rights.covered = False
        verdict = driver.health.verdict(_BAD, driver.now_s)
        self.assertIs(UpstreamState.DEGRADED, verdict.state)
        self.assertTrue(verdict.in_service)

    def test_a_peer_adopts_an_ejection_once(self) -> None:
        driver = self._ejected()
        other = _HealthDriver()
        evidence = driver.health.own_evidence(driver.now_s)
        other.health.apply_evidence(InstanceName("m1"), evidence, 0.0)
        self.assertIs(UpstreamState.EJECTED, other.state)
        self.assertEqual(Cause.PEER, other.health.verdict(_BAD, 0.0).cause)
        other.wait_until(UpstreamState.TRIAL)
        again = driver.health.own_evidence(driver.now_s)
        other.health.apply_evidence(InstanceName("m1"), again, other.now_s)
        self.assertIs(UpstreamState.TRIAL, other.state)

    def test_a_new_upstream_ramps(self) -> None:
        driver = _HealthDriver()
        driver.health.set_upstreams([*_NAMES, UpstreamName("new")], 1.0)
        verdict = driver.health.verdict(UpstreamName("new"), 1.0)
        self.assertIs(UpstreamState.RAMPING, verdict.state)
        self.assertLess(verdict.weight, 0.2)

    def test_an_upstream_that_alone_sheds_load_gets_less_and_stays_in_service(self) -> None:
        driver = _HealthDriver()
        for _ in range(20):
            driver.attempt_all(AttemptOutcome.SHED)
        verdict = driver.health.verdict(_BAD, driver.now_s)
        self.assertEqual(Cause.SHEDDING, verdict.cause)
        self.assertTrue(0.1 < verdict.weight < 0.6)

    def test_a_loss_with_a_suspect_request_does_not_eject(self) -> None:
        driver = _HealthDriver()
        for _ in range(10):
            driver.attempt_all(AttemptOutcome.ANSWERED)
        for outcome in (AttemptOutcome.LOST, *[AttemptOutcome.REFUSED] * 12):
            for name in _NAMES[1:]:
                driver.attempt(name, AttemptOutcome.ANSWERED)
            driver.attempt(_BAD, outcome, suspect=outcome is AttemptOutcome.LOST)
        verdict = driver.health.verdict(_BAD, driver.now_s)
        self.assertEqual(Cause.CRASHED_BY_REQUEST, verdict.cause)
        self.assertTrue(verdict.in_service)

    def test_a_client_that_fails_everywhere_causes_no_ejection(self) -> None:
        driver = _HealthDriver()
        broken = CallerId("broken")
        for name in _NAMES[1:]:
            driver.attempt(name, AttemptOutcome.FAILED, caller=broken)
        for _ in range(10):
            driver.attempt_all(AttemptOutcome.ANSWERED)
        for _ in range(8):
            for name in _NAMES[1:]:
                driver.attempt(name, AttemptOutcome.ANSWERED)
            driver.attempt(_BAD, AttemptOutcome.FAILED, caller=broken)
        self.assertTrue(driver.health.verdict(_BAD, driver.now_s).in_service)

    def test_an_upstream_returns_at_once_when_its_loss_is_retracted(self) -> None:
        driver = self._ejected()
        driver.health.retract_loss(_BAD, observed_here=True, now_s=driver.now_s)
        verdict = driver.health.verdict(_BAD, driver.now_s)
        self.assertEqual(Cause.CRASHED_BY_REQUEST, verdict.cause)
        self.assertTrue(verdict.in_service)
        driver.attempt(_BAD, AttemptOutcome.ANSWERED)
        self.assertIs(UpstreamState.TRIAL, driver.state)
