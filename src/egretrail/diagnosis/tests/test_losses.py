"""Tests of the counts of lost and late requests, on log lines as gateways write them."""

from collections.abc import Sequence

from egretrail.diagnosis import find_losses, parse_lines
from egretrail.testing import EgretrailTestCase, cases

_ATTEMPT = (
    "time=10.1 instance=n1 event=attempt id=a1 route=r service=s upstream={upstream} zone=z "
    "number=1 in_flight={in_flight} slots=3 considered=8 trial={trial} left_s=0.9"
)
_FAILED = (
    "time=10.103 instance=n1 event=attempt_failed id=a1 upstream=u1 fate=failed status=500 "
    'cause="the upstream failed"'
)
_ANSWERED = (
    "time={time} instance=n1 event=answered id=a1 outcome={outcome} status=500 attempts=1 "
    "unreachable=0 duration_s={duration_s} objective_s=0.6 left_s=0.4 config_version=7 cause=x"
)
_HEALTH_CHANGE = (
    "time={time} instance={instance} event=upstream_standing upstream=u1 service=s before={before} "
    "after={after} outcome=failed observer=10.0.0.9 duration_s=0.003"
)
_REFUSED = (
    "time=10.1 instance=n1 event=refused id=a1 route=r reason={reason} retry_after_s=0.5 service=s "
    "attempts={attempts} wait_s=0.3 usual_s=0.2 left_s=0.9"
)


def _attempt(upstream: str = "u1", in_flight: int = 0, trial: bool = False) -> str:
    return _ATTEMPT.format(upstream=upstream, in_flight=in_flight, trial=trial)


def _answered(outcome: str, duration_s: float = 0.004, time: float = 10.104) -> str:
    return _ANSWERED.format(outcome=outcome, duration_s=duration_s, time=time)


def _health_change(time: float, before: str, after: str, instance: str = "n1") -> str:
    return _HEALTH_CHANGE.format(time=time, before=before, after=after, instance=instance)


class ReasonTest(EgretrailTestCase):
    @cases(
        {
            "in time": ([_attempt(), _answered("served", 0.5, 10.6)], None),
            "long work": ([_attempt(), _answered("served", 0.7, 10.8)], "late: long work"),
            "a wait at the upstream": (
                [_attempt(in_flight=4), _answered("served", 0.7, 10.8)],
                "late: waited at the upstream",
            ),
            "a second attempt": (
                [_attempt(), _FAILED, _attempt("u2"), _answered("served", 0.7, 10.8)],
                "late: served by a second attempt",
            ),
            "an instance that had just started": (
                [_attempt(), _answered("served", 0.8, 10.3)],
                "late: waited for this instance",
            ),
            "the failure that began a suspicion": (
                [
                    _attempt(),
                    _health_change(10.1031, "good", "suspect"),
                    _FAILED,
                    _answered("failed"),
                ],
                "failed: first failure of an upstream",
            ),
            "a suspicion of another instance": (
                [
                    _attempt(),
                    _health_change(10.1031, "good", "suspect", "n2"),
                    _FAILED,
                    _answered("failed"),
                ],
                "failed: single failure of a sound upstream",
            ),
            "in flight": (
                [
                    _attempt(),
                    _health_change(10.101, "good", "suspect"),
                    _FAILED,
                    _answered("failed"),
                ],
                "failed: on its way to an upstream that was being doubted",
            ),
            "cleared before": (
                [
                    _health_change(4.0, "good", "suspect"),
                    _health_change(8.0, "probation", "good"),
                    _attempt(),
                    _FAILED,
                    _answered("failed"),
                ],
                "failed: single failure of a sound upstream",
            ),
            "a trial": (
                [_attempt(trial=True), _FAILED, _answered("failed")],
                "failed: trial of a doubted upstream",
            ),
            "refused at once": (
                [_REFUSED.format(reason="no_time", attempts=0)],
                "refused: no_time",
            ),
            "refused by upstreams": (
                [_attempt(), _REFUSED.format(reason="not_run", attempts=2)],
                "refused: not_run after 2 attempts",
            ),
            "broken": ([_attempt(), _answered("broken")], "broken: connection lost"),
            "out of time": ([_attempt(), _answered("timeout")], "timeout"),
            "the client left": ([_attempt(), _answered("client_left")], "client left"),
            "the process died": ([_attempt()], "no answer logged"),
            "a line of an earlier version": (
                [_attempt(), _answered("served", 0.7).replace("objective_s=0.6 ", "")],
                None,
            ),
        }
    )
    def test_reason(self, case: tuple[Sequence[str], str | None]) -> None:
        lines, expected = case
        report = find_losses(parse_lines(lines))
        self.assertEqual({"r": 1}, dict(report.requests))
        self.assertEqual([expected] if expected else [], [one.reason for one in report.lost])

    def test_counts_by_route_second_and_upstream(self) -> None:
        lines = []
        for number in range(3):
            mine = [_attempt(f"u{number % 2}"), _answered("timeout", 1.0, 11.0 + number)]
            lines += [line.replace("id=a1", f"id=a{number}") for line in mine]
        report = find_losses(parse_lines(lines))
        self.assertEqual({("r", "timeout"): 3}, dict(report.by_reason()))
        self.assertEqual([11, 12, 13], list(report.by_second()))
        self.assertEqual({"u0": 2, "u1": 1}, dict(report.by_upstream()))
