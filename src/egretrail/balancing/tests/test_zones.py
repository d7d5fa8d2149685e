"""The flow of requests between zones, and the replay of whole fleets."""

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import replace

from egretrail.balancing import DemandBalancer, ZoneBalancer, flow_shares
from egretrail.balancing.tests.replay import Figures, Replay, Scenario
from egretrail.dispatch import (
    Choice,
    FleetLoad,
    Placement,
    PlacementQuery,
    ServiceDurations,
    SuspicionTable,
    TrialScheduler,
)
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

_RECORDS = [
    UpstreamRecord(f"{zone}{n}", "s", "10.0.0.1:1", zone, 5, UpstreamState.READY)
    for zone in "abc"
    for n in range(2)
]


def _balanced(replay: Replay) -> None:
    replay.use_even_shares()
    replay.balance_zones()


def _mean_s(figures: Figures) -> float:
    return figures.time_s / (figures.requests - figures.refused)


def _spread(figures: Figures) -> float:
    waits_s = figures.mean_waits_s().values()
    return max(waits_s) / min(waits_s)


class FlowTest(EgretrailTestCase):
    @cases(
        {
            "not full": ({"a": 10, "b": 0, "c": 0}, {}),
            "more than full": ({"a": 20, "b": 0, "c": 0}, {"b": 0.225, "c": 0.225}),
            "one other is full": ({"a": 15, "b": 12, "c": 5}, {"c": 4 / 15}),
            "all are more than full": ({"a": 30, "b": 15, "c": 15}, {"b": 1 / 6, "c": 1 / 6}),
            "all wait alike": ({"a": 20, "b": 20, "c": 20}, {}),
            "another zone does not report": ({"a": 20, "b": 0}, {"b": 0.45}),
            "alone": ({"a": 20}, {}),
        }
    )
    def test_what_a_zone_cannot_serve_goes_to_spare_slots(
        self, case: tuple[Mapping[str, float], Mapping[str, float]]
    ) -> None:
        """Guards against traffic between zones that evens out nothing."""
        demand, expected = case
        slots = dict.fromkeys(demand, 10)
        shares = flow_shares("a", demand, slots)
        self.assertEqual(
            {zone: round(share, 6) for zone, share in expected.items()},
            {zone: round(share, 6) for zone, share in shares.items()},
        )

    def test_the_share_is_drawn_with_a_credit(self) -> None:
        """Guards against chance, and against instances that change zones at the same moment."""
        firsts = []
        for seed in range(20):
            balancer = DemandBalancer(
                "a", lambda _: {"a": 20, "b": 0, "c": 0}, lambda *_: True, random.Random(seed)
            )
            zones = [balancer.choose_zone("s", _RECORDS, 0.05 * n) for n in range(200)]
            counts = Counter(zones)
            self.assertLessEqual(abs(counts["b"] - 45), 1)
            self.assertLessEqual(abs(counts["c"] - 45), 1)
            firsts.append(next(n for n, zone in enumerate(zones) if zone != "a"))
        self.assertGreater(len(set(firsts)), 2)

    def test_upstreams_out_of_service_are_no_capacity(self) -> None:
        """Guards against a flow to a zone whose upstreams fail."""
        balancer = DemandBalancer(
            "a",
            lambda _: {"a": 20, "b": 0, "c": 0},
            lambda name, _: not name.startswith("b"),
            random.Random(1),
        )
        zones = {balancer.choose_zone("s", _RECORDS, 0.0) for _ in range(50)}
        self.assertEqual({"a", "c"}, zones)


class FleetReplayTest(EgretrailTestCase):
    _SCENARIO = Scenario(44, 30, 4, 0.75, 15.0)

    @cases({"seed 1": 1, "seed 2": 2})
    def test_waits_are_shorter_and_even(self, seed: int) -> None:
        """Guards against a zone that waits at its peak while another has free slots."""
        scenario = replace(self._SCENARIO, seed=seed)
        best = Replay(scenario, omniscient=True).run()
        before = Replay(scenario).run()
        after = Replay(scenario, _balanced).run()
        self.assertLess(_mean_s(after), 0.93 * _mean_s(before))
        self.assertLess(_spread(after), 1.5)
        self.assertLess(after.cross_zone, 1.3 * best.cross_zone)
        self.assertEqual(0, after.refused)

    @cases(
        {
            "views that differ": ({"differing_views": 0.1}, 1.0),
            "lost reports": ({"lost_reports": 0.3}, 0.95),
        }
    )
    def test_failures_cost_waits_and_no_requests(
        self, case: tuple[Mapping[str, float], float]
    ) -> None:
        """Guards against shares or flows that need equal views or all reports."""
        changes, bound = case
        scenario = replace(self._SCENARIO, **changes)  # type: ignore[arg-type]
        before = Replay(scenario).run()
        after = Replay(scenario, _balanced).run()
        self.assertLess(_mean_s(after), bound * _mean_s(before))
        self.assertEqual(0, after.refused)


class _FixedZone(ZoneBalancer):
    def choose_zone(self, service: str, upstreams: Sequence[UpstreamRecord], now_s: float) -> str:
        return "b"


class BalancedPlacementTest(EgretrailTestCase):
    def _zone(self, **changes: object) -> str:
        load, suspicion = FleetLoad(), SuspicionTable("me")
        placement = Placement(
            "a",
            load,
            ServiceDurations(),
            suspicion,
            TrialScheduler(load, suspicion),
            has_slot_share=lambda record: False,
            zone_balancer=_FixedZone(),
        )
        query = PlacementQuery("s", 4.0, 2.0, False, **changes)  # type: ignore[arg-type]
        choice = placement.choose(query, _RECORDS, 0.0)
        assert isinstance(choice, Choice)
        return choice.upstream.availability_zone

    @cases(
        {
            "a request": ({}, "b"),
            "a hedged request": ({"spare_only": True}, "a"),
            "a retry after both upstreams of the zone": ({"excluded": ["b0", "b1"]}, "a or c"),
        }
    )
    def test_a_request_goes_to_the_zone_that_was_drawn(
        self, case: tuple[dict[str, object], str]
    ) -> None:
        """Guards against a flow that placement ignores, and against refusals because of it."""
        changes, expected = case
        self.assertIn(self._zone(**changes), expected)
