"""Even shares of slots: equal at all instances, and stable when upstreams or instances change."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

from egretrail.balancing import EvenSlotAssignment, EvenSlotShares, SlotOwner
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState


def _owners(count: int, slots: int, group: str = "s") -> list[SlotOwner]:
    return [SlotOwner(f"{group}{n}", slots, group) for n in range(count)]


def _addresses(count: int) -> list[str]:
    return [f"10.0.0.{n}" for n in range(count)]


def _shares(
    owners: Sequence[SlotOwner],
    addresses: Collection[str],
    assignment: EvenSlotAssignment | None = None,
) -> Counter[tuple[str, str]]:
    assignment = assignment or EvenSlotAssignment()
    assignment.assign(owners, addresses)
    return +Counter(
        {
            (owner.upstream_id, address): assignment.slots_of(owner.upstream_id, address)
            for owner in owners
            for address in addresses
        }
    )


class EvenSlotAssignmentTest(EgretrailTestCase):
    @cases(
        {
            "more slots than instances": (44, [(25, 3)]),
            "fewer slots than instances": (100, [(9, 4)]),
            "fewer instances than slots of an upstream": (3, [(5, 4)]),
            "two services": (44, [(20, 3), (16, 3)]),
            "three services with remainders": (10, [(3, 1), (4, 1), (5, 1)]),
            "one instance": (1, [(4, 2)]),
            "no instance": (0, [(4, 2)]),
            "no upstream": (4, []),
        }
    )
    def test_numbers_of_slots_differ_by_at_most_one(
        self, case: tuple[int, list[tuple[int, int]]]
    ) -> None:
        """Guards against instances with no slot beside instances with six."""
        count, groups = case
        owners = [
            owner
            for number, (upstreams, slots) in enumerate(groups)
            for owner in _owners(upstreams, slots, f"g{number}-")
        ]
        shares = _shares(owners, _addresses(count))
        if count:
            self.assertEqual(sum(owner.slots for owner in owners), shares.total())
        for prefix in ["g", *(f"g{number}-" for number in range(len(groups)))]:
            held = Counter(dict.fromkeys(_addresses(count), 0))
            for (upstream_id, address), slots in shares.items():
                held[address] += slots if upstream_id.startswith(prefix) else 0
            self.assertLessEqual(max(held.values(), default=0), min(held.values(), default=0) + 1)

    def test_instances_with_the_same_input_compute_the_same_shares(self) -> None:
        """Guards against shares that depend on the order of messages or on the past."""
        owners, addresses = _owners(36, 3), _addresses(44)
        expected = _shares(owners, addresses)
        rng, used = random.Random(1), EvenSlotAssignment()
        for _ in range(5):
            _shares(rng.sample(owners, 20), rng.sample(addresses, 30), used)
            mixed = rng.sample(owners, 36), rng.sample(addresses, 44)
            self.assertEqual(expected, _shares(*mixed, used))

    @cases({"44 instances": (44, 25, 3), "100 instances": (100, 80, 3), "15": (15, 10, 4)})
    def test_few_shares_move_when_an_upstream_comes_or_goes(
        self, case: tuple[int, int, int]
    ) -> None:
        """Guards against connections that are given up each time an upstream fails."""
        count, upstreams, slots = case
        owners, addresses = _owners(upstreams, slots), _addresses(count)
        before = _shares(owners, addresses)
        moved = 0
        for owner in owners:
            left = [other for other in owners if other is not owner]
            after = _shares(left, addresses)
            moved += (before - after).total() - slots
        self.assertLess(moved / len(owners), 0.2 * before.total())
        self.assertLess(moved / len(owners), 4 * slots)

    @cases({"44 instances": (44, 25, 3), "100 instances": (100, 80, 3), "15": (15, 10, 4)})
    def test_few_shares_move_when_an_instance_leaves(self, case: tuple[int, int, int]) -> None:
        """Guards against a restart of one instance that moves the shares of a zone."""
        count, upstreams, slots = case
        owners, addresses = _owners(upstreams, slots), _addresses(count)
        before = _shares(owners, addresses)
        moved = 0
        for address in addresses:
            after = _shares(owners, [other for other in addresses if other != address])
            own = sum(held for (_, holder), held in before.items() if holder == address)
            moved += (before - after).total() - own
        self.assertLess(moved / count, 0.1 * before.total())


class _CountingAssignment(EvenSlotAssignment):
    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def assign(self, upstreams: Sequence[SlotOwner], instances: Collection[str]) -> None:
        self.count += 1
        super().assign(upstreams, instances)


class EvenSlotSharesTest(EgretrailTestCase):
    def test_shares_follow_what_is_in_service_at_most_four_times_a_second(self) -> None:
        """Guards against shares of failing upstreams, and against computing for each request."""
        records = [
            UpstreamRecord(f"u{n}", "s", "10.0.0.1:1", "a", 1, UpstreamState.READY)
            for n in range(4)
        ]
        in_service, now_s, assignment = list(records), [0.0], _CountingAssignment()
        shares = EvenSlotShares(
            "10.0.0.0", lambda: now_s[0], lambda: in_service, lambda: _addresses(2), assignment
        )
        self.assertEqual(2, sum(map(shares.has_share, records)))
        failed = next(record for record in records if shares.has_share(record))
        in_service.remove(failed)
        self.assertTrue(shares.has_share(failed))
        now_s[0] = 0.25
        self.assertFalse(shares.has_share(failed))
        self.assertEqual(2, assignment.count)
        now_s[0] = 9.0
        shares.has_share(failed)
        self.assertEqual(2, assignment.count)
