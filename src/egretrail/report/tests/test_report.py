"""Burn rates, the recorder's windows, and the aggregation of reports."""

import dataclasses

from egretrail.identity import InstanceName, RouteName, ServiceName, UpstreamName
from egretrail.report import (
    AnswerKind,
    BurnRecorder,
    Objective,
    burn_rate,
    remaining_budget,
    summarise,
)
from egretrail.testing import EgretrailTestCase, cases

_SERVICE = ServiceName("team/shop")
_ROUTE = RouteName("team/orders")


class BurnRateTest(EgretrailTestCase):
    @cases(
        {
            "no_requests": ({}, 0.0),
            "all_good": ({"good": 1000}, 0.0),
            "exactly_the_budget": ({"good": 999, "late": 1}, 1.0),
            "ten_times_the_budget": ({"good": 990, "failed": 4, "refused": 6}, 10.0),
        }
    )
    def test_rate_is_the_bad_share_over_the_allowed_share(
        self, row: tuple[dict[str, int], float]
    ) -> None:
        counts, expected = row
        burn = burn_rate(counts, Objective(0.999, 1.0), 300.0)
        self.assertAlmostEqual(expected, burn.rate, places=6)
        self.assertAlmostEqual(1.0 - expected, remaining_budget(burn), places=6)


class BurnRecorderTest(EgretrailTestCase):
    def test_windows_exclude_older_counts(self) -> None:
        recorder = BurnRecorder()
        recorder.count(_SERVICE, _ROUTE, AnswerKind.FAILED, 0.0)
        recorder.count(_SERVICE, _ROUTE, AnswerKind.GOOD, 3000.0)
        report = recorder.report(InstanceName("one"), 7, 3000.0)
        found = {counts.window_s: dict(counts.counts) for counts in report.routes}
        self.assertEqual({"good": 1}, found[300.0])
        self.assertEqual({"good": 1, "failed": 1}, found[3600.0])

    def test_an_ejection_is_reported_while_it_lasts_and_afterwards(self) -> None:
        recorder = BurnRecorder()
        upstream = UpstreamName("shop-1")
        recorder.record_ejection(_SERVICE, upstream, "failures", 0.4, 10.0)
        ongoing = recorder.report(InstanceName("one"), 0, 15.0).ejections
        recorder.record_return(_SERVICE, upstream, 20.0)
        ended = recorder.report(InstanceName("one"), 0, 60.0).ejections
        self.assertEqual([(False, 5.0)], [(e.over, e.duration_s) for e in ongoing])
        self.assertEqual([(True, 10.0)], [(e.over, e.duration_s) for e in ended])
        self.assertEqual([50.0], [e.ago_s for e in ended])


class SummaryTest(EgretrailTestCase):
    def test_reports_are_summed_and_silent_instances_listed(self) -> None:
        one = BurnRecorder()
        one.count(_SERVICE, _ROUTE, AnswerKind.GOOD, 1.0)
        first = one.report(InstanceName("one"), 3, 2.0)
        second = dataclasses.replace(first, instance=InstanceName("two"))
        summary = summarise([first, second], [InstanceName("three")], {})
        self.assertEqual(2, summary.services[0].windows[0].requests)
        self.assertEqual((InstanceName("three"),), summary.silent)
