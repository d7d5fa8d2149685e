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


@dataclass(frozen=True, slots=True)
class RetryCounts:
    """Requests and retries of one service that an instance has counted since its start."""

    #: Requests of clients that were routed to the service.
    requests: int = 0
    #: Requests sent to upstreams beyond the first try of each.
    retries: int = 0


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
        self._peer_counts: dict[tuple[str, str], RetryCounts] = {}

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
        self, service: str, now_s: float, known_share: float, own_share: float = 1.0
    ) -> bool:
        """Return whether the budget permits one more retry.

        ``known_share`` is the part of the fleet whose counts arrive here, including this instance.
        ``own_share`` is the part of the fleet that this instance is.
        """
        if now_s < self._started_s + self._window_s:
            return self._is_within_own_share(service, now_s, own_share)
        allowed = self._allowed(service, now_s, known_share)
        paced = allowed * min(_PACING_FACTOR * _PACING_WINDOW_S / self._window_s, 1.0)
        used_retries = self._total(self._retries, service, now_s)
        recent_retries = self._total(self._recent_retries, service, now_s)
        return used_retries + 1 <= allowed and recent_retries + 1 <= max(paced, 1.0)

    def _is_within_own_share(self, service: str, now_s: float, own_share: float) -> bool:
        """Return whether this instance has a retry left of its own share of the budget.

        Guards against a restart of a third of the instances, one after the other. Instances that
        have just started know no earlier retries, and would use the whole constant allowance
        again.
        """
        requests = self._total(self._own_requests, service, now_s)
        allowed = _USED_SHARE * self._ratio * requests + _START_SHARE * self._slack * own_share
        return self._total(self._own_retries, service, now_s) + 1 <= allowed

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
        self._count_retries(service, 1, now_s)

    def own_counts(self) -> Mapping[str, RetryCounts]:
        """Return this instance's counts since its start, for its peers."""
        return self._own

    def apply_peer_counts(
        self, origin: str, service: str, counts: RetryCounts, now_s: float
    ) -> None:
        """Apply the counts of a peer's lifetime; the difference to its earlier ones is new."""
        before = self._peer_counts.get((origin, service))
        self._peer_counts[origin, service] = counts
        if before is None:
            # Its counts may be old.
            return
        self._count(self._requests, service, max(counts.requests - before.requests, 0), now_s)
        self._count_retries(service, max(counts.retries - before.retries, 0), now_s)

    def request_rate(self, service: str, now_s: float) -> float:
        """Return the fleet's requests per second of a service, averaged over the window."""
        return self._total(self._requests, service, now_s) / self._window_s

    def remove_peer(self, origin: str) -> None:
        """Remove an instance that is gone; its retries stay in the window."""
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
