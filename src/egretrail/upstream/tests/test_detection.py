"""Tests which upstreams are ejected, and how soon, with simulated streams of requests."""

from dataclasses import dataclass, replace

from egretrail.settings import Detection
from egretrail.testing import EgretrailTestCase, cases
from egretrail.upstream import Cause, NoRights, UpstreamState
from egretrail.upstream.tests._faults import MUST_EJECT, MUST_NOT_EJECT, ONSET_S, hard
from egretrail.upstream.tests._simulation import SERVICE, Plan, simulate

_SEED = 101


@dataclass(frozen=True, slots=True)
class _Bound:
    """The most requests to the bad upstream until its ejection, for both detection settings."""

    name: str
    requests: int


class DetectionTest(EgretrailTestCase):
    @cases(
        {
            "hard": _Bound("hard", 6),
            "refused": _Bound("refused", 6),
            "failing_30": _Bound("failing_30", 30),
            "slow_5x": _Bound("slow_5x", 25),
            "hanging": _Bound("hanging", 20),
            "kind_fails": _Bound("kind_fails", 15),
            "large_cut": _Bound("large_cut", 30),
        }
    )
    def test_only_the_bad_upstream_is_ejected(self, bound: _Bound) -> None:
        for detection in Detection:
            plan = replace(MUST_EJECT[bound.name], detection=detection, seconds=18.0)
            outcome = simulate(plan, _SEED)
            stopped_s = outcome.stopped_s(0, ONSET_S)
            sent = outcome.sent_between(0, ONSET_S, ONSET_S + stopped_s)
            self.assertEqual({0}, outcome.ejected())
            self.assertLessEqual(sent, bound.requests)

    @cases({name: name for name in MUST_NOT_EJECT if not name.endswith("_long")})
    def test_no_upstream_is_ejected(self, name: str) -> None:
        plan = replace(MUST_NOT_EJECT[name], detection=Detection.PROMPT, seconds=18.0)
        self.assertEqual(set(), simulate(plan, _SEED).ejected())

    def test_sharing_evidence_detects_a_failure_with_fewer_requests(self) -> None:
        together = simulate(Plan(fault=hard, seconds=18.0), _SEED)
        alone = simulate(Plan(fault=hard, seconds=18.0, share_evidence=False), _SEED)
        bad_s = ONSET_S + 4.0
        self.assertLess(
            2 * together.sent_between(0, ONSET_S, bad_s), alone.sent_between(0, ONSET_S, bad_s)
        )

    def test_without_a_right_the_upstream_stays_in_service_with_a_small_share(self) -> None:
        outcome = simulate(Plan(fault=hard, seconds=18.0, rights=NoRights()), _SEED)
        self.assertEqual(set(), outcome.ejected())
        share = outcome.sent_between(0, 14.0, 18.0) / sum(
            outcome.sent_between(upstream, 14.0, 18.0) for upstream in range(6)
        )
        self.assertLess(share, 0.04)
        for health in outcome.health:
            verdict = health.verdict(next(iter(health.verdicts(18.0))), 18.0)
            self.assertTrue(verdict.in_service)

    def test_only_the_member_with_the_bad_path_reduces_the_weight(self) -> None:
        outcome = simulate(replace(MUST_NOT_EJECT["bad_path"], seconds=14.0), _SEED)
        first = next(iter(outcome.health[0].verdicts(14.0)))
        verdicts = [health.verdict(first, 14.0) for health in outcome.health]
        self.assertEqual(Cause.PATH, verdicts[1].cause)
        self.assertLess(verdicts[1].weight, 0.1)
        self.assertEqual([1.0, 1.0], [verdicts[0].weight, verdicts[2].weight])

    def test_decisions_are_deterministic(self) -> None:
        plan = replace(MUST_EJECT["failing_30"], seconds=15.0)
        one, other = simulate(plan, 7), simulate(plan, 7)
        self.assertEqual(one.ejections, other.ejections)
        self.assertEqual(one.sent, other.sent)

    def test_a_single_upstream_is_never_ejected(self) -> None:
        outcome = simulate(Plan(upstreams=1, fault=hard, seconds=14.0, slots=64), _SEED)
        self.assertEqual(set(), outcome.ejected())
        self.assertEqual(SERVICE, outcome.health[0].service)
        verdicts = outcome.health[0].verdicts(14.0).values()
        self.assertNotIn(UpstreamState.EJECTED, [verdict.state for verdict in verdicts])
