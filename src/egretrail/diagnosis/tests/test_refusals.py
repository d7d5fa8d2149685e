"""Tests of the sentences that say why one request was refused and others were not."""

from collections.abc import Sequence

from egretrail.diagnosis import build_timeline, find_cause, parse_lines
from egretrail.testing import EgretrailTestCase, cases

_OVER_SHARE = (
    "time=10.500 instance=n1 event=refused id=a1 route=r reason=over_share retry_after_s=0.3 "
    "service=s priority={priority} account={account} state=full level={level} offered_per_s=300 "
    "room_per_s=180 age_s=0.2"
)
_NOT_RUN = (
    "time=10.500 instance=n1 event=refused id=a1 route=r reason=not_run retry_after_s=0.5 "
    "service=s attempts=1 wait_s=0 usual_s=0.4 left_s=1.2 priority=2 account=acme"
)
_STATE = (
    "time={time} instance={instance} event=service_state service={service} before=normal "
    "after=shedding in_flight=20 slots=300 shed=90 offered=200 age_s=0.1"
)


def _over_share(level: str, account: str = "acme", priority: int = 2) -> str:
    return _OVER_SHARE.format(level=level, account=account, priority=priority)


def _state(time: float = 9.0, instance: str = "n1", service: str = "s") -> str:
    return _STATE.format(time=time, instance=instance, service=service)


def _attempt(time: float, number: int, priority: int, service: str = "s") -> str:
    return (
        f"time={time} instance=n2 event=attempt id=b{time} route=q number={number} "
        f"service={service} upstream=u1 zone=z in_flight=0 slots=3 considered=8 trial=False "
        f"left_s=0.9 priority={priority} account=other fleet_requests=500 fleet_retries=99 "
        "retries_allowed=100"
    )


class RefusalTextTest(EgretrailTestCase):
    @cases(
        {
            "an account above its share": (
                [_over_share("0.4"), _attempt(10.1, 1, 0), _attempt(10.2, 1, 2)],
                "service s was full and could take 180 of the 300 requests a second that the fleet "
                "was offered, by reports 0.2 s old; the share 0.4 of the requests of account acme "
                "at priority 2 was admitted, since it asked for more than its fair share (admitted "
                "in the second before: 1 of priority 0, 1 of priority 2)",
            ),
            "no account": (
                [_over_share("0.4", account='""')],
                "the share 0.4 of such requests at priority 2 was admitted, and more urgent ones "
                "came first",
            ),
            "a priority that got nothing": (
                [_over_share("0"), _attempt(10.1, 1, 0)],
                "no request of priority 2 was admitted, since more urgent ones came first "
                "(admitted in the second before: 1 of priority 0)",
            ),
            # Guards against naming requests that are more urgent than the most urgent ones.
            "the most urgent priority": (
                [_over_share("0", account='""', priority=0)],
                "the share 0 of such requests at priority 0 was admitted",
            ),
            "requests of another service or of an earlier second": (
                [_attempt(9.4, 1, 0), _attempt(10.1, 1, 0, "t"), _over_share("0.4")],
                "since it asked for more than its fair share",
            ),
            "a line whose end is missing": (
                ["time=10.5 instance=n1 event=refused id=a1 route=r reason=over_share service=s"],
                "could take unknown of the unknown requests a second",
            ),
        }
    )
    def test_over_share(self, case: tuple[Sequence[str], str]) -> None:
        lines, words = case
        text = find_cause(build_timeline("a1", parse_lines(lines))).text
        self.assertTrue(text.endswith(words) or "unknown" in words, text)
        self.assertIn(words, text)

    @cases(
        {
            "retries of more urgent requests": (
                [_state(), _attempt(10.1, 2, 0), _attempt(10.2, 2, 1), _NOT_RUN],
                "; the service was shedding, and the retries that the budget permits went to more "
                "urgent requests (in the second before: 1 of priority 0, 1 of priority 1)",
            ),
            "retries of its own priority": (
                [_state(), _attempt(10.1, 2, 0), _attempt(10.2, 2, 2), _NOT_RUN],
                "; the last retry before it found 99 of 100 retries of the budget used",
            ),
            "a service in its normal state": (
                [_attempt(10.1, 2, 0), _NOT_RUN],
                "; the last retry before it found 99 of 100 retries of the budget used",
            ),
            "a service that is normal again": (
                [
                    _state(),
                    _state(9.5).replace("before=normal after=shedding", "after=normal"),
                    _attempt(10.1, 2, 0),
                    _NOT_RUN,
                ],
                "; the last retry before it found 99 of 100 retries of the budget used",
            ),
            "the state at another instance, of another service or later": (
                [
                    _state(instance="n2"),
                    _state(service="t"),
                    _state(11.0),
                    _attempt(10.1, 2, 0),
                    _NOT_RUN,
                ],
                "; the last retry before it found 99 of 100 retries of the budget used",
            ),
            "no retry in the second before": (
                [_state(), _attempt(9.1, 2, 0), _attempt(10.2, 1, 0), _NOT_RUN],
                "no repeat was left (1 sent)",
            ),
            "a log of an earlier version": (
                [
                    _attempt(10.1, 2, 0).replace("priority=0 account=other ", ""),
                    _NOT_RUN.replace(" priority=2 account=acme", ""),
                ],
                "; the last retry before it found 99 of 100 retries of the budget used",
            ),
        }
    )
    def test_a_retry_that_was_not_permitted(self, case: tuple[Sequence[str], str]) -> None:
        lines, words = case
        text = find_cause(build_timeline("a1", parse_lines(lines))).text
        self.assertTrue(text.endswith(words), text)

    def test_the_state_of_the_service_is_among_the_lines(self) -> None:
        timeline = build_timeline("a1", parse_lines([_state(8.0), _state(), _NOT_RUN]))
        events = [(line.time_s, line.event) for line in timeline.merged_lines()]
        self.assertEqual([(9.0, "service_state"), (10.5, "refused")], events)
