"""Upstreams that asked this instance to send them no requests for some time."""

from collections.abc import Sequence

from egretrail.traffic import UpstreamRecord

#: Upstreams that are remembered, about 100 bytes each.
_UPSTREAMS_MAX = 20_000


class BackoffTable:
    """The end of each upstream's backoff, by lifetime id.

    A backoff binds only the instance that was asked for it, so it is not reported to peers. It does
    not depend on the list of upstreams: an upstream that is listed again after its entry vanished
    for a moment still wants no requests.
    """

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def record(self, upstream_id: str, backoff_s: float, now_s: float) -> None:
        """Record that an upstream wants no requests for some time from now on.

        Responses to concurrent requests may state different times; the last end counts.
        """
        self._discard_expired(now_s)
        until_s = max(self._until_s.get(upstream_id, now_s), now_s + backoff_s)
        if until_s > now_s:
            self._until_s[upstream_id] = until_s
        if len(self._until_s) > _UPSTREAMS_MAX:
            del self._until_s[min(self._until_s, key=self._until_s.__getitem__)]

    def remaining_s(self, upstream_id: str, now_s: float) -> float:
        """Return for how much longer an upstream wants no requests; 0 if it takes them."""
        return max(self._until_s.get(upstream_id, now_s) - now_s, 0.0)

    def accepting(
        self, records: Sequence[UpstreamRecord], now_s: float
    ) -> Sequence[UpstreamRecord]:
        """Return the upstreams that take requests from this instance now."""
        self._discard_expired(now_s)
        if not self._until_s:
            return records
        return [record for record in records if record.id not in self._until_s]

    def shortest_remaining_s(self, records: Sequence[UpstreamRecord], now_s: float) -> float:
        """Return the time until the first of some upstreams takes requests; 0 if one does now."""
        return min((self.remaining_s(record.id, now_s) for record in records), default=0.0)

    def count(self, now_s: float) -> int:
        """Return the number of upstreams that want no requests now."""
        self._discard_expired(now_s)
        return len(self._until_s)

    def _discard_expired(self, now_s: float) -> None:
        for upstream_id in [name for name, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[upstream_id]
