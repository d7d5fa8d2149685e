"""Tests of the subtraction of an instance's own contribution from its zone's aggregates.

The result must be right although datagrams are lost, duplicated or late.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from egretrail.cluster import Heartbeat, Hub, HubState, Section, ZonePeers
from egretrail.cluster.tests.messages import heartbeat
from egretrail.dispatch import RetryCounts
from egretrail.testing import EgretrailTestCase, cases

_KEYS = [3, 18, 33]
_OWN, _OTHER = "10.0.0.1", "10.0.0.2"


class _Instance:
    """An instance that starts and ends requests and counts them."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.sequence = 0
        self.loads: dict[int, int] = {}
        self.counts = RetryCounts()
        self.zone_peers = ZonePeers()
        self.ack_index: int | None = None

    def heartbeat(self, now_s: float) -> Heartbeat:
        self.sequence += 1
        sent_heartbeat = heartbeat(
            self.address,
            self.sequence,
            loads=dict(self.loads),
            retries={"s": self.counts},
            known_retries=self.zone_peers.known_retries(now_s),
        )
        self.zone_peers.record_heartbeat(sent_heartbeat, now_s)
        return sent_heartbeat

    def apply_section(self, section: Section) -> None:
        if section.roster is not None:
            for one, ack_index in zip(
                section.roster.instances, section.roster.ack_indexes, strict=True
            ):
                if one.address == self.address:
                    self.ack_index = ack_index
        self.zone_peers.apply_acknowledgement(section, self.ack_index)
        self.zone_peers.apply_loads(section)


class ZonePeersMachine(RuleBasedStateMachine):
    """Two instances and a hub, with datagrams that are lost, duplicated or late."""

    @initialize()
    def start(self) -> None:
        """Start with all three running."""
        self.now_s = 0.0
        self.instances = {address: _Instance(address) for address in (_OWN, _OTHER)}
        self.hub = Hub("10.0.0.3", "a", 1, 0.0)
        self.late: list[Heartbeat] = []
        self.repeats_since: dict[str, int] = {}

    @rule(address=st.sampled_from([_OWN, _OTHER]), key=st.sampled_from(_KEYS))
    def begin_request(self, address: str, key: int) -> None:
        """Start a request, which also counts as a retry."""
        one = self.instances[address]
        one.loads[key] = one.loads.get(key, 0) + 1
        one.counts = RetryCounts(one.counts.requests + 1, one.counts.retries + 1)

    @rule(address=st.sampled_from([_OWN, _OTHER]), key=st.sampled_from(_KEYS))
    def end_request(self, address: str, key: int) -> None:
        """End a request."""
        one = self.instances[address]
        left = one.loads.get(key, 0) - 1
        if left > 0:
            one.loads[key] = left
        else:
            one.loads.pop(key, None)

    @rule(
        address=st.sampled_from([_OWN, _OTHER]),
        fate=st.sampled_from(["delivered", "lost", "late", "duplicated"]),
    )
    def send_heartbeat(self, address: str, fate: str) -> None:
        """Send a heartbeat to the hub."""
        sent_heartbeat = self.instances[address].heartbeat(self.now_s)
        if fate in ("delivered", "duplicated"):
            self.hub.record_heartbeat(sent_heartbeat, self.now_s, direct=True)
        if fate in ("late", "duplicated"):
            self.late.append(sent_heartbeat)

    @rule()
    def deliver_late(self) -> None:
        """Deliver the oldest late heartbeat."""
        if self.late:
            self.hub.record_heartbeat(self.late.pop(0), self.now_s, direct=True)

    @rule(lost=st.sets(st.sampled_from([_OWN, _OTHER])))
    def send_sections(self, lost: set[str]) -> None:
        """Send the sections of the hub, except to the instances that lose the datagram."""
        self.now_s += 0.1
        for section in self.hub.zone_sections(HubState(1, 1), self.now_s):
            for address, one in self.instances.items():
                if address not in lost:
                    one.apply_section(section)

    @invariant()
    def retries_of_peers_are_never_counted_twice(self) -> None:
        """An instance counts no more of the peers' retries than the peers made."""
        if not hasattr(self, "instances"):
            return
        for address, one in self.instances.items():
            retries_made = sum(o.counts.retries for a, o in self.instances.items() if a != address)
            retries_counted = one.zone_peers.peer_retries().get("s", RetryCounts()).retries
            assert retries_counted <= retries_made, (address, retries_counted, retries_made)

    def teardown(self) -> None:
        """After all datagrams arrived, each instance knows the exact loads of its peers."""
        if not hasattr(self, "instances"):
            return
        for _ in range(2):
            for one in self.instances.values():
                self.hub.record_heartbeat(one.heartbeat(self.now_s), self.now_s, direct=True)
            for _ in range(31):
                self.send_sections(set())
        for address, one in self.instances.items():
            others = [o for a, o in self.instances.items() if a != address]
            known = one.zone_peers.peer_loads(_KEYS)
            for key in _KEYS:
                assert known[key] == sum(o.loads.get(key, 0) for o in others)


ZonePeersMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, database=None
)
ZonePeersMachineTest = ZonePeersMachine.TestCase


class ZonePeersTest(EgretrailTestCase):
    @cases({"the same hub is followed again": 1, "two hubs alternate": 2})
    def test_counts_of_a_hub_are_added_once(self, hub_count: int) -> None:
        hubs = [Hub(f"10.0.0.{8 + number}", "a", 1, 0.0) for number in range(hub_count)]
        instances = [_Instance(_OWN), _Instance(_OTHER)]
        for round_ in range(60):
            now_s = round_ / 10
            for one in instances:
                counts = one.counts
                one.counts = RetryCounts(counts.requests + 1, counts.retries + 1)
            if round_ % 20 == 0:
                for one in instances:
                    one.zone_peers.reset()
            hub = hubs[round_ // 20 % hub_count]
            hub.remove_silent(now_s)
            for one in instances:
                hub.record_heartbeat(one.heartbeat(now_s), now_s, direct=True)
            for section in hub.zone_sections(HubState(1, 1), now_s):
                for one in instances:
                    one.apply_section(section)
        retries_counted = instances[0].zone_peers.peer_retries()["s"].retries
        retries_made = instances[1].counts.retries
        self.assertLessEqual(retries_counted, retries_made)
        self.assertGreater(retries_counted, 0.9 * retries_made)

    def test_all_retries_of_peers_are_counted_without_losses(self) -> None:
        rng = random.Random(3)
        hub = Hub("10.0.0.3", "a", 1, 0.0)
        instances = [_Instance(_OWN), _Instance(_OTHER)]
        base = 0
        for round_ in range(200):
            for one in instances:
                if rng.random() < 0.7:
                    counts = one.counts
                    one.counts = RetryCounts(counts.requests + 1, counts.retries + 1)
                if rng.random() < 0.6:
                    hub.record_heartbeat(one.heartbeat(round_ / 10), round_ / 10, direct=True)
            for section in hub.zone_sections(HubState(1, 1), round_ / 10):
                for one in instances:
                    one.apply_section(section)
            if round_ == 10:
                base = instances[1].counts.retries
        for one in instances:
            hub.record_heartbeat(one.heartbeat(21.0), 21.0, direct=True)
        for section in hub.zone_sections(HubState(1, 1), 21.0):
            instances[0].apply_section(section)
        retries_counted = instances[0].zone_peers.peer_retries()["s"].retries
        retries_made = instances[1].counts.retries
        self.assertLessEqual(retries_counted, retries_made)
        self.assertGreaterEqual(retries_counted, retries_made - base)
