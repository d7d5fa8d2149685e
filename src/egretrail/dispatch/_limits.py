"""Which requests an upstream may get that has named a limit for the whole fleet.

Load: an upstream in need takes one or two requests a second from a fleet of forty instances that
would send it four. Instances that each keep to the limit send forty times as much, and counts
that are told come too late for it. So a few instances, by rank, share the limit, each with a token
bucket of its own, and the others send nothing.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from egretrail.traffic import UpstreamRecord

#: An instance's share of a limit is at least this much, or it has none: each share holds one token
#: at least, so that many small ones would pass a small limit in a burst.
_SHARE_MIN_PER_S = 0.5
#: The tokens that all shares together hold at the most: those of so many seconds of the limit and
#: so many more. Requests come in clumps, and what overflows a bucket is lost to all.
_BURST_S, _BURST_REQUESTS = 2.0, 2.0
#: A limit below this is taken as this: the end of a limit shows in answers only.
_LIMIT_MIN_PER_S = 0.1
#: An answer that names no limit ends one that was not named for this long: answers that were made
#: before it was named may come after others.
_ENDED_AFTER_S = 0.5
#: A limit that nobody has named again for this long is forgotten: its end may have been missed.
_KEPT_S = 30.0
#: A limit that goes on is told to the others this often, and at once where it changed by this part.
_TOLD_AGAIN_S = 5.0
_CHANGE_TOLD = 0.1
#: A share is worked out again after this time: ranking a zone takes a hash for each instance.
_SHARE_KEPT_S = 0.25
#: Retry-After where no upstream has a token left here.
_RETRY_MIN_S, _RETRY_MAX_S = 0.1, 2.0


@dataclass(frozen=True, slots=True)
class LimitShare:
    """What one instance may send to an upstream with a limit."""

    #: Requests a second; 0 for none.
    rate_per_s: float = 0.0
    #: Requests that it may send at once after it sent none for a while.
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class LimitPlace:
    """The place of this instance among those that share an upstream's limit."""

    #: Whether the instances of this zone share it where it is too small for all.
    is_responsible: bool
    #: This instance's rank among its zone's for this upstream; 0 is the first.
    rank: int
    #: The living instances of this zone, and of the whole fleet.
    zone_size: int
    fleet_size: int
    #: The part of the fleet that is known to live: who is cut off has the same part of a limit.
    known_share: float

    def share(self, limit_per_s: float) -> LimitShare:
        """Return this instance's share of a limit."""
        known_per_s = limit_per_s * self.known_share
        if known_per_s >= self.fleet_size * _SHARE_MIN_PER_S:
            return _share_of(self.fleet_size, known_per_s)
        holders = max(min(math.ceil(known_per_s / _SHARE_MIN_PER_S), self.zone_size), 1)
        if not self.is_responsible or self.rank >= holders:
            return LimitShare()
        return _share_of(holders, known_per_s)


def _share_of(holders: int, limit_per_s: float) -> LimitShare:
    burst = limit_per_s * _BURST_S + _BURST_REQUESTS
    return LimitShare(limit_per_s / holders, max(burst / holders, 1.0))


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What an upstream said of its limit."""

    #: The lifetime of the upstream.
    upstream_id: str
    #: The requests a second that it takes from all instances; None for no limit.
    limit_per_s: float | None
    #: When it said so, by this instance's clock.
    stated_s: float


@dataclass(slots=True)
class _Limit:
    """What is known of one upstream's limit."""

    #: The last statement.
    stated: StatedLimit
    #: What was told to the others last, and when; None for nothing.
    told: StatedLimit | None = None
    #: This instance's share of it, and until when it is not worked out again.
    share: LimitShare = LimitShare()
    share_until_s: float = float("-inf")
    #: The requests that may be sent now, and when they were counted last.
    tokens: float = 0.0
    refilled_s: float = 0.0


class UpstreamLimits:
    """The limits that upstreams have named, and this instance's shares of them."""

    def __init__(self, place: Callable[[UpstreamRecord], LimitPlace]) -> None:
        self._place = place
        self._limits: dict[str, _Limit] = {}

    def named(
        self, upstream_id: str, limit_per_s: float | None, now_s: float
    ) -> StatedLimit | None:
        """Take what an answer to this instance says; return it where the others should hear."""
        known = self._limits.get(upstream_id)
        if limit_per_s is None:
            held = known is not None and known.stated.limit_per_s is not None
            if not held or known is None or now_s - known.stated.stated_s < _ENDED_AFTER_S:
                return None
        stated = StatedLimit(upstream_id, limit_per_s, now_s)
        limit = self._take(stated, now_s)
        if limit.told is not None and not _is_news(stated, limit.told):
            return None
        limit.told = stated
        return stated

    def hear(self, stated: StatedLimit, now_s: float) -> bool:
        """Take what an upstream said to another instance; return whether it is newer."""
        known = self._limits.get(stated.upstream_id)
        if known is not None and stated.stated_s <= known.stated.stated_s:
            return False
        self._take(stated, now_s).told = stated
        return True

    def limit_per_s(self, upstream_id: str) -> float | None:
        """Return the limit of an upstream; None for none."""
        known = self._limits.get(upstream_id)
        return None if known is None else known.stated.limit_per_s

    def count(self) -> int:
        """Return the number of upstreams with a limit."""
        return sum(one.stated.limit_per_s is not None for one in self._limits.values())

    def admits(self, record: UpstreamRecord, now_s: float, *, spare_only: bool = False) -> bool:
        """Return whether an upstream may be sent a request now.

        ``spare_only`` is set for second copies, which would take the tokens of first ones.
        """
        limit = self._in_force(record, now_s)
        if limit is None:
            return True
        return not spare_only and self._refill(limit, record, now_s) >= 1.0

    def sent(self, record: UpstreamRecord, now_s: float) -> None:
        """Count a request that is sent to an upstream."""
        limit = self._in_force(record, now_s)
        if limit is not None:
            limit.tokens = max(self._refill(limit, record, now_s) - 1.0, -1.0)

    def retry_after_s(self, records: Iterable[UpstreamRecord], now_s: float) -> float:
        """Return when to come back to upstreams of which none may be sent a request now.

        That is when this instance may send one; where it has no share, when any instance may.
        """
        waits_s = []
        limits_per_s = 0.0
        for record in records:
            limit = self._in_force(record, now_s)
            if limit is None or limit.stated.limit_per_s is None:
                continue
            limits_per_s += limit.stated.limit_per_s
            rate_per_s = self._share(limit, record, now_s).rate_per_s
            if rate_per_s > 0:
                waits_s.append((1.0 - self._refill(limit, record, now_s)) / rate_per_s)
        anywhere_s = 1.0 / limits_per_s if limits_per_s > 0 else _RETRY_MIN_S
        return min(max(min(waits_s, default=anywhere_s), _RETRY_MIN_S), _RETRY_MAX_S)

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Forget upstreams that are no longer listed."""
        for upstream_id in self._limits.keys() - set(upstream_ids):
            del self._limits[upstream_id]

    def _take(self, stated: StatedLimit, now_s: float) -> _Limit:
        limit = self._limits.get(stated.upstream_id)
        if limit is None:
            limit = self._limits[stated.upstream_id] = _Limit(stated, tokens=1.0, refilled_s=now_s)
        elif limit.stated.limit_per_s is None:
            limit.tokens, limit.refilled_s = 0.0, now_s
        limit.stated = stated
        limit.share_until_s = now_s
        return limit

    def _in_force(self, record: UpstreamRecord, now_s: float) -> _Limit | None:
        limit = self._limits.get(record.id)
        if limit is None or limit.stated.limit_per_s is None:
            return None
        return limit if now_s - limit.stated.stated_s <= _KEPT_S else None

    def _share(self, limit: _Limit, record: UpstreamRecord, now_s: float) -> LimitShare:
        if now_s >= limit.share_until_s:
            limit_per_s = max(limit.stated.limit_per_s or 0.0, _LIMIT_MIN_PER_S)
            limit.share = self._place(record).share(limit_per_s)
            limit.share_until_s = now_s + _SHARE_KEPT_S
        return limit.share

    def _refill(self, limit: _Limit, record: UpstreamRecord, now_s: float) -> float:
        share = self._share(limit, record, now_s)
        if share.rate_per_s > 0:
            earned = (now_s - limit.refilled_s) * share.rate_per_s
            limit.tokens = min(limit.tokens + earned, share.burst)
        else:
            # Whoever takes over from another one begins with nothing.
            limit.tokens = 0.0
        limit.refilled_s = now_s
        return limit.tokens


def _is_news(stated: StatedLimit, told: StatedLimit) -> bool:
    if stated.limit_per_s is None or told.limit_per_s is None:
        return stated.limit_per_s is not told.limit_per_s
    change = abs(stated.limit_per_s - told.limit_per_s)
    return (
        change > told.limit_per_s * _CHANGE_TOLD or stated.stated_s - told.stated_s >= _TOLD_AGAIN_S
    )
