"""Clients' results under bursts, skew, a slow upstream, mixed durations and saturation."""

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
    ServiceProfile,
    Trace,
    capacity_per_s,
    constant_rate,
    figures,
    generate_requests,
    make_header,
    quantile,
)

READ = READS[Deployment.HOANG_LIEN]
WRITE = WRITES[Deployment.HOANG_LIEN]


def make_trace(site: ServiceProfile, load: Load, faults: Sequence[Fault] = ()) -> Trace:
    requests = generate_requests(site, load, random.Random(7))
    return Trace(make_header("load-shape", site, load.duration_s), requests, faults)


def play(trace: Trace) -> tuple[Figures, PlayLog]:
    log = Player(trace, EgretrailFactory(), 7).run()
    return figures(trace, log, Oracle(trace).run()), log


def count_endings(trace: Trace, log: PlayLog, caller: str) -> Counter[Ending]:
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

        result, _ = play(make_trace(READ, Load(rate_per_s, 5.0)))
        self.assertEqual(0, result.missed)
        self.assertLessEqual(result.refused / result.requests, 0.01)
        self.assertGreaterEqual(result.goodput, 0.98)

    def test_a_callers_burst_does_not_starve_the_others(self) -> None:
        trace = make_trace(
            WRITE, Load(constant_rate(4.0 * capacity_per_s(WRITE)), 3.0, greedy_share=0.8)
        )
        _, log = play(trace)
        light = count_endings(trace, log, "c11")
        greedy = count_endings(trace, log, "greedy")
        self.assertGreaterEqual(light[Ending.ANSWERED] / light.total(), 0.9)
        self.assertGreater(greedy[Ending.REFUSED], greedy[Ending.ANSWERED])


class SkewTest(EgretrailTestCase):
    def test_the_busy_member_uses_slots_that_the_others_leave_free(self) -> None:
        load = Load(constant_rate(0.75 * capacity_per_s(WRITE)), 6.0, member_skew=6.0)
        result, _ = play(make_trace(WRITE, load))
        self.assertEqual(0, result.missed)
        self.assertGreaterEqual(result.goodput, 0.98)

    def test_members_alike_in_load_get_alike_parts_when_all_slots_are_taken(self) -> None:
        trace = make_trace(WRITE, Load(constant_rate(3.0 * capacity_per_s(WRITE)), 4.0))
        _, log = play(trace)
        answered = Counter(
            asked.member
            for asked, done in zip(trace.requests, log.requests, strict=True)
            if done.ending is Ending.ANSWERED
        )
        self.assertGreaterEqual(min(answered.values()) / max(answered.values()), 0.75)


class SlowUpstreamTest(EgretrailTestCase):
    def test_one_upstream_twenty_times_slower_hardly_touches_the_callers(self) -> None:
        fault = Fault(FaultKind.SLOW, make_header("", READ, 1.0).upstreams[0].name, 1.0, 12.0)
        trace = make_trace(
            READ, Load(constant_rate(80.0), 12.0), [dataclasses.replace(fault, factor=20.0)]
        )
        result, _ = play(trace)
        self.assertEqual(0, result.missed + result.refused + result.failed)
        self.assertLessEqual(quantile(result.added_s, 0.98), 0.05)
        self.assertEqual(0, result.false_ejections)


class MixedWorkTest(EgretrailTestCase):
    def test_short_work_does_not_wait_behind_long_work(self) -> None:
        # Long requests alone need more than all slots, short ones a quarter of them.
        load = Load(
            constant_rate(0.4 * capacity_per_s(WRITE)),
            8.0,
            long_share=0.3,
            long_factor=12.0,
            idempotent_share=1.0,
        )
        trace = make_trace(WRITE, load)
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
    def test_admitted_requests_are_answered_in_time(self, times: float) -> None:
        trace = make_trace(WRITE, Load(constant_rate(times * capacity_per_s(WRITE)), 5.0))
        result, log = play(trace)
        self.assertGreaterEqual(result.goodput, 0.9)
        self.assertLessEqual(result.missed / result.requests, 0.001)
        self.assertEqual(0, result.failed)
        refused_s = [
            done.ended_s - asked.at_s
            for asked, done in zip(trace.requests, log.requests, strict=True)
            if done.ending is Ending.REFUSED
        ]
        # Most requests are refused at once, or when a client with fewer waiting requests arrives.
        # Few are refused only after their maximum time in the queue.
        waited = sum(each >= WRITE.queue_s for each in refused_s)
        self.assertLessEqual(waited / len(refused_s), 0.15)
        self.assertLessEqual(quantile(refused_s, 0.5), WRITE.queue_s / 10)
        self.assertLessEqual(result.retry_share, 0.1)
        self.assertEqual(0, result.doubled)
