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
from egretrail.traffic import UpstreamRecord, UpstreamState, UpstreamTable

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
