"""The fleet's retries stay within its budget, even if all instances retry at once."""

import random
from collections.abc import Mapping

from egretrail.dispatch import (
    CrashingRequests,
    FleetLoad,
    FleetRetryBudget,
    NewRetryCounts,
    RetryCounts,
    request_digest,
)
from egretrail.testing import EgretrailTestCase, cases

_SERVICE = "orders"
_RATIO, _WINDOW_S, _SLACK = 0.2, 10.0, 60.0


def _exchange_counts(fleet: Mapping[int, FleetRetryBudget], now_s: float) -> None:
    for origin, budget in fleet.items():
        counts = budget.own_counts().get(_SERVICE, RetryCounts())
        for other in fleet.values():
            if other is not budget:
                other.apply_peer_counts(str(origin), _SERVICE, counts, now_s)


class RankedRateTest(EgretrailTestCase):
    """Guards against a rate that urgent requests find spent by less urgent ones."""

    @cases({"nothing spent": (0, 18.75), "half spent": (75, 18.75), "all spent": (150, 13.5)})
    def test_the_rate_falls_to_what_leaves_the_window(self, case: tuple[int, float]) -> None:
        retries, expected_per_s = case
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, 0.0)
        for step in range(1000):
            budget.record_request(_SERVICE, step / 100)
        for step in range(retries):
            budget.record_retry(_SERVICE, 5.0 + step / 1000)
        self.assertAlmostEqual(
            expected_per_s, budget.retries_per_s(_SERVICE, 9.99, 1.0), delta=0.01
        )


class FleetBudgetTest(EgretrailTestCase):
    @cases(
        {
            "counts exchanged every 50 ms": (0.05, 1.0),
            "counts exchanged every half second": (0.5, 1.0),
            "no counts exchanged": (float("inf"), 1 / 20),
        }
    )
    def test_every_window_of_the_fleet_is_within_the_budget(
        self, case: tuple[float, float]
    ) -> None:
        delay_s, known_share = case
        count = 20
        rng = random.Random(3)
        fleet = [FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK) for _ in range(count)]
        requests: list[float] = []
        retries: list[float] = []
        exchanged_s = 0.0
        for step in range(8000):
            now_s = step / 200
            who = fleet[rng.randrange(count)]
            who.record_request(_SERVICE, now_s)
            requests.append(now_s)
            # Every request fails, and each instance retries whatever the budget permits.
            if who.permits(_SERVICE, now_s, known_share):
                who.record_retry(_SERVICE, now_s)
                retries.append(now_s)
            if now_s - exchanged_s >= delay_s:
                exchanged_s = now_s
                for number, origin in enumerate(fleet):
                    counts = origin.own_counts()[_SERVICE] if origin.own_counts() else None
                    for other in fleet:
                        if other is not origin and counts is not None:
                            other.apply_peer_counts(str(number), _SERVICE, counts, now_s)
        for begin in range(30):
            window = [t for t in retries if begin <= t < begin + _WINDOW_S]
            sent = [t for t in requests if begin <= t < begin + _WINDOW_S]
            self.assertLessEqual(len(window), _RATIO * len(sent) + _SLACK)
        self.assertGreater(len(retries), 0.02 * len(requests))

    def test_a_rolling_restart_does_not_exceed_the_budget(self) -> None:
        """Restarted instances know no earlier retries and must not use the allowance again."""
        slack, rng = 190.0, random.Random(3)
        fleet = {number: FleetRetryBudget(_RATIO, _WINDOW_S, slack) for number in range(40)}
        requests: list[float] = []
        retries: list[float] = []
        exchanged_s, started_s = 0.0, 12.0
        for step in range(600 * 24):
            now_s = step / 600
            name = rng.choice(list(fleet))
            fleet[name].record_request(_SERVICE, now_s)
            requests.append(now_s)
            for _ in range(2):
                if fleet[name].permits(_SERVICE, now_s, 1.0, 1 / 40):
                    fleet[name].record_retry(_SERVICE, now_s)
                    retries.append(now_s)
            if now_s - exchanged_s >= 0.25:
                exchanged_s = now_s
                _exchange_counts(fleet, now_s)
            if now_s - started_s >= 0.08:
                started_s = now_s
                del fleet[min(fleet)]
                newcomer = FleetRetryBudget(_RATIO, _WINDOW_S, slack, started_s=now_s)
                fleet[max(fleet) + 1] = newcomer
        for begin in range(15):
            window = [t for t in retries if begin <= t < begin + _WINDOW_S]
            sent = [t for t in requests if begin <= t < begin + _WINDOW_S]
            self.assertLessEqual(len(window), _RATIO * len(sent) + slack)

    def test_a_new_instance_has_its_share_of_the_constant_allowance(self) -> None:
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK, started_s=0.0)
        used = 0
        while budget.permits(_SERVICE, 1.0, 1.0, 1 / 3):
            budget.record_retry(_SERVICE, 1.0)
            used += 1
        self.assertEqual(int(0.5 * _SLACK / 3), used)

    def test_usage_by_service(self) -> None:
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        for _ in range(100):
            budget.record_request(_SERVICE, 1.0)
        budget.record_retry(_SERVICE, 1.0)
        [(service, use)] = budget.usage(2.0, 0.5).items()
        self.assertEqual((_SERVICE, 1), (service, use.retries))
        # Three quarters of: a fifth of the requests, and half of the slack.
        self.assertAlmostEqual(0.75 * (20 + 30), use.allowed)
        self.assertEqual(0, budget.usage(13.0, 0.5)[_SERVICE].retries)

    @cases(
        {
            "less of everything": (0.1, 5.0, 20.0),
            "more of everything": (0.4, 20.0, 90.0),
            "a longer window": (_RATIO, 30.0, _SLACK),
            "a longer window and less": (0.1, 20.0, 20.0),
        }
    )
    def test_every_window_after_a_change_is_within_the_new_budget(
        self, case: tuple[float, float, float]
    ) -> None:
        ratio, window_s, slack = case
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        changed_s, end_s = 40.0, 120.0
        requests: list[float] = []
        retries: list[float] = []
        for step in range(round(end_s * 20)):
            now_s = step / 20
            if now_s == changed_s:
                budget.set_bounds(ratio, window_s, slack, now_s)
            if step % 4 == 0:
                budget.record_request(_SERVICE, now_s)
                requests.append(now_s)
            while budget.permits(_SERVICE, now_s, 1.0):
                budget.record_retry(_SERVICE, now_s)
                retries.append(now_s)
        # Retries that the previous budget allowed stay counted: a window that ends soon after the
        # change holds the larger of both.
        for end in range(round(changed_s) + 1, round(end_s)):
            begin = end - window_s
            late = [t for t in retries if max(begin, changed_s) <= t < end]
            early = [t for t in retries if begin <= t < changed_s]
            sent = [t for t in requests if begin <= t < end]
            allowed = ratio * len(sent) + slack
            self.assertLessEqual(len(late) + len(early), max(allowed, len(early)))
        self.assertGreater(len([t for t in retries if t > changed_s + window_s]), 0)

    @cases(
        {
            "counts of the window": (RetryCounts(40, 8), RetryCounts(40, 8)),
            "counts of a peer without a window": (None, RetryCounts()),
        }
    )
    def test_the_first_counts_of_a_hub_add_those_of_its_window(
        self, case: tuple[RetryCounts | None, RetryCounts]
    ) -> None:
        recent, expected = case
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        budget.apply_peer_counts("b~1", _SERVICE, RetryCounts(9_000, 500), 100.0, recent)
        usage = budget.service_usage(_SERVICE, 100.0, 1.0)
        self.assertEqual(expected, RetryCounts(usage.requests, usage.retries))

    @cases(
        {
            "in order": ([10, 20, 30], 20),
            "a late report": ([10, 30, 20, 30], 20),
            "another hub in between": ([10, 20, None, 30], 20),
            "more than the hub's window": ([10, 5_000], 200),
        }
    )
    def test_counts_of_a_hub_are_added_once(self, case: tuple[list[int | None], int]) -> None:
        totals, expected = case
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        for total in totals:
            if total is None:
                budget.apply_peer_counts("other~1", _SERVICE, RetryCounts(), 1.0, RetryCounts())
                continue
            recent = RetryCounts(200, 200) if total != 10 else RetryCounts()
            budget.apply_peer_counts("b~1", _SERVICE, RetryCounts(total, 0), 1.0, recent)
        self.assertEqual(expected, budget.service_usage(_SERVICE, 1.0, 1.0).requests)

    def test_past_requests_leave_the_window_in_turn(self) -> None:
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        past = RetryCounts(100, 20)
        budget.add_peer_counts(_SERVICE, NewRetryCounts(past, is_past=True), 50.0)
        usages = [budget.service_usage(_SERVICE, at_s, 1.0) for at_s in (50.0, 55.0, 59.5, 61.0)]
        for usage, expected in zip(usages, (100, 50, 5, 0), strict=True):
            self.assertAlmostEqual(expected, usage.requests, delta=5)
        # Past retries count as made now.
        self.assertEqual([20, 20, 20, 0], [usage.retries for usage in usages])

    def test_the_first_counts_of_a_peer_are_ignored(self) -> None:
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        other = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        for _ in range(500):
            other.record_retry(_SERVICE, 0.0)
        budget.apply_peer_counts("b~1", _SERVICE, other.own_counts()[_SERVICE], 100.0)
        self.assertTrue(budget.permits(_SERVICE, 100.0, 1.0))


class SheddingPeriodTest(EgretrailTestCase):
    """All upstreams of a service shed 55% of their requests for eight seconds."""

    _SHED_SHARE, _PERIOD_S, _RATE = 0.55, 8.0, 200

    @cases({"seed 1": 1, "seed 2": 2, "seed 3": 3})
    def test_the_budget_lasts_through_the_period(self, seed: int) -> None:
        rng = random.Random(seed)
        budget = FleetRetryBudget(_RATIO, _WINDOW_S, _SLACK)
        served = [0] * int(self._PERIOD_S)
        for step in range(-int(_WINDOW_S) * self._RATE, int(self._PERIOD_S) * self._RATE):
            now_s = _WINDOW_S + step / self._RATE
            budget.record_request(_SERVICE, now_s)
            if step < 0:
                continue
            answered = rng.random() >= self._SHED_SHARE
            if not answered and budget.permits(_SERVICE, now_s, 1.0):
                budget.record_retry(_SERVICE, now_s)
                answered = rng.random() >= self._SHED_SHARE
            served[step // self._RATE] += answered
        shares = [count / self._RATE for count in served]
        self.assertGreater(min(shares), 0.42)
        self.assertGreater(sum(shares) / len(shares), 0.532)


class FleetLoadTest(EgretrailTestCase):
    @cases(
        {
            "own and peers' counts": ([("b", {"u": 2}), ("c", {"u": 1})], [], 0.0, 4),
            "later counts replace earlier ones": ([("b", {"u": 2}), ("b", {"u": 1})], [], 0.0, 2),
            "a dead instance's requests are removed": (
                [("b", {"u": 2}), ("c", {"u": 1})],
                ["b"],
                0.0,
                2,
            ),
            "a recent report of more": ([("b", {"u": 1})], [], 0.1, 7),
            "an old report": ([("b", {"u": 1})], [], 1.0, 2),
        }
    )
    def test_in_flight(
        self, case: tuple[list[tuple[str, dict[str, int]]], list[str], float, int]
    ) -> None:
        peer_counts, gone, now_s, expected = case
        load = FleetLoad()
        load.record_start("u", 0.0)
        for origin, counts in peer_counts:
            load.replace_peer_counts(origin, counts, 0.0)
        for origin in gone:
            load.remove_peer(origin)
        if now_s:
            load.record_reported_load("u", 7, 0.0)
        self.assertEqual(expected, load.in_flight("u", now_s))


class UnresponsiveTest(EgretrailTestCase):
    @cases(
        {
            "idle": ([], 0.0),
            "busy, no response": ([("start", 1.0)], 4.0),
            "response since": ([("start", 1.0), ("response", 3.0)], 2.0),
            "response before": ([("response", 0.5), ("start", 1.0)], 4.0),
            "counted by a peer": ([("peer", 2.0)], 3.0),
            "a peer's count changed meanwhile": ([("peer", 2.0), ("peer more", 4.0)], 3.0),
            "idle in between": ([("start", 1.0), ("end", 2.0), ("start", 3.0)], 2.0),
        }
    )
    def test_unresponsive_for(self, case: tuple[list[tuple[str, float]], float]) -> None:
        events, expected_s = case
        load = FleetLoad()
        acts = {
            "start": lambda at_s: load.record_start("u", at_s),
            "end": lambda at_s: load.record_finish("u"),
            "response": lambda at_s: load.record_response("u", at_s),
            "peer": lambda at_s: load.replace_peer_counts("b", {"u": 1}, at_s),
            "peer more": lambda at_s: load.replace_peer_counts("b", {"u": 2}, at_s),
        }
        for name, at_s in events:
            acts[name](at_s)
        self.assertAlmostEqual(expected_s, load.unresponsive_for_s("u", 5.0))


class CrashingRequestsTest(EgretrailTestCase):
    @cases(
        {
            "two losses": (["u1", "u2"], False, 1.0, False),
            "three losses": (["u1", "u2", "u3"], False, 1.0, True),
            "one upstream, three times": (["u1", "u1", "u1"], False, 1.0, False),
            "three losses and a response": (["u1", "u2", "u3"], True, 1.0, False),
            "three losses long ago": (["u1", "u2", "u3"], False, 60.0, False),
        }
    )
    def test_is_blocked(self, case: tuple[list[str], bool, float, bool]) -> None:
        lost, answered, now_s, expected = case
        digest = request_digest([b"GET", b"shop", b"/read/1", b""])
        crashing = CrashingRequests()
        for name in lost:
            crashing.record_loss(digest, name, 0.0)
        if answered:
            crashing.clear(digest)
        self.assertIs(expected, crashing.is_blocked(digest, now_s))

    def test_digests_depend_on_where_a_part_ends(self) -> None:
        self.assertNotEqual(request_digest([b"ab", b"c"]), request_digest([b"a", b"bc"]))
