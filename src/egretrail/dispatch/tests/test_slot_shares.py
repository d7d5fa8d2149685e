"""Instances learn of each other's requests late, and upstreams have few slots."""

import heapq
import random
from collections.abc import Callable

import xxhash

from egretrail.dispatch import (
    FleetLoad,
    Placement,
    PlacementQuery,
    Refusal,
    ServiceDurations,
    SlotShares,
    SuspicionTable,
    TrialScheduler,
)
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

_INSTANCES, _UPSTREAMS, _SLOTS = 33, 30, 3
_WORK_S, _EXCHANGE_S, _LENGTH_S = 0.22, 0.12, 12.0
_RECORDS = [
    UpstreamRecord(f"u{n}", "s", "10.0.0.1:1", "z", _SLOTS, UpstreamState.READY)
    for n in range(_UPSTREAMS)
]


def _rank(instance: int, task: str) -> int:
    def score(number: int) -> int:
        return xxhash.xxh3_64_intdigest(f"{task} {number}".encode())

    return sum(score(other) < score(instance) for other in range(_INSTANCES))


def _placement(number: int, seed: int, *, shared: bool) -> Placement:
    load, suspicion = FleetLoad(), SuspicionTable(str(number))
    placement = Placement(
        "z",
        load,
        ServiceDurations(),
        suspicion,
        TrialScheduler(load, suspicion),
        rng=random.Random(seed * 1_000 + number),
    )
    if shared:
        placement.has_slot_share = SlotShares(lambda task: _rank(number, task)).has_share
    return placement


class _Replay:
    """Requests at a share of all slots; counts are exchanged at intervals, half of one late."""

    def __init__(self, load: float, seed: int, *, shared: bool) -> None:
        self._rng = random.Random(seed)
        self._rate_per_s = load * _UPSTREAMS * _SLOTS / _WORK_S
        self._placements = [_placement(n, seed, shared=shared) for n in range(_INSTANCES)]
        self._own: list[dict[str, int]] = [{} for _ in range(_INSTANCES)]
        self._waiting: dict[str, list[tuple[int, float]]] = {one.id: [] for one in _RECORDS}
        self._running = dict.fromkeys((one.id for one in _RECORDS), 0)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._durations_s: list[float] = []

    def mean_s(self) -> float:
        """Return the mean duration of requests, including their waits."""
        self._at(0.0, self._arrive)
        self._at(_EXCHANGE_S, self._send_counts)
        while self._events and self._events[0][0] < _LENGTH_S:
            now_s, _, act = heapq.heappop(self._events)
            act(now_s)
        return sum(self._durations_s) / len(self._durations_s)

    def _at(self, at_s: float, act: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, act))

    def _arrive(self, now_s: float) -> None:
        self._at(now_s + self._rng.expovariate(self._rate_per_s), self._arrive)
        instance = self._rng.randrange(_INSTANCES)
        placement = self._placements[instance]
        query = PlacementQuery("s", 4.0, 2.0, False, connected=self._running.keys())
        choice = placement.choose(query, _RECORDS, now_s)
        if isinstance(choice, Refusal):
            return
        upstream_id = choice.upstream.id
        placement.load.record_start(upstream_id, now_s)
        self._own[instance][upstream_id] = self._own[instance].get(upstream_id, 0) + 1
        self._waiting[upstream_id].append((instance, now_s))
        self._run(upstream_id, now_s)

    def _run(self, upstream_id: str, now_s: float) -> None:
        if self._running[upstream_id] == _SLOTS or not self._waiting[upstream_id]:
            return
        instance, arrived_s = self._waiting[upstream_id].pop(0)
        self._running[upstream_id] += 1
        work_s = _WORK_S * self._rng.lognormvariate(-0.125, 0.5)
        self._at(now_s + work_s, lambda at_s: self._end(upstream_id, instance, arrived_s, at_s))

    def _end(self, upstream_id: str, instance: int, arrived_s: float, now_s: float) -> None:
        self._running[upstream_id] -= 1
        self._own[instance][upstream_id] -= 1
        self._placements[instance].load.record_finish(upstream_id)
        self._durations_s.append(now_s - arrived_s)
        self._run(upstream_id, now_s)

    def _send_counts(self, now_s: float) -> None:
        self._at(now_s + _EXCHANGE_S, self._send_counts)
        own = [dict(counts) for counts in self._own]
        self._at(now_s + _EXCHANGE_S / 2, lambda at_s: self._receive_counts(own, at_s))

    def _receive_counts(self, own: list[dict[str, int]], now_s: float) -> None:
        totals = {one.id: sum(counts.get(one.id, 0) for counts in own) for one in _RECORDS}
        for placement, counts in zip(self._placements, own, strict=True):
            others = {key: total - counts.get(key, 0) for key, total in totals.items()}
            peer_counts = {key: count for key, count in others.items() if count}
            placement.load.replace_peer_counts("others", peer_counts, now_s)


class SlotSharesTest(EgretrailTestCase):
    @cases({"half of the slots": (0.5, 0.35), "nearly all slots": (0.95, 0.05)})
    def test_slot_shares_reduce_waits(self, case: tuple[float, float]) -> None:
        load, reduction = case
        with_shares = sum(_Replay(load, seed, shared=True).mean_s() for seed in (1, 2)) / 2
        without_shares = sum(_Replay(load, seed, shared=False).mean_s() for seed in (1, 2)) / 2
        self.assertLess(with_shares - _WORK_S, (1.0 - reduction) * (without_shares - _WORK_S))

    def test_each_slot_is_the_share_of_one_instance(self) -> None:
        for record in _RECORDS:
            owners = [
                number
                for number in range(_INSTANCES)
                if SlotShares(lambda task, n=number: _rank(n, task)).has_share(record)  # type: ignore
            ]
            self.assertEqual(_SLOTS, len(owners))

    def test_no_more_instances_than_slots_have_a_share_of_every_upstream(self) -> None:
        for rank in range(_SLOTS):
            shares = SlotShares(lambda task, r=rank: r)  # type: ignore
            self.assertTrue(all(shares.has_share(record) for record in _RECORDS))

    def test_shares_are_recomputed_after_a_change(self) -> None:
        ranks = [0]
        shares = SlotShares(lambda task: ranks[0])
        self.assertTrue(shares.has_share(_RECORDS[0]))
        ranks[0] = 9
        self.assertTrue(shares.has_share(_RECORDS[0]))
        shares.invalidate()
        self.assertFalse(shares.has_share(_RECORDS[0]))
