"""How many requests the whole fleet has under way at each upstream."""

from collections.abc import Iterable, Mapping

#: A load that an upstream reported in an answer is used for this long. Work lasts some hundred
#: milliseconds, so that an older figure says little about the slots that are taken now.
_REPORT_VALID_S = 0.3


class FleetLoad:
    """Requests under way by upstream: counted for this instance, told by the others.

    Load: each instance sees a few requests a second, the fleet a hundred times as many. Choosing
    by the instance's own requests alone meets full slots by chance; with the fleet's counts the
    least loaded upstream is known to within one tick of the peers' messages. Counts are absolute,
    so a lost message is repaired by the next one, and a dead instance's counts end with it.
    """

    def __init__(self) -> None:
        self._own: dict[str, int] = {}
        self._others: dict[str, dict[str, int]] = {}
        self._total: dict[str, int] = {}
        self._reported: dict[str, tuple[int, float]] = {}
        self._last_use_s: dict[str, float] = {}
        #: Since when requests have been under way at an upstream without a break.
        self._busy_since_s: dict[str, float] = {}
        self._last_answer_s: dict[str, float] = {}

    def started(self, upstream_id: str, now_s: float) -> None:
        """Count a request that this instance sends."""
        self._own[upstream_id] = self._own.get(upstream_id, 0) + 1
        self._add(upstream_id, 1, now_s)
        self._last_use_s[upstream_id] = now_s

    def finished(self, upstream_id: str) -> None:
        """Discount a request that this instance had sent."""
        left = self._own.get(upstream_id, 0) - 1
        if left > 0:
            self._own[upstream_id] = left
        else:
            self._own.pop(upstream_id, None)
        self._add(upstream_id, -1, 0.0)

    def told(self, origin: str, counts: Mapping[str, int], now_s: float) -> None:
        """Take the whole counts of others, which replace the earlier ones of the same origin."""
        before = self._others.get(origin, {})
        ended = dict.fromkeys(before.keys() - counts.keys(), 0)
        self.changed(origin, {**ended, **counts}, now_s)

    def changed(self, origin: str, counts: Mapping[str, int], now_s: float) -> None:
        """Take counts of others that replace those of the same upstreams; 0 where none is left."""
        held = self._others.setdefault(origin, {})
        for upstream_id, count in counts.items():
            change = count - held.get(upstream_id, 0)
            if count:
                held[upstream_id] = count
                self._last_use_s[upstream_id] = now_s
            else:
                held.pop(upstream_id, None)
            if change:
                self._add(upstream_id, change, now_s)

    def forget(self, origin: str) -> None:
        """Drop the counts of an instance that is gone."""
        for upstream_id, count in self._others.pop(origin, {}).items():
            self._add(upstream_id, -count, 0.0)

    def answered(self, upstream_id: str, now_s: float) -> None:
        """Take the sign of life that any answer to any instance is."""
        self._last_answer_s[upstream_id] = now_s

    def quiet_for_s(self, upstream_id: str, now_s: float) -> float:
        """Return for how long an upstream has had requests and given no answer that is known."""
        busy_since_s = self._busy_since_s.get(upstream_id)
        if busy_since_s is None:
            return 0.0
        return now_s - max(busy_since_s, self._last_answer_s.get(upstream_id, busy_since_s))

    def report(self, upstream_id: str, count: int, now_s: float) -> None:
        """Take the load that an upstream gave in an answer, without the request it answers."""
        self._reported[upstream_id] = (count, now_s)
        self._last_use_s.setdefault(upstream_id, now_s)

    def in_flight(self, upstream_id: str, now_s: float) -> int:
        """Return the requests under way: the larger of the fleet's count and a fresh report.

        The report also covers callers whose messages do not arrive here.
        """
        known = self._total.get(upstream_id, 0)
        reported = self._reported.get(upstream_id)
        if reported is not None and now_s - reported[1] < _REPORT_VALID_S:
            return max(known, reported[0])
        return known

    def idle_for_s(self, upstream_id: str, now_s: float) -> float:
        """Return how long no instance is known to have used an upstream."""
        if self._total.get(upstream_id, 0) > 0:
            return 0.0
        return now_s - self._last_use_s.get(upstream_id, float("-inf"))

    def own_counts(self) -> dict[str, int]:
        """Return this instance's counts, for the others."""
        return dict(self._own)

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Drop what is remembered of upstreams that are no longer listed."""
        listed = set(upstream_ids)
        for upstream_id in [held for held in self._last_use_s if held not in listed]:
            del self._last_use_s[upstream_id]
            self._reported.pop(upstream_id, None)
        for upstream_id in self._last_answer_s.keys() - listed:
            del self._last_answer_s[upstream_id]

    def _add(self, upstream_id: str, count: int, now_s: float) -> None:
        """Change a count; the time matters where the first request of an upstream begins."""
        total = self._total.get(upstream_id, 0) + count
        if total > 0:
            self._total[upstream_id] = total
            self._busy_since_s.setdefault(upstream_id, now_s)
        else:
            self._total.pop(upstream_id, None)
            self._busy_since_s.pop(upstream_id, None)
