"""Which overdue requests put an upstream behind the others."""

import random
import statistics
from collections.abc import Sequence

from egretrail.dispatch import Observation, Outcome, SuspicionTable, UpstreamHealth
from egretrail.testing import EgretrailTestCase, cases

_UPSTREAM_ID = "up-1"
_TYPICAL_S, _OVERDUE_S = 0.18, 0.8
_LONG_SHARE, _LONG_FACTOR = 0.03, 7.0
_OBSERVERS = 132

#: Time, observer and whether the request is overdue (else it is answered).
Event = tuple[float, str, bool]


def _record(suspicions: SuspicionTable, event: Event) -> None:
    at_s, observer, is_overdue = event
    outcome = Outcome.OVERDUE if is_overdue else Outcome.SUCCESS
    duration_s = _OVERDUE_S if is_overdue else _TYPICAL_S
    observation = Observation(_UPSTREAM_ID, outcome, duration_s)
    suspicions.record_outcome(observation, observer, _TYPICAL_S, at_s)


def _requests(
    seed: int, rate_per_s: float, length_s: float, hanging_share: float
) -> Sequence[Event]:
    """Return what the instances of a zone report of the requests at one upstream."""
    rng = random.Random(seed)
    events: list[Event] = []
    at_s = 0.0
    while at_s < length_s:
        at_s += rng.expovariate(rate_per_s)
        observer = f"i{rng.randrange(_OBSERVERS)}"
        duration_s = rng.lognormvariate(-1.75, 0.3)
        if rng.random() < _LONG_SHARE:
            duration_s *= _LONG_FACTOR
        if rng.random() < hanging_share:
            duration_s = float("inf")
        if duration_s > _OVERDUE_S:
            events.append((at_s + _OVERDUE_S, observer, True))
        if duration_s < length_s:
            events.append((at_s + duration_s, observer, False))
    return sorted(events)


def weak_share(seed: int, rate_per_s: float) -> float:
    """Return the share of time in which a healthy upstream comes after the others."""
    suspicions, events = SuspicionTable("me"), _requests(seed, rate_per_s, 120.0, 0.0)
    samples, weak, next_s = 0, 0, 0.0
    for event in events:
        while next_s < event[0]:
            samples += 1
            weak += suspicions.health(_UPSTREAM_ID, next_s) is not UpstreamHealth.GOOD
            next_s += 0.1
        _record(suspicions, event)
    return weak / samples


def found_after_s(seed: int, rate_per_s: float) -> float:
    """Return after what time an upstream of which 0.47 hang comes after the others."""
    suspicions = SuspicionTable("me")
    for event in _requests(seed, rate_per_s, 30.0, 0.47):
        _record(suspicions, event)
        if suspicions.health(_UPSTREAM_ID, event[0]) is not UpstreamHealth.GOOD:
            return event[0]
    return 30.0


class OverdueTest(EgretrailTestCase):
    """Guards against healthy upstreams that come last because long work is normal."""

    @cases(
        {
            "one": ([(1.0, "a", True)], UpstreamHealth.GOOD),
            "two of one instance": ([(1.0, "a", True), (1.5, "a", True)], UpstreamHealth.GOOD),
            "two instances, no answer": (
                [(1.0, "a", True), (1.5, "b", True)],
                UpstreamHealth.WEAKLY_SUSPECT,
            ),
            "two instances, more than 3 s apart": (
                [(1.0, "a", True), (4.1, "b", True)],
                UpstreamHealth.GOOD,
            ),
            "two instances, three answers between": (
                [*((0.3, "x", False) for _ in range(3)), (1.0, "a", True), (1.5, "b", True)],
                UpstreamHealth.WEAKLY_SUSPECT,
            ),
            "two instances, four answers between": (
                [*((0.3, "x", False) for _ in range(4)), (1.0, "a", True), (1.5, "b", True)],
                UpstreamHealth.GOOD,
            ),
            "answers after the last was sent": (
                [(1.0, "a", True), *((1.1, "x", False) for _ in range(9)), (1.5, "b", True)],
                UpstreamHealth.WEAKLY_SUSPECT,
            ),
            "answers before the first was sent": (
                [*((0.1, "x", False) for _ in range(4)), (1.0, "a", True), (1.5, "b", True)],
                UpstreamHealth.WEAKLY_SUSPECT,
            ),
            "own answers, and the zone's aggregates with them": (
                [
                    *((0.3 + n / 10, who, False) for n in range(2) for who in ("me", "")),
                    (1.0, "a", True),
                    (1.5, "b", True),
                ],
                UpstreamHealth.WEAKLY_SUSPECT,
            ),
            "answers in the zone's aggregates": (
                [*((0.3, "", False) for _ in range(4)), (1.0, "a", True), (1.5, "b", True)],
                UpstreamHealth.GOOD,
            ),
        }
    )
    def test_health(self, case: tuple[Sequence[Event], UpstreamHealth]) -> None:
        events, expected = case
        suspicions = SuspicionTable("me")
        for event in events:
            _record(suspicions, event)
        self.assertIs(expected, suspicions.health(_UPSTREAM_ID, events[-1][0]))

    @cases({"4 requests a second": 4.2, "12 requests a second": 12.0})
    def test_long_work_at_a_healthy_upstream(self, rate_per_s: float) -> None:
        shares = [weak_share(seed, rate_per_s) for seed in range(10)]
        self.assertLess(statistics.mean(shares), 0.02)

    @cases({"4 requests a second": (4.2, 1.75), "12 requests a second": (12.0, 1.15)})
    def test_an_upstream_that_hangs_is_found_as_fast_as_before(
        self, case: tuple[float, float]
    ) -> None:
        rate_per_s, bound_s = case
        found_s = [found_after_s(seed, rate_per_s) for seed in range(60)]
        self.assertLess(statistics.median(found_s), bound_s)
