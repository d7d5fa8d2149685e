"""Prints the CPU time and message size of evidence.

Run with ``python -m egretrail.upstream.tests._cost``.
"""

import random
import time
from collections.abc import Callable, Iterator
from functools import partial

from egretrail.identity import CallerId, InstanceName, ServiceName, UpstreamName
from egretrail.settings import Detection
from egretrail.upstream import Attempt, AttemptOutcome, Evidence, ServiceHealth, UnlimitedRights
from egretrail.wire import Frame, FrameKind, encode_frame

_ATTEMPTS = 6000


def _health(upstreams: int) -> tuple[ServiceHealth, list[UpstreamName]]:
    rng = random.Random(1)
    health = ServiceHealth(
        ServiceName("team/service"), Detection.PATIENT, 0.0, UnlimitedRights(), rng
    )
    names = [UpstreamName(f"upstream-{index}") for index in range(upstreams)]
    health.set_upstreams(names, 0.0)
    return health, names


def _drive(health: ServiceHealth, names: list[UpstreamName], failing: float) -> float:
    rng = random.Random(2)
    now_s = 0.0
    spent_s = 0.0
    for digest in range(_ATTEMPTS):
        now_s += 0.01
        outcome = AttemptOutcome.FAILED if rng.random() < failing else AttemptOutcome.ANSWERED
        name = rng.choice(names)
        latency_s = rng.lognormvariate(-3.5, 0.5)
        caller = CallerId(f"c{digest % 50}")
        attempt = Attempt(name, outcome, latency_s, now_s, digest, "GET", caller)
        start_s = time.process_time()
        ticket = health.record_start(name, "GET", now_s)
        health.record_end(ticket)
        health.record_outcome(attempt, now_s)
        spent_s += time.process_time() - start_s
    return spent_s / _ATTEMPTS


def _timed_us(times: int, act: Callable[[], None]) -> float:
    start_s = time.process_time()
    for _ in range(times):
        act()
    return (time.process_time() - start_s) / times * 1e6


def _merge(
    health: ServiceHealth, senders: Iterator[InstanceName], evidence: Evidence, now_s: float
) -> None:
    health.apply_evidence(next(senders), evidence, now_s)


def main() -> None:
    """Print a table with a row for each number of upstreams."""
    print("| upstreams | message bytes | record us | record us, 30% fail | merge us | tick us |")
    print("|---|---|---|---|---|---|")
    for upstreams in (10, 31, 200):
        health, names = _health(upstreams)
        record_s = _drive(health, names, 0.001)
        failing, failing_names = _health(upstreams)
        failing_s = _drive(failing, failing_names, 0.3)
        now_s = _ATTEMPTS * 0.01
        evidence = health.own_evidence(now_s)
        size_bytes = len(encode_frame(Frame(FrameKind.NOTIFY, 0, evidence)))
        senders = iter([InstanceName(f"m{index}") for index in range(300)])
        merge_us = _timed_us(2, partial(_merge, health, senders, evidence, now_s))
        tick_us = _timed_us(200, partial(health.tick, now_s))
        print(
            f"| {upstreams} | {size_bytes} | {record_s * 1e6:.0f} | {failing_s * 1e6:.0f} "
            f"| {merge_us:.0f} | {tick_us:.0f} |"
        )


if __name__ == "__main__":
    main()
