"""Admits the requests of each client account within a quota of the whole fleet.

One account may send many times its typical rate, spread over all instances or all to one of them.
Each instance sees a few of these requests and learns of the others a few tenths of a second later.
If each admitted requests while the common window seems to have quota left, all would admit some at
the same moment, and none for seconds afterwards. So all instances compute the same window from the
counts that all report. Once the window is nearly full, each instance admits a share of its own
requests. This share is the rate at which requests leave the window, divided by the rate at which
the fleet receives them, corrected by what the window has left or has in excess. The share does not
depend on how the requests are spread over the instances.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from egretrail.dispatch._sliding_window import SlidingSum
from egretrail.traffic import ClientAccount

#: The rate at which an account sends is measured over this time.
_DEMAND_WINDOW_S = 1.0
#: The same for a sudden increase, which must be noticed at once; so short a time tends to
#: overestimate the rate.
_SURGE_WINDOW_S = 0.25
#: Longest time until the requests that other instances admit are known. If the quota covers all
#: requests of this time, none has to be refused.
_REPORT_DELAY_S = 0.5
#: An instance that receives reports from less than this part of the fleet uses only its own part of
#: each quota.
_MINORITY_SHARE = 0.3
#: While the window has this part of its limit left, bursts are admitted without a check of the
#: rate. With less, the limit is spread over the window, since what is admitted faster now is
#: refused later.
_BURST_SHARE = 0.5
#: The rate at which requests leave the window is measured over this time ahead.
_EXPIRY_HORIZON_S = 0.25
#: The window is corrected to its limit over this time.
_CORRECTION_S = 1.0
#: Part of the tolerance beyond the quota that is used. The rest covers requests that are admitted
#: and not reported yet.
_TOLERANCE_FACTOR = 0.5
#: An instance that receives reports from a part of the fleet uses that part of each quota, times
#: this factor. Instances that are gone cannot be distinguished from partitioned ones that still
#: serve.
_KNOWN_SHARE_FACTOR = 1.04
#: Counts of an account are reported for this long after their last change, in case a report is
#: lost.
_REPORT_FOR_S = 1.0
#: Counts are reported modulo this.
COUNT_MODULUS = 1 << 16
#: Most requests that an instance admits at once in excess of its share.
_CREDIT_MAX = 2.0
#: Shortest Retry-After of a request that exceeds its quota.
_RETRY_MIN_S = 0.1
#: A window whose past is unknown is filled in steps of this time.
_FILL_STEP_S = 0.25


def account_key(name: str) -> int:
    """Return the 32-bit number that identifies an account in messages about many accounts.

    Two accounts that share a number have their requests counted together.
    """
    return xxhash.xxh32_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class AccountCounts:
    """Request counts of one account, modulo ``COUNT_MODULUS``."""

    #: Requests received.
    received: int = 0
    #: The part of them that was sent to an upstream.
    sent: int = 0

    def plus(self, other: "AccountCounts") -> "AccountCounts":
        """Return the sum of two counts."""
        return AccountCounts(
            (self.received + other.received) % COUNT_MODULUS,
            (self.sent + other.sent) % COUNT_MODULUS,
        )

    def since(self, before: "AccountCounts") -> "AccountCounts":
        """Return the counts added since earlier ones; zero if those are in fact the later ones."""
        received = (self.received - before.received) % COUNT_MODULUS
        sent = (self.sent - before.sent) % COUNT_MODULUS
        if max(received, sent) >= COUNT_MODULUS // 2:
            return AccountCounts()
        return AccountCounts(received, sent)


@dataclass(frozen=True, slots=True)
class AccountReport:
    """Counts of one account by an instance or a zone."""

    #: All requests counted.
    total: AccountCounts
    #: Requests of the last demand window: the new ones for a receiver that has no earlier report.
    recent: AccountCounts


class AccountCounter:
    """Counter of one account's requests, in total and in the last demand window."""

    __slots__ = ("_received", "_sent", "changed_s", "total")

    def __init__(self) -> None:
        #: All requests counted.
        self.total = AccountCounts()
        #: Time of the last addition.
        self.changed_s = float("-inf")
        self._received = SlidingSum(_DEMAND_WINDOW_S)
        self._sent = SlidingSum(_DEMAND_WINDOW_S)

    def add(self, counts: AccountCounts, now_s: float) -> None:
        """Add counts; ``now_s`` must not be before that of earlier calls."""
        self.total = self.total.plus(counts)
        self.changed_s = now_s
        self._received.add(counts.received, now_s)
        self._sent.add(counts.sent, now_s)

    def received(self, now_s: float) -> int:
        """Return the requests received in the last demand window."""
        return self._received.total(now_s)

    def report(self, now_s: float) -> AccountReport:
        """Return the report for other instances."""
        recent = AccountCounts(self._received.total(now_s), self._sent.total(now_s))
        return AccountReport(self.total, recent)

    def needs_report(self, now_s: float) -> bool:
        """Return whether it changed so recently that other instances may not know."""
        return now_s - self.changed_s <= _REPORT_FOR_S


def new_counts(report: AccountReport, before: AccountCounts | None) -> AccountCounts:
    """Return what a report adds to the last one of the same sender; None if there is none."""
    return report.recent if before is None else report.total.since(before)


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The window of quotas, and by how much a window may exceed its quota."""

    #: The sliding window in which requests are counted.
    window_s: float = 5.0
    #: How far a window may exceed its quota, as a part of the quota.
    over: float = 0.0
    #: How many requests beyond that a window may exceed its quota.
    slack: float = 0.0

    def limit(self, account: ClientAccount) -> float:
        """Return how many requests of an account are admitted in a window."""
        quota = account.rate_per_s * self.window_s + account.burst
        return quota + (quota * self.over + self.slack) * _TOLERANCE_FACTOR


@dataclass(frozen=True, slots=True)
class QuotaExceeded:
    """A request that its account's quota does not admit."""

    #: When the quota may admit requests again.
    retry_after_s: float
    #: Requests that the window has left now; negative if it exceeds its limit.
    remaining: float
    #: Requests per second that the fleet receives of the account.
    demand_per_s: float


@dataclass(slots=True)
class _Window:
    """The common window of one account, as this instance knows it."""

    #: Sent requests that zones reported, including those of this instance.
    sent: SlidingSum
    #: Requests that this instance sent in the window.
    own_sent: SlidingSum
    #: All requests of this instance.
    own: AccountCounter = field(default_factory=AccountCounter)
    #: The part of them that the zone's reports include.
    acknowledged: AccountCounts = AccountCounts()
    #: Requests that the fleet received.
    received: SlidingSum = field(default_factory=lambda: SlidingSum(_DEMAND_WINDOW_S))
    #: The same over the shorter window in which a sudden increase shows.
    received_surge: SlidingSum = field(default_factory=lambda: SlidingSum(_SURGE_WINDOW_S))
    #: The demand when all zones last reported.
    last_demand_per_s: float = 0.0
    #: The fraction of a request that this instance may admit beyond those that it admitted.
    credit: float = 0.0

    def unacknowledged(self) -> AccountCounts:
        """Return this instance's requests that the zone's reports do not include yet."""
        return self.own.total.since(self.acknowledged)

    def admits_next(self, share_admitted: float) -> bool:
        """Return whether the next request is within the share to be admitted."""
        self.credit = min(self.credit + share_admitted, _CREDIT_MAX)
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def used(self, now_s: float) -> int:
        """Return the number of requests in the window."""
        unacknowledged = min(self.unacknowledged().sent, self.own_sent.total(now_s))
        return self.sent.total(now_s) + unacknowledged


@dataclass(frozen=True, slots=True)
class _RemainingQuota:
    """What a window has left of its limit."""

    #: Requests that may be admitted now; negative if the window exceeds its limit.
    requests: float
    #: The rate at which this grows as requests leave the window.
    growth_per_s: float


class AccountQuotas:
    """Admits requests of accounts that have a quota."""

    def __init__(self, terms: QuotaTerms, rng: random.Random) -> None:
        self._terms = terms
        self._rng = rng
        self._windows: dict[int, _Window] = {}
        #: The part of the fleet without reports, integrated over time: microseconds of the whole
        #: fleet.
        self._unreachable_us = SlidingSum(terms.window_s)
        self._share_updated_s = float("inf")
        #: The last counts that zones reported, by lifetime of the hub and account.
        self._last_totals: dict[str, dict[int, AccountCounts]] = {}

    def set_terms(self, terms: QuotaTerms) -> None:
        """Change the window and its tolerance beyond the quota."""
        self._terms = terms
        self._unreachable_us.set_window(terms.window_s)
        for window in self._windows.values():
            window.sent.set_window(terms.window_s)
            window.own_sent.set_window(terms.window_s)

    def set_accounts(self, accounts: Iterable[ClientAccount], now_s: float) -> None:
        """Set the accounts of a configuration; those with a quota keep their usage."""
        before, self._windows = self._windows, {}
        for account in accounts:
            if not account.is_limited:
                continue
            key = account_key(account.name)
            self._windows[key] = before.get(key) or self._new_window(account, now_s)

    def admit(
        self, account: ClientAccount, now_s: float, known_share: float, *, all_zones_reporting: bool
    ) -> QuotaExceeded | None:
        """Count a received request; return why it is refused, or None.

        ``known_share`` is the part of the fleet whose reports arrive. ``all_zones_reporting`` is
        False while a zone that is included in this part sends no reports.
        """
        window = self._windows.get(account_key(account.name))
        if window is None:
            return None
        window.own.add(AccountCounts(received=1), now_s)
        share = min(known_share * _KNOWN_SHARE_FACTOR, 1.0)
        self._record_unreachable(share, now_s)
        remaining = self._remaining(window, self._terms.limit(account), share, now_s)
        demand_per_s = self._demand(window, now_s, share, all_zones_reporting=all_zones_reporting)
        limit = self._terms.limit(account)
        limit_per_s = limit / self._terms.window_s
        is_calm = all_zones_reporting and share >= _MINORITY_SHARE
        if is_calm and remaining.requests >= limit * _BURST_SHARE:
            surge_per_s = max(window.received_surge.total(now_s) / _SURGE_WINDOW_S, demand_per_s)
            if remaining.requests >= surge_per_s * _REPORT_DELAY_S:
                return None
        admitted_per_s = remaining.growth_per_s + remaining.requests / _CORRECTION_S
        if is_calm and remaining.requests >= limit_per_s * _REPORT_DELAY_S:
            admitted_per_s = max(remaining.growth_per_s, limit_per_s)
        if not all_zones_reporting:
            # What the other instances admit meanwhile is not in the window.
            admitted_per_s = min(admitted_per_s, limit_per_s * share)
        admitted_share = max(admitted_per_s, 0.0) / max(demand_per_s, 1.0)
        if window.admits_next(admitted_share):
            return None
        # Spread the retries of clients that are refused at the same time.
        wait_s = (1.0 - admitted_share) * _CORRECTION_S * (0.5 + self._rng.random())
        return QuotaExceeded(max(wait_s, _RETRY_MIN_S), remaining.requests, demand_per_s)

    def record_send(self, account: ClientAccount, now_s: float) -> None:
        """Count a request that is sent to an upstream for the first time."""
        window = self._windows.get(account_key(account.name))
        if window is not None:
            window.own.add(AccountCounts(sent=1), now_s)
            window.own_sent.add(1, now_s)

    def own_reports(self, now_s: float) -> Mapping[int, AccountReport]:
        """Return this instance's counts that changed recently, for other instances."""
        return {
            key: window.own.report(now_s)
            for key, window in self._windows.items()
            if window.own.needs_report(now_s)
        }

    def apply_acknowledgement(self, reports: Mapping[int, AccountReport]) -> None:
        """Record which counts of this instance are included in the reports of its zone."""
        for key, report in reports.items():
            window = self._windows.get(key)
            if window is not None:
                new = report.total.since(window.acknowledged)
                window.acknowledged = window.acknowledged.plus(new)

    def apply_zone_reports(
        self, hub_lifetime: str, reports: Mapping[int, AccountReport], now_s: float
    ) -> None:
        """Apply the aggregates of a zone, by the lifetime of its hub; the difference is new."""
        known = self._last_totals.setdefault(hub_lifetime, {})
        for key, report in reports.items():
            before = known.get(key)
            new = new_counts(report, before)
            known[key] = report.total if before is None else before.plus(new)
            window = self._windows.get(key)
            if window is not None:
                window.sent.add(new.sent, now_s)
                window.received.add(new.received, now_s)
                window.received_surge.add(new.received, now_s)

    def remove_hub(self, hub_lifetime: str) -> None:
        """Remove a hub that is gone."""
        self._last_totals.pop(hub_lifetime, None)

    def _remaining(
        self, window: _Window, limit: float, share: float, now_s: float
    ) -> _RemainingQuota:
        """Return what a window has left, for an instance that knows a share of the fleet.

        Instances that vanish are treated as partitioned, and as using their part of each quota from
        then on. What they reported before stays counted, so no account loses quota at once.
        """
        if share < _MINORITY_SHARE:
            # A partitioned instance knows only its own requests.
            own = window.own_sent
            expiring_per_s = own.expiring(now_s, _EXPIRY_HORIZON_S) / _EXPIRY_HORIZON_S
            return _RemainingQuota(limit * share - own.total(now_s), expiring_per_s)
        window_s = self._terms.window_s
        unreachable = self._unreachable_us.total(now_s) / 1e6 / window_s
        unreachable_expiring = (
            self._unreachable_us.expiring(now_s, _EXPIRY_HORIZON_S) / 1e6 / _EXPIRY_HORIZON_S
        )
        expiring_per_s = window.sent.expiring(now_s, _EXPIRY_HORIZON_S) / _EXPIRY_HORIZON_S
        return _RemainingQuota(
            limit * (1.0 - min(unreachable, 1.0)) - window.used(now_s),
            expiring_per_s - limit * (1.0 - share - unreachable_expiring) / window_s,
        )

    def _record_unreachable(self, share: float, now_s: float) -> None:
        passed_s = max(min(now_s - self._share_updated_s, self._terms.window_s), 0.0)
        self._share_updated_s = now_s
        self._unreachable_us.add(int((1.0 - share) * passed_s * 1e6), now_s)

    def _demand(
        self, window: _Window, now_s: float, share: float, *, all_zones_reporting: bool
    ) -> float:
        """Return the rate of received requests, for the part of the fleet that is known.

        A partitioned instance sees its own requests only. Until missing heartbeats show how large
        its part of the fleet is, it uses the last demand that it learned from all zones.
        """
        received = window.received.total(now_s)
        received += min(window.unacknowledged().received, window.own.received(now_s))
        demand_per_s = received / _DEMAND_WINDOW_S
        if all_zones_reporting:
            window.last_demand_per_s = demand_per_s
            return demand_per_s
        return max(demand_per_s, window.last_demand_per_s * share)

    def _new_window(self, account: ClientAccount, now_s: float) -> _Window:
        """Return the window of an account whose recent requests are unknown.

        It starts evenly filled, since the fleet may have restarted right after a burst.
        """
        window_s = self._terms.window_s
        window = _Window(SlidingSum(window_s), SlidingSum(window_s), credit=self._rng.random())
        limit, filled, steps = int(self._terms.limit(account)), 0, int(window_s / _FILL_STEP_S)
        for step in range(steps):
            due = limit * (step + 1) // steps
            window.sent.add(due - filled, now_s - window_s + step * _FILL_STEP_S)
            filled = due
        return window
