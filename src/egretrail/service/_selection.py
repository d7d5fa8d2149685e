"""Selection of the upstream for a request."""

import random
from collections.abc import Collection, Sequence

from egretrail.identity import AvailabilityZone, UpstreamName
from egretrail.service._candidates import Candidate
from egretrail.service._limits import ConcurrencyLimits
from egretrail.service._upstream_pool import Pool, PooledUpstream
from egretrail.service._work import Work

#: Penalty for an upstream in another availability zone, as a share of its slots. A quarter is one
#: request of four slots: the own zone wins at equal load, and loses before its upstreams are full.
_CROSS_ZONE_PENALTY = 0.25
#: Range of the random term that breaks ties and near ties, as a share of the slots. It prevents
#: members that see the same counts from all selecting the same upstream.
_JITTER = 0.05
#: Share of idempotent requests that may go to an upstream on trial. A trial has one request at a
#: time, so the cost is bounded by one slow response in flight for each upstream on trial.
_TRIAL_SHARE = 0.1
#: Added to the load of an upstream on which this member's own slots are in use, so that slots of
#: other members are used last. Only own requests count as load: the counts from other members are
#: up to a second old, the duration of many requests, and using them made the selection worse.
_BORROWED_SLOT_PENALTY = 10.0


class UpstreamSelector:
    """Selects the least loaded upstream, this member's own slots before those of other members.

    Several members may share few slots, upstreams may be warming up, and zones may differ in size.
    The selection avoids that requests queue at one upstream while another has a free slot.
    """

    def __init__(
        self, zone: AvailabilityZone, limits: ConcurrencyLimits, rng: random.Random
    ) -> None:
        self._zone = zone
        self._limits = limits
        self._rng = rng

    def choose(self, work: Work, pool: Pool, tried: Collection[UpstreamName]) -> Candidate | None:
        """Return the upstream for the request, None if none has a free slot."""
        trial = self._choose_trial(work, pool, tried)
        if trial is not None:
            return trial
        best, load = self._least_loaded(pool.with_own_slots, pool, tried)
        if best is not None and load < _BORROWED_SLOT_PENALTY:
            return best
        other, other_load = self._least_loaded(pool.without_own_slots, pool, tried)
        return other if best is None or (other is not None and other_load < load) else best

    def _least_loaded(
        self, upstreams: Sequence[PooledUpstream], pool: Pool, tried: Collection[UpstreamName]
    ) -> tuple[Candidate | None, float]:
        best: Candidate | None = None
        best_load = 0.0
        for each in upstreams:
            candidate = each.candidate
            if candidate.name in tried or self._is_skipped(candidate, pool):
                continue
            load = self._load(each)
            if load is not None and (best is None or load < best_load):
                best, best_load = candidate, load
        return best, best_load

    def _is_skipped(self, candidate: Candidate, pool: Pool) -> bool:
        """Return whether to skip an upstream of reduced weight for this request.

        The upstream is skipped at random, with the probability that its weight is below the full
        weight. Dividing its load by the weight instead would send it no requests at all while any
        other upstream has a free slot.
        """
        if candidate.weight >= pool.full_weight:
            return False
        return self._rng.random() * pool.full_weight >= candidate.weight

    def _load(self, upstream: PooledUpstream) -> float | None:
        """Return the load that one more request would cause, None if there is no free slot."""
        candidate = upstream.candidate
        own = self._limits.in_flight(candidate.name)
        # A reduced weight also reduces the slots, but never below one: an upstream without any
        # requests could not prove its recovery.
        if candidate.weight <= 0.0 or own + 1 > max(1.0, upstream.limit * candidate.weight):
            return None
        if own < upstream.own_slots:
            load = (own + 1) / upstream.limit
        elif own < upstream.limit:
            load = _BORROWED_SLOT_PENALTY + (own + 1) / upstream.limit
        else:
            return None
        if candidate.availability_zone != self._zone:
            load += _CROSS_ZONE_PENALTY
        return load + _JITTER * self._rng.random()

    def _choose_trial(
        self, work: Work, pool: Pool, tried: Collection[UpstreamName]
    ) -> Candidate | None:
        """Return an idle upstream on trial for a share of first attempts of idempotent requests."""
        if tried or not work.idempotent:
            return None
        idle = [
            each.candidate
            for each in pool.on_trial
            if not self._limits.in_flight(each.candidate.name) + each.candidate.peer_in_flight
        ]
        if not idle:
            return None
        if pool.full_weight > 0.0 and self._rng.random() >= _TRIAL_SHARE:
            return None
        return self._rng.choice(idle)
