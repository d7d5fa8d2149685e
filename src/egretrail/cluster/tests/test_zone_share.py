"""An instance's own part is taken out of its zone's sums, whatever is lost or late."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from egretrail.cluster import Beat, Hub, HubState, Section, ZoneShare
from egretrail.cluster.tests.messages import beat
from egretrail.dispatch import RepeatCounts
from egretrail.testing import EgretrailTestCase

_KEYS = [3, 18, 33]
_OWN, _OTHER = "10.0.0.1", "10.0.0.2"


class _Instance:
    """One instance that begins and ends requests and counts them."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.sequence = 0
        self.loads: dict[int, int] = {}
        self.counts = RepeatCounts()
        self.share = ZoneShare()
        self.place: int | None = None

    def beat(self, now_s: float) -> Beat:
        self.sequence += 1
        told = beat(self.address, self.sequence, loads=dict(self.loads), repeats={"s": self.counts})
        self.share.sent(told, now_s)
        return told

    def hear(self, section: Section) -> None:
        if section.roster is not None:
            for one, place in zip(section.roster.instances, section.roster.places, strict=True):
                if one.address == self.address:
                    self.place = place
        self.share.take(section, self.place)
        self.share.loads(section)


class ShareMachine(RuleBasedStateMachine):
    """Two instances and a hub, with datagrams that are lost, doubled or come late."""

    @initialize()
    def start(self) -> None:
        """Begin with all three up."""
        self.now_s = 0.0
        self.instances = {address: _Instance(address) for address in (_OWN, _OTHER)}
        self.hub = Hub("10.0.0.3", "a", 1, 0.0)
        self.late: list[Beat] = []
        self.repeats_since: dict[str, int] = {}

    @rule(address=st.sampled_from([_OWN, _OTHER]), key=st.sampled_from(_KEYS))
    def begin(self, address: str, key: int) -> None:
        """Begin a request, which is also a repeat."""
        one = self.instances[address]
        one.loads[key] = one.loads.get(key, 0) + 1
        one.counts = RepeatCounts(one.counts.requests + 1, one.counts.repeats + 1)

    @rule(address=st.sampled_from([_OWN, _OTHER]), key=st.sampled_from(_KEYS))
    def end(self, address: str, key: int) -> None:
        """End a request."""
        one = self.instances[address]
        left = one.loads.get(key, 0) - 1
        if left > 0:
            one.loads[key] = left
        else:
            one.loads.pop(key, None)

    @rule(
        address=st.sampled_from([_OWN, _OTHER]),
        fate=st.sampled_from(["comes", "lost", "late", "twice"]),
    )
    def send_beat(self, address: str, fate: str) -> None:
        """Send a beat to the hub."""
        told = self.instances[address].beat(self.now_s)
        if fate in ("comes", "twice"):
            self.hub.hear(told, self.now_s, direct=True)
        if fate in ("late", "twice"):
            self.late.append(told)

    @rule()
    def deliver_late(self) -> None:
        """Deliver the oldest late beat."""
        if self.late:
            self.hub.hear(self.late.pop(0), self.now_s, direct=True)

    @rule(lost=st.sets(st.sampled_from([_OWN, _OTHER])))
    def tell(self, lost: set[str]) -> None:
        """Tell the zone, except those who lose the datagram."""
        self.now_s += 0.1
        for section in self.hub.zone_sections(HubState(1, 1), self.now_s):
            for address, one in self.instances.items():
                if address not in lost:
                    one.hear(section)

    @invariant()
    def others_repeats_are_never_counted_twice(self) -> None:
        """An instance counts no more of others' repeats than the others made."""
        if not hasattr(self, "instances"):
            return
        for address, one in self.instances.items():
            made = sum(o.counts.repeats for a, o in self.instances.items() if a != address)
            counted = one.share.repeats().get("s", RepeatCounts()).repeats
            assert counted <= made, (address, counted, made)

    def teardown(self) -> None:
        """After silence, what each instance knows of the others is right."""
        if not hasattr(self, "instances"):
            return
        for _ in range(2):
            for one in self.instances.values():
                self.hub.hear(one.beat(self.now_s), self.now_s, direct=True)
            for _ in range(31):
                self.tell(set())
        for address, one in self.instances.items():
            others = [o for a, o in self.instances.items() if a != address]
            known = one.share.of_others(_KEYS)
            for key in _KEYS:
                assert known[key] == sum(o.loads.get(key, 0) for o in others)


ShareMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, database=None
)
ShareMachineTest = ShareMachine.TestCase


class ZoneShareTest(EgretrailTestCase):
    def test_all_repeats_of_others_are_counted_where_nothing_is_lost(self) -> None:
        rng = random.Random(3)
        hub = Hub("10.0.0.3", "a", 1, 0.0)
        instances = [_Instance(_OWN), _Instance(_OTHER)]
        base = 0
        for round_ in range(200):
            for one in instances:
                if rng.random() < 0.7:
                    counts = one.counts
                    one.counts = RepeatCounts(counts.requests + 1, counts.repeats + 1)
                if rng.random() < 0.6:
                    hub.hear(one.beat(round_ / 10), round_ / 10, direct=True)
            for section in hub.zone_sections(HubState(1, 1), round_ / 10):
                for one in instances:
                    one.hear(section)
            if round_ == 10:
                base = instances[1].counts.repeats
        for one in instances:
            hub.hear(one.beat(21.0), 21.0, direct=True)
        for section in hub.zone_sections(HubState(1, 1), 21.0):
            instances[0].hear(section)
        counted = instances[0].share.repeats()["s"].repeats
        made = instances[1].counts.repeats
        self.assertLessEqual(counted, made)
        self.assertGreaterEqual(counted, made - base)
