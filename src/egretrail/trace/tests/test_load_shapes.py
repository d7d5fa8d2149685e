"""Callers' outcome under the load shapes: bursts, skew, a slow upstream, mixed work, saturation."""

import dataclasses
import random
from collections import Counter
from collections.abc import Sequence

from egretrail.identity import CallerId
from egretrail.testing import EgretrailTestCase, cases
from egretrail.trace import (
    READS,
    WRITES,
    Deployment,
    EgretrailFactory,
    Ending,
    Fault,
    FaultKind,
    Figures,
    Load,
    Oracle,
    Player,
    PlayLog,
    Site,
    Trace,
    capacity_per_s,
    figures,
    header_of,
    quantile,
    requests_of,
    steady,
)

READ = READS[Deployment.HOANG_LIEN]
WRITE = WRITES[Deployment.HOANG_LIEN]


def trace_of(site: Site, load: Load, faults: Sequence[Fault] = ()) -> Trace:
    requests = requests_of(site, load, random.Random(7))
    return Trace(header_of("load-shape", site, load.duration_s), requests, faults)


def play(trace: Trace) -> tuple[Figures, PlayLog]:
    log = Player(trace, EgretrailFactory(), 7).run()
    return figures(trace, log, Oracle(trace).run()), log


def endings_of(trace: Trace, log: PlayLog, caller: str) -> Counter[Ending]:
    return Counter(
        done.ending
        for asked, done in zip(trace.requests, log.requests, strict=True)
        if asked.caller == CallerId(caller)
    )


class BurstTest(EgretrailTestCase):
    def test_a_burst_within_the_queue_is_answered_whole(self) -> None:
        capacity = capacity_per_s(READ)

        def rate_per_s(now_s: float) -> float:
            return 2.0 * capacity if 2.0 <= now_s < 2.25 else 0.3 * capacity

        made, _ = play(trace_of(READ, Load(rate_per_s, 5.0)))
        self.assertEqual(0, made.missed)
        self.assertLessEqual(made.refused / made.requests, 0.01)
        self.assertGreaterEqual(made.goodput, 0.98)

    def test_a_callers_burst_does_not_starve_the_others(self) -> None:
        trace = trace_of(WRITE, Load(steady(4.0 * capacity_per_s(WRITE)), 3.0, greedy_share=0.8))
        _, log = play(trace)
        light = endings_of(trace, log, "c11")
        greedy = endings_of(trace, log, "greedy")
        self.assertGreaterEqual(light[Ending.ANSWERED] / light.total(), 0.9)
        self.assertGreater(greedy[Ending.REFUSED], greedy[Ending.ANSWERED])


class SkewTest(EgretrailTestCase):
    def test_the_busy_member_uses_slots_that_the_others_leave(self) -> None:
        load = Load(steady(0.75 * capacity_per_s(WRITE)), 6.0, member_skew=6.0)
        made, _ = play(trace_of(WRITE, load))
        self.assertEqual(0, made.missed)
        self.assertGreaterEqual(made.goodput, 0.98)

    def test_members_alike_in_load_get_alike_parts_when_all_slots_are_taken(self) -> None:
        trace = trace_of(WRITE, Load(steady(3.0 * capacity_per_s(WRITE)), 4.0))
        _, log = play(trace)
        answered = Counter(
            asked.member
            for asked, done in zip(trace.requests, log.requests, strict=True)
            if done.ending is Ending.ANSWERED
        )
        self.assertGreaterEqual(min(answered.values()) / max(answered.values()), 0.75)


class SlowUpstreamTest(EgretrailTestCase):
    def test_one_upstream_twenty_times_slower_hardly_touches_the_callers(self) -> None:
        fault = Fault(FaultKind.SLOW, header_of("", READ, 1.0).upstreams[0].name, 1.0, 12.0)
        trace = trace_of(READ, Load(steady(80.0), 12.0), [dataclasses.replace(fault, factor=20.0)])
        made, _ = play(trace)
        self.assertEqual(0, made.missed + made.refused + made.failed)
        self.assertLessEqual(quantile(made.added_s, 0.98), 0.05)
        self.assertEqual(0, made.false_ejections)


class MixedWorkTest(EgretrailTestCase):
    def test_short_work_does_not_wait_behind_long_work(self) -> None:
        # Long requests alone ask for more than all slots, short ones for a quarter of them.
        load = Load(
            steady(0.4 * capacity_per_s(WRITE)),
            8.0,
            long_share=0.3,
            long_factor=12.0,
            idempotent_share=1.0,
        )
        trace = trace_of(WRITE, load)
        _, log = play(trace)
        short = [
            (asked, done)
            for asked, done in zip(trace.requests, log.requests, strict=True)
            if not asked.kind.startswith("report") and asked.at_s > 2.0
        ]
        waits_s = [
            done.ended_s - asked.at_s - asked.work_s
            for asked, done in short
            if done.ending is Ending.ANSWERED
        ]
        self.assertGreaterEqual(len(waits_s) / len(short), 0.97)
        self.assertLessEqual(quantile(waits_s, 0.95), WRITE.queue_s / 2)


class SaturationTest(EgretrailTestCase):
    @cases({"2x": 2.0, "5x": 5.0})
    def test_what_is_admitted_is_answered_in_time(self, times: float) -> None:
        trace = trace_of(WRITE, Load(steady(times * capacity_per_s(WRITE)), 5.0))
        made, log = play(trace)
        self.assertGreaterEqual(made.goodput, 0.9)
        self.assertLessEqual(made.missed / made.requests, 0.001)
        self.assertEqual(0, made.failed)
        refused_s = [
            done.ended_s - asked.at_s
            for asked, done in zip(trace.requests, log.requests, strict=True)
            if done.ending is Ending.REFUSED
        ]
        # Most are told at once or when a caller with less waiting comes, few after all their wait.
        waited = sum(each >= WRITE.queue_s for each in refused_s)
        self.assertLessEqual(waited / len(refused_s), 0.15)
        self.assertLessEqual(quantile(refused_s, 0.5), WRITE.queue_s / 10)
        self.assertLessEqual(made.retry_share, 0.1)
        self.assertEqual(0, made.doubled)
