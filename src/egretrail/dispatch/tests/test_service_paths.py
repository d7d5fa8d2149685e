"""When the upstreams of a service are probed, and when the service counts as unreached."""

from collections.abc import Sequence

from egretrail.dispatch import ServicePathCheck
from egretrail.testing import EgretrailTestCase, cases

#: Time and upstream of a failure to connect; None for a contact with any upstream of the service.
Event = tuple[float, str | None]


class ServicePathCheckTest(EgretrailTestCase):
    @cases(
        {
            "one failure": ([(1.0, "a")], 4, False),
            "one upstream twice": ([(1.0, "a"), (1.5, "a")], 4, False),
            "two upstreams": ([(1.0, "a"), (1.5, "b")], 4, True),
            "two upstreams, too far apart": ([(1.0, "a"), (4.1, "b")], 4, False),
            "two upstreams, a contact in between": (
                [(1.0, "a"), (1.2, None), (1.5, "b")],
                4,
                False,
            ),
            "the only upstream": ([(1.0, "a")], 1, True),
            "a suspect, while none is usable": ([(1.0, "a")], 0, True),
        }
    )
    def test_probes_are_due(self, case: tuple[Sequence[Event], int, bool]) -> None:
        events, usable_count, expected = case
        check = ServicePathCheck()
        is_due = False
        for at_s, upstream_id in events:
            if upstream_id is None:
                check.record_contact("s")
            else:
                is_due = check.record_failure("s", upstream_id, usable_count, at_s)
        self.assertEqual(expected, is_due)
        self.assertFalse(check.reaches_none("s"), "failures alone decide nothing")

    def test_a_service_is_unreached_until_a_contact(self) -> None:
        check = ServicePathCheck()
        for upstream_id in "ab":
            check.record_failure("s", upstream_id, 4, 1.0)
        self.assertTrue(check.record_unreached("s"))
        self.assertEqual([True, False], [check.reaches_none(name) for name in "st"])
        check.record_contact("t")
        self.assertTrue(check.reaches_none("s"))
        check.record_contact("s")
        self.assertFalse(check.reaches_none("s"))

    def test_a_contact_while_the_probes_run_counts(self) -> None:
        check = ServicePathCheck()
        for upstream_id in "ab":
            check.record_failure("s", upstream_id, 4, 1.0)
        check.record_contact("s")
        self.assertFalse(check.record_unreached("s"))
        self.assertFalse(check.reaches_none("s"))
