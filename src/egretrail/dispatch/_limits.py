"""Rate limits that upstreams advertise for the whole fleet, divided between its instances.

An overloaded upstream accepts one or two requests a second from a fleet of forty instances that
would send it four. If each instance kept to the limit on its own, the fleet would send forty times
as much, and request counts that peers exchange arrive too late to prevent that. So a few instances,
chosen by rank, share the limit. Each of them has a token bucket of its own, and the other instances
send nothing.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from egretrail.traffic import UpstreamRecord

#: Smallest share of a limit; an instance with less than this gets no share. Each share holds at
#: least one token, so many small shares would exceed a small limit in a burst.
_SHARE_MIN_PER_S = 0.5
#: Upper bound of the tokens in all buckets together: this many seconds of the limit, and this many
#: requests more. Requests arrive in bursts, and tokens that overflow one bucket are lost to the
#: whole fleet.
_BURST_S, _BURST_REQUESTS = 2.0, 2.0
#: Lower limits are raised to this rate: only responses show that a limit has ended.
_LIMIT_MIN_PER_S = 0.1
#: A response without a limit ends an advertised limit only after this time without confirmation.
#: Responses that were made before the upstream set the limit may arrive after those that advertise
#: it.
_REMOVAL_GRACE_S = 0.5
#: A limit that has not been advertised for this long is dropped: its end may have been missed.
_EXPIRY_S = 30.0
#: An unchanged limit is published to the peers this often, and at once if it changed by more than
#: this ratio.
_REPUBLISH_INTERVAL_S = 5.0
_REPUBLISH_CHANGE = 0.1
#: How long a computed share is valid: ranking a zone's instances takes a hash for each of them.
_SHARE_TTL_S = 0.25
#: Bounds of Retry-After if no upstream has a token left on this instance.
_RETRY_MIN_S, _RETRY_MAX_S = 0.1, 2.0


@dataclass(frozen=True, slots=True)
class LimitShare:
    """The part of an upstream's limit that one instance may use."""

    #: Requests per second; 0 for no share.
    rate_per_s: float = 0.0
    #: Requests that it may send at once after an idle period.
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class LimitPosition:
    """Position of this instance among those that share an upstream's limit."""

    #: Whether the instances of this zone share the limit if it is too small for the whole fleet.
    is_responsible: bool
    #: Rank of this instance in its zone for this upstream; 0 is the first.
    rank: int
    #: Number of living instances in this zone, and in the whole fleet.
    zone_size: int
    fleet_size: int
    #: Part of the fleet that is known to be alive; a partitioned instance uses only this part of a
    #: limit.
    known_share: float

    def share(self, limit_per_s: float) -> LimitShare:
        """Return this instance's share of a limit."""
        known_per_s = limit_per_s * self.known_share
        if known_per_s >= self.fleet_size * _SHARE_MIN_PER_S:
            return _equal_share(self.fleet_size, known_per_s)
        holders = max(min(math.ceil(known_per_s / _SHARE_MIN_PER_S), self.zone_size), 1)
        if not self.is_responsible or self.rank >= holders:
            return LimitShare()
        return _equal_share(holders, known_per_s)


def _equal_share(holders: int, limit_per_s: float) -> LimitShare:
    burst = limit_per_s * _BURST_S + _BURST_REQUESTS
    return LimitShare(limit_per_s / holders, max(burst / holders, 1.0))


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """A limit that an upstream advertised."""

    #: Id of the upstream's lifetime.
    upstream_id: str
    #: Requests per second that it accepts from all instances together; None for no limit.
    limit_per_s: float | None
    #: When it advertised the limit, by this instance's clock.
    advertised_s: float


@dataclass(slots=True)
class _LimitState:
    """State of one upstream's limit."""

    #: The newest advertisement.
    advertised: AdvertisedLimit
    #: The advertisement that was last published to the peers; None if none was.
    published: AdvertisedLimit | None = None
    #: This instance's share of the limit, and the time until which it is valid.
    share: LimitShare = LimitShare()
    share_until_s: float = float("-inf")
    #: Tokens left, and when they were last refilled.
    tokens: float = 0.0
    refilled_s: float = 0.0


class AdvertisedLimits:
    """The limits that upstreams advertised, and this instance's shares of them."""

    def __init__(self, position: Callable[[UpstreamRecord], LimitPosition]) -> None:
        self._position = position
        self._limits: dict[str, _LimitState] = {}

    def record_advertised(
        self, upstream_id: str, limit_per_s: float | None, now_s: float
    ) -> AdvertisedLimit | None:
        """Record the limit in a response to this instance; return it if peers must be notified."""
        known = self._limits.get(upstream_id)
        if limit_per_s is None:
            is_limited = known is not None and known.advertised.limit_per_s is not None
            if (
                not is_limited
                or known is None
                or now_s - known.advertised.advertised_s < _REMOVAL_GRACE_S
            ):
                return None
        advertised = AdvertisedLimit(upstream_id, limit_per_s, now_s)
        limit = self._record(advertised, now_s)
        if limit.published is not None and not _must_publish(advertised, limit.published):
            return None
        limit.published = advertised
        return advertised

    def apply_peer_limit(self, advertised: AdvertisedLimit, now_s: float) -> bool:
        """Apply a limit advertised to another instance; return whether it is newer."""
        known = self._limits.get(advertised.upstream_id)
        if known is not None and advertised.advertised_s <= known.advertised.advertised_s:
            return False
        self._record(advertised, now_s).published = advertised
        return True

    def limit_per_s(self, upstream_id: str) -> float | None:
        """Return the limit of an upstream; None for no limit."""
        known = self._limits.get(upstream_id)
        return None if known is None else known.advertised.limit_per_s

    def count(self) -> int:
        """Return the number of upstreams with a limit."""
        return sum(limit.advertised.limit_per_s is not None for limit in self._limits.values())

    def admits(self, record: UpstreamRecord, now_s: float, *, spare_only: bool = False) -> bool:
        """Return whether a request may be sent to an upstream now.

        ``spare_only`` is set for hedged requests, which must not take tokens from other requests.
        """
        limit = self._active_limit(record, now_s)
        if limit is None:
            return True
        return not spare_only and self._refill(limit, record, now_s) >= 1.0

    def record_send(self, record: UpstreamRecord, now_s: float) -> None:
        """Take a token for a request that is sent to an upstream."""
        limit = self._active_limit(record, now_s)
        if limit is not None:
            limit.tokens = max(self._refill(limit, record, now_s) - 1.0, -1.0)

    def retry_after_s(self, records: Iterable[UpstreamRecord], now_s: float) -> float:
        """Return when to retry, if no request may be sent to any of the upstreams now.

        This is the time until this instance gets a token. If it has no share, it is the time until
        any instance gets one.
        """
        waits_s = []
        limits_per_s = 0.0
        for record in records:
            limit = self._active_limit(record, now_s)
            if limit is None or limit.advertised.limit_per_s is None:
                continue
            limits_per_s += limit.advertised.limit_per_s
            rate_per_s = self._current_share(limit, record, now_s).rate_per_s
            if rate_per_s > 0:
                waits_s.append((1.0 - self._refill(limit, record, now_s)) / rate_per_s)
        fleet_wait_s = 1.0 / limits_per_s if limits_per_s > 0 else _RETRY_MIN_S
        return min(max(min(waits_s, default=fleet_wait_s), _RETRY_MIN_S), _RETRY_MAX_S)

    def keep_only(self, upstream_ids: Iterable[str], now_s: float) -> None:
        """Remove upstreams that are not listed, once their limits have expired.

        An entry may vanish for a moment; the upstream's limit holds when it returns.
        """
        for upstream_id in self._limits.keys() - set(upstream_ids):
            if now_s - self._limits[upstream_id].advertised.advertised_s > _EXPIRY_S:
                del self._limits[upstream_id]

    def _record(self, advertised: AdvertisedLimit, now_s: float) -> _LimitState:
        limit = self._limits.get(advertised.upstream_id)
        if limit is None:
            limit = self._limits[advertised.upstream_id] = _LimitState(
                advertised, tokens=1.0, refilled_s=now_s
            )
        elif limit.advertised.limit_per_s is None:
            limit.tokens, limit.refilled_s = 0.0, now_s
        limit.advertised = advertised
        limit.share_until_s = now_s
        return limit

    def _active_limit(self, record: UpstreamRecord, now_s: float) -> _LimitState | None:
        limit = self._limits.get(record.id)
        if limit is None or limit.advertised.limit_per_s is None:
            return None
        return limit if now_s - limit.advertised.advertised_s <= _EXPIRY_S else None

    def _current_share(
        self, limit: _LimitState, record: UpstreamRecord, now_s: float
    ) -> LimitShare:
        if now_s >= limit.share_until_s:
            limit_per_s = max(limit.advertised.limit_per_s or 0.0, _LIMIT_MIN_PER_S)
            limit.share = self._position(record).share(limit_per_s)
            limit.share_until_s = now_s + _SHARE_TTL_S
        return limit.share

    def _refill(self, limit: _LimitState, record: UpstreamRecord, now_s: float) -> float:
        share = self._current_share(limit, record, now_s)
        if share.rate_per_s > 0:
            accrued = (now_s - limit.refilled_s) * share.rate_per_s
            limit.tokens = min(limit.tokens + accrued, share.burst)
        else:
            # An instance that takes over a share starts with an empty bucket.
            limit.tokens = 0.0
        limit.refilled_s = now_s
        return limit.tokens


def _must_publish(advertised: AdvertisedLimit, published: AdvertisedLimit) -> bool:
    if advertised.limit_per_s is None or published.limit_per_s is None:
        return advertised.limit_per_s is not published.limit_per_s
    change = abs(advertised.limit_per_s - published.limit_per_s)
    return (
        change > published.limit_per_s * _REPUBLISH_CHANGE
        or advertised.advertised_s - published.advertised_s >= _REPUBLISH_INTERVAL_S
    )
