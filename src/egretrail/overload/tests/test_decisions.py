"""Each decision of overload control, on tables of cases."""

import random
from collections.abc import Mapping, Sequence

from egretrail.overload import (
    AccountDemandKey,
    Arrival,
    DemandKey,
    DemandReport,
    DemandRow,
    FleetOverloadPolicy,
    ServiceRoom,
    ServiceState,
    ServiceTerms,
    account_demand_key,
    service_key,
)
from egretrail.overload._admission import fair_level, fill_by_priority, plan_admission
from egretrail.overload._capacity import Capacity
from egretrail.overload._credit import ShareCredits
from egretrail.overload._fleet_totals import RateTracker, ServiceDemand
from egretrail.overload._returns import ReturnSchedule, latest_return_s
from egretrail.overload._state import StateDetector
from egretrail.testing import EgretrailTestCase, cases

_KEY = service_key("s")
_TERMS = ServiceTerms(True, True, {0: 1.1, 1: 1.5, 2: 3.0})
#: 100 slots take 333 requests a second; the queue's target is 193 in flight.
_FREE, _FULL = ServiceRoom(100, 50, 0.3), ServiceRoom(100, 200, 0.3)


def _policy(
    rows: Mapping[int, DemandRow], accounts: Mapping[str, int] | None = None, now_s: float = 10.0
) -> FleetOverloadPolicy:
    """Return a policy of a zone that reported once."""
    policy = FleetOverloadPolicy(random.Random(1))
    policy.configure({"s": _TERMS})
    policy.set_fleet(1.0, 0.01, "a")
    keys = {
        AccountDemandKey(_KEY, account_demand_key(name, min(rows))): count
        for name, count in (accounts or {}).items()
    }
    policy.apply_zone_report(
        "a", DemandReport({DemandKey(_KEY, p): row for p, row in rows.items()}, keys), now_s
    )
    return policy


def _arrival(priority: int, account: str = "x") -> Arrival:
    return Arrival("s", priority, account, 3.0, 10.0)


class StateTest(EgretrailTestCase):
    @cases(
        {
            # in flight of 100 slots, offered, shed, retries wanted, states after 1 s of it
            "calm": (70, 230, 0, 0, ServiceState.NORMAL),
            "slots taken, a short queue": (140, 330, 0, 0, ServiceState.NORMAL),
            "a queue that will be long when others know": (170, 450, 0, 0, ServiceState.FULL),
            "a long queue": (200, 400, 0, 0, ServiceState.FULL),
            "half is refused, slots free": (40, 230, 150, 150, ServiceState.SHEDDING),
            "a tenth is refused": (60, 230, 24, 24, ServiceState.NORMAL),
            "refused because slots are taken": (120, 400, 100, 100, ServiceState.NORMAL),
            "a third fails and is retried": (70, 230, 0, 70, ServiceState.NORMAL),
            "a single refusal": (1, 2, 1, 1, ServiceState.NORMAL),
        }
    )
    def test_state(self, case: tuple[int, int, int, int, ServiceState]) -> None:
        in_flight, offered, shed, wanted, expected = case
        row = DemandRow(offered, 0, shed, wanted)
        demand = ServiceDemand({0: row}, {0: float(offered)}, {0: float(shed)})
        capacity = Capacity.of(ServiceRoom(100, in_flight, 0.3), 1.1, 1.0)
        self.assertEqual(expected, StateDetector().update(capacity, demand, 50.0, 5.0))

    @cases(
        {
            # what follows a full second of 200 in flight: in flight, offered per second, state
            "queue at half its target": (150, 600.0, ServiceState.FULL),
            "slots empty briefly, demand above": (85, 600.0, ServiceState.FULL),
            "queue gone, demand below": (105, 300.0, ServiceState.NORMAL),
            "queue gone, demand above": (105, 400.0, ServiceState.FULL),
            "slots free, old demand above": (60, 600.0, ServiceState.NORMAL),
        }
    )
    def test_full_ends_at_lower_thresholds_than_it_starts(
        self, case: tuple[int, float, ServiceState]
    ) -> None:
        in_flight, offered_per_s, expected = case
        detector = StateDetector()
        demand = ServiceDemand({}, {0: 600.0})
        detector.update(Capacity.of(_FULL, 1.1, 1.0), demand, 0.0, 5.0)
        room = ServiceRoom(100, in_flight, 0.3)
        after = ServiceDemand({}, {0: offered_per_s})
        state = detector.update(Capacity.of(room, 1.1, 1.0), after, 0.0, 5.2)
        self.assertEqual(expected, state)

    def test_refusals_of_a_full_service_do_not_make_it_shed_afterwards(self) -> None:
        detector = StateDetector()
        demand = ServiceDemand({0: DemandRow(300, 0, 150, 150)}, {0: 300.0}, {0: 150.0})
        detector.update(Capacity.of(_FULL, 1.1, 1.0), demand, 50.0, 5.0)
        free = Capacity.of(_FREE, 1.1, 1.0)
        states = [detector.update(free, demand, 50.0, now_s) for now_s in (5.2, 5.9, 6.1)]
        self.assertEqual([ServiceState.NORMAL] * 2 + [ServiceState.SHEDDING], states)


class SharesTest(EgretrailTestCase):
    @cases(
        {
            "all fit": ({0: 50.0, 1: 40.0}, 100.0, [1.0, 1.0]),
            "the second fits partly": ({0: 50.0, 1: 100.0, 2: 9.0}, 100.0, [1.0, 0.5, 0.0]),
            "the first fits partly": ({0: 200.0, 1: 100.0}, 100.0, [0.5, 0.0]),
            "no room": ({0: 10.0, 3: 1.0}, 0.0, [0.0, 0.0]),
            "nothing offered": ({0: 0.0}, 0.0, [1.0]),
        }
    )
    def test_the_most_urgent_first(
        self, case: tuple[Mapping[int, float], float, Sequence[float]]
    ) -> None:
        offered, room, expected = case
        self.assertEqual(expected, list(fill_by_priority(offered, room).values()))

    @cases(
        {
            "all fit": ([10.0, 20.0], 0.0, 40.0, float("inf")),
            "one above its share": ([10.0, 200.0], 0.0, 100.0, 90.0),
            "equal": ([50.0, 50.0], 0.0, 40.0, 20.0),
            "alone": ([300.0], 0.0, 100.0, 100.0),
            "small ones are not listed": ([20.0, 200.0], 60.0, 160.0, 80.0),
            "only small ones": ([], 50.0, 25.0, 0.5),
            "no room": ([50.0], 0.0, 0.0, 0.0),
        }
    )
    def test_what_small_accounts_leave_is_shared(
        self, case: tuple[Sequence[float], float, float, float]
    ) -> None:
        demands, unlisted, room, expected = case
        self.assertAlmostEqual(expected, fair_level(demands, unlisted, room))

    def test_only_accounts_of_the_partial_priority_share_it(self) -> None:
        accounts = {
            account_demand_key("a", 0): 90.0,
            account_demand_key("a", 1): 60.0,
            account_demand_key("b", 1): 10.0,
        }
        plan = plan_admission({0: 90.0, 1: 70.0}, {0: 90.0, 1: 70.0}, accounts, 120.0)
        shares = [
            plan.share(priority, account_demand_key(name, priority), 1.0)
            for priority, name in ((0, "a"), (1, "a"), (1, "b"), (2, "b"))
        ]
        self.assertEqual([1.0, 20.0 / 60.0, 1.0, 0.0], shares)

    @cases({"a tenth": 0.1, "a half": 0.5, "nearly all": 0.95, "none": 0.0, "all": 1.0})
    def test_credits_draw_exact_shares_of_few_requests(self, share: float) -> None:
        credits_ = [ShareCredits(random.Random(seed)) for seed in range(300)]
        drawn = [[each.draws("k", share) for _ in range(4)] for each in credits_]
        self.assertTrue(all(abs(sum(each) - 4 * share) < 1.0 for each in drawn))
        first = sum(each[0] for each in drawn) / len(drawn)
        self.assertAlmostEqual(share, first, delta=0.08)


class RateTrackerTest(EgretrailTestCase):
    @cases({"regular": [0.2] * 12, "irregular": [0.1, 0.3, 0.2] * 4, "lost": [0.2, 0.4, 0.2] * 3})
    def test_a_burst_shows_before_it_fills_the_window(self, steps: Sequence[float]) -> None:
        tracker = RateTracker()
        now_s, rates = 0.0, []
        for step in steps:
            now_s += step
            burst = max(min(now_s - 1.0, 1.0), 0.0)
            tracker.update(round(200 + 300 * burst), now_s)
            rates.append((now_s, tracker.per_s()))
        for now_s, per_s in rates:
            if now_s <= 1.0:
                self.assertAlmostEqual(200.0, per_s, delta=5.0)
            elif now_s >= 1.5:
                self.assertAlmostEqual(500.0, per_s, delta=25.0)


class PolicyTest(EgretrailTestCase):
    @cases(
        {
            # offered by priority; admitted of ten requests of each priority
            "urgent first": ({0: 100, 1: 220, 2: 300}, [10, 10, 0]),
            "urgent alone above capacity": ({0: 652, 1: 100}, [5, 0]),
            "enough for all": ({0: 100, 1: 100}, [10, 10]),
        }
    )
    def test_admission_by_urgency_while_full(
        self, case: tuple[Mapping[int, int], Sequence[int]]
    ) -> None:
        offered, expected = case
        rows = {p: DemandRow(offered=count) for p, count in offered.items()}
        policy = _policy(rows, {"x": offered[0]})
        admitted = [
            sum(policy.admit(_arrival(p), _FULL, 10.1) is None for _ in range(10)) for p in offered
        ]
        self.assertEqual(expected, admitted)

    def test_a_free_service_admits_everything(self) -> None:
        policy = _policy({0: DemandRow(offered=900)})
        self.assertIsNone(policy.admit(_arrival(0), _FREE, 10.1))

    def test_accounts_share_the_partial_priority(self) -> None:
        policy = _policy({0: DemandRow(offered=627)}, {"large": 600, "small": 27})
        admitted = {
            name: sum(policy.admit(_arrival(0, name), _FULL, 10.1) is None for _ in range(20))
            for name in ("large", "small")
        }
        self.assertEqual({"large": 10, "small": 20}, admitted)

    def test_a_rejection_tells_its_reasons(self) -> None:
        policy = _policy({0: DemandRow(offered=400), 1: DemandRow(offered=100)})
        rejection = policy.admit(_arrival(1), _FULL, 10.25)
        assert rejection is not None
        self.assertEqual((ServiceState.FULL, 0.0), (rejection.state, rejection.admitted_share))
        self.assertEqual(0.25, rejection.age_s)
        self.assertAlmostEqual(500.0, rejection.offered_per_s)
        self.assertAlmostEqual(326.7, rejection.room_per_s, delta=0.1)

    @cases(
        {
            # retries wanted by priority, retries the budget allows, permitted of ten
            "urgent first": ({0: 30, 1: 60, 2: 70}, 60.0, [10, 5, 0]),
            "budget for all": ({0: 30, 1: 60, 2: 70}, 200.0, [10, 10, 10]),
            "budget spent": ({0: 30, 1: 60, 2: 70}, 0.0, [0, 0, 0]),
        }
    )
    def test_retries_by_urgency_while_shedding(
        self, case: tuple[Mapping[int, int], float, Sequence[int]]
    ) -> None:
        wanted, allowed_per_s, expected = case
        policy = _policy({p: DemandRow(100, 0, 60, count) for p, count in wanted.items()})
        permitted = [
            sum(policy.permits_retry("s", p, allowed_per_s, _FREE, 10.1) for _ in range(10))
            for p in wanted
        ]
        self.assertEqual(expected, permitted)

    @cases(
        {
            "normal": (DemandRow(100), _FREE, True),
            "shedding": (DemandRow(100, 0, 60, 60), _FREE, False),
            "full": (DemandRow(400), _FULL, False),
        }
    )
    def test_hedges_only_while_normal(self, case: tuple[DemandRow, ServiceRoom, bool]) -> None:
        row, room, expected = case
        self.assertEqual(expected, _policy({0: row}).permits_hedge("s", room, 10.1))

    def test_a_service_without_terms_that_rank_is_not_watched(self) -> None:
        policy = FleetOverloadPolicy(random.Random(1))
        policy.configure({"s": ServiceTerms(False, False, {0: 1.0})})
        self.assertFalse(policy.watches("s"))
        self.assertIsNone(policy.admit(_arrival(0), _FULL, 1.0))
        self.assertTrue(policy.permits_retry("s", 0, 0.0, _FULL, 1.0))
        self.assertEqual(0.7, policy.retry_after_s(_arrival(0), _FULL, 0.7, 1.0))
        self.assertTrue(policy.own_report(1.0).is_empty)
        self.assertIsNone(policy.snapshot("s", _FULL, 1.0))

    def test_counts_leave_with_the_window_and_stay_over_a_configuration(self) -> None:
        policy = _policy({})
        policy.admit(_arrival(1), _FREE, 20.0)
        policy.record_shed("s", 1, 20.1)
        policy.configure({"s": _TERMS, "t": _TERMS})
        key = AccountDemandKey(_KEY, account_demand_key("x", 1))
        report = DemandReport({DemandKey(_KEY, 1): DemandRow(1, 0, 1)}, {key: 1})
        self.assertEqual(report, policy.own_report(20.5))
        self.assertTrue(policy.own_report(21.3).is_empty)

    @cases(
        {
            # age of the own zone's and the other zone's report; offered per second that count
            "both current": (0.9, 2.1, 800),
            "the other too old": (0.9, 2.3, 400),
            "the own too old": (1.1, 2.1, 0),
        }
    )
    def test_reports_count_while_they_are_valid(self, case: tuple[float, float, int]) -> None:
        own_age_s, other_age_s, expected = case
        policy = _policy({0: DemandRow(offered=400)}, now_s=10.0 - own_age_s)
        report = DemandReport({DemandKey(_KEY, 0): DemandRow(offered=400)})
        policy.apply_zone_report("b", report, 10.0 - other_age_s)
        snapshot = policy.snapshot("s", _FREE, 10.0)
        assert snapshot is not None
        self.assertEqual(expected, snapshot.by_priority.get(0, (0, 0, 0))[0])

    def test_without_reports_the_own_part_of_the_capacity_is_admitted(self) -> None:
        policy = FleetOverloadPolicy(random.Random(1))
        policy.configure({"s": _TERMS})
        policy.set_fleet(1.0, 0.1, "a")
        # 33 a second are this instance's part; it is offered 100 for two seconds.
        admitted = [
            policy.admit(_arrival(step % 2), _FULL, 10.0 + step / 100) is None
            for step in range(200)
        ]
        last = admitted[100:]
        self.assertAlmostEqual(33, sum(last), delta=3)
        self.assertEqual(0, sum(last[1::2]))


class FuzzTest(EgretrailTestCase):
    @cases({f"seed {seed}": seed for seed in range(5)})
    def test_any_reports_and_rooms_give_decisions_within_bounds(self, seed: int) -> None:
        rng = random.Random(seed)
        policy = _policy({})
        counts = (0, 1, 2, 300, 65_535)
        now_s = 10.0
        for _ in range(400):
            now_s += rng.choice((0.0, 0.01, 0.2, 3.0))
            rows = {
                DemandKey(rng.choice((_KEY, 7)), rng.randrange(256)): DemandRow(
                    *(rng.choice(counts) for _ in range(4))
                )
                for _ in range(rng.randrange(5))
            }
            accounts = {
                AccountDemandKey(_KEY, rng.randrange(1 << 32)): rng.choice(counts)
                for _ in range(rng.randrange(30))
            }
            policy.set_fleet(rng.random(), rng.choice((0.0, 0.01, 1.0)), rng.choice("ab"))
            policy.apply_zone_report(rng.choice("ab"), DemandReport(rows, accounts), now_s)
            room = ServiceRoom(rng.randrange(300), rng.randrange(900), rng.choice((0.0, 0.3)))
            arrival = _arrival(rng.randrange(9), rng.choice("xyz"))
            rejection = policy.admit(arrival, room, now_s)
            policy.permits_retry("s", arrival.priority, rng.choice((0.0, 50.0)), room, now_s)
            retry_after_s = policy.retry_after_s(arrival, room, 0.3, now_s)
            self.assertTrue(0.05 <= retry_after_s <= 2.0)
            if rejection is not None:
                self.assertTrue(0.0 <= rejection.admitted_share < 1.0)
                self.assertTrue(0.05 <= rejection.retry_after_s <= 2.0)


class ReturnTest(EgretrailTestCase):
    @cases(
        {
            # priority, part of the capacity, latest time, clients told to return of 100, by when
            "the most urgent": (0, 1.0, 0.2, 44, 0.2),
            "what more urgent ones leave": (1, 1.0, 0.5, 94, 0.5),
            "less urgent": (2, 1.0, 0.5, 40, 0.5),
            "a tenth of the capacity": (2, 0.1, 2.0, 17, 2.0),
            "nothing is left": (3, 1.0, 2.0, 0, 0.0),
        }
    )
    def test_clients_return_at_the_rate_of_the_free_capacity(
        self, case: tuple[int, float, float, int, float]
    ) -> None:
        priority, part, latest_s, expected, by_s = case
        schedule = ReturnSchedule(random.Random(2))
        capacity = Capacity.of(ServiceRoom(100, 193, 0.3), 1.1, 1.0)
        offered = {0: 100.0, 1: 133.0, 2: 300.0}
        times = [
            schedule.while_full_s(priority, capacity, offered, part, latest_s, 5.0)
            for _ in range(100)
        ]
        told = [time_s for time_s in times if time_s is not None]
        self.assertAlmostEqual(expected, len(told), delta=2)
        self.assertTrue(all(0.05 <= time_s <= by_s for time_s in told))

    @cases(
        {
            "objective": (0.5, 10.0, 0.5),
            "a third of what is left": (3.0, 0.9, 0.3),
            "longest Retry-After": (5.0, 20.0, 2.0),
        }
    )
    def test_latest_return(self, case: tuple[float, float, float]) -> None:
        objective_s, remaining_s, expected = case
        self.assertAlmostEqual(expected, latest_return_s(objective_s, remaining_s))

    def test_a_time_while_shedding_is_short_and_spread(self) -> None:
        policy = _policy({0: DemandRow(100, 0, 60, 60)})
        times = [policy.retry_after_s(_arrival(0), _FREE, 0.7, 10.1) for _ in range(50)]
        self.assertTrue(all(0.05 <= time_s <= 0.15 for time_s in times))
        self.assertGreater(max(times) - min(times), 0.05)
