"""What tells entries that expired in an outage of the store from removed ones."""

from collections.abc import Sequence

from egretrail.cluster import StoreOutage
from egretrail.testing import EgretrailTestCase, cases


class StoreOutageTest(EgretrailTestCase):
    # Guards against removals that are taken as expired, and expired entries taken as removed.
    @cases(
        {
            "own calls failed for long": ([("contact", 10.0), ("failure", 11.0)], 14.0, True),
            "own calls failed for a moment": ([("contact", 10.0), ("failure", 10.5)], 11.0, False),
            "nobody called": ([("contact", 10.0)], 60.0, False),
            "the first call failed after nobody had called": (
                [("contact", 10.0), ("failure", 59.9)],
                60.0,
                False,
            ),
            "others reported an outage": ([("contact", 10.0), ("report", 12.0)], 14.0, True),
            "others were answered meanwhile": (
                [
                    ("contact", 10.0),
                    ("failure", 10.5),
                    ("contact", 11.0),
                    ("contact", 13.0),
                    ("failure", 13.5),
                ],
                14.0,
                False,
            ),
            "the process was paused": (
                [("contact", 10.0), ("pause", 13.0), ("failure", 13.1)],
                13.2,
                False,
            ),
        }
    )
    def test_entries_expire_only_in_an_outage(
        self, case: tuple[Sequence[tuple[str, float]], float, bool]
    ) -> None:
        events, end_s, is_outage = case
        outage = StoreOutage()
        for kind, now_s in events:
            match kind:
                case "contact":
                    outage.record_contact(now_s)
                case "failure":
                    # The instance has read the store for half a second by then.
                    outage.record_failure(now_s - 0.5 if now_s > 50.0 else 0.0, now_s)
                case "report":
                    outage.record_report(1.5, now_s)
                case "pause":
                    outage.extend_deadlines(2.9)
        outage.record_contact(end_s)
        self.assertIs(is_outage, end_s < outage.expiry_until_s)
        self.assertIs(is_outage, outage.ended_s == end_s)

    def test_only_instances_whose_calls_fail_report_an_outage(self) -> None:
        outage = StoreOutage()
        outage.record_report(3.0, 10.0)
        self.assertIsNone(outage.reported_away_s(10.0))
        outage.record_failure(9.0, 11.0)
        self.assertEqual(4.0, outage.reported_away_s(11.0))
        self.assertIsNone(outage.reported_away_s(13.5))
