"""Groups: distribution over zones, agreement between instances, minimal changes on a departure."""

import random
from collections import Counter
from collections.abc import Sequence

from egretrail.fleet import GroupIndex, Member, group_size
from egretrail.identity import (
    AvailabilityZone,
    Incarnation,
    InstanceName,
    rendezvous_order,
    rendezvous_score,
)
from egretrail.testing import EgretrailTestCase, cases


def _members(count: int, zones: int) -> list[Member]:
    return [
        Member(
            Incarnation(InstanceName(f"entry-{index}"), 1),
            AvailabilityZone(f"zone-{index % zones}"),
            "10.0.0.1",
            1,
            "10.0.0.1",
            2,
        )
        for index in range(count)
    ]


def _index(members: Sequence[Member]) -> GroupIndex:
    index = GroupIndex()
    index.update(members)
    return index


def _from_scratch(members: Sequence[Member], key: str, size: int) -> list[InstanceName]:
    """Compute the group directly from the definition, without an index."""
    zones: dict[str, list[InstanceName]] = {}
    for member in sorted(members, key=lambda each: -rendezvous_score(key, each.name)):
        zones.setdefault(member.availability_zone, []).append(member.name)
    chosen: list[InstanceName] = []
    for rank in range(len(members)):
        for zone in rendezvous_order(f"zone/{key}", zones):
            chosen += zones[zone][rank : rank + 1]
    return chosen[:size]


class GroupTest(EgretrailTestCase):
    @cases(
        {
            "set_by_the_operator": ((10, 4, 7, 0.0), 7),
            "few_slots": ((6, 3, 0, 0.0), 3),
            "katalogi": ((10, 4, 0, 0.0), 3),
            "varaus": ((20, 4, 0, 0.0), 5),
            "by_demand": ((6, 3, 0, 1000.0), 5),
            "bounded": ((3000, 8, 0, 0.0), 64),
        }
    )
    def test_size(self, row: tuple[tuple[int, int, int, float], int]) -> None:
        arguments, expected = row
        self.assertEqual(expected, group_size(*arguments))

    def test_zones_differ_by_at_most_one_member(self) -> None:
        members = _members(44, 3)
        zone_of = {member.name: member.availability_zone for member in members}
        index = _index(members)
        for service in range(200):
            chosen = index.choose(f"service-{service}", 5)
            counts = Counter(zone_of[name] for name in chosen)
            self.assertEqual([1, 2, 2], sorted(counts.values()))

    def test_incremental_updates_give_the_same_groups_as_a_computation_from_scratch(self) -> None:
        rng = random.Random(7)
        everybody = [*_members(60, 4), *_members(63, 21)[60:]]
        present = set(everybody[:30])
        old = _index(sorted(present, key=lambda member: member.name))
        for _ in range(300):
            for member in rng.sample(everybody, rng.randint(1, 6)):
                present ^= {member}
            old.update(list(present))
            keys = [f"service-{rng.randrange(20)}" for _ in range(3)]
            for key in keys:
                size = rng.randint(1, 25)
                expected = _from_scratch(list(present), key, size)
                self.assertEqual(expected, list(old.choose(key, size)))

    @cases({"at_44": (44, 3, 200, 5), "at_3500": (3500, 11, 500, 8)})
    def test_a_departure_replaces_one_member_in_its_own_groups_only(
        self, row: tuple[int, int, int, int]
    ) -> None:
        count, zones, services, size = row
        members = _members(count, zones)
        index = _index(members)
        keys = [f"service-{service}" for service in range(services)]
        before = {key: set(index.choose(key, size)) for key in keys}
        gone = max(members, key=lambda member: sum(member.name in before[key] for key in keys))
        index.update([member for member in members if member is not gone])
        for key in keys:
            after = set(index.choose(key, size))
            expected = 1 if gone.name in before[key] else 0
            self.assertEqual(expected, len(before[key] - after))

    def test_members_of_the_last_zone_come_last(self) -> None:
        chosen = _index(_members(12, 3)).choose("witness/x", 12, AvailabilityZone("zone-1"))
        self.assertEqual({"entry-1", "entry-4", "entry-7", "entry-10"}, set(chosen[8:]))
