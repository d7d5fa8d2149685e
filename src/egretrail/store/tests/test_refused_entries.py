"""The bookkeeping of refused entries."""

from egretrail.store import RefusedEntries
from egretrail.testing import EgretrailTestCase


class RefusedEntriesTest(EgretrailTestCase):
    def test_only_new_entries_and_other_faults_are_news(self) -> None:
        """A refusal that is told at each read fills the log."""
        refused = RefusedEntries()
        told = [refused.record_refused("\udc80", faults) for faults in ("a", "a", "b", "b", "a")]
        self.assertEqual([True, False, True, False, True], told)
        self.assertEqual((3, 1), (refused.total, refused.present))
        refused.record_ended("\udc80")
        self.assertTrue(refused.record_refused("\udc80", "a"))

    def test_a_complete_list_ends_what_it_does_not_hold(self) -> None:
        """A removal that no watch showed must not be counted for ever."""
        refused = RefusedEntries()
        for path in ("a", "b"):
            refused.record_refused(path, "x")
        refused.retain(["b", "c"])
        self.assertEqual(1, refused.present)
        self.assertFalse(refused.record_refused("b", "x"))
        self.assertTrue(refused.record_refused("a", "x"))

    def test_any_number_of_entries_takes_bounded_memory(self) -> None:
        """Another writer may create keys without end."""
        refused = RefusedEntries()
        told = sum(refused.record_refused(str(number), "x") for number in range(10_000))
        self.assertEqual((told, 10_000), (refused.present, refused.total))
        self.assertLessEqual(told, 2_000)
        refused.record_ended("0")
        self.assertTrue(refused.record_refused("9999", "x"))
