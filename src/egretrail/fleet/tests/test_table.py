"""Proofs that a process has ended."""

from egretrail.fleet import Member, MembershipTable, MembershipTuning, Slowness
from egretrail.identity import AvailabilityZone, Incarnation, InstanceName
from egretrail.testing import EgretrailTestCase


def _member(name: str, number: int = 1) -> Member:
    process = Incarnation(InstanceName(name), number)
    return Member(process, AvailabilityZone("vantaa-a"), "10.0.0.1", 1, "10.0.0.1", 2)


class GoneProofTest(EgretrailTestCase):
    def test_a_process_never_heard_of_is_not_gone_because_the_list_lags(self) -> None:
        tuning = MembershipTuning()
        table = MembershipTable(_member("own"), tuning, Slowness(tuning))
        started = Incarnation(InstanceName("other"), 2)
        for now_s in range(0, 1000, 10):
            table.tick(now_s)
            table.seed([_member("own")], now_s)
        # Its name has been missing for long, but it may have started a moment ago.
        self.assertTrue(table.is_name_gone(started.instance, 1000))
        self.assertFalse(table.is_gone(started, 1000))
        for now_s in range(1000, 1095, 10):
            table.seed([_member("own")], now_s)
            gone = table.is_gone(started, now_s)
            self.assertFalse(gone)
        table.seed([_member("own")], 1095)
        self.assertTrue(table.is_gone(started, 1095))
