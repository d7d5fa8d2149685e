"""Tests of the counts of requests, refusals and attempts by their properties."""

from collections.abc import Sequence

from egretrail.diagnosis import (
    AttemptCounts,
    Dimension,
    LossReport,
    Outcome,
    SlotState,
    find_losses,
    parse_lines,
)
from egretrail.testing import EgretrailTestCase, cases

_START = "time=1.000 instance=n1 event=start zone=z1 address=10.0.0.1:80"
_NEW_FIELDS = "priority=2 account=acme "
_ATTEMPT = (
    "time=10.100 instance=n1 event=attempt id=a1 route=r number=1 service=s upstream=u1 zone=z2 "
    "in_flight=0 slots=3 considered=8 trial=False left_s=0.9 priority=2 account=acme "
    "upstreams_revision=4"
)
_NOT_RUN = (
    "time=10.200 instance=n1 event=attempt_failed id=a1 upstream=u1 fate=not_run status=503 "
    'cause="the upstream refused"'
)
_SERVED = (
    "time=12.300 instance=n1 event=answered id=a1 outcome=served status=200 attempts=1 "
    'unreachable=0 duration_s=2.4 objective_s=3 left_s=0.4 config_version=7 cause=""'
)
_OVER_SHARE = (
    "time=11.000 instance=n1 event=refused id={id} route=r reason=over_share retry_after_s={wait} "
    "service=s priority=2 account={account} state=full level=0.4 offered_per_s=300 room_per_s=180 "
    "age_s=0.2"
)
_RELAYED = (
    "time=10.100 instance=n9 event=attempt id=a1 relayed=True service=s upstream=u1 zone=z2 "
    "in_flight=3 slots=3 considered=8 trial=False left_s=0.9 upstreams_revision=4"
)


def _over_share(number: int, account: str = "acme", wait: str = "0.3") -> str:
    return _OVER_SHARE.format(id=f"b{number}", account=account, wait=wait)


def _report(lines: Sequence[str]) -> LossReport:
    return find_losses(parse_lines(lines))


class RequestTableTest(EgretrailTestCase):
    @cases(
        {
            "a request that was served": (
                [_START, _ATTEMPT, _SERVED],
                ("s", "r", "2", "acme", "z1"),
                Outcome.SERVED,
            ),
            "a refusal on arrival": (
                [_START, _over_share(1)],
                ("s", "r", "2", "acme", "z1"),
                Outcome.REFUSED,
            ),
            "no account": (
                [_START, _over_share(1, account='""')],
                ("s", "r", "2", "(none)", "z1"),
                Outcome.REFUSED,
            ),
            "a log of an earlier version": (
                [_START, _ATTEMPT.replace(_NEW_FIELDS, ""), _SERVED],
                ("s", "r", "(unknown)", "(unknown)", "z1"),
                Outcome.SERVED,
            ),
            "an instance whose start is not in the log": (
                [_ATTEMPT, _SERVED],
                ("s", "r", "2", "acme", "(unknown)"),
                Outcome.SERVED,
            ),
            # Guards against taking the zone of the instance that sent it for the client's.
            "an attempt through another instance": (
                [_START, _START.replace("n1", "n9").replace("z1", "z9"), _RELAYED, _SERVED],
                ("s", "(unknown)", "(unknown)", "(unknown)", "z1"),
                Outcome.SERVED,
            ),
            "a stopping instance": (
                [_START, 'time=2 instance=n1 event=refused id=a1 route="" reason=stopping'],
                ("(unknown)", "(none)", "(unknown)", "(unknown)", "z1"),
                Outcome.REFUSED,
            ),
            "a client that left": (
                [_START, _ATTEMPT, _SERVED.replace("served", "client_left")],
                ("s", "r", "2", "acme", "z1"),
                Outcome.UNKNOWN,
            ),
            "late": (
                [_START, _ATTEMPT, _SERVED.replace("objective_s=3", "objective_s=1")],
                ("s", "r", "2", "acme", "z1"),
                Outcome.LATE,
            ),
            "failed": (
                [_START, _ATTEMPT, _SERVED.replace("served", "timeout")],
                ("s", "r", "2", "acme", "z1"),
                Outcome.FAILED,
            ),
        }
    )
    def test_a_request_is_counted_under_its_properties(
        self, case: tuple[Sequence[str], tuple[str, ...], Outcome]
    ) -> None:
        lines, expected, outcome = case
        requests = _report(lines).tables.requests
        dimensions = [one for one in Dimension if one is not Dimension.SECOND]
        found = {
            one: {value: row.outcomes for value, row in requests[one].items()} for one in dimensions
        }
        counts = {one: int(one is outcome) for one in Outcome}
        self.assertEqual(
            {one: {value: counts} for one, value in zip(dimensions, expected, strict=True)}, found
        )

    def test_a_second_counts_arrivals_attempts_and_outcomes_when_they_happened(self) -> None:
        rows = _report([_ATTEMPT, _SERVED, _over_share(1)]).tables.requests[Dimension.SECOND]
        found = {
            second: (row.offered, row.attempts, row.outcomes[Outcome.SERVED])
            for second, row in rows.items()
        }
        self.assertEqual({"9": (1, 0, 0), "10": (0, 1, 0), "11": (1, 0, 0), "12": (0, 0, 1)}, found)

    def test_the_largest_values_come_first_and_priorities_in_order(self) -> None:
        lines = [_over_share(1, "small"), _over_share(2, "large"), _over_share(3, "large")]
        lines[0] = lines[0].replace("priority=2", "priority=10")
        requests = _report(lines).tables.requests
        self.assertEqual(["large", "small"], list(requests[Dimension.ACCOUNT]))
        self.assertEqual(["2", "10"], list(requests[Dimension.PRIORITY]))


class RefusalTableTest(EgretrailTestCase):
    @cases(
        {
            "different waits": (["0.3", "1.5", "0.1"], (0.1, 0.3, 1.5)),
            "one": (["0.3"], (0.3, 0.3, 0.3)),
            "none that can be read": (["nan", "soon"], None),
        }
    )
    def test_waits_told_to_clients(
        self, case: tuple[Sequence[str], tuple[float, float, float] | None]
    ) -> None:
        waits, expected = case
        lines = [_over_share(number, wait=wait) for number, wait in enumerate(waits)]
        row = _report(lines).tables.refusals["over_share"]
        self.assertEqual((len(waits), expected), (row.refusals, row.retry_after_summary_s()))


class AttemptTableTest(EgretrailTestCase):
    @cases(
        {
            "a free slot in another zone": (
                [_START, _ATTEMPT, _SERVED],
                (SlotState.FREE, "z2"),
                AttemptCounts(1, from_other_zones=1),
            ),
            "all slots taken": (
                [_START, _ATTEMPT.replace("in_flight=0", "in_flight=3"), _SERVED],
                (SlotState.TAKEN, "z2"),
                AttemptCounts(1, from_other_zones=1),
            ),
            "in the own zone": (
                [_START, _ATTEMPT.replace("zone=z2", "zone=z1"), _SERVED],
                (SlotState.FREE, "z1"),
                AttemptCounts(1),
            ),
            "no slots logged": (
                [_ATTEMPT.replace("slots=3", ""), _SERVED],
                (SlotState.UNKNOWN, "z2"),
                AttemptCounts(1),
            ),
            "refused with a free slot": (
                [_ATTEMPT, _NOT_RUN, _SERVED],
                (SlotState.FREE, "z2"),
                AttemptCounts(1, shed=1),
            ),
            "failed": (
                [_ATTEMPT, _NOT_RUN.replace("not_run", "failed"), _SERVED],
                (SlotState.FREE, "z2"),
                AttemptCounts(1, failed=1),
            ),
        }
    )
    def test_attempt(
        self, case: tuple[Sequence[str], tuple[SlotState, str], AttemptCounts]
    ) -> None:
        lines, key, expected = case
        self.assertEqual({key: expected}, dict(_report(lines).tables.attempts))


class MalformedLineTest(EgretrailTestCase):
    @cases(
        {
            "no end": "time=10.5 instance=n1 event=refu",
            "no end, before the next line": "time=10.5 instance=n1 event=refused id=a1 route=q rea"
            + _ATTEMPT,
            # The id of a1 may be the beginning of another one.
            "an id without its end": "time=10.5 instance=n1 event=refused id=a1",
            "no outcome": "time=10.5 instance=n1 event=answered id=c1 outcome=ser",
            "an open quotation mark": 'time=10.5 instance=n1 event=reload taken="a b',
            "a time that is no number": "time=x instance=n1 event=refused id=a1 reason=no_time",
            "an infinite time": "time=inf instance=n1 event=refused id=a1 reason=no_time",
            "no time": "time=nan instance=n1 event=refused id=a1 reason=no_time",
            "no event": "time=10.5 instance=n1 id=a1 reason=no_time",
            "bytes of no text": "\x00\ufffd\ufffd= =\x7f",
            "nothing": "",
        }
    )
    def test_a_malformed_line_loses_only_itself(self, line: str) -> None:
        attempt = [] if line.endswith(_ATTEMPT) else [_ATTEMPT]
        report = _report([_START, line, *attempt, _SERVED, _over_share(1)])
        counts = report.tables.requests[Dimension.ACCOUNT]["acme"]
        self.assertEqual(
            (2, 1, 1),
            (counts.offered, counts.outcomes[Outcome.SERVED], counts.outcomes[Outcome.REFUSED]),
        )
