"""Which observations take an upstream out of service, and which return it to service."""

from collections.abc import Sequence

from egretrail.dispatch import FIRST_PAUSE_S, Observation, Outcome, SuspicionTable, UpstreamHealth
from egretrail.testing import EgretrailTestCase, cases

_UPSTREAM_ID = "up-1"
_TYPICAL_S = 0.3

#: Time, observer, outcome and duration of a request.
Event = tuple[float, str, Outcome, float]


def _suspicions_after(events: Sequence[Event]) -> SuspicionTable:
    suspicions = SuspicionTable("me")
    for at_s, observer, outcome, duration_s in events:
        suspicions.record_outcome(
            Observation(_UPSTREAM_ID, outcome, duration_s), observer, _TYPICAL_S, at_s
        )
    return suspicions


class UpstreamHealthTest(EgretrailTestCase):
    @cases(
        {
            "no observation": ([], 1.0, UpstreamHealth.GOOD),
            "a quick failure of another instance": (
                [(1.0, "a", Outcome.FAILED, 0.003)],
                1.0,
                UpstreamHealth.SUSPECT,
            ),
            "a failure that took as long as a normal request": (
                [(1.0, "a", Outcome.FAILED, 0.3)],
                1.0,
                UpstreamHealth.GOOD,
            ),
            "two full-length failures": (
                [(1.0, "a", Outcome.FAILED, 0.3), (2.0, "a", Outcome.FAILED, 0.3)],
                2.0,
                UpstreamHealth.WEAKLY_SUSPECT,
            ),
            "two full-length failures, later": (
                [(1.0, "a", Outcome.FAILED, 0.3), (2.0, "a", Outcome.FAILED, 0.3)],
                5.0,
                UpstreamHealth.GOOD,
            ),
            "two full-length failures, then a quick one": (
                [
                    (1.0, "a", Outcome.FAILED, 0.3),
                    (2.0, "a", Outcome.FAILED, 0.3),
                    (2.1, "b", Outcome.FAILED, 0.003),
                ],
                2.1,
                UpstreamHealth.SUSPECT,
            ),
            "overdue requests of many instances": (
                [(1.0 + n / 10, f"i{n}", Outcome.OVERDUE, 1.5) for n in range(9)],
                2.0,
                UpstreamHealth.WEAKLY_SUSPECT,
            ),
            "an overdue request of this instance": (
                [(1.0, "me", Outcome.OVERDUE, 1.5)],
                1.0,
                UpstreamHealth.GOOD,
            ),
            "two full-length failures, far apart": (
                [(1.0, "a", Outcome.FAILED, 0.3), (9.0, "a", Outcome.FAILED, 0.3)],
                9.0,
                UpstreamHealth.GOOD,
            ),
            "a quick reset": ([(1.0, "a", Outcome.BROKEN, 0.01)], 1.0, UpstreamHealth.GOOD),
            "two quick resets": (
                [(1.0, "a", Outcome.BROKEN, 0.01), (1.2, "a", Outcome.BROKEN, 0.01)],
                1.2,
                UpstreamHealth.SUSPECT,
            ),
            "a quick reset after a full-length failure": (
                [(1.0, "a", Outcome.FAILED, 0.3), (1.2, "b", Outcome.BROKEN, 0.01)],
                1.2,
                UpstreamHealth.SUSPECT,
            ),
            "two quick resets far apart": (
                [(1.0, "a", Outcome.BROKEN, 0.01), (6.2, "a", Outcome.BROKEN, 0.01)],
                6.2,
                UpstreamHealth.GOOD,
            ),
            "unreachable from another instance": (
                [(1.0, "a", Outcome.UNREACHABLE, 0.35), (2.0, "a", Outcome.SILENT, 1.5)],
                2.0,
                UpstreamHealth.GOOD,
            ),
            "unreachable from this instance": (
                [(1.0, "me", Outcome.UNREACHABLE, 0.35)],
                2.0,
                UpstreamHealth.UNREACHABLE_FROM_HERE,
            ),
            "unreachable from this instance again, two seconds later": (
                [(1.0, "me", Outcome.UNREACHABLE, 0.35), (3.0, "me", Outcome.UNREACHABLE, 0.35)],
                5.5,
                UpstreamHealth.UNREACHABLE_FROM_HERE,
            ),
            "unreachable from this instance again, after a response": (
                [
                    (1.0, "me", Outcome.UNREACHABLE, 0.35),
                    (2.0, "me", Outcome.SUCCESS, 0.3),
                    (3.0, "me", Outcome.UNREACHABLE, 0.35),
                ],
                5.0,
                UpstreamHealth.GOOD,
            ),
            "unreachable from two instances, reached by a third in between": (
                [
                    (1.0, "a", Outcome.UNREACHABLE, 0.35),
                    (1.2, "c", Outcome.SUCCESS, 0.3),
                    (1.5, "b", Outcome.UNREACHABLE, 0.35),
                ],
                1.5,
                UpstreamHealth.GOOD,
            ),
            "unreachable from one instance while on probation": (
                [
                    (1.0, "a", Outcome.FAILED, 0.003),
                    (6.0, "b", Outcome.SUCCESS, 0.3),
                    (6.5, "c", Outcome.UNREACHABLE, 0.35),
                ],
                6.5,
                UpstreamHealth.PROBATION,
            ),
            "unreachable from this instance, later": (
                [(1.0, "me", Outcome.UNREACHABLE, 0.35)],
                3.0,
                UpstreamHealth.GOOD,
            ),
            "unreachable from two instances": (
                [(1.0, "a", Outcome.UNREACHABLE, 0.35), (1.5, "b", Outcome.SILENT, 1.5)],
                2.0,
                UpstreamHealth.SUSPECT,
            ),
            "shed requests": (
                [(1.0 + n / 10, "a", Outcome.SHED, 0.002) for n in range(9)],
                2.0,
                UpstreamHealth.GOOD,
            ),
            "requests whose deadline passed": (
                [(1.0 + n / 10, "a", Outcome.EXPIRED, 0.4) for n in range(9)],
                2.0,
                UpstreamHealth.GOOD,
            ),
            "a success of a request sent before the suspicion": (
                [(1.0, "a", Outcome.FAILED, 0.003), (1.3, "b", Outcome.SUCCESS, 0.4)],
                1.3,
                UpstreamHealth.SUSPECT,
            ),
            "such a success, reported late from another zone": (
                [(1.0, "a", Outcome.FAILED, 0.003), (1.5, "b", Outcome.SUCCESS, 0.4)],
                1.5,
                UpstreamHealth.SUSPECT,
            ),
            "one success after the suspicion began": (
                [(1.0, "a", Outcome.FAILED, 0.003), (5.5, "b", Outcome.SUCCESS, 0.4)],
                5.5,
                UpstreamHealth.PROBATION,
            ),
            "two successes after the suspicion began": (
                [
                    (1.0, "a", Outcome.FAILED, 0.003),
                    (5.5, "b", Outcome.SUCCESS, 0.4),
                    (6.0, "b", Outcome.SUCCESS, 0.4),
                ],
                6.0,
                UpstreamHealth.GOOD,
            ),
            "a failure between two successes": (
                [
                    (1.0, "a", Outcome.FAILED, 0.003),
                    (5.5, "b", Outcome.SUCCESS, 0.4),
                    (6.0, "b", Outcome.FAILED, 0.003),
                    (6.5, "b", Outcome.SUCCESS, 0.4),
                ],
                6.5,
                UpstreamHealth.SUSPECT,
            ),
        }
    )
    def test_health(self, case: tuple[Sequence[Event], float, UpstreamHealth]) -> None:
        events, now_s, expected = case
        self.assertIs(expected, _suspicions_after(events).health(_UPSTREAM_ID, now_s))


class PauseTest(EgretrailTestCase):
    def test_pauses_grow_with_failed_trials_up_to_the_maximum(self) -> None:
        suspicions = _suspicions_after([(0.0, "a", Outcome.FAILED, 0.003)])
        now_s = 0.0
        pauses = []
        for _ in range(6):
            begin_s = now_s
            while suspicions.overdue_s(_UPSTREAM_ID, now_s) < 0:
                now_s += 0.1
            pauses.append(round(now_s - begin_s, 1))
            suspicions.record_outcome(
                Observation(_UPSTREAM_ID, Outcome.FAILED, 0.003), "a", _TYPICAL_S, now_s
            )
        self.assertEqual(sorted(pauses), pauses)
        self.assertAlmostEqual(FIRST_PAUSE_S, pauses[0], delta=0.2)
        self.assertAlmostEqual(8.0, pauses[-1], delta=0.2)

    @cases(
        {
            f"{cause.name.lower()}, then {trial.name.lower()}": (cause, trial)
            for cause in (Outcome.FAILED, Outcome.UNREACHABLE)
            for trial in (Outcome.UNREACHABLE, Outcome.SILENT)
        }
    )
    def test_a_trial_that_cannot_connect_extends_the_pause_whatever_the_cause(
        self, case: tuple[Outcome, Outcome]
    ) -> None:
        """Guards against one trial of each instance at an upstream that crashed while it failed."""
        cause, trial = case
        suspicions = _suspicions_after([(0.0, "a", cause, 0.003), (0.01, "b", cause, 0.003)])
        self.assertIs(UpstreamHealth.SUSPECT, suspicions.health(_UPSTREAM_ID, 1.0))
        before_s = suspicions.overdue_s(_UPSTREAM_ID, 6.0)
        suspicions.record_outcome(Observation(_UPSTREAM_ID, trial, 0.35), "c", _TYPICAL_S, 6.0)
        self.assertGreater(before_s, 0.0)
        self.assertLessEqual(suspicions.overdue_s(_UPSTREAM_ID, 6.0), -FIRST_PAUSE_S)

    def test_connections_that_were_opened_before_the_suspicion_do_not_extend_the_pause(
        self,
    ) -> None:
        suspicions = _suspicions_after(
            [(1.0, "a", Outcome.FAILED, 0.003), (1.4, "b", Outcome.UNREACHABLE, 0.35)]
        )
        self.assertGreaterEqual(suspicions.overdue_s(_UPSTREAM_ID, FIRST_PAUSE_S + 1.1), 0.0)

    def test_failures_of_requests_in_flight_do_not_extend_the_pause(self) -> None:
        events: list[Event] = [(1.0, "a", Outcome.FAILED, 0.003)]
        events += [(1.0 + n / 100, "b", Outcome.FAILED, 0.3) for n in range(20)]
        self.assertGreaterEqual(
            _suspicions_after(events).overdue_s(_UPSTREAM_ID, FIRST_PAUSE_S + 1.1), 0.0
        )

    def test_a_pause_factor_below_1_shortens_the_pause(self) -> None:
        suspicions = _suspicions_after([(0.0, "a", Outcome.FAILED, 0.003)])
        self.assertLess(suspicions.overdue_s(_UPSTREAM_ID, 2.0), 0.0)
        self.assertGreaterEqual(suspicions.overdue_s(_UPSTREAM_ID, 2.0, pause_factor=0.4), 0.0)


class ImportTest(EgretrailTestCase):
    def test_an_instance_that_has_just_started_suspects_what_its_peers_suspect(self) -> None:
        peer = _suspicions_after([(10.0, "a", Outcome.FAILED, 0.003)])
        fresh = SuspicionTable("fresh")
        fresh.import_records(peer.export_records(12.0), 112.0)
        self.assertIs(UpstreamHealth.SUSPECT, fresh.health(_UPSTREAM_ID, 112.0))
        self.assertAlmostEqual(
            peer.overdue_s(_UPSTREAM_ID, 12.0), fresh.overdue_s(_UPSTREAM_ID, 112.0)
        )

    def test_own_suspicions_take_precedence(self) -> None:
        fresh = _suspicions_after([(112.0, "a", Outcome.FAILED, 0.003)])
        before_s = fresh.overdue_s(_UPSTREAM_ID, 112.0)
        fresh.import_records(
            _suspicions_after([(1.0, "a", Outcome.FAILED, 0.003)]).export_records(9.0), 112.0
        )
        self.assertEqual(before_s, fresh.overdue_s(_UPSTREAM_ID, 112.0))


class SheddingTest(EgretrailTestCase):
    def test_repeated_refusals_count_as_shedding_for_longer(self) -> None:
        once = _suspicions_after([(0.0, "a", Outcome.SHED, 0.002)])
        often = _suspicions_after([(n * 0.3, "a", Outcome.SHED, 0.002) for n in range(5)])
        self.assertTrue(once.is_shedding(_UPSTREAM_ID, 0.2))
        self.assertFalse(once.is_shedding(_UPSTREAM_ID, 0.3))
        self.assertTrue(often.is_shedding(_UPSTREAM_ID, 1.2 + 1.5))
        self.assertFalse(often.is_shedding(_UPSTREAM_ID, 1.2 + 2.1))
