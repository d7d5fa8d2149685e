"""Proof of the end of a process by its absence from the instance list."""

from egretrail.fleet import Member, MembershipTable, MembershipTuning, Slowness
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName
from egretrail.testing import EgretrailTestCase


def _member(name: str, number: int = 1) -> Member:
    process = Incarnation(InstanceName(name), number)
    return Member(process, AvailabilityZone("vantaa-a"), "10.0.0.1", 1, "10.0.0.1", 2)


class GoneProofTest(EgretrailTestCase):
    def test_absence_proves_the_end_of_an_unknown_process_only_after_the_list_lag(self) -> None:
        tuning = MembershipTuning()
        table = MembershipTable(_member("own"), tuning, Slowness(tuning))
        started = Incarnation(InstanceName("other"), 2)
        for now_s in range(0, 1000, 10):
            table.tick(now_s)
            table.apply_list([_member("own")], now_s)
        # The name has long been absent, but the process may have just started.
        self.assertTrue(table.is_name_gone(started.instance, 1000))
        self.assertFalse(table.is_gone(started, 1000))
        for now_s in range(1000, 1095, 10):
            table.apply_list([_member("own")], now_s)
            gone = table.is_gone(started, now_s)
            self.assertFalse(gone)
        table.apply_list([_member("own")], 1095)
        self.assertTrue(table.is_gone(started, 1095))
