"""Replays a fleet's choices of upstreams without a network, beside a scheduler that knows all.

Two simplifications: work is never lost, and all instances of a zone share one table of durations.
"""

import heapq
import math
import random
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from egretrail.balancing import DemandBalancer, EvenSlotShares
from egretrail.dispatch import (
    Choice,
    FleetLoad,
    Placement,
    PlacementQuery,
    ServiceDurations,
    SlotShares,
    SuspicionTable,
    TrialScheduler,
    UpstreamHealth,
)
from egretrail.identity import rendezvous_order
from egretrail.traffic import UpstreamRecord, UpstreamState

ZONES = ("a", "b", "c")
_WORK_S, _LONG_SHARE, _LONG_FACTOR, _SIGMA = 0.23, 0.03, 7.0, 0.5
_SWING, _SWING_S = 0.55, 15.0
_SUSPECT_SHARE, _SPELL_S = 0.3, (5.0, 9.0)
_OWN_ZONE_S, _CROSS_ZONE_S, _DELAY_S = 0.1, 0.2, 0.1
#: What a request costs the scheduler that knows all in another zone: both ways.
_CROSS_TRIP_S = 0.009


@dataclass(frozen=True, slots=True)
class Scenario:
    """The load of one replay, and the failure in it."""

    instances: int
    upstreams: int
    slots: int
    #: Mean share of the slots in service that the arrivals need.
    use: float
    length_s: float = 30.0
    seed: int = 1
    #: Slowest upstream, as a multiple of the fastest.
    speed_max: float = 1.0
    #: How much longer the work of an upstream takes in its last slot, at every other upstream.
    last_slot_factor: float = 1.0
    #: Share of the upstreams of which an instance has another view than its peers.
    differing_views: float = 0.0
    #: Share of the reports that are lost.
    lost_reports: float = 0.0


@dataclass(slots=True)
class Figures:
    """What a replay measured."""

    requests: int = 0
    refused: int = 0
    avoidable_waits: int = 0
    cross_zone: int = 0
    time_s: float = 0.0
    choice_cpu_s: float = 0.0
    waits_s: dict[str, list[float]] = field(default_factory=lambda: {zone: [] for zone in ZONES})

    def mean_waits_s(self) -> dict[str, float]:
        """Return the mean wait of each zone's requests."""
        return {zone: sum(waits) / max(len(waits), 1) for zone, waits in self.waits_s.items()}


class _KnownSuspects(SuspicionTable):
    """Suspicions that are given instead of learned."""

    def __init__(self) -> None:
        super().__init__("replay")
        self.suspects: frozenset[str] = frozenset()

    def health(self, upstream_id: str, now_s: float) -> UpstreamHealth:
        return UpstreamHealth.SUSPECT if upstream_id in self.suspects else UpstreamHealth.GOOD

    def overdue_s(self, upstream_id: str, now_s: float, pause_factor: float = 1.0) -> float:
        return float("-inf")


@dataclass(slots=True)
class _Upstream:
    record: UpstreamRecord
    speed: float
    last_slot_factor: float
    running: int = 0
    queue: deque[tuple["Instance | None", str, float, float]] = field(default_factory=deque)

    def load(self) -> int:
        return self.running + len(self.queue)


@dataclass(slots=True)
class Instance:
    """One instance: its placement, and what its peers have heard of it."""

    name: str
    zone: str
    placement: Placement
    suspicion: _KnownSuspects
    #: Own counts in the last report of its zone.
    reported: dict[str, int] = field(default_factory=dict)
    #: Zones whose last report was lost.
    behind: set[str] = field(default_factory=set)


class Replay:
    """A fleet's requests, in an event heap; ``omniscient`` replaces all instances' choices."""

    def __init__(
        self,
        scenario: Scenario,
        configure: Callable[["Replay"], None] = lambda replay: None,
        *,
        omniscient: bool = False,
    ) -> None:
        self.scenario = scenario
        self.figures = Figures()
        self._omniscient = omniscient
        # Arrivals, work and health are equal in both kinds of replay.
        self._arrivals, self._health = random.Random(scenario.seed), random.Random(scenario.seed)
        self._rng = random.Random(scenario.seed)
        self._upstreams = {f"u{n}": self._new_upstream(n) for n in range(scenario.upstreams)}
        self.records = [one.record for one in self._upstreams.values()]
        self._suspects: set[str] = set()
        self._durations = {zone: ServiceDurations() for zone in ZONES}
        self.instances = [self._new_instance(n) for n in range(scenario.instances)]
        self._members = {
            zone: [one for one in self.instances if one.zone == zone] for zone in ZONES
        }
        self._sums: dict[tuple[str, str], dict[str, int]] = {}
        self._answered: dict[str, set[str]] = {zone: set() for zone in ZONES}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self.now_s = 0.0
        self.use_ranked_shares()
        configure(self)

    def run(self) -> Figures:
        """Play the load and return the figures."""
        self._start_spells()
        for zone in ZONES:
            self.at(0.0, lambda now_s, z=zone: self._arrive(z, now_s))  # type: ignore[misc]
            if not self._omniscient:
                for target in ZONES:
                    self.at(
                        self._rng.random() * _OWN_ZONE_S,
                        lambda now_s, z=zone, t=target: self._report(z, t, now_s),  # type: ignore
                    )
        while self._events[0][0] < self.scenario.length_s:
            self.now_s, _, act = heapq.heappop(self._events)
            act(self.now_s)
        return self.figures

    def at(self, at_s: float, act: Callable[[float], None]) -> None:
        """Call ``act`` at a time."""
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, act))

    def members(self, zone: str) -> list[Instance]:
        """Return the instances of a zone."""
        return self._members[zone]

    def use_ranked_shares(self) -> None:
        """Give each instance the shares by independent rank."""
        for zone in ZONES:
            names = [one.name for one in self.members(zone)]
            orders = {
                record.id: {
                    name: rank
                    for rank, name in enumerate(rendezvous_order(f"slots {record.id}", names))
                }
                for record in self.records
            }
            for one in self.members(zone):
                shares = SlotShares(
                    lambda task, n=one.name, o=orders: o[task[6:]][n]  # type: ignore[misc]
                )
                one.placement.has_slot_share = shares.has_share

    def use_even_shares(self) -> None:
        """Give each instance an even share of the slots in service, as it sees them."""
        for one in self.instances:
            names = [other.name for other in self.members(one.zone)]
            shares = EvenSlotShares(
                one.name,
                lambda: self.now_s,
                lambda s=one.suspicion: [  # type: ignore[misc]
                    record for record in self.records if record.id not in s.suspects
                ],
                lambda n=names: n,  # type: ignore[misc]
            )
            one.placement.has_slot_share = shares.has_share

    def balance_zones(self) -> None:
        """Let each instance send to other zones what its own cannot serve."""
        for one in self.instances:
            placement = one.placement
            placement.zone_balancer = DemandBalancer(
                one.zone,
                partial(placement.load.in_flight_by_origin, one.zone),
                lambda name, _, s=one.suspicion: name not in s.suspects,  # type: ignore[misc]
                placement.rng,
            )

    def _new_upstream(self, number: int) -> _Upstream:
        zone = ZONES[number % len(ZONES)]
        slots = self.scenario.slots
        record = UpstreamRecord(f"u{number}", "s", "10.0.0.1:1", zone, slots, UpstreamState.READY)
        speed = self._rng.uniform(1.0, self.scenario.speed_max)
        factor = self.scenario.last_slot_factor if number % 2 else 1.0
        return _Upstream(record, speed, factor)

    def _new_instance(self, number: int) -> Instance:
        zone = ZONES[number % len(ZONES)]
        load, suspicion = FleetLoad(), _KnownSuspects()
        placement = Placement(
            zone,
            load,
            self._durations[zone],
            suspicion,
            TrialScheduler(load, suspicion),
            rng=random.Random(self.scenario.seed * 1_000 + number),
        )
        return Instance(f"10.0.{number // 250}.{number % 250}", zone, placement, suspicion)

    def _start_spells(self) -> None:
        count = round(_SUSPECT_SHARE * len(self._upstreams))
        for upstream_id in self._health.sample(sorted(self._upstreams), count):
            self._suspects.add(upstream_id)
            end_s = self._health.uniform(0.0, _SPELL_S[1])
            self.at(end_s, lambda now_s, u=upstream_id: self._end_spell(u, now_s))  # type: ignore
        self._tell_health(0.0)

    def _end_spell(self, upstream_id: str, now_s: float) -> None:
        """Move a failure spell to another upstream."""
        good = sorted(self._upstreams.keys() - self._suspects)
        following = self._health.choice(good)
        self._suspects = self._suspects - {upstream_id} | {following}
        end_s = now_s + self._health.uniform(*_SPELL_S)
        self.at(end_s, lambda at_s: self._end_spell(following, at_s))
        self._tell_health(now_s)

    def _tell_health(self, now_s: float) -> None:
        differing = round(self.scenario.differing_views * len(self._upstreams))
        known = frozenset(self._suspects)
        for one in self.instances:
            others = self._rng.sample(sorted(self._upstreams), differing)
            one.suspicion.suspects = known.symmetric_difference(others) if differing else known

    def _arrive(self, zone: str, now_s: float) -> None:
        scenario, rng = self.scenario, self._arrivals
        slots = scenario.upstreams * scenario.slots * (1.0 - _SUSPECT_SHARE) / len(ZONES)
        mean_work_s = _WORK_S * (1.0 + _LONG_SHARE * (_LONG_FACTOR - 1.0))
        mean_speed = (1.0 + scenario.speed_max) / 2
        phase = now_s / _SWING_S + ZONES.index(zone) / len(ZONES)
        swing = 1.0 + _SWING * math.sin(2 * math.pi * phase)
        rate_per_s = scenario.use * slots / (mean_work_s * mean_speed) * swing
        self.at(now_s + rng.expovariate(rate_per_s), lambda at_s: self._arrive(zone, at_s))
        work_s = _WORK_S * rng.lognormvariate(-_SIGMA * _SIGMA / 2, _SIGMA)
        work_s *= _LONG_FACTOR if rng.random() < _LONG_SHARE else 1.0
        members = self.members(zone)
        one = members[rng.randrange(len(members))]
        self.figures.requests += 1
        if self._omniscient:
            self._send(None, zone, self._best(zone), work_s, now_s)
            return
        query = PlacementQuery("s", 4.0, 2.0, False, connected=self._upstreams.keys())
        started_s = time.thread_time()
        choice = one.placement.choose(query, self.records, now_s)
        self.figures.choice_cpu_s += time.thread_time() - started_s
        if not isinstance(choice, Choice):
            self.figures.refused += 1
            return
        one.placement.load.record_start(choice.upstream.id, now_s)
        self._send(one, zone, self._upstreams[choice.upstream.id], work_s, now_s)

    def _best(self, zone: str) -> _Upstream:
        """Return the upstream in service with the least expected time."""

        def expected_s(one: _Upstream) -> float:
            ahead = max(one.load() + 1 - one.record.slots, 0)
            own_s = one.speed * _WORK_S
            if one.load() + 1 >= one.record.slots:
                own_s *= one.last_slot_factor
            trip_s = _CROSS_TRIP_S if one.record.availability_zone != zone else 0.0
            return own_s * (1.0 + ahead / one.record.slots) + trip_s

        usable = (one for name, one in self._upstreams.items() if name not in self._suspects)
        return min(usable, key=expected_s)

    def _send(
        self, one: Instance | None, zone: str, upstream: _Upstream, work_s: float, now_s: float
    ) -> None:
        self.figures.cross_zone += upstream.record.availability_zone != zone
        if upstream.load() >= upstream.record.slots:
            self.figures.avoidable_waits += any(
                other.load() < other.record.slots
                for name, other in self._upstreams.items()
                if name not in self._suspects
            )
        upstream.queue.append((one, zone, work_s, now_s))
        self._serve(upstream, now_s)

    def _serve(self, upstream: _Upstream, now_s: float) -> None:
        if upstream.running == upstream.record.slots or not upstream.queue:
            return
        one, zone, work_s, sent_s = upstream.queue.popleft()
        upstream.running += 1
        duration_s = work_s * upstream.speed
        if upstream.running == upstream.record.slots:
            duration_s *= upstream.last_slot_factor
        self.figures.waits_s[zone].append(now_s - sent_s)
        self.figures.time_s += now_s - sent_s + duration_s
        self.at(now_s + duration_s, lambda at_s: self._end(upstream, one, duration_s, at_s))

    def _end(
        self, upstream: _Upstream, one: Instance | None, duration_s: float, now_s: float
    ) -> None:
        upstream.running -= 1
        if one is not None:
            one.placement.load.record_finish(upstream.record.id)
            self._answered[one.zone].add(upstream.record.id)
            for durations in self._durations.values():
                durations.record("s", upstream.record.id, duration_s)
            load = one.placement.load
            load.record_reported_load(upstream.record.id, upstream.load(), now_s)
        self._serve(upstream, now_s)

    def _report(self, zone: str, target: str, now_s: float) -> None:
        """Send the sums of a zone to all instances of a zone, which receive them later."""
        interval_s = _OWN_ZONE_S if zone == target else _CROSS_ZONE_S
        self.at(now_s + interval_s, lambda at_s: self._report(zone, target, at_s))
        total: Counter[str] = Counter()
        for one in self.members(zone):
            total.update(one.placement.load.own_counts())
        # The sum of the own zone includes the receiver's part, which the receiver takes out.
        own_counts = [
            one.placement.load.own_counts() if zone == target else {}
            for one in self.members(target)
        ]
        known = self._sums.get((zone, target), {})
        changed = {
            name: total.get(name, 0)
            for name in sorted(known.keys() | total.keys())
            if known.get(name, 0) != total.get(name, 0)
        }
        self._sums[zone, target] = total
        answered: Sequence[str] = ()
        if zone == target:
            answered = sorted(self._answered[zone])
            self._answered[zone].clear()

        def deliver(at_s: float) -> None:
            for one, mine in zip(self.members(target), own_counts, strict=True):
                if self._rng.random() < self.scenario.lost_reports:
                    one.behind.add(zone)
                    continue
                names = changed.keys() | mine.keys()
                if zone == target:
                    names |= one.reported.keys()
                if zone in one.behind:
                    names |= total.keys() | known.keys()
                    one.placement.load.remove_peer(zone)
                    one.behind.discard(zone)
                counts = {name: total.get(name, 0) - mine.get(name, 0) for name in names}
                if zone == target:
                    one.reported = mine
                one.placement.load.update_peer_counts(zone, counts, at_s)
                for name in answered:
                    one.placement.load.record_response(name, at_s)

        self.at(now_s + _DELAY_S, deliver)
