"""Which upstream gets a request."""

import random
from collections.abc import Collection, Sequence

from egretrail.identity import AvailabilityZone, UpstreamName
from egretrail.service._candidates import Candidate
from egretrail.service._limits import UpstreamLimits
from egretrail.service._pool import Pool, PooledUpstream
from egretrail.service._work import Work

#: Load that an upstream of another availability zone must have less, as a share of its slots,
#: to be taken before one of the own zone. A quarter is one request of four slots: the shorter way
#: wins among equals, and loses before the own zone's upstreams are full.
_ZONE_PREFERENCE = 0.25
#: Ties and near ties are broken at random within this share of the slots, so that members that
#: see the same counts do not all choose the same upstream.
_JITTER = 0.05
#: Share of idempotent requests that look at upstreams on trial. With one request at a time on a
#: trial, its cost is bounded by one slow answer in flight for each upstream on trial.
_TRIAL_SHARE = 0.1
#: Added to the load of an upstream whose own slots are taken: other members' slots come last.
#: What their members have running there was told up to a second ago, many requests long; counting
#: it made the choice worse than not counting it, so that only own requests count here.
_BORROWED = 10.0


class Placing:
    """Chooses the least loaded upstream, this member's own slots before other members' ones.

    Load: several members that share few slots, upstreams that ramp up, zones of unlike size.
    Harm prevented: requests that wait behind others while a slot elsewhere is free.
    """

    def __init__(self, zone: AvailabilityZone, limits: UpstreamLimits, rng: random.Random) -> None:
        self._zone = zone
        self._limits = limits
        self._rng = rng

    def choose(self, work: Work, pool: Pool, tried: Collection[UpstreamName]) -> Candidate | None:
        """Return the upstream for the work, None while none has a free slot."""
        trial = self._choose_trial(work, pool, tried)
        if trial is not None:
            return trial
        best, load = self._least_loaded(pool.own, pool, tried)
        if best is not None and load < _BORROWED:
            return best
        other, other_load = self._least_loaded(pool.others, pool, tried)
        return other if best is None or (other is not None and other_load < load) else best

    def _least_loaded(
        self, upstreams: Sequence[PooledUpstream], pool: Pool, tried: Collection[UpstreamName]
    ) -> tuple[Candidate | None, float]:
        best: Candidate | None = None
        best_load = 0.0
        for each in upstreams:
            candidate = each.candidate
            if candidate.name in tried or self._left_out(candidate, pool):
                continue
            load = self._load(each)
            if load is not None and (best is None or load < best_load):
                best, best_load = candidate, load
        return best, best_load

    def _left_out(self, candidate: Candidate, pool: Pool) -> bool:
        """Return whether an upstream of reduced weight sits this request out.

        It is left out as often as its weight says. Dividing its load by the weight instead would
        give it no work at all while any other upstream has a free slot.
        """
        if candidate.weight >= pool.full_weight:
            return False
        return self._rng.random() * pool.full_weight >= candidate.weight

    def _load(self, upstream: PooledUpstream) -> float | None:
        """Return the load that one more request makes, None when there is no free slot."""
        candidate = upstream.candidate
        own = self._limits.in_flight(candidate.name)
        # A reduced weight reduces the slots too, but never below one: without any work an
        # upstream could not show that it has recovered.
        if candidate.weight <= 0.0 or own + 1 > max(1.0, upstream.limit * candidate.weight):
            return None
        if own < upstream.home:
            load = (own + 1) / upstream.limit
        elif own < upstream.limit:
            load = _BORROWED + (own + 1) / upstream.limit
        else:
            return None
        if candidate.availability_zone != self._zone:
            load += _ZONE_PREFERENCE
        return load + _JITTER * self._rng.random()

    def _choose_trial(
        self, work: Work, pool: Pool, tried: Collection[UpstreamName]
    ) -> Candidate | None:
        """Return an idle upstream on trial for a share of first, idempotent attempts."""
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
