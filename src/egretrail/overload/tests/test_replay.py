"""The bounds of docs/hard-load-work.md, part 2, on replays of many policies side by side."""

import bisect
import itertools
import random
from collections.abc import Mapping, Sequence
from dataclasses import replace

from egretrail.overload import ServiceState
from egretrail.overload.tests.replay import PACING_WINDOW_S, TIGHT_OBJECTIVE_KINDS, Pattern, Replay
from egretrail.testing import EgretrailTestCase, cases

_FROM_S, _UNTIL_S = 2.0, 7.0
_KNOWN_WITHIN_S = 0.3 + 0.05


def _shed_bounds(replay: Replay) -> tuple[float, float]:
    """Return from when until when a fifth of the last second's attempts was refused."""
    times = [at_s for at_s, _ in replay.attempts]
    shed = list(itertools.accumulate(is_shed for _, is_shed in replay.attempts))
    high = []
    for index in range(1, len(times)):
        first = bisect.bisect_left(times, times[index] - 1.0)
        if shed[index] - shed[first] >= 0.2 * (index - first):
            high.append(times[index])
    return high[0], high[-1]


def _fair_level(counts: Sequence[int], room: float) -> float:
    """Return the level at which the counts, cut off there, fill the room."""
    level = 0.0
    while sum(min(count, level) for count in counts) < room and level < max(counts):
        level += 0.1
    return level


class BurstTest(EgretrailTestCase):
    """A burst of 2.5 times the load."""

    @cases({"44 instances": 44, "88 instances": 88, "300 instances": 300})
    def test_bounds_in_a_burst(self, instances: int) -> None:
        replay = Replay(Pattern(instances, until_s=9.0)).run()
        with self.subTest("requirement 2: the most urgent kind"):
            self.assertGreaterEqual(replay.served(_FROM_S, _UNTIL_S, priority=0), 0.98)
        with self.subTest("requirement 4: slots and lateness"):
            self.assertGreaterEqual(replay.utilization(), 0.97)
            self.assertLess(replay.late(), 0.02)
        with self.subTest("requirement 1: each instance knows the state, without flapping"):
            self._check_states(replay)
        with self.subTest("requirement 6: returns"):
            self._check_returns(replay)
        with self.subTest("recovery: nothing is refused, and the queue does not come back"):
            self.assertEqual([], replay.refused_from(8.0))
            after = [in_flight for at_s, in_flight, _, _ in replay.samples if at_s > 8.0]
            self.assertLess(max(after), replay.slots * 1.1)

    def _check_states(self, replay: Replay) -> None:
        target = replay.slots * (1 + 0.5 * (1.1 / replay.mean_s - 1.8))
        full_s = next(at_s for at_s, in_flight, _, _ in replay.samples if in_flight > target)
        free_s = next(
            at_s
            for at_s, in_flight, _, _ in replay.samples
            if at_s > 7 and in_flight < replay.slots
        )
        for index in range(replay.pattern.instances):
            changes = replay.changes(index)
            states = [state for _, state in changes]
            self.assertEqual([ServiceState.FULL, ServiceState.NORMAL], states)
            self.assertLessEqual(changes[0][0], full_s + _KNOWN_WITHIN_S)
            self.assertLessEqual(changes[1][0], free_s + _KNOWN_WITHIN_S)

    def _check_returns(self, replay: Replay) -> None:
        """Check each half second: returns at most 1.2 times what more urgent requests leave."""
        # The ordinary wait means that there is no capacity in time.
        told = [
            request.return_s
            for request in replay.refused_from(0.0)
            if abs(request.return_s - request.at_s - replay.mean_s) > 1e-6
        ]
        offered = [r for r in replay.requests if 3 <= r.at_s < 6 and r.arrival.priority < 2]
        free_per_s = replay.slots / replay.mean_s - len(offered) / 3
        for step in range(10):
            first_s = 2.0 + step / 2
            count = sum(first_s <= at_s < first_s + 0.5 for at_s in told)
            self.assertLessEqual(count, 1.2 * free_per_s * 0.5)
        self.assertGreater(len(told), 0)


class TightObjectiveTest(EgretrailTestCase):
    """Confirmations with an objective of 0.4 s share a service with holds."""

    _PATTERN = Pattern(
        132,
        kinds=TIGHT_OBJECTIVE_KINDS,
        priorities=(0, 1),
        rated_instances=132,
        accounts=0,
        until_s=9.0,
    )

    def test_bounds_while_demand_swings_above_the_capacity(self) -> None:
        replay = Replay(replace(self._PATTERN, factor=1.0, swing=0.55, until_s=13.0)).run()
        self.assertGreaterEqual(replay.served(0.0, 12.0, priority=0), 0.98)
        self.assertGreaterEqual(replay.utilization(), 0.97)
        self.assertLess(replay.late(), 0.02)

    def test_the_most_urgent_kind_is_served_in_a_burst(self) -> None:
        replay = Replay(self._PATTERN).run()
        self.assertGreaterEqual(replay.served(_FROM_S, _UNTIL_S, priority=0), 0.98)

    def test_slots_are_taken_in_a_burst(self) -> None:
        replay = Replay(self._PATTERN).run()
        self.assertGreaterEqual(replay.utilization(), 0.97)


class AccountsTest(EgretrailTestCase):
    """Accounts compete in a burst."""

    @cases({"44 instances": 44, "88 instances": 88, "300 instances": 300})
    def test_one_account_sends_six_times_its_load(self, instances: int) -> None:
        # Requirement 3: accounts that ask for no more than their fair share.
        pattern = Pattern(instances, big_factor=6.0, priorities=(2,), until_s=9.0)
        replay = Replay(pattern).run()
        counts: dict[str, int] = {}
        for request in replay.requests:
            if _FROM_S <= request.at_s < _UNTIL_S:
                counts[request.arrival.account] = counts.get(request.arrival.account, 0) + 1
        room = replay.slots / replay.mean_s * (_UNTIL_S - _FROM_S)
        level = _fair_level(list(counts.values()), room)
        small = {name for name, count in counts.items() if count <= level}
        before = self._served(replay, small, 0.0, _FROM_S)
        self.assertGreaterEqual(self._served(replay, small, _FROM_S, _UNTIL_S), 0.97 * before)
        self.assertGreaterEqual(replay.utilization(), 0.97)

    def _served(self, replay: Replay, names: set[str], from_s: float, until_s: float) -> float:
        chosen = [
            request.in_time
            for request in replay.requests
            if request.arrival.account in names and from_s <= request.at_s < until_s
        ]
        return sum(chosen) / len(chosen)

    def test_the_most_urgent_kind_is_served_while_one_account_bursts(self) -> None:
        replay = Replay(Pattern(big_factor=6.0, until_s=9.0)).run()
        self.assertGreaterEqual(replay.served(_FROM_S, _UNTIL_S, priority=0), 0.98)
        self.assertGreaterEqual(replay.utilization(), 0.97)
        self.assertLess(replay.late(), 0.02)

    def test_an_account_that_is_alone_uses_all_the_capacity(self) -> None:
        replay = Replay(Pattern(44, big_part=0.9999, priorities=(2,), until_s=9.0)).run()
        self.assertGreaterEqual(replay.utilization(), 0.97)


class SheddingTest(EgretrailTestCase):
    """All upstreams refuse 55% of the attempts for 8 s, with free slots."""

    @cases({"44 instances": 44, "88 instances": 88})
    def test_retries_go_to_the_most_urgent_first(self, instances: int) -> None:
        per_s = 50.0 * instances / 88
        pattern = Pattern(instances, factor=1.0, shed=(1.0, 9.0), retries_per_s=per_s, until_s=10.5)
        replay = Replay(pattern).run()
        from_s, until_s = _shed_bounds(replay)
        for index in range(instances):
            changes = replay.changes(index)
            states = [state for _, state in changes]
            self.assertEqual([ServiceState.SHEDDING, ServiceState.NORMAL], states)
            self.assertLessEqual(abs(changes[0][0] - from_s), _KNOWN_WITHIN_S)
            self.assertLessEqual(changes[1][0], until_s + _KNOWN_WITHIN_S)
        # The budget's pacing window holds what was sent before the state was known.
        retries = replay.retries_from(from_s + 0.3 + PACING_WINDOW_S)
        shares = [permitted / wanted for _, (wanted, permitted) in sorted(retries.items())]
        # The budget's rate covers what the most urgent requests want, and not all of the next.
        self.assertGreater(shares[0], 0.9)
        self.assertGreater(shares[0], shares[1])
        self.assertGreater(shares[1], shares[2])


class MisjudgedCapacityTest(EgretrailTestCase):
    @cases({"work takes longer than told": 1.2, "work takes less": 0.8})
    def test_bounds_hold_where_durations_differ_from_what_is_told(self, factor: float) -> None:
        replay = Replay(Pattern(work_factor=factor, until_s=9.0)).run()
        self.assertGreaterEqual(replay.served(_FROM_S, _UNTIL_S, priority=0), 0.98)
        self.assertGreaterEqual(replay.utilization(), 0.97)
        self.assertLess(replay.late(), 0.02)


def _hub_gone(sent_s: float, zone: int, other: int, rng: random.Random) -> bool:
    return zone != 1 or not 3.0 <= sent_s < 4.5


def _all_hubs_gone(sent_s: float, zone: int, other: int, rng: random.Random) -> bool:
    return not 3.0 <= sent_s < 6.0


def _split(sent_s: float, zone: int, other: int, rng: random.Random) -> bool:
    return not 3.0 <= sent_s < 6.0 or zone // 2 == other // 2


def _lossy(sent_s: float, zone: int, other: int, rng: random.Random) -> bool:
    return rng.random() >= 0.1


_FAILURES: Mapping[str, Pattern] = {
    "a zone's hub is gone for a second and a half": Pattern(88, delivers=_hub_gone),
    "no reports for three seconds": Pattern(88, delivers=_all_hubs_gone),
    "the fleet is split for three seconds": Pattern(88, delivers=_split),
    "a third restarts without a past": Pattern(88, restart_s=4.0),
    "a tenth of the reports is lost": Pattern(88, delivers=_lossy),
    "one instance is frozen for three seconds": Pattern(88, frozen=(5, 3.0, 6.0)),
}


class FailureTest(EgretrailTestCase):
    """One failure each, in the middle of a burst."""

    @cases(_FAILURES)
    def test_bounds_hold(self, pattern: Pattern) -> None:
        replay = Replay(pattern).run()
        self.assertGreaterEqual(replay.served(_FROM_S, _UNTIL_S, priority=0), 0.98)
        self.assertGreaterEqual(replay.utilization(), 0.97)
        self.assertLess(replay.late(), 0.02)
        self.assertEqual([], replay.refused_from(8.5))
