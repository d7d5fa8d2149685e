"""What failed network paths of single instances show about upstreams."""

import statistics
from collections.abc import Sequence

from egretrail.dispatch import (
    FIRST_PAUSE_S,
    Observation,
    Outcome,
    PathCheck,
    SuspicionTable,
    UpstreamHealth,
)
from egretrail.dispatch.tests.evidence_replay import EvidenceReplay
from egretrail.testing import EgretrailTestCase, cases

_UPSTREAM_ID = "up-1"
_TYPICAL_S = 0.2
_CONNECT_S = 0.35

#: Time of receipt, observer, outcome.
Event = tuple[float, str, Outcome]
_CUT, _OK = Outcome.UNREACHABLE, Outcome.SUCCESS
#: Two instances fail, and the upstream responds after that.
_CONTRADICTED: Sequence[Event] = [(1.0, "a", _CUT), (1.1, "b", _CUT), (1.2, "x", _OK)]


def _record(
    suspicions: SuspicionTable, events: Sequence[Event], upstream_id: str = _UPSTREAM_ID
) -> None:
    for at_s, observer, outcome in events:
        duration_s = _CONNECT_S if outcome is _CUT else _TYPICAL_S
        observation = Observation(upstream_id, outcome, duration_s)
        suspicions.record_outcome(observation, observer, _TYPICAL_S, at_s)


def _health_after(events: Sequence[Event], now_s: float) -> UpstreamHealth:
    suspicions = SuspicionTable("me")
    _record(suspicions, events)
    return suspicions.health(_UPSTREAM_ID, now_s)


class QuorumTest(EgretrailTestCase):
    """Guards against upstreams out of service for all because some instances do not reach them."""

    @cases(
        {
            "one instance, often": (
                [(1.0 + n / 10, "a", _CUT) for n in range(9)],
                UpstreamHealth.GOOD,
            ),
            "two instances": ([(1.0, "a", _CUT), (1.1, "b", _CUT)], UpstreamHealth.SUSPECT),
            "two instances, more than the window apart": (
                [(1.0, "a", _CUT), (4.1, "b", _CUT)],
                UpstreamHealth.GOOD,
            ),
            "two instances, a response while the second one connected": (
                [(1.0, "a", _CUT), (1.05, "x", _OK), (1.1, "b", _CUT)],
                UpstreamHealth.GOOD,
            ),
            "a response while both connected, received before their reports": (
                [(1.0, "x", _OK), (1.05, "a", _CUT), (1.08, "b", _CUT)],
                UpstreamHealth.GOOD,
            ),
            "a response that may be older than the attempts": (
                [(0.7, "x", _OK), (1.0, "a", _CUT), (1.1, "b", _CUT)],
                UpstreamHealth.SUSPECT,
            ),
            "a success afterwards": (_CONTRADICTED, UpstreamHealth.GOOD),
            "a refusal afterwards": (
                [*_CONTRADICTED[:2], (1.2, "x", Outcome.SHED)],
                UpstreamHealth.GOOD,
            ),
            "an expired request afterwards": (
                [*_CONTRADICTED[:2], (1.2, "x", Outcome.EXPIRED)],
                UpstreamHealth.GOOD,
            ),
            "a late report of an older response afterwards": (
                [(1.0, "a", Outcome.SILENT), (1.01, "b", Outcome.SILENT), (1.04, "x", _OK)],
                UpstreamHealth.SUSPECT,
            ),
            "an overdue request afterwards": (
                [*_CONTRADICTED[:2], (1.2, "x", Outcome.OVERDUE)],
                UpstreamHealth.SUSPECT,
            ),
        }
    )
    def test_health(self, case: tuple[Sequence[Event], UpstreamHealth]) -> None:
        events, expected = case
        self.assertIs(expected, _health_after(events, events[-1][0]))

    @cases(
        {
            "soon after one contradiction": (1, 2.0, 4),
            "soon after two": (2, 3.0, 8),
            "soon after three": (3, 4.0, 16),
            "ten seconds after two": (2, 12.5, 4),
            "twenty seconds after two": (2, 22.5, 2),
            "long after many": (9, 99.0, 2),
        }
    )
    def test_the_quorum_doubles_with_each_contradiction_and_halves_later(
        self, case: tuple[int, float, int]
    ) -> None:
        contradictions, at_s, expected = case
        suspicions = SuspicionTable("me")
        for number in range(contradictions):
            for member in range(64):
                _record(suspicions, [(1.0 + number, f"c{number}-{member}", _CUT)])
            self.assertIs(UpstreamHealth.SUSPECT, suspicions.health(_UPSTREAM_ID, 1.0 + number))
            _record(suspicions, [(1.2 + number, "x", _OK)])
        for member in range(expected):
            self.assertIs(UpstreamHealth.GOOD, suspicions.health(_UPSTREAM_ID, at_s))
            _record(suspicions, [(at_s, f"d{member}", _CUT)])
        self.assertIs(UpstreamHealth.SUSPECT, suspicions.health(_UPSTREAM_ID, at_s))

    @cases({"soon": (2.0, UpstreamHealth.GOOD), "later": (4.5, UpstreamHealth.SUSPECT)})
    def test_failures_of_instances_with_bad_paths_do_not_count_at_other_upstreams(
        self, case: tuple[float, UpstreamHealth]
    ) -> None:
        """Guards against a series of wrong suspicions of each upstream until its quorum is high."""
        at_s, expected = case
        suspicions = SuspicionTable("me")
        _record(suspicions, _CONTRADICTED)
        _record(suspicions, [(at_s, "a", _CUT), (at_s, "b", _CUT)], "up-2")
        self.assertIs(expected, suspicions.health("up-2", at_s))

    def test_observers_of_a_crash_still_count_after_the_upstream_has_recovered(self) -> None:
        suspicions = SuspicionTable("me")
        _record(suspicions, [(1.0, "a", _CUT), (1.1, "b", _CUT), (3.5, "x", _OK)])
        _record(suspicions, [(3.6, "a", _CUT), (3.7, "b", _CUT)], "up-2")
        self.assertIs(UpstreamHealth.SUSPECT, suspicions.health("up-2", 3.7))

    def test_a_held_failure_is_reported_with_the_beginning_of_its_attempt(self) -> None:
        """Guards against failures that seem newer than the responses that disprove them."""
        check = PathCheck()
        check.hold(Observation(_UPSTREAM_ID, _CUT, _CONNECT_S), None, 1.0)
        [failure] = check.record_contact("up-2", 2.5, connected=True)
        self.assertAlmostEqual(1.5 + _CONNECT_S, failure.observation.duration_s)


class FailedPathTest(EgretrailTestCase):
    """Guards against trials that fail because of the path of the instance that sends them."""

    @cases(
        {
            "no own failure": ([], 0.0),
            "an own failure": ([(3.0, "me", _CUT)], 2.0),
            "an own failure, then an own response": ([(3.0, "me", _CUT), (3.4, "me", _OK)], 0.0),
            "an own failure long before": ([(-12.0, "me", _CUT)], 0.0),
            "a failure of another instance": ([(3.0, "a", _CUT)], 0.0),
        }
    )
    def test_an_instance_whose_path_failed_leaves_trials_to_others(
        self, case: tuple[Sequence[Event], float]
    ) -> None:
        events, later_s = case
        suspicions = SuspicionTable("me")
        _record(suspicions, events)
        failure = Observation(_UPSTREAM_ID, Outcome.FAILED, 0.003)
        suspicions.record_outcome(failure, "a", _TYPICAL_S, 3.5)
        due_s = 3.5 + FIRST_PAUSE_S + later_s
        self.assertLess(suspicions.overdue_s(_UPSTREAM_ID, due_s - 0.05), 0.0)
        self.assertGreaterEqual(suspicions.overdue_s(_UPSTREAM_ID, due_s + 0.05), 0.0)

    def test_trials_of_discredited_instances_do_not_extend_the_pause(self) -> None:
        suspicions = SuspicionTable("me")
        failure = Observation(_UPSTREAM_ID, Outcome.FAILED, 0.003)
        suspicions.record_outcome(failure, "x", _TYPICAL_S, 1.0)
        _record(suspicions, [(5.0, "a", _CUT), (5.2, "x", _OK)], "up-2")
        _record(suspicions, [(6.0, "a", _CUT)])
        self.assertGreaterEqual(suspicions.overdue_s(_UPSTREAM_ID, 6.0), 0.0)
        _record(suspicions, [(6.5, "b", _CUT)])
        self.assertLess(suspicions.overdue_s(_UPSTREAM_ID, 6.5), 0.0)


class PathEvidenceReplayTest(EgretrailTestCase):
    """32 instances that exchange outcomes 0.1 to 0.3 s late."""

    @cases(
        {
            f"{cut} cut from {share} of the upstreams, loss {loss}": (cut, share, loss)
            for cut in (0, 2, 4, 16)
            for share, loss in ((0.4, 1.0), (1.0, 1.0), (1.0, 0.5))
        }
    )
    def test_cut_instances_take_no_upstream_from_the_others(
        self, case: tuple[int, float, float]
    ) -> None:
        cut, share, loss = case
        replay = EvidenceReplay(1)
        replay.cut(cut, share, loss)
        self.assertLessEqual(replay.run(14.0).avoided_share, 0.02)

    @cases(
        {
            "hanging": (False, 0, 1.45),
            "hanging, four cut": (False, 4, 1.45),
            "refusing": (True, 0, 0.95),
            "refusing, four cut": (True, 4, 0.95),
        }
    )
    def test_crashed_upstreams_are_found_as_fast_as_before(
        self, case: tuple[bool, int, float]
    ) -> None:
        is_refusing, cut, bound_s = case
        found_s: list[float] = []
        for seed in range(1, 4):
            replay = EvidenceReplay(seed)
            replay.cut(cut, 0.4)
            for name in ("u1", "u20", "u30"):
                replay.crash(name, 3.0, is_refusing=is_refusing)
            result = replay.run(8.0)
            self.assertEqual(3, len(result.found_s))
            found_s += result.found_s.values()
        self.assertLessEqual(statistics.median(found_s), bound_s)

    @cases({"three in ten may run twice": (0.3, 6.5), "all may run twice": (1.0, 8.5)})
    def test_few_trials_are_sent_to_suspects_that_crash(self, case: tuple[float, float]) -> None:
        """Guards against a trial of each instance; there were 25 and 55 in six seconds."""
        retryable_share, bound = case
        replay = EvidenceReplay(1, retryable_share=retryable_share)
        for number in range(9):
            replay.fail(f"u{number}", 3.0)
            replay.crash(f"u{number}", 6.0)
        self.assertLessEqual(replay.run(12.0).crashed_trials / 9, bound)
