"""Tests of the record of how far a reader follows the store."""

from collections.abc import Sequence

from egretrail.store import FollowProgress
from egretrail.testing import EgretrailTestCase, cases


class FollowProgressTest(EgretrailTestCase):
    @cases(
        {
            "the store is at the position": ([(10, 10)], [False], 0.0),
            "the store is further": ([(10, 12), (12, 12)], [False, False], 0.0),
            "the position is ahead, told once": ([(10, 4), (10, 5)], [True, False], 5.0),
            "it is ahead again after the store caught up": (
                [(10, 4), (10, 10), (10, 9)],
                [True, False, True],
                1.0,
            ),
            "read anew": ([(10, 4), (0, 5)], [True, False], 0.0),
        }
    )
    def test_a_position_ahead_of_the_store_is_told_once(
        self, case: tuple[Sequence[tuple[int, int]], Sequence[bool], float]
    ) -> None:
        answers, expected, ahead = case
        now_s = 100.0
        progress = FollowProgress(lambda: now_s)
        self.assertEqual(expected, [progress.record_answer("config", *one) for one in answers])
        now_s += 2.5
        gauges = {
            'store_position_ahead{part="config"}': ahead,
            'store_answer_age_seconds{part="config"}': 2.5,
        }
        self.assertEqual(gauges, progress.gauges())
