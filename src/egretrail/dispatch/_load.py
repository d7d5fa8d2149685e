"""Number of requests that the whole fleet has in flight at each upstream."""

from collections.abc import Iterable, Mapping
from itertools import repeat

#: How long a load that an upstream reported in a response is used. Requests last some hundred
#: milliseconds, so an older report says little about the slots that are taken now.
_REPORT_VALID_S = 0.3


class FleetLoad:
    """Requests in flight by upstream: counted for this instance, reported by its peers.

    Each instance handles a few requests a second, the fleet a hundred times as many. An instance
    that placed requests by its own counts alone would often choose upstreams whose slots are full.
    The fleet's counts show the least loaded upstream as of the last message interval of the peers.
    Counts are absolute values, so the next message makes up for a lost one, and the counts of a
    dead instance are removed with it.
    """

    def __init__(self) -> None:
        self._own_counts: dict[str, int] = {}
        self._peer_counts: dict[str, dict[str, int]] = {}
        self._totals: dict[str, int] = {}
        self._reported_loads: dict[str, tuple[int, float]] = {}
        self._last_use_s: dict[str, float] = {}
        #: Since when each upstream has had requests in flight without interruption.
        self._busy_since_s: dict[str, float] = {}
        self._last_response_s: dict[str, float] = {}

    def record_start(self, upstream_id: str, now_s: float) -> None:
        """Count a request that this instance sends."""
        self._own_counts[upstream_id] = self._own_counts.get(upstream_id, 0) + 1
        self._add(upstream_id, 1, now_s)
        self._last_use_s[upstream_id] = now_s

    def record_finish(self, upstream_id: str) -> None:
        """Discount a request that this instance sent."""
        remaining = self._own_counts.get(upstream_id, 0) - 1
        if remaining > 0:
            self._own_counts[upstream_id] = remaining
        else:
            self._own_counts.pop(upstream_id, None)
        self._add(upstream_id, -1, 0.0)

    def replace_peer_counts(self, origin: str, counts: Mapping[str, int], now_s: float) -> None:
        """Replace all counts of a peer or zone."""
        before = self._peer_counts.get(origin, {})
        removed = dict.fromkeys(before.keys() - counts.keys(), 0)
        self.update_peer_counts(origin, {**removed, **counts}, now_s)

    def update_peer_counts(self, origin: str, counts: Mapping[str, int], now_s: float) -> None:
        """Update the counts of some upstreams for a peer or zone; 0 removes a count."""
        known = self._peer_counts.setdefault(origin, {})
        for upstream_id, count in counts.items():
            change = count - known.get(upstream_id, 0)
            if count:
                known[upstream_id] = count
                self._last_use_s[upstream_id] = now_s
            else:
                known.pop(upstream_id, None)
            if change:
                self._add(upstream_id, change, now_s)

    def remove_peer(self, origin: str) -> None:
        """Remove the counts of an instance that is gone."""
        for upstream_id, count in self._peer_counts.pop(origin, {}).items():
            self._add(upstream_id, -count, 0.0)

    def record_response(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream responded to any instance, which shows that it is alive."""
        self._last_response_s[upstream_id] = now_s

    def unresponsive_for_s(self, upstream_id: str, now_s: float) -> float:
        """Return how long an upstream with requests in flight has given no known response."""
        busy_since_s = self._busy_since_s.get(upstream_id)
        if busy_since_s is None:
            return 0.0
        return now_s - max(busy_since_s, self._last_response_s.get(upstream_id, busy_since_s))

    def record_reported_load(self, upstream_id: str, count: int, now_s: float) -> None:
        """Record the load that an upstream reported in a response, without the answered request."""
        self._reported_loads[upstream_id] = (count, now_s)
        self._last_use_s.setdefault(upstream_id, now_s)

    def in_flight(self, upstream_id: str, now_s: float) -> int:
        """Return the requests in flight: the larger of the fleet's count and a recent report.

        The report also includes the requests of senders whose messages do not arrive here.
        """
        known = self._totals.get(upstream_id, 0)
        reported = self._reported_loads.get(upstream_id)
        if reported is not None and now_s - reported[1] < _REPORT_VALID_S:
            return max(known, reported[0])
        return known

    def sum_in_flight(self, upstream_ids: Iterable[str], now_s: float) -> int:
        """Return the requests in flight at several upstreams together."""
        totals, reports = self._totals, self._reported_loads
        return sum(
            self.in_flight(upstream_id, now_s) if upstream_id in reports else totals[upstream_id]
            for upstream_id in upstream_ids
            if upstream_id in totals or upstream_id in reports
        )

    def own_in_flight(self, upstream_id: str) -> int:
        """Return the requests of this instance that are in flight at an upstream."""
        return self._own_counts.get(upstream_id, 0)

    def idle_for_s(self, upstream_id: str, now_s: float) -> float:
        """Return for how long no instance is known to have used an upstream."""
        if self._totals.get(upstream_id, 0) > 0:
            return 0.0
        return now_s - self._last_use_s.get(upstream_id, float("-inf"))

    def own_counts(self) -> dict[str, int]:
        """Return this instance's counts, for its peers."""
        return dict(self._own_counts)

    def in_flight_by_origin(self, own_origin: str, upstream_ids: Iterable[str]) -> dict[str, int]:
        """Return the requests in flight at some upstreams by the peer or zone they come from.

        Those of this instance are added to those of ``own_origin``.
        """
        ids = list(upstream_ids)
        totals = {
            origin: sum(map(counts.get, ids, repeat(0)))
            for origin, counts in self._peer_counts.items()
        }
        own = sum(map(self._own_counts.get, ids, repeat(0)))
        totals[own_origin] = totals.get(own_origin, 0) + own
        return totals

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Remove the state of upstreams that are no longer listed."""
        listed = set(upstream_ids)
        for upstream_id in [known for known in self._last_use_s if known not in listed]:
            del self._last_use_s[upstream_id]
            self._reported_loads.pop(upstream_id, None)
        for upstream_id in self._last_response_s.keys() - listed:
            del self._last_response_s[upstream_id]

    def _add(self, upstream_id: str, count: int, now_s: float) -> None:
        """Change a count; ``now_s`` is used if it becomes the first request in flight."""
        total = self._totals.get(upstream_id, 0) + count
        if total > 0:
            self._totals[upstream_id] = total
            self._busy_since_s.setdefault(upstream_id, now_s)
        else:
            self._totals.pop(upstream_id, None)
            self._busy_since_s.pop(upstream_id, None)
