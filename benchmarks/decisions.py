"""Microbenchmarks of the scheduler's decisions by number of upstreams.

A request is submitted and finished with free slots (placing), or submitted to a full queue and
refused (admitting). The candidates are a new list for each call, as in the daemon.

A second table has the admission of requests to a full service by number of client accounts. A zone
reports twenty times a second, so that the sums of reports are part of the figures.
"""

import random
import sys
import time
from collections.abc import Callable, Sequence

from egretrail.identity import AvailabilityZone, CallerId, RouteName, TeamName, UpstreamName
from egretrail.overload import (
    AccountDemandKey,
    Arrival,
    DemandKey,
    DemandReport,
    DemandRow,
    FleetOverloadPolicy,
    ServiceRoom,
    ServiceTerms,
    account_demand_key,
    service_key,
)
from egretrail.service import (
    AttemptResult,
    Candidate,
    CostClass,
    Dispatch,
    GroupPosition,
    Scheduler,
    UpstreamWeights,
    Work,
    WorkId,
)

_ACCOUNT_COUNTS = (10, 100)
_UPSTREAM_COUNTS = (10, 31, 200)
_SLOTS = 4
_ROUNDS = 2000
_REPEATS = 5
_ZONE = AvailabilityZone("espoo-b")


class _FixedUpstreams(UpstreamWeights):
    """A fixed set of upstreams, returned as a new list each time."""

    def __init__(self, count: int) -> None:
        self._candidates = [
            Candidate(UpstreamName(f"u{index}"), _ZONE, 1.0, False, _SLOTS)
            for index in range(count)
        ]

    def usable(self, now_s: float) -> Sequence[Candidate]:
        """Return the upstreams."""
        return list(self._candidates)

    def group_position(self) -> GroupPosition:
        """Return a member's position in a group sized for 16 slots per member."""
        return GroupPosition(1, max(3, len(self._candidates) * _SLOTS // 16))


def _work(number: int, now_s: float) -> Work:
    return Work(
        WorkId(str(number)),
        CallerId(f"c{number % 7}"),
        TeamName("tiles"),
        RouteName("catalogue"),
        True,
        now_s + 2.0,
        0.5,
        CostClass("GET"),
    )


def _placing(count: int) -> None:
    scheduler = Scheduler(_ZONE, _FixedUpstreams(count), 0.1, random.Random(1))
    for number in range(_ROUNDS):
        now_s = number * 0.001
        (action,) = scheduler.submit(_work(number, now_s), now_s)
        assert isinstance(action, Dispatch)
        scheduler.record_attempt_end(
            action.work_id, action.upstream, AttemptResult.ANSWERED, now_s + 0.0005
        )


def _admitting(count: int) -> None:
    scheduler = Scheduler(_ZONE, _FixedUpstreams(count), 0.1, random.Random(1))
    for number in range(count * _SLOTS + _ROUNDS):
        scheduler.submit(_work(number, 0.0), 0.0)


def _admitting_by_share(count: int, *, has_reports: bool) -> None:
    """Admit requests of accounts to a full service, from reports or from own counts only."""
    policy = FleetOverloadPolicy(random.Random(1))
    policy.configure({"tiles": ServiceTerms(True, True, {0: 1.1, 1: 1.5})})
    policy.set_fleet(1.0, 1 / 88, "espoo-b")
    key = service_key("tiles")
    names = [f"account-{index}" for index in range(count)]
    accounts = {AccountDemandKey(key, account_demand_key(name, 1)): 5 for name in names}
    rows = {DemandKey(key, 0): DemandRow(300), DemandKey(key, 1): DemandRow(5 * count + 100)}
    room = ServiceRoom(100, 200, 0.3)
    for number in range(_ROUNDS):
        now_s = number * 0.005
        if has_reports and number % 10 == 0:
            policy.apply_zone_report("espoo-b", DemandReport(rows, accounts), now_s)
        policy.admit(Arrival("tiles", number % 2, names[number % count], 1.5, 10.0), room, now_s)


def _admitting_from_reports(count: int) -> None:
    _admitting_by_share(count, has_reports=True)


def _admitting_alone(count: int) -> None:
    _admitting_by_share(count, has_reports=False)


def _microseconds(run: Callable[[int], None], count: int, events: int) -> float:
    """Return the shortest time per event over the repeats, in microseconds."""
    durations_s = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        run(count)
        durations_s.append(time.process_time() - started_s)
    return 1e6 * min(durations_s) / events


def main() -> None:
    """Print the tables."""
    lines = [
        "| upstreams | placing, us a request | admitting to a full queue, us |",
        "| --- | --- | --- |",
    ]
    for count in _UPSTREAM_COUNTS:
        placing = _microseconds(_placing, count, _ROUNDS)
        admitting = _microseconds(_admitting, count, _ROUNDS + count * _SLOTS)
        lines.append(f"| {count} | {placing:.0f} | {admitting:.0f} |")
    lines += [
        "",
        "| accounts | admitting to a full service, us | the same without reports, us |",
        "| --- | --- | --- |",
    ]
    for count in _ACCOUNT_COUNTS:
        shared = _microseconds(_admitting_from_reports, count, _ROUNDS)
        alone = _microseconds(_admitting_alone, count, _ROUNDS)
        lines.append(f"| {count} | {shared:.0f} | {alone:.0f} |")
    sys.stdout.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
