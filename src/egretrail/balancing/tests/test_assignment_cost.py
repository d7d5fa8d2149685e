"""The cost of shares of slots, and their equality with those of a simpler computation."""

import time
import tracemalloc
from collections.abc import Mapping, Sequence

import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from egretrail.balancing import EvenSlotAssignment, SlotOwner
from egretrail.testing import EgretrailTestCase, cases

_MASK = 0xFFFF_FFFF_0000
_SHARES = dict[tuple[str, str], int]


def _addresses(count: int) -> list[str]:
    return [f"10.0.0.{number}" for number in range(count)]


def _shares(owners: Sequence[SlotOwner], addresses: Sequence[str]) -> _SHARES:
    assignment = EvenSlotAssignment()
    assignment.assign(owners, addresses)
    shares = {
        (owner.upstream_id, address): assignment.slots_of(owner.upstream_id, address)
        for owner in owners
        for address in addresses
    }
    return {pair: slots for pair, slots in shares.items() if slots}


def _shares_of_listed_slots(owners: Sequence[SlotOwner], addresses: Sequence[str]) -> _SHARES:
    """Return the shares by one proposal for each slot, as a reference."""
    hashes = [xxhash.xxh32_intdigest(address.encode()) for address in sorted(addresses)]
    extra_order = sorted(range(len(hashes)), key=lambda index: (hashes[index], index))
    groups: dict[str, list[SlotOwner]] = {}
    for owner in sorted(owners, key=lambda owner: (owner.group, owner.upstream_id)):
        groups.setdefault(owner.group, []).append(owner)
    shares: _SHARES = {}
    extras_before = 0
    for group in groups.values():
        base, extras = divmod(sum(owner.slots for owner in group), len(hashes))
        quotas = [base] * len(hashes)
        for place in range(extras):
            quotas[extra_order[(extras_before + place) % len(hashes)]] += 1
        extras_before += extras
        for (number, index), slots in _propose_each(group, hashes, quotas).items():
            shares[group[number].upstream_id, sorted(addresses)[index]] = slots
    return shares


def _propose_each(
    owners: Sequence[SlotOwner], hashes: Sequence[int], quotas: Sequence[int]
) -> Mapping[tuple[int, int], int]:
    factors = [xxhash.xxh32_intdigest(owner.upstream_id.encode()) | 1 for owner in owners]
    orders = [
        sorted(((each * factor & _MASK | i) for i, each in enumerate(hashes)), reverse=True)
        for factor in factors
    ]
    held: list[list[tuple[int, int]]] = [[] for _ in hashes]
    places = [0] * len(owners)
    proposals = [number for number, owner in enumerate(owners) for _ in range(owner.slots)]
    while proposals:
        number = proposals.pop()
        score = orders[number][places[number]]
        places[number] = (places[number] + 1) % len(hashes)
        mine, quota = held[score & 0xFFFF], quotas[score & 0xFFFF]
        mine.append((score, number))
        mine.sort(reverse=True)
        proposals += [declined for _, declined in mine[quota:]]
        del mine[quota:]
    counts: dict[tuple[int, int], int] = {}
    for index, mine in enumerate(held):
        for _, number in mine:
            counts[number, index] = counts.get((number, index), 0) + 1
    return counts


_OWNERS = st.lists(
    st.builds(SlotOwner, st.text("abc", min_size=1), st.integers(1, 40), st.sampled_from("pq")),
    max_size=9,
    unique_by=lambda owner: owner.upstream_id,
)


class AssignmentCostTest(EgretrailTestCase):
    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(_OWNERS, st.integers(1, 9))
    def test_counted_slots_are_shared_as_listed_ones(
        self, owners: list[SlotOwner], instances: int
    ) -> None:
        """Guards against shares that differ between versions of the program in one zone."""
        addresses = _addresses(instances)
        self.assertEqual(_shares_of_listed_slots(owners, addresses), _shares(owners, addresses))

    def test_the_memory_does_not_grow_with_the_slots_that_an_upstream_states(self) -> None:
        """Guards against one entry of a million slots that stops all instances."""
        owners = [SlotOwner(f"s{number}", 4, "s") for number in range(9)]
        assignment = EvenSlotAssignment()
        assignment.assign(owners, _addresses(100))
        tracemalloc.start()
        try:
            assignment.assign([*owners, SlotOwner("odd", 20_000, "s")], _addresses(100))
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak_bytes, 500_000)

    @cases(
        {
            "one of 65,535": [65_535],
            "one of 2^62": [2**62],
            "all of 2^62": [2**62] * 50,
            "all of different powers": [2**power for power in range(63)],
        }
    )
    def test_absurd_slots_are_shared_at_once(self, slots: list[int]) -> None:
        """Guards against a computation of hours in each instance."""
        owners = [SlotOwner(f"s{number}", 4) for number in range(100)]
        owners += [SlotOwner(f"odd{number}", each) for number, each in enumerate(slots)]
        began_s = time.process_time()
        shares = _shares(owners, _addresses(30))
        self.assertLess(time.process_time() - began_s, 1.0)
        held = [sum(n for (_, at), n in shares.items() if at == one) for one in _addresses(30)]
        self.assertEqual(sum(owner.slots for owner in owners), sum(held))
        self.assertLessEqual(max(held), min(held) + 1)
