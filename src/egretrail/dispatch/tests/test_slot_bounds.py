"""What an upstream gets that states more slots than any machine has."""

import random
from collections import Counter

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
from egretrail.traffic import (
    SLOTS_MULTIPLE,
    Service,
    UpstreamRecord,
    UpstreamState,
    UpstreamTable,
    slot_bound,
)

_QUERY = PlacementQuery("orders", 5.0, 5.0, is_retryable=False)


def _upstream(name: str, slots: int) -> UpstreamRecord:
    return UpstreamRecord(name, "orders", "10.0.0.1:80", "a", slots, UpstreamState.READY)


class OddSlotsTest(EgretrailTestCase):
    @cases({"20,000": 20_000, "65,535": 65_535, "2^62": 2**62})
    def test_an_absurd_number_of_slots_does_not_take_the_requests(self, slots: int) -> None:
        """Guards against an entry that draws the requests of all sound upstreams to itself."""
        table = UpstreamTable()
        sound = [_upstream(f"u{number}", 4) for number in range(9)]
        table.replace([*sound, _upstream("odd", slots)], 7)
        load, suspicion = FleetLoad(), SuspicionTable("me")
        placement = Placement(
            "a",
            load,
            ServiceDurations(),
            suspicion,
            TrialScheduler(load, suspicion),
            rng=random.Random(1),
        )
        sent: Counter[str] = Counter()
        for _ in range(52):
            choice = placement.choose(_QUERY, table.ready("orders"), 1.0)
            assert isinstance(choice, Choice)
            sent[choice.upstream.id] += 1
            load.record_start(choice.upstream.id, 1.0)
        self.assertLessEqual(sent["odd"], 16)

    @cases(
        {
            "alike": ([4, 4, 4], 100, 16),
            "one absurd": ([4, 4, 2**62], 100, 16),
            "one of two absurd": ([4, 2**62], 100, 16),
            "alone": ([500], 1_000, 1_000),
            "alone and absurd": ([2**62], 1_000, 1_000),
            "most are larger": ([4, 32, 32], 100, 100),
            "most are larger, many connections": ([4, 32, 32], 390, 128),
            "fewer connections than slots": ([64, 64], 30, 30),
            "absurd connections": ([2**62], 2**62, 65_535),
            "no connections": ([4], 0, 1),
            "none listed": ([], 7, 7),
        }
    )
    def test_the_slots_that_count(self, case: tuple[list[int], int, int]) -> None:
        stated, max_connections, expected = case
        self.assertEqual(expected, slot_bound(stated, max_connections))

    def test_the_connections_of_the_service_bound_the_slots(self) -> None:
        table = UpstreamTable()
        table.replace([_upstream("u", 2**62)], 7)
        table.set_services([Service("orders", "/health", 30)])
        self.assertEqual([30], [record.slots for record in table.ready("orders")])

    def test_other_instances_learn_the_stated_slots(self) -> None:
        """Guards against bounds that depend on who passed a list on."""
        table = UpstreamTable()
        table.replace([_upstream("u", 4)], 7)
        table.apply_changes({"v": _upstream("v", 900), "w": _upstream("w", 4)}, 8)
        self.assertEqual([4, 900, 4], [record.slots for record in table.stated()])
        changes = table.changes_since(7)
        assert changes is not None
        self.assertEqual(_upstream("v", 900), changes["v"])
        table.mark_draining("v")
        self.assertEqual([4, 900, 4], [record.slots for record in table.stated()])
        self.assertEqual(4 * SLOTS_MULTIPLE, slot_bound([4, 900, 4]))
