"""Concurrency limits of upstreams, adapted to the requests that they decline."""

from collections.abc import Sequence

from egretrail.identity import UpstreamName
from egretrail.service._candidates import Candidate

#: Factor applied to the limit when an upstream sheds a request. The decrease is small because a
#: shed request may result from a collision with another member's request rather than from a limit
#: that is too high.
_DECREASE_FACTOR = 0.8
#: Increase of the limit for each response, divided by the limit: the limit grows by one slot after
#: about ten times as many responses as its value.
_INCREASE_PER_RESPONSE = 0.1


class ConcurrencyLimits:
    """Requests of this instance in flight on each upstream, and the concurrency limit of each.

    An upstream may have fewer slots than declared, or share them with load that this instance does
    not see. It would then decline requests or hold them in a queue of its own. The declared slots
    are the upper bound; additive increase and multiplicative decrease find the real limit.
    """

    def __init__(self) -> None:
        self._in_flight: dict[UpstreamName, int] = {}
        self._limits: dict[UpstreamName, float] = {}
        #: Incremented on each change of a limit.
        self.version = 0

    def record_start(self, upstream: UpstreamName) -> None:
        """Count a request that starts."""
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1

    def record_end(self, upstream: UpstreamName) -> None:
        """Count a request that has ended."""
        left = self._in_flight.get(upstream, 0) - 1
        if left > 0:
            self._in_flight[upstream] = left
        else:
            self._in_flight.pop(upstream, None)

    def record_response(self, upstream: UpstreamName) -> None:
        """Increase the limit of the upstream if it was reduced before."""
        limit = self._limits.get(upstream)
        if limit is not None:
            self._limits[upstream] = limit + _INCREASE_PER_RESPONSE / limit
            self.version += 1

    def record_shed(self, candidate: Candidate) -> None:
        """Reduce the limit, to no less than one request at a time."""
        self._limits[candidate.name] = max(1.0, self.limit(candidate) * _DECREASE_FACTOR)
        self.version += 1

    def discard_recovered(self, candidates: Sequence[Candidate]) -> None:
        """Drop limits that have recovered to the declared slots, and upstreams that are gone."""
        if not self._limits:
            return
        slots = {each.name: each.slots for each in candidates}
        self._limits = {
            name: limit for name, limit in self._limits.items() if limit < slots.get(name, 0)
        }

    def limit(self, candidate: Candidate) -> float:
        """Return how many concurrent requests the upstream accepts from all members together."""
        if not self._limits:
            return candidate.slots
        return min(self._limits.get(candidate.name, candidate.slots), candidate.slots)

    def in_flight(self, upstream: UpstreamName) -> int:
        """Return how many requests of this instance run on an upstream."""
        return self._in_flight.get(upstream, 0)

    def all_in_flight(self) -> dict[UpstreamName, int]:
        """Return how many requests of this instance run on each upstream that has any."""
        return dict(self._in_flight)
