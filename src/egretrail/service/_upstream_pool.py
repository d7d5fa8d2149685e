"""Snapshot of the usable upstreams with this member's own slots, taken once for each event."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.service._candidates import Candidate, UpstreamWeights
from egretrail.service._limits import ConcurrencyLimits
from egretrail.service._shares import GroupPosition, assigned_slots, fair_share

#: Factor by which a member may exceed its share of the slots. The members' knowledge of each other
#: is a tenth of a second old; without some overcommitment, slots would be idle while requests wait.
#: It does not apply while long requests run, because the excess could wait behind one of them at
#: its upstream.
_OVERCOMMIT = 1.1


@dataclass(frozen=True, slots=True)
class PooledUpstream:
    """One usable upstream as the upstream selection sees it."""

    #: The upstream with its health data.
    candidate: Candidate
    #: Concurrent requests that it accepts from all members together.
    limit: float
    #: Number of its slots that are assigned to this member.
    own_slots: int


@dataclass(frozen=True, slots=True)
class Pool:
    """The usable upstreams, and how many requests this member may run concurrently."""

    #: The upstreams in a stable order.
    upstreams: Sequence[PooledUpstream]
    #: Upstreams with slots assigned to this member, and those without; neither contains trials.
    with_own_slots: Sequence[PooledUpstream]
    without_own_slots: Sequence[PooledUpstream]
    #: Upstreams on trial.
    on_trial: Sequence[PooledUpstream]
    #: The highest weight among the upstreams that are not on trial.
    full_weight: float
    #: Number of requests that this member may run concurrently.
    allowance: float


class PoolBuilder:
    """Builds the pool for each event and reuses the parts that have not changed."""

    def __init__(self, weights: UpstreamWeights, limits: ConcurrencyLimits) -> None:
        self._weights = weights
        self._limits = limits
        self._candidates: list[Candidate] | None = None
        self._version = -1
        self._upstreams: Sequence[PooledUpstream] = ()
        self._with_own_slots: Sequence[PooledUpstream] = ()
        self._without_own_slots: Sequence[PooledUpstream] = ()
        self._on_trial: Sequence[PooledUpstream] = ()
        self._capacity = 0.0
        self._own_capacity = 0.0
        self._full_weight = 0.0

    def refresh(self, demand: float, long_in_flight: int, now_s: float) -> Pool:
        """Return the pool for the current health, limits and demands of the peers."""
        candidates = list(self._weights.usable(now_s))
        if candidates != self._candidates or self._version != self._limits.version:
            self._candidates = candidates
            self._version = self._limits.version
            self._rebuild(candidates)
        fair = fair_share(self._capacity, demand, self._weights.peer_demands(now_s))
        excess = 1.0 if long_in_flight else _OVERCOMMIT
        allowance = max(1.0, max(self._own_capacity, fair) * excess)
        return Pool(
            self._upstreams,
            self._with_own_slots,
            self._without_own_slots,
            self._on_trial,
            self._full_weight,
            allowance,
        )

    def _rebuild(self, candidates: Sequence[Candidate]) -> None:
        position = self._weights.group_position()
        limits = [self._limits.limit(each) for each in candidates]
        self._upstreams = [
            PooledUpstream(each, limit, _slots_of_member(each, limit, position))
            for each, limit in zip(candidates, limits, strict=True)
        ]
        self._on_trial = [each for each in self._upstreams if each.candidate.is_on_trial]
        sound = [each for each in self._upstreams if not each.candidate.is_on_trial]
        self._with_own_slots = [each for each in sound if each.own_slots]
        self._without_own_slots = [each for each in sound if not each.own_slots]
        self._capacity = sum(each.limit * each.candidate.weight for each in sound)
        self._own_capacity = sum(each.own_slots * each.candidate.weight for each in sound)
        self._full_weight = max((each.candidate.weight for each in sound), default=0.0)


def _slots_of_member(candidate: Candidate, limit: float, position: GroupPosition) -> int:
    if position.size == 1:
        return int(limit)
    return assigned_slots(candidate.name, int(limit), position)
