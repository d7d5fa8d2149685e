"""Tests of the table of upstreams that asked this instance to back off."""

from egretrail.dispatch import BackoffTable
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState


class BackoffTableTest(EgretrailTestCase):
    @cases(
        {
            "during the backoff": ([(0.0, 3.0)], 1.0, 2.0),
            "at its end": ([(0.0, 3.0)], 3.0, 0.0),
            "zero": ([(0.0, 0.0)], 0.0, 0.0),
            "shorter one later": ([(0.0, 3.0), (0.1, 1.0)], 1.0, 2.0),
            "longer one later": ([(0.0, 1.0), (0.5, 3.0)], 1.0, 2.5),
            "again after its end": ([(0.0, 1.0), (2.0, 1.0)], 2.5, 0.5),
            "huge": ([(0.0, 1e9)], 1e8, 9e8),
        }
    )
    def test_remaining(self, case: tuple[list[tuple[float, float]], float, float]) -> None:
        stated, now_s, expected_s = case
        table = BackoffTable()
        for at_s, backoff_s in stated:
            table.record("u", backoff_s, at_s)
        self.assertAlmostEqual(expected_s, table.remaining_s("u", now_s))
        self.assertEqual(0.0, table.remaining_s("another", now_s))

    def test_the_first_end_of_several_counts(self) -> None:
        table = BackoffTable()
        table.record("a", 3.0, 0.0)
        table.record("b", 1.0, 0.0)
        records = [
            UpstreamRecord(name, "s", "10.0.0.1:80", "a", 4, UpstreamState.READY) for name in "abc"
        ]
        self.assertEqual(0.5, table.shortest_remaining_s(records[:2], 0.5))
        self.assertEqual(0.0, table.shortest_remaining_s(records, 0.5))
        self.assertEqual(0.0, table.shortest_remaining_s([], 0.5))
        for now_s, accepting in ((0.5, "c"), (1.0, "bc"), (3.0, "abc")):
            names = [record.name for record in table.accepting(records, now_s)]
            self.assertEqual(list(accepting), names)

    def test_expired_backoffs_are_not_kept(self) -> None:
        table = BackoffTable()
        for number in range(100):
            table.record(f"u{number}", 1.0, float(number))
        self.assertEqual(1, table.count(99.5))
        self.assertEqual(0, table.count(101.0))
