"""How many requests may be sent a second time, over the whole fleet."""

from collections.abc import Mapping
from dataclasses import dataclass

from egretrail.dispatch._window import SlidingSum

#: The share of the agreed budget that is used. The rest covers what other instances have just sent
#: and not yet told: repeats of a service that come within a fifth of a second of each other. With
#: 0.85, the sum of twenty instances that hear each other each half second passes the budget.
_USED_SHARE = 0.75
#: The share of its part of the constant allowance that an instance uses in the first window after
#: its start. The rest covers instances that start more than once in a window.
_START_SHARE = 0.5
#: Repeats within this time are at most the even part of the budget times the factor: a spell of
#: refusals outlasts a budget that is spent freely, and then every refusal is final for seconds.
_PACE_S = 2.0
_PACE_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class RepeatCounts:
    """Requests and repeats of one service that an instance has counted since its start."""

    #: Requests of clients that were routed to the service.
    requests: int = 0
    #: Sends to upstreams beyond the first of each request.
    repeats: int = 0


@dataclass(frozen=True, slots=True)
class RepeatUse:
    """How much of a service's budget is used, as one instance sees it."""

    #: Repeats of the whole fleet in the window.
    repeats: int
    #: How many may be in it now.
    allowed: float


class RepeatBudget:
    """Permits repeats while the fleet's repeats stay within a share of its requests.

    Load: upstreams that fail or refuse together make every instance repeat at once, and repeats
    that grow with failures keep upstreams overloaded. Each instance counts what all have told.
    An instance that hears from nobody still counts its own part, and is given no more than its
    part of the constant allowance. What is allowed is spread over the window, so that a
    spell of refusals that outlasts the budget finds some of it left in each second.
    """

    def __init__(
        self, ratio: float, window_s: float, slack: float, started_s: float = float("-inf")
    ) -> None:
        """``started_s`` is when this instance began to hear of repeats."""
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        #: Until then the constant allowance counts as used.
        self._slack_used_until_s = float("-inf")
        self._started_s = started_s
        self._requests: dict[str, SlidingSum] = {}
        self._repeats: dict[str, SlidingSum] = {}
        self._recent: dict[str, SlidingSum] = {}
        self._own: dict[str, RepeatCounts] = {}
        self._own_requests: dict[str, SlidingSum] = {}
        self._own_repeats: dict[str, SlidingSum] = {}
        self._told: dict[tuple[str, str], RepeatCounts] = {}

    def set_bounds(self, ratio: float, window_s: float, slack: float, now_s: float) -> None:
        """Change the budget; what was counted before stays counted.

        A longer window reaches back to repeats that are forgotten. The requests that went with them
        are forgotten too, so only the constant allowance may have been used by them.
        """
        if window_s > self._window_s:
            self._slack_used_until_s = now_s + window_s
        self._ratio, self._window_s, self._slack = ratio, window_s, slack
        for table in (self._requests, self._repeats, self._own_requests, self._own_repeats):
            for window in table.values():
                window.set_window(window_s)

    def routed(self, service: str, now_s: float) -> None:
        """Count a request of a client."""
        own = self._own.get(service, RepeatCounts())
        self._own[service] = RepeatCounts(own.requests + 1, own.repeats)
        self._count(self._own_requests, service, 1, now_s)
        self._count(self._requests, service, 1, now_s)

    def permits(
        self, service: str, now_s: float, known_share: float, own_part: float = 1.0
    ) -> bool:
        """Return whether one more repeat is within the budget.

        ``known_share`` is the part of the fleet whose counts arrive here, this instance included;
        ``own_part`` is the part that this instance is of the fleet.
        """
        if now_s < self._started_s + self._window_s:
            return self._is_within_own_part(service, now_s, own_part)
        allowed = self._allowed(service, now_s, known_share)
        paced = allowed * min(_PACE_FACTOR * _PACE_S / self._window_s, 1.0)
        used = self._total(self._repeats, service, now_s)
        recent = self._total(self._recent, service, now_s)
        return used + 1 <= allowed and recent + 1 <= max(paced, 1.0)

    def _is_within_own_part(self, service: str, now_s: float, own_part: float) -> bool:
        """Return whether this instance has a repeat left of its own part of the budget.

        Load: a third of the instances is restarted one after the other. Those that have just
        started know of no repeats from before, and would take the whole constant allowance anew.
        """
        requests = self._total(self._own_requests, service, now_s)
        allowed = _USED_SHARE * self._ratio * requests + _START_SHARE * self._slack * own_part
        return self._total(self._own_repeats, service, now_s) + 1 <= allowed

    def uses(self, now_s: float, known_share: float) -> Mapping[str, RepeatUse]:
        """Return the use of each service's budget, for those on call."""
        return {
            service: RepeatUse(
                self._total(self._repeats, service, now_s),
                self._allowed(service, now_s, known_share),
            )
            for service in self._requests
        }

    def repeated(self, service: str, now_s: float) -> None:
        """Count a repeat that is being sent."""
        own = self._own.get(service, RepeatCounts())
        self._own[service] = RepeatCounts(own.requests, own.repeats + 1)
        self._count(self._own_repeats, service, 1, now_s)
        self._count_repeats(service, 1, now_s)

    def own_counts(self) -> Mapping[str, RepeatCounts]:
        """Return this instance's counts since its start, for the others."""
        return self._own

    def told(self, origin: str, service: str, counts: RepeatCounts, now_s: float) -> None:
        """Take another lifetime's counts; the difference to its earlier ones is new."""
        before = self._told.get((origin, service))
        self._told[origin, service] = counts
        if before is None:
            # Its past is not known to be recent.
            return
        self._count(self._requests, service, max(counts.requests - before.requests, 0), now_s)
        self._count_repeats(service, max(counts.repeats - before.repeats, 0), now_s)

    def request_rate(self, service: str, now_s: float) -> float:
        """Return the fleet's requests of a service in a second, over the window."""
        return self._total(self._requests, service, now_s) / self._window_s

    def forget(self, origin: str) -> None:
        """Drop an instance that is gone; what it sent stays in the window."""
        for key in [held for held in self._told if held[0] == origin]:
            del self._told[key]

    def _allowed(self, service: str, now_s: float, known_share: float) -> float:
        requests = self._total(self._requests, service, now_s)
        slack = 0.0 if now_s < self._slack_used_until_s else self._slack
        return _USED_SHARE * (self._ratio * requests + slack * known_share)

    def _count_repeats(self, service: str, count: int, now_s: float) -> None:
        self._count(self._repeats, service, count, now_s)
        if count:
            self._recent.setdefault(service, SlidingSum(_PACE_S)).add(count, now_s)

    def _count(self, table: dict[str, SlidingSum], service: str, count: int, now_s: float) -> None:
        if count:
            table.setdefault(service, SlidingSum(self._window_s)).add(count, now_s)

    def _total(self, table: dict[str, SlidingSum], service: str, now_s: float) -> int:
        window = table.get(service)
        return 0 if window is None else window.total(now_s)
