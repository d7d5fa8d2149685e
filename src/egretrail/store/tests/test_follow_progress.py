"""Tests of the record of how far a reader follows the store."""

from egretrail.store import FollowProgress
from egretrail.testing import EgretrailTestCase


class FollowProgressTest(EgretrailTestCase):
    def test_the_age_of_answers_and_refuted_positions_are_told_by_part(self) -> None:
        """A reader that waits ahead of the store looked like one that is up to date."""
        now_s = 100.0
        progress = FollowProgress(lambda: now_s)
        progress.record_answer("config")
        progress.record_answer("upstreams")
        now_s += 2.5
        progress.record_answer("config")
        progress.record_refuted("upstreams")
        gauges = {
            'store_answer_age_seconds{part="config"}': 0.0,
            'store_positions_refuted_total{part="config"}': 0.0,
            'store_answer_age_seconds{part="upstreams"}': 2.5,
            'store_positions_refuted_total{part="upstreams"}': 1.0,
        }
        self.assertEqual(gauges, progress.gauges())
