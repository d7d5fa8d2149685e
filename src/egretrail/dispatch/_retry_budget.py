"""Limits how many retries the whole fleet sends."""

from collections.abc import Mapping
from dataclasses import dataclass

from egretrail.dispatch._sliding_window import SlidingSum

#: Part of the agreed budget that is used. The rest covers retries that other instances have sent
#: and not yet reported: those of one service within a fifth of a second of each other. With 0.85,
#: the total of twenty instances that receive each other's counts every half second exceeds the
#: budget.
_USED_SHARE = 0.75
#: Part of its share of the constant allowance that an instance uses in the first window after its
#: start. The rest covers instances that start more than once in a window.
_START_SHARE = 0.5
#: Retries within this time are at most the even part of the budget times the factor. A budget that
#: is spent without such a limit runs out before an overload ends, and then every refusal is final
#: for seconds.
_PACING_WINDOW_S = 2.0
_PACING_FACTOR = 1.25


#: The rate that is divided by urgency when the budget is spent, as a share of its even rate, and
#: the time over which what is left is divided.
_SPENT_RATE_SHARE = 0.9
_LEFT_S = 4.0


@dataclass(frozen=True, slots=True)
class RetryCounts:
    """Requests and retries of one service that an instance has counted since its start."""

    #: Requests of clients that were routed to the service.
    requests: int = 0
    #: Requests sent to upstreams beyond the first try of each.
    retries: int = 0

    def plus(self, other: "RetryCounts") -> "RetryCounts":
        """Return the sum of two counts."""
        return RetryCounts(self.requests + other.requests, self.retries + other.retries)

    def since(self, before: "RetryCounts") -> "RetryCounts":
        """Return the counts added since earlier ones; zero if those are in fact the later ones."""
        return RetryCounts(
            max(self.requests - before.requests, 0), max(self.retries - before.retries, 0)
        )

    def lower(self, other: "RetryCounts") -> "RetryCounts":
        """Return the lower of each count."""
        return RetryCounts(min(self.requests, other.requests), min(self.retries, other.retries))

    def higher(self, other: "RetryCounts") -> "RetryCounts":
        """Return the higher of each count."""
        return RetryCounts(max(self.requests, other.requests), max(self.retries, other.retries))


@dataclass(frozen=True, slots=True)
class NewRetryCounts:
    """What a report adds to the counts that its receiver already has."""

    #: The added requests and retries.
    counts: RetryCounts
    #: Whether they arose over the whole window, instead of since the previous report.
    is_past: bool


def new_retry_counts(
    total: RetryCounts, before: RetryCounts | None, recent: RetryCounts | None
) -> NewRetryCounts:
    """Return what the cumulative counts of a hub's lifetime add to the last known ones.

    ``recent`` are the hub's counts of the last window. Counts of a lifetime whose earlier totals
    are unknown, or were received long ago, would otherwise count as made just now.
    """
    if before is None:
        return NewRetryCounts(recent or RetryCounts(), is_past=True)
    new = total.since(before)
    return NewRetryCounts(new if recent is None else new.lower(recent), is_past=False)


class RetryCounter:
    """Counter of one service's requests and retries, in total and in the window of the budget."""

    __slots__ = ("_requests", "_retries", "total")

    def __init__(self, window_s: float) -> None:
        #: All requests and retries counted.
        self.total = RetryCounts()
        self._requests = SlidingSum(window_s)
        self._retries = SlidingSum(window_s)

    def set_window(self, window_s: float) -> None:
        """Change the window."""
        self._requests.set_window(window_s)
        self._retries.set_window(window_s)

    def add(self, counts: RetryCounts, now_s: float) -> None:
        """Add counts; ``now_s`` must not be before that of earlier calls."""
        self.total = self.total.plus(counts)
        self._requests.add(counts.requests, now_s)
        self._retries.add(counts.retries, now_s)

    def recent(self, now_s: float) -> RetryCounts:
        """Return the counts within the window."""
        return RetryCounts(self._requests.total(now_s), self._retries.total(now_s))


@dataclass(frozen=True, slots=True)
class RetryBudgetUsage:
    """Usage of a service's retry budget, as one instance sees it."""

    #: Retries of the whole fleet in the window.
    retries: int
    #: How many retries the window may have now.
    allowed: float
    #: Requests of the whole fleet in the window.
    requests: int


class FleetRetryBudget:
    """Permits retries while the fleet's retries stay within a share of its requests.

    When upstreams fail or shed load together, every instance retries at once, and retries that
    increase with failures keep upstreams overloaded. Each instance counts the requests and retries
    that all report. An instance that receives no reports still counts its own, and gets no more
    than its share of the constant allowance. The budget is spread over the window, so an overload
    that outlasts the budget finds some of it left in each second.
    """

    def __init__(
        self, ratio: float, window_s: float, slack: float, started_s: float = float("-inf")
    ) -> None:
        """``started_s`` is when this instance began to receive counts of retries."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        #: Until then the constant allowance counts as used.
        self._slack_used_until_s = float("-inf")
        self._started_s = started_s
        self._requests: dict[str, SlidingSum] = {}
        self._retries: dict[str, SlidingSum] = {}
        self._recent_retries: dict[str, SlidingSum] = {}
        self._own: dict[str, RetryCounts] = {}
        self._own_requests: dict[str, SlidingSum] = {}
        self._own_retries: dict[str, SlidingSum] = {}
        self._own_recent_retries: dict[str, SlidingSum] = {}
        self._peer_counts: dict[tuple[str, str], RetryCounts] = {}

    @property
    def window_s(self) -> float:
        """The window of the budget, in seconds."""
        return self._window_s

    def set_bounds(self, ratio: float, window_s: float, slack: float, now_s: float) -> None:
        """Change the budget; requests and retries that were counted stay counted.

        A longer window reaches back to retries that are no longer counted. Neither are the requests
        that they belonged to, so only the constant allowance may have been used by them.
        """
        if window_s > self._window_s:
            self._slack_used_until_s = now_s + window_s
        self._ratio, self._window_s, self._slack = ratio, window_s, slack
        for table in (self._requests, self._retries, self._own_requests, self._own_retries):
            for window in table.values():
                window.set_window(window_s)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a client's request."""
        own = self._own.get(service, RetryCounts())
        self._own[service] = RetryCounts(own.requests + 1, own.retries)
        self._count(self._own_requests, service, 1, now_s)
        self._count(self._requests, service, 1, now_s)

    def permits(
        self,
        service: str,
        now_s: float,
        known_share: float,
        own_share: float = 1.0,
        *,
        all_zones_reporting: bool = True,
    ) -> bool:
        """Return whether the budget permits one more retry.

        ``known_share`` is the part of the fleet whose counts arrive here, including this instance.
        ``own_share`` is the part of the fleet that this instance is. ``all_zones_reporting`` is
        False while a zone sends no counts. Its instances may not receive the counts of this one
        either, so all keep to their own shares then.
        """
        remaining = self.remaining(
            service, now_s, known_share, own_share, all_zones_reporting=all_zones_reporting
        )
        if remaining < 1:
            return False
        if not all_zones_reporting:
            recent_own_retries = self._total(self._own_recent_retries, service, now_s)
            if recent_own_retries + 1 > self._paced(self._own_allowed(service, now_s, own_share)):
                return False
        recent_retries = self._total(self._recent_retries, service, now_s)
        return recent_retries + 1 <= self._paced(self._allowed(service, now_s, known_share))

    def remaining(
        self,
        service: str,
        now_s: float,
        known_share: float,
        own_share: float = 1.0,
        *,
        all_zones_reporting: bool = True,
    ) -> float:
        """Return how many retries the window has left for this instance, without the pacing."""
        remaining = self._allowed(service, now_s, known_share)
        remaining -= self._total(self._retries, service, now_s)
        is_new = now_s < self._started_s + self._window_s
        if is_new or not all_zones_reporting:
            own_remaining = self._own_allowed(service, now_s, own_share)
            own_remaining -= self._total(self._own_retries, service, now_s)
            remaining = min(remaining, own_remaining)
        return remaining

    def _paced(self, allowed: float) -> float:
        """Return how many retries of a budget the pacing window may have."""
        part = min(_PACING_FACTOR * _PACING_WINDOW_S / self._window_s, 1.0)
        return max(allowed * part, 1.0)

    def _own_allowed(self, service: str, now_s: float, own_share: float) -> float:
        """Return this instance's own share of the budget.

        The shares of all instances add up to the budget, however few of them receive the counts of
        others. Instances that have just started know no earlier retries, and would use the whole
        constant allowance again: a third of the fleet may restart, one after the other.
        """
        requests = self._total(self._own_requests, service, now_s)
        return _USED_SHARE * self._ratio * requests + _START_SHARE * self._slack * own_share

    def usage(self, now_s: float, known_share: float) -> Mapping[str, RetryBudgetUsage]:
        """Return the usage of each service's budget, for operators."""
        return {
            service: self.service_usage(service, now_s, known_share) for service in self._requests
        }

    def service_usage(self, service: str, now_s: float, known_share: float) -> RetryBudgetUsage:
        """Return the usage of one service's budget."""
        return RetryBudgetUsage(
            self._total(self._retries, service, now_s),
            self._allowed(service, now_s, known_share),
            self._total(self._requests, service, now_s),
        )

    def record_retry(self, service: str, now_s: float) -> None:
        """Count a retry that is being sent."""
        own = self._own.get(service, RetryCounts())
        self._own[service] = RetryCounts(own.requests, own.retries + 1)
        self._count(self._own_retries, service, 1, now_s)
        self._own_recent_retries.setdefault(service, SlidingSum(_PACING_WINDOW_S)).add(1, now_s)
        self._count_retries(service, 1, now_s)

    def own_counts(self) -> Mapping[str, RetryCounts]:
        """Return this instance's counts since its start, for its peers."""
        return self._own

    def apply_peer_counts(
        self,
        origin: str,
        service: str,
        counts: RetryCounts,
        now_s: float,
        recent: RetryCounts | None = None,
    ) -> None:
        """Apply the counts of a peer's lifetime; the difference to its earlier ones is new.

        ``recent`` are the peer's counts of the last window. The first counts of a lifetime are
        ignored without them, since they may be old.
        """
        before = self._peer_counts.get((origin, service))
        # Reports may arrive out of order.
        self._peer_counts[origin, service] = counts if before is None else counts.higher(before)
        self.add_peer_counts(service, new_retry_counts(counts, before, recent), now_s)

    def add_peer_counts(self, service: str, new: NewRetryCounts, now_s: float) -> None:
        """Add requests and retries of peers.

        Past requests are spread over the window and leave it in turn. Past retries count as made
        now, so that they stay counted for at least as long as the budget requires.
        """
        if not new.is_past:
            self._count(self._requests, service, new.counts.requests, now_s)
            self._count_retries(service, new.counts.retries, now_s)
            return
        if new.counts.requests:
            window = self._requests.setdefault(service, SlidingSum(self._window_s))
            window.add_spread(new.counts.requests, now_s)
        self._count(self._retries, service, new.counts.retries, now_s)

    def request_rate(self, service: str, now_s: float) -> float:
        """Return the fleet's requests per second of a service, averaged over the window."""
        return self._total(self._requests, service, now_s) / self._window_s

    def retries_per_s(self, service: str, now_s: float, known_share: float) -> float:
        """Return the fleet's retries per second that can go on, to rank those wanted.

        That is the pace while much of the budget is left, and no more than what leaves the window
        when it is spent. A higher rate would be given to less urgent requests too, and the budget
        would then refuse urgent and other retries alike.
        """
        allowed = self._allowed(service, now_s, known_share)
        paced_per_s = self._paced(allowed) / _PACING_WINDOW_S
        left = max(allowed - self._total(self._retries, service, now_s), 0.0)
        return min(paced_per_s, _SPENT_RATE_SHARE * allowed / self._window_s + left / _LEFT_S)

    def remove_peer(self, origin: str) -> None:
        """Remove a peer that is gone; its retries stay in the window."""
        for key in [key for key in self._peer_counts if key[0] == origin]:
            del self._peer_counts[key]

    def _allowed(self, service: str, now_s: float, known_share: float) -> float:
        requests = self._total(self._requests, service, now_s)
        slack = 0.0 if now_s < self._slack_used_until_s else self._slack
        return _USED_SHARE * (self._ratio * requests + slack * known_share)

    def _count_retries(self, service: str, count: int, now_s: float) -> None:
        self._count(self._retries, service, count, now_s)
        if count:
            self._recent_retries.setdefault(service, SlidingSum(_PACING_WINDOW_S)).add(count, now_s)

    def _count(self, table: dict[str, SlidingSum], service: str, count: int, now_s: float) -> None:
        if count:
            table.setdefault(service, SlidingSum(self._window_s)).add(count, now_s)

    def _total(self, table: dict[str, SlidingSum], service: str, now_s: float) -> int:
        window = table.get(service)
        return 0 if window is None else window.total(now_s)
