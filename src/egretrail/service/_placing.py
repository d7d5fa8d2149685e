"""Which upstream gets a request."""

import random
from collections.abc import Collection, Sequence

from egretrail.identity import AvailabilityZone, UpstreamName
from egretrail.service._candidates import Candidate
from egretrail.service._limits import UpstreamLimits
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


class Placing:
    """Chooses the least loaded upstream by own and peers' requests in flight.

    Load: several members that share few slots, upstreams that ramp up, zones of unlike size.
    Harm prevented: requests that wait behind others while a slot elsewhere is free.
    """

    def __init__(self, zone: AvailabilityZone, limits: UpstreamLimits, rng: random.Random) -> None:
        self._zone = zone
        self._limits = limits
        self._rng = rng

    def choose(
        self, work: Work, candidates: Sequence[Candidate], tried: Collection[UpstreamName]
    ) -> Candidate | None:
        """Return the upstream for the work, None while none has a free slot."""
        trial = self._choose_trial(work, candidates, tried)
        if trial is not None:
            return trial
        best: Candidate | None = None
        best_load = 0.0
        full_weight = max((each.weight for each in candidates if not each.trial), default=0.0)
        for each in candidates:
            if each.trial or each.name in tried:
                continue
            if each.weight < full_weight and self._rng.random() * full_weight >= each.weight:
                # Left out as often as its weight says. Dividing the load by the weight instead
                # would give it no work at all while any other upstream has a free slot.
                continue
            load = self._load_with_one_more(each)
            if load is None:
                continue
            if best is None or load < best_load:
                best, best_load = each, load
        return best

    def _load_with_one_more(self, candidate: Candidate) -> float | None:
        """Return the load that one more request makes, None when there is no free slot."""
        running = self._limits.in_flight(candidate.name) + candidate.peer_in_flight
        limit = self._limits.limit(candidate)
        # A reduced weight reduces the slots too, but never below one: without any work an
        # upstream could not show that it has recovered.
        allowed = max(1.0, limit * candidate.weight)
        if candidate.weight <= 0.0 or running + 1 > allowed:
            return None
        load = (running + 1) / limit
        if candidate.availability_zone != self._zone:
            load += _ZONE_PREFERENCE
        return load + _JITTER * self._rng.random()

    def _choose_trial(
        self, work: Work, candidates: Sequence[Candidate], tried: Collection[UpstreamName]
    ) -> Candidate | None:
        """Return an idle upstream on trial for a share of first, idempotent attempts."""
        if tried or not work.idempotent:
            return None
        all_on_trial = all(each.trial for each in candidates)
        on_trial = [
            each
            for each in candidates
            if each.trial and not self._limits.in_flight(each.name) + each.peer_in_flight
        ]
        if not on_trial or (not all_on_trial and self._rng.random() >= _TRIAL_SHARE):
            return None
        return self._rng.choice(on_trial)
