"""Which requests an upstream may get that has named a limit for the whole fleet.

Load: an upstream in need takes one or two requests a second from a fleet of forty instances that
would send it four. Instances that each keep to the limit send forty times as much, and counts
that are told come too late for it. So the limit is parted by rank: a few instances send to the
upstream, each its part, and the others none.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from egretrail.traffic import UpstreamRecord

#: An instance's part of a limit is at least this much, or it has none: with smaller parts a fleet
#: whose instances begin with one request each would pass a small limit.
_PART_MIN_PER_S = 0.5
#: What all parts together save up at the most, beside what the limit gives meanwhile: this many
#: seconds of the limit and so many requests. Requests come in clumps, and a part that cannot wait
#: for the next one is lost to all.
_SAVED_S, _SAVED_REQUESTS = 2.0, 2.0
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
#: A place is looked up again after this time: ranking a zone takes a hash for each instance.
_PLACE_KEPT_S = 0.25
#: Retry-After where no upstream has a part left here.
_RETRY_MIN_S, _RETRY_MAX_S = 0.1, 2.0


@dataclass(frozen=True, slots=True)
class LimitPart:
    """What one instance may send to an upstream with a limit."""

    #: Requests a second; 0 for none.
    rate_per_s: float = 0.0
    #: Requests that it saves up at the most.
    saved_max: float = 0.0


@dataclass(frozen=True, slots=True)
class LimitPlace:
    """The place of this instance among those that part an upstream's limit."""

    #: Whether the instances of this zone part it where it is too small for all.
    is_responsible: bool
    #: This instance's rank among its zone's for this upstream; 0 is the first.
    rank: int
    #: The living instances of this zone, and of the whole fleet.
    zone_size: int
    fleet_size: int
    #: The part of the fleet that is known to live: who is cut off has only its part of a limit.
    known_share: float

    def part(self, limit_per_s: float) -> LimitPart:
        """Return this instance's part of a limit."""
        known_per_s = limit_per_s * self.known_share
        if known_per_s >= self.fleet_size * _PART_MIN_PER_S:
            return _one_of(self.fleet_size, known_per_s)
        parts = max(min(math.ceil(known_per_s / _PART_MIN_PER_S), self.zone_size), 1)
        if not self.is_responsible or self.rank >= parts:
            return LimitPart()
        return _one_of(parts, known_per_s)


def _one_of(parts: int, limit_per_s: float) -> LimitPart:
    saved = limit_per_s * _SAVED_S + _SAVED_REQUESTS
    return LimitPart(limit_per_s / parts, max(saved / parts, 1.0))


@dataclass(frozen=True, slots=True)
class LimitWord:
    """What an upstream said of its limit."""

    #: The lifetime of the upstream.
    upstream_id: str
    #: The requests a second that it takes from all instances; None for no limit.
    limit_per_s: float | None
    #: When it said so, by this instance's clock.
    said_s: float


@dataclass(slots=True)
class _Limit:
    """What is known of one upstream's limit."""

    #: The last word.
    word: LimitWord
    #: What was told to the others last, and when; None for nothing.
    told: LimitWord | None = None
    #: This instance's part of it, and until when it is not looked up again.
    part: LimitPart = LimitPart()
    part_until_s: float = float("-inf")
    #: The requests that may be sent now, and when they were counted.
    saved: float = 0.0
    counted_s: float = 0.0


class UpstreamLimits:
    """The limits that upstreams have named, and this instance's parts of them."""

    def __init__(self, place: Callable[[UpstreamRecord], LimitPlace]) -> None:
        self._place = place
        self._limits: dict[str, _Limit] = {}

    def named(self, upstream_id: str, limit_per_s: float | None, now_s: float) -> LimitWord | None:
        """Take what an answer to this instance says; return it where the others should hear."""
        known = self._limits.get(upstream_id)
        if limit_per_s is None:
            held = known is not None and known.word.limit_per_s is not None
            if not held or known is None or now_s - known.word.said_s < _ENDED_AFTER_S:
                return None
        word = LimitWord(upstream_id, limit_per_s, now_s)
        limit = self._take(word, now_s)
        if limit.told is not None and not _is_news(word, limit.told):
            return None
        limit.told = word
        return word

    def hear(self, word: LimitWord, now_s: float) -> bool:
        """Take what an upstream said to another instance; return whether it is newer."""
        known = self._limits.get(word.upstream_id)
        if known is not None and word.said_s <= known.word.said_s:
            return False
        self._take(word, now_s).told = word
        return True

    def limit_per_s(self, upstream_id: str) -> float | None:
        """Return the limit of an upstream; None for none."""
        known = self._limits.get(upstream_id)
        return None if known is None else known.word.limit_per_s

    def count(self) -> int:
        """Return the number of upstreams with a limit."""
        return sum(one.word.limit_per_s is not None for one in self._limits.values())

    def admits(self, record: UpstreamRecord, now_s: float) -> bool:
        """Return whether an upstream may be sent a request now."""
        limit = self._in_force(record, now_s)
        return limit is None or self._save_up(limit, record, now_s) >= 1.0

    def sent(self, record: UpstreamRecord, now_s: float) -> None:
        """Count a request that is sent to an upstream."""
        limit = self._in_force(record, now_s)
        if limit is not None:
            limit.saved = max(self._save_up(limit, record, now_s) - 1.0, -1.0)

    def retry_after_s(self, records: Iterable[UpstreamRecord], now_s: float) -> float:
        """Return when to come back to upstreams of which none may be sent a request now.

        That is when this instance may send one; where it has no part, when any instance may.
        """
        waits_s = []
        limits_per_s = 0.0
        for record in records:
            limit = self._in_force(record, now_s)
            if limit is None or limit.word.limit_per_s is None:
                continue
            limits_per_s += limit.word.limit_per_s
            rate_per_s = self._part(limit, record, now_s).rate_per_s
            if rate_per_s > 0:
                waits_s.append((1.0 - self._save_up(limit, record, now_s)) / rate_per_s)
        anywhere_s = 1.0 / limits_per_s if limits_per_s > 0 else _RETRY_MIN_S
        return min(max(min(waits_s, default=anywhere_s), _RETRY_MIN_S), _RETRY_MAX_S)

    def keep_only(self, upstream_ids: Iterable[str]) -> None:
        """Forget upstreams that are no longer listed."""
        for upstream_id in self._limits.keys() - set(upstream_ids):
            del self._limits[upstream_id]

    def _take(self, word: LimitWord, now_s: float) -> _Limit:
        limit = self._limits.get(word.upstream_id)
        if limit is None:
            limit = self._limits[word.upstream_id] = _Limit(word, saved=1.0, counted_s=now_s)
        elif limit.word.limit_per_s is None:
            limit.saved, limit.counted_s = 0.0, now_s
        limit.word = word
        limit.part_until_s = now_s
        return limit

    def _in_force(self, record: UpstreamRecord, now_s: float) -> _Limit | None:
        limit = self._limits.get(record.id)
        if limit is None or limit.word.limit_per_s is None:
            return None
        return limit if now_s - limit.word.said_s <= _KEPT_S else None

    def _part(self, limit: _Limit, record: UpstreamRecord, now_s: float) -> LimitPart:
        if now_s >= limit.part_until_s:
            limit_per_s = max(limit.word.limit_per_s or 0.0, _LIMIT_MIN_PER_S)
            limit.part = self._place(record).part(limit_per_s)
            limit.part_until_s = now_s + _PLACE_KEPT_S
        return limit.part

    def _save_up(self, limit: _Limit, record: UpstreamRecord, now_s: float) -> float:
        part = self._part(limit, record, now_s)
        if part.rate_per_s > 0:
            earned = (now_s - limit.counted_s) * part.rate_per_s
            limit.saved = min(limit.saved + earned, part.saved_max)
        else:
            # Whoever takes over from another one begins with nothing.
            limit.saved = 0.0
        limit.counted_s = now_s
        return limit.saved


def _is_news(word: LimitWord, told: LimitWord) -> bool:
    if word.limit_per_s is None or told.limit_per_s is None:
        return word.limit_per_s is not told.limit_per_s
    change = abs(word.limit_per_s - told.limit_per_s)
    return change > told.limit_per_s * _CHANGE_TOLD or word.said_s - told.said_s >= _TOLD_AGAIN_S
