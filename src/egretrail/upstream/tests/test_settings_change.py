"""Tests changes of the detection setting at run time."""

import random

from egretrail.identity import CallerId, ServiceName, UpstreamName
from egretrail.settings import Detection
from egretrail.testing import EgretrailTestCase
from egretrail.upstream import Attempt, AttemptOutcome, ServiceHealth, UnlimitedRights

_NAMES = [UpstreamName(f"u{number}") for number in range(6)]


def _failures_until_ejected(health: ServiceHealth) -> int:
    health.set_upstreams(_NAMES, 0.0)
    for number in range(600):
        now_s = 1.0 + number * 0.02
        upstream = _NAMES[number % 6]
        failing = upstream == _NAMES[0] and number >= 120
        outcome = AttemptOutcome.FAILED if failing else AttemptOutcome.ANSWERED
        attempt = Attempt(upstream, outcome, 0.01, now_s, number, "GET", CallerId("c"))
        health.record_outcome(attempt, now_s)
        if not health.verdict(_NAMES[0], now_s).in_service:
            return (number - 120) // 6 + 1
    return 0


def _health(detection: Detection) -> ServiceHealth:
    rng = random.Random(1)
    return ServiceHealth(ServiceName("t/s"), detection, 0.0, UnlimitedRights(), rng)


class SettingsChangeTest(EgretrailTestCase):
    def test_a_changed_detection_setting_decides_like_an_initial_one(self) -> None:
        patient = _failures_until_ejected(_health(Detection.PATIENT))
        prompt = _failures_until_ejected(_health(Detection.PROMPT))
        retuned = _health(Detection.PATIENT)
        retuned.apply_settings(Detection.PROMPT, 0.0)
        self.assertLess(prompt, patient)
        self.assertEqual(prompt, _failures_until_ejected(retuned))
