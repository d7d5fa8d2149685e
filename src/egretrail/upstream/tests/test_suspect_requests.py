"""Tests the limit on upstreams that one request may crash."""

from hypothesis import given, settings
from hypothesis import strategies as st

from egretrail.identity import ServiceName, UpstreamName
from egretrail.testing import EgretrailTestCase
from egretrail.upstream import SuspectRequests, request_digest

_A, _B, _C = (UpstreamName(name) for name in "abc")


class SuspectRequestsTest(EgretrailTestCase):
    def test_the_limit_counts_upstreams_and_not_duplicate_reports(self) -> None:
        suspects = SuspectRequests(2)
        suspects.record_loss(1, _A, 0.0)
        suspects.record_loss(1, _A, 0.1)
        self.assertTrue(suspects.permits_another_upstream(1, 0.2))
        suspects.record_loss(1, _B, 1.0)
        self.assertFalse(suspects.permits_another_upstream(1, 1.0))
        self.assertTrue(suspects.permits_another_upstream(2, 1.0))

    def test_another_crash_of_the_same_upstream_counts_again(self) -> None:
        suspects = SuspectRequests(2)
        suspects.record_loss(1, _A, 0.0)
        suspects.record_loss(1, _A, 30.0)
        self.assertFalse(suspects.permits_another_upstream(1, 30.0))

    def test_an_attempt_that_began_after_a_loss_is_another_loss(self) -> None:
        suspects = SuspectRequests(2)
        suspects.record_loss(1, _A, 10.0, lasted_s=0.01)
        suspects.record_loss(1, _A, 10.001, lasted_s=0.02)
        self.assertTrue(suspects.permits_another_upstream(1, 10.001))
        suspects.record_loss(1, _A, 10.02, lasted_s=0.01)
        self.assertFalse(suspects.permits_another_upstream(1, 10.02))

    def test_copies_in_flight_count_once_the_request_is_suspect(self) -> None:
        suspects = SuspectRequests(2)
        suspects.record_start(1, _A)
        suspects.record_start(1, _B)
        suspects.record_end(1, _A)
        suspects.record_loss(1, _A, 0.0)
        self.assertFalse(suspects.permits_another_upstream(1, 0.0))
        suspects.record_end(1, _B)
        self.assertTrue(suspects.permits_another_upstream(1, 0.0))

    def test_a_digest_depends_on_the_target_and_the_body(self) -> None:
        self.assertEqual(request_digest("GET", "/a?b", b"x"), request_digest("GET", "/a?b", b"x"))
        self.assertNotEqual(request_digest("GET", "/a", b"bx"), request_digest("GET", "/ab", b"x"))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.integers(1, 4), st.lists(st.tuples(st.integers(0, 2), st.integers(0, 5))))
    def test_sequential_retries_never_exceed_the_limit(
        self, limit: int, tries: list[tuple[int, int]]
    ) -> None:
        members = [SuspectRequests(limit) for _ in range(3)]
        lost: set[int] = set()
        for step, (member, upstream) in enumerate(tries):
            now_s = 10.0 * step
            name = UpstreamName(f"u{upstream}")
            if not members[member].permits_another_upstream(1, now_s):
                continue
            lost.add(upstream)
            for other in members:
                other.record_loss(1, name, now_s)
        self.assertLessEqual(len(lost), limit)
        self.assertLessEqual(len(members[0].losses(ServiceName("t/s"))), limit)
