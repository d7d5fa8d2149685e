"""How many requests an upstream takes at once, corrected by what it declines."""

from collections.abc import Sequence

from egretrail.identity import UpstreamName
from egretrail.service._candidates import Candidate

#: Share of the limit kept when an upstream sheds. A gentle cut, because one shed answer may come
#: from a collision with another member's request rather than from a limit set too high.
_KEPT_ON_SHED = 0.8
#: Growth of the limit for each answered request, in slots shared over the limit: one slot more
#: after about as many answers as the limit, ten times.
_GROWTH = 0.1


class UpstreamLimits:
    """Own requests in flight on each upstream, and how many it takes.

    Load: upstreams that have fewer slots than they say, or share them with work unknown to us.
    Harm prevented: work that the upstream declines, or that waits in a queue out of our sight.
    The stated slots are the upper limit; additive growth and multiplicative cuts find the real one.
    """

    def __init__(self) -> None:
        self._in_flight: dict[UpstreamName, int] = {}
        self._limits: dict[UpstreamName, float] = {}
        #: Rises with each change of a limit.
        self.version = 0

    def started(self, upstream: UpstreamName) -> None:
        """Count a request that begins."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1

    def ended(self, upstream: UpstreamName) -> None:
        """Count a request that ended."""
        left = self._in_flight.get(upstream, 0) - 1
        if left > 0:
            self._in_flight[upstream] = left
        else:
            self._in_flight.pop(upstream, None)

    def answered(self, upstream: UpstreamName) -> None:
        """Raise a limit that had been cut."""
        limit = self._limits.get(upstream)
        if limit is not None:
            self._limits[upstream] = limit + _GROWTH / limit
            self.version += 1

    def shed(self, candidate: Candidate) -> None:
        """Cut the limit, down to one request at a time."""
        self._limits[candidate.name] = max(1.0, self.limit(candidate) * _KEPT_ON_SHED)
        self.version += 1

    def retain(self, candidates: Sequence[Candidate]) -> None:
        """Forget limits that have grown back and upstreams that are gone."""
        if not self._limits:
            return
        slots = {each.name: each.slots for each in candidates}
        self._limits = {
            name: limit for name, limit in self._limits.items() if limit < slots.get(name, 0)
        }

    def limit(self, candidate: Candidate) -> float:
        """Return how many requests the upstream takes at once, from all members."""
        if not self._limits:
            return candidate.slots
        return min(self._limits.get(candidate.name, candidate.slots), candidate.slots)

    def in_flight(self, upstream: UpstreamName) -> int:
        """Return this instance's requests running on an upstream."""
        return self._in_flight.get(upstream, 0)

    def all_in_flight(self) -> dict[UpstreamName, int]:
        """Return this instance's requests running on each upstream that has any."""
        return dict(self._in_flight)
