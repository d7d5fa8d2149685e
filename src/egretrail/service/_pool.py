"""The usable upstreams with this member's own part of each, taken once for each event."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.service._candidates import Candidate, UpstreamWeights
from egretrail.service._limits import UpstreamLimits
from egretrail.service._shares import GroupPosition, fair_share, home_slots

#: Requests sent beyond the own part of the slots. What the members know of each other is a tenth
#: of a second old; without some excess, slots stand idle while requests wait for them. None while
#: long requests run: what is sent in excess could wait behind one at its upstream.
_OVERCOMMIT = 1.1


@dataclass(frozen=True, slots=True)
class PooledUpstream:
    """One usable upstream as placing sees it."""

    #: What health says.
    candidate: Candidate
    #: Requests that it takes at once, from all members.
    limit: float
    #: How many of them are this member's own.
    home: int


@dataclass(frozen=True, slots=True)
class Pool:
    """The usable upstreams, and how many requests this member may have running."""

    #: The upstreams in a stable order.
    upstreams: Sequence[PooledUpstream]
    #: Those with slots of this member's own, and those without; ones on trial are in neither.
    own: Sequence[PooledUpstream]
    others: Sequence[PooledUpstream]
    #: Those on trial.
    on_trial: Sequence[PooledUpstream]
    #: The greatest weight among upstreams that are not on trial.
    full_weight: float
    #: Requests that this member may have running at once.
    allowance: float


class Pools:
    """Makes the pool for each event; what has not changed since the last one is kept."""

    def __init__(self, weights: UpstreamWeights, limits: UpstreamLimits) -> None:
        self._weights = weights
        self._limits = limits
        self._candidates: list[Candidate] | None = None
        self._version = -1
        self._upstreams: Sequence[PooledUpstream] = ()
        self._own: Sequence[PooledUpstream] = ()
        self._others: Sequence[PooledUpstream] = ()
        self._on_trial: Sequence[PooledUpstream] = ()
        self._capacity = 0.0
        self._home = 0.0
        self._full_weight = 0.0

    def take(self, demand: float, long_in_flight: int, now_s: float) -> Pool:
        """Return the pool as health, the limits and the peers' demands make it now."""
        candidates = list(self._weights.usable(now_s))
        if candidates != self._candidates or self._version != self._limits.version:
            self._candidates = candidates
            self._version = self._limits.version
            self._make(candidates)
        fair = fair_share(self._capacity, demand, self._weights.peer_demands(now_s))
        excess = 1.0 if long_in_flight else _OVERCOMMIT
        allowance = max(1.0, max(self._home, fair) * excess)
        return Pool(
            self._upstreams,
            self._own,
            self._others,
            self._on_trial,
            self._full_weight,
            allowance,
        )

    def _make(self, candidates: Sequence[Candidate]) -> None:
        position = self._weights.position()
        limits = [self._limits.limit(each) for each in candidates]
        self._upstreams = [
            PooledUpstream(each, limit, _home(each, limit, position))
            for each, limit in zip(candidates, limits, strict=True)
        ]
        self._on_trial = [each for each in self._upstreams if each.candidate.trial]
        sound = [each for each in self._upstreams if not each.candidate.trial]
        self._own = [each for each in sound if each.home]
        self._others = [each for each in sound if not each.home]
        self._capacity = sum(each.limit * each.candidate.weight for each in sound)
        self._home = sum(each.home * each.candidate.weight for each in sound)
        self._full_weight = max((each.candidate.weight for each in sound), default=0.0)


def _home(candidate: Candidate, limit: float, position: GroupPosition) -> int:
    if position.size == 1:
        return int(limit)
    return home_slots(candidate.name, int(limit), position)
