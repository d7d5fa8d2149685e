"""Tests of the cause that is found for a client attempt's id."""

from egretrail.diagnosis import CauseKind, build_timeline, find_cause, parse_lines
from egretrail.testing import EgretrailTestCase, cases

_ATTEMPT = (
    "time=10.100 instance=n1 event=attempt id=a1 route=r service=s upstream=u1 zone=z number=1 "
    "in_flight=1 considered=8 trial={trial} left_s=4.9"
)
_FAILED = (
    "time=10.103 instance=n1 event=attempt_failed id=a1 upstream=u1 fate=failed status=500 "
    'cause="the upstream failed"'
)
_ANSWERED = (
    "time=10.104 instance=n1 event=answered id=a1 outcome={outcome} status=500 attempts=1 "
    'unreachable=0 duration_s=0.004 left_s=4.9 config_version=7 cause="{cause}"'
)
_SUSPECTED = (
    "time=4.0 instance=n1 event=upstream_standing upstream=u1 service=s before=good after=suspect "
    "outcome=failed observer=10.0.0.9 duration_s=0.003"
)
_REFUSED = (
    "time=10.1 instance=n1 event=refused id=a1 route=r reason={reason} retry_after_s=0.5 service=s "
    "attempts=2 wait_s=1.5 usual_s=0.4 left_s=1.2"
)


class CauseTest(EgretrailTestCase):
    @cases(
        {
            "an upstream that was not suspect": (
                [
                    _ATTEMPT.format(trial=False),
                    _FAILED,
                    _ANSWERED.format(outcome="failed", cause=""),
                ],
                CauseKind.UPSTREAM_FAILED,
                "nothing was held against it",
            ),
            "a trial": (
                [
                    _SUSPECTED,
                    _ATTEMPT.format(trial=True),
                    _FAILED,
                    _ANSWERED.format(outcome="failed", cause=""),
                ],
                CauseKind.TRIAL_FAILED,
                "u1, which was doubted",
            ),
            "a lost connection": (
                [
                    _ATTEMPT.format(trial=False),
                    _FAILED.replace("500", "0"),
                    _ANSWERED.format(outcome="broken", cause="reset by peer"),
                ],
                CauseKind.CONNECTION_LOST,
                "reset by peer",
            ),
            "no answer in time": (
                [_ATTEMPT.format(trial=False), _ANSWERED.format(outcome="timeout", cause="")],
                CauseKind.TIMEOUT,
                "u1 gave no answer",
            ),
            "an overload": (
                [_REFUSED.format(reason="no_time")],
                CauseKind.REFUSED,
                "1.5 s for a slot",
            ),
            "no upstream to send it to": (
                [_REFUSED.format(reason="all_suspect")],
                CauseKind.REFUSED,
                "every upstream of service s",
            ),
            "limits that are used up": (
                [_REFUSED.format(reason="limited")],
                CauseKind.REFUSED,
                "every upstream of service s had named a limit",
            ),
            "upstreams that refused": (
                [_REFUSED.format(reason="not_run")],
                CauseKind.REFUSED,
                "(2 sent)",
            ),
            "keys that are not confirmed as in force": (
                ["time=1 instance=n1 event=refused id=a1 reason=key_unproved proof_age_s=4.8"],
                CauseKind.REFUSED,
                "had not heard for 4.8 s",
            ),
            "a stopping instance": (
                ["time=1 instance=n1 event=refused id=a1 route= reason=stopping"],
                CauseKind.REFUSED,
                "about to stop",
            ),
            "an unknown key": (
                ["time=1 instance=n1 event=key_refused id=a1 reason=unknown config_version=7"],
                CauseKind.NO_ACCOUNT,
                "no account of configuration 7 holds its API key",
            ),
            "no key": (
                ["time=1 instance=n1 event=key_refused id=a1 route=r reason=missing"],
                CauseKind.NO_ACCOUNT,
                "route r needs one",
            ),
            "no route": (
                ["time=1 instance=n1 event=no_route id=a1 host=h path=/x/ config_version=7"],
                CauseKind.NO_ROUTE,
                "configuration 7 takes /x/ on h",
            ),
            "a client that left": (
                [_ATTEMPT.format(trial=False), _ANSWERED.format(outcome="client_left", cause="")],
                CauseKind.CLIENT_LEFT,
                "left",
            ),
            "logs that end": ([_ATTEMPT.format(trial=False)], CauseKind.UNKNOWN, "end before"),
            "another attempt's logs": (
                [_FAILED.replace("a1", "a2")],
                CauseKind.UNKNOWN,
                "no log line",
            ),
        }
    )
    def test_cause(self, case: tuple[list[str], CauseKind, str]) -> None:
        lines, kind, words = case
        cause = find_cause(build_timeline("a1", parse_lines(lines)))
        self.assertIs(kind, cause.kind)
        self.assertIn(words, cause.text)


class TimelineTest(EgretrailTestCase):
    def test_logs_of_several_instances_are_merged_with_health_events(self) -> None:
        logs = [
            _ANSWERED.format(outcome="failed", cause=""),
            "not a log line",
            "  38.1 front-1 " + _ATTEMPT.format(trial=False),
            _SUSPECTED,
            _SUSPECTED.replace("n1", "n2"),
            _SUSPECTED.replace("u1", "u9"),
        ]
        timeline = build_timeline("a1", parse_lines(logs))
        names = [(line.instance, line.event) for line in timeline.merged_lines()]
        self.assertEqual(
            [("n1", "upstream_standing"), ("n1", "attempt"), ("n1", "answered")], names
        )

    def test_quoted_values_are_read_as_written(self) -> None:
        [line] = parse_lines([r'time=1 instance=n event=e cause="a \"b\" = c\nd" x=1'])
        self.assertEqual('a "b" = c\nd', line.fields["cause"])
        self.assertEqual("1", line.fields["x"])
