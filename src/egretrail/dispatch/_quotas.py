"""How many requests of each client account the whole fleet takes.

Load: one account sends many times its usual rate, from clients spread over all instances or all at
one of them. Each instance sees a few of its requests and hears of the others' some tenths of a
second late. Were each to take requests while the common window seems to have room, all would take
some in the same moment, and none for seconds afterwards. So all instances keep the same window from
what all have told, and once it is nearly full each takes a share of its own requests: what leaves
the window over the rate at which the fleet is asked, a little more or less as the window has room
or is overfull. That share does not depend on how the requests are spread.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from egretrail.dispatch._window import SlidingSum
from egretrail.traffic import ClientAccount

#: Requests of the last moments of this length are the rate at which an account asks.
_DEMAND_S = 1.0
#: The same where a sudden rise must be seen at once; this rather overrates it.
_RISE_S = 0.25
#: What other instances take is known after this time at the latest; with room for all that is asked
#: for meanwhile nobody needs to be refused.
_TOLD_AFTER_S = 0.5
#: Who hears less than this part of the fleet keeps to its own part of each quota.
_MINORITY = 0.3
#: While a window has room for this part of its limit, a burst is taken whole. With less, the limit
#: is spread over the window: what is taken faster now is refused later.
_BURST_SHARE = 0.5
#: What leaves the window within this time makes room for as much.
_LEAVING_S = 0.25
#: The window is brought to its limit over this time.
_SETTLE_S = 1.0
#: This part of what a window may have beyond the quota is used; the rest covers requests that are
#: taken and not yet told.
_TOLERANCE_USED = 0.5
#: An instance that hears a part of the fleet only has this multiple of that part of each quota:
#: instances that are gone are not told apart from those that are cut off and serve on.
_KNOWN_SHARE_FACTOR = 1.04
#: Counts of accounts are told for this long after their last change, in case that one is lost.
_TOLD_FOR_S = 1.0
#: Counts are told modulo this.
COUNT_MODULUS = 1 << 16
#: An instance takes at most so many requests at once beyond the part that it is to take.
_CREDIT_MAX = 2.0
_RETRY_MIN_S = 0.1
#: A window of which nothing is known is filled in steps of this time.
_FILL_STEP_S = 0.25


def account_key(name: str) -> int:
    """Return the number of 32 bits that stands for an account where many are told at once.

    Two accounts that share a number have their requests counted together.
    """
    return xxhash.xxh32_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class AccountCounts:
    """Requests of one account, modulo ``COUNT_MODULUS``."""

    #: Requests that came.
    asked: int = 0
    #: Those of them that were sent to an upstream.
    sent: int = 0

    def plus(self, other: "AccountCounts") -> "AccountCounts":
        """Return the sum of two counts."""
        return AccountCounts(
            (self.asked + other.asked) % COUNT_MODULUS, (self.sent + other.sent) % COUNT_MODULUS
        )

    def since(self, before: "AccountCounts") -> "AccountCounts":
        """Return what was counted since earlier counts; nothing where those are the later ones."""
        asked = (self.asked - before.asked) % COUNT_MODULUS
        sent = (self.sent - before.sent) % COUNT_MODULUS
        if max(asked, sent) >= COUNT_MODULUS // 2:
            return AccountCounts()
        return AccountCounts(asked, sent)


@dataclass(frozen=True, slots=True)
class AccountReport:
    """What an instance or a zone has counted of one account."""

    #: All that it counted.
    total: AccountCounts
    #: What it counted in the last moments: all that is new to who has no earlier report.
    recent: AccountCounts


class CountedAccount:
    """Counts of one account, with those of the last moments."""

    __slots__ = ("_asked", "_sent", "changed_s", "total")

    def __init__(self) -> None:
        #: All that was counted.
        self.total = AccountCounts()
        #: When it was last added to.
        self.changed_s = float("-inf")
        self._asked = SlidingSum(_DEMAND_S)
        self._sent = SlidingSum(_DEMAND_S)

    def add(self, counts: AccountCounts, now_s: float) -> None:
        """Add counts at a time that is not before that of earlier calls."""
        self.total = self.total.plus(counts)
        self.changed_s = now_s
        self._asked.add(counts.asked, now_s)
        self._sent.add(counts.sent, now_s)

    def asked(self, now_s: float) -> int:
        """Return the requests that came in the last moments."""
        return self._asked.total(now_s)

    def report(self, now_s: float) -> AccountReport:
        """Return what others are told."""
        recent = AccountCounts(self._asked.total(now_s), self._sent.total(now_s))
        return AccountReport(self.total, recent)

    def is_told(self, now_s: float) -> bool:
        """Return whether it changed so lately that others may not have heard."""
        return now_s - self.changed_s <= _TOLD_FOR_S


def news_of(report: AccountReport, before: AccountCounts | None) -> AccountCounts:
    """Return what a report tells beyond an earlier one of the same teller; None for none."""
    return report.recent if before is None else report.total.since(before)


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """In which time quotas hold, and how far they may be passed."""

    #: The sliding window in which requests are counted.
    window_s: float = 5.0
    #: The part of a quota that a window may have beyond it.
    over: float = 0.0
    #: Requests that a window may have beyond that.
    slack: float = 0.0

    def limit(self, account: ClientAccount) -> float:
        """Return how many requests of an account are taken in a window."""
        quota = account.rate_per_s * self.window_s + account.burst
        return quota + (quota * self.over + self.slack) * _TOLERANCE_USED


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request that its account's quota has no room for."""

    #: When there may be room again.
    retry_after_s: float
    #: The requests that the window has room for now; below 0 where it is overfull.
    room: float
    #: The requests a second that the fleet is asked for.
    demand_per_s: float


@dataclass(slots=True)
class _Window:
    """The common window of one account, as this instance knows it."""

    #: What others tell that was sent, this instance's requests included.
    sent: SlidingSum
    #: What this instance sent in the window.
    own_sent: SlidingSum
    #: All requests of this instance, and those of them that are in what the others tell.
    own: CountedAccount = field(default_factory=CountedAccount)
    acknowledged: AccountCounts = AccountCounts()
    #: Requests that the fleet was asked for.
    asked: SlidingSum = field(default_factory=lambda: SlidingSum(_DEMAND_S))
    asked_now: SlidingSum = field(default_factory=lambda: SlidingSum(_RISE_S))
    #: The demand while all zones were last heard.
    heard_demand_per_s: float = 0.0
    #: The part of a request that this instance may take beyond those that it took.
    credit: float = 0.0

    def pending(self) -> AccountCounts:
        """Return this instance's requests that the others have not told back."""
        return self.own.total.since(self.acknowledged)

    def takes_one(self, part: float) -> bool:
        """Return whether a request is among the part of this instance's requests to be taken."""
        self.credit = min(self.credit + part, _CREDIT_MAX)
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def used(self, now_s: float) -> int:
        """Return the requests in the window."""
        pending = min(self.pending().sent, self.own_sent.total(now_s))
        return self.sent.total(now_s) + pending


@dataclass(frozen=True, slots=True)
class _Room:
    """What a window has room for."""

    #: The requests that may be taken now; below 0 where it is overfull.
    requests: float
    #: How fast that grows with the requests that leave the window.
    growth_per_s: float


class AccountQuotas:
    """Admits requests of accounts with a quota."""

    def __init__(self, terms: QuotaTerms, rng: random.Random) -> None:
        self._terms = terms
        self._rng = rng
        self._windows: dict[int, _Window] = {}
        #: The part of the fleet that was not heard, by time: microseconds of the whole fleet.
        self._unheard_us = SlidingSum(terms.window_s)
        self._shared_s = float("inf")
        #: The last counts that others told, by teller and account.
        self._told: dict[str, dict[int, AccountCounts]] = {}

    def set_terms(self, terms: QuotaTerms) -> None:
        """Change the window and what it may have beyond the quota."""
        self._terms = terms
        self._unheard_us.set_window(terms.window_s)
        for window in self._windows.values():
            window.sent.set_window(terms.window_s)
            window.own_sent.set_window(terms.window_s)

    def set_accounts(self, accounts: Iterable[ClientAccount], now_s: float) -> None:
        """Take the accounts of a configuration; those with a quota keep what they have used."""
        before, self._windows = self._windows, {}
        for account in accounts:
            if not account.is_limited:
                continue
            key = account_key(account.name)
            self._windows[key] = before.get(key) or self._new_window(account, now_s)

    def admit(
        self, account: ClientAccount, now_s: float, known_share: float, *, hears_all: bool
    ) -> OverQuota | None:
        """Count a request that came; return why it is refused, or None.

        ``known_share`` is the part of the fleet that is heard, and ``hears_all`` False while a
        zone that is counted in it tells nothing.
        """
        window = self._windows.get(account_key(account.name))
        if window is None:
            return None
        window.own.add(AccountCounts(asked=1), now_s)
        share = min(known_share * _KNOWN_SHARE_FACTOR, 1.0)
        self._count_unheard(share, now_s)
        room = self._room(window, self._terms.limit(account), share, now_s)
        demand_per_s = self._demand(window, now_s, share, hears_all=hears_all)
        limit = self._terms.limit(account)
        limit_per_s = limit / self._terms.window_s
        is_calm = hears_all and share >= _MINORITY
        if is_calm and room.requests >= limit * _BURST_SHARE:
            rising_per_s = max(window.asked_now.total(now_s) / _RISE_S, demand_per_s)
            if room.requests >= rising_per_s * _TOLD_AFTER_S:
                return None
        takes_per_s = room.growth_per_s + room.requests / _SETTLE_S
        if is_calm and room.requests >= limit_per_s * _TOLD_AFTER_S:
            takes_per_s = max(room.growth_per_s, limit_per_s)
        if not hears_all:
            # What the others take meanwhile is not in the window.
            takes_per_s = min(takes_per_s, limit_per_s * share)
        taken = max(takes_per_s, 0.0) / max(demand_per_s, 1.0)
        if window.takes_one(taken):
            return None
        # Callers that are refused at the same time come back one after the other.
        wait_s = (1.0 - taken) * _SETTLE_S * (0.5 + self._rng.random())
        return OverQuota(max(wait_s, _RETRY_MIN_S), room.requests, demand_per_s)

    def sent(self, account: ClientAccount, now_s: float) -> None:
        """Count a request that is sent to an upstream for the first time."""
        window = self._windows.get(account_key(account.name))
        if window is not None:
            window.own.add(AccountCounts(sent=1), now_s)
            window.own_sent.add(1, now_s)

    def own_reports(self, now_s: float) -> Mapping[int, AccountReport]:
        """Return this instance's counts that changed lately, for the others."""
        return {
            key: window.own.report(now_s)
            for key, window in self._windows.items()
            if window.own.is_told(now_s)
        }

    def acknowledged(self, reports: Mapping[int, AccountReport]) -> None:
        """Take which counts of this instance are in what its zone tells."""
        for key, report in reports.items():
            window = self._windows.get(key)
            if window is not None:
                new = report.total.since(window.acknowledged)
                window.acknowledged = window.acknowledged.plus(new)

    def told(self, teller: str, reports: Mapping[int, AccountReport], now_s: float) -> None:
        """Take the sums of a zone, by the lifetime of its hub; what changed since is new."""
        held = self._told.setdefault(teller, {})
        for key, report in reports.items():
            before = held.get(key)
            new = news_of(report, before)
            held[key] = report.total if before is None else before.plus(new)
            window = self._windows.get(key)
            if window is not None:
                window.sent.add(new.sent, now_s)
                window.asked.add(new.asked, now_s)
                window.asked_now.add(new.asked, now_s)

    def forget(self, teller: str) -> None:
        """Drop a hub that is gone."""
        self._told.pop(teller, None)

    def _room(self, window: _Window, limit: float, share: float, now_s: float) -> _Room:
        """Return what a window has room for, for an instance that hears a share of the fleet.

        Instances that vanish are taken as cut off and as using their part of each quota from then
        on. What they had told before stays counted, so no account loses room at once.
        """
        if share < _MINORITY:
            # Who is cut off knows of nobody's requests but its own.
            own = window.own_sent
            leaving_per_s = own.leaving(now_s, _LEAVING_S) / _LEAVING_S
            return _Room(limit * share - own.total(now_s), leaving_per_s)
        window_s = self._terms.window_s
        unheard = self._unheard_us.total(now_s) / 1e6 / window_s
        ending = self._unheard_us.leaving(now_s, _LEAVING_S) / 1e6 / _LEAVING_S
        leaving_per_s = window.sent.leaving(now_s, _LEAVING_S) / _LEAVING_S
        return _Room(
            limit * (1.0 - min(unheard, 1.0)) - window.used(now_s),
            leaving_per_s - limit * (1.0 - share - ending) / window_s,
        )

    def _count_unheard(self, share: float, now_s: float) -> None:
        passed_s = max(min(now_s - self._shared_s, self._terms.window_s), 0.0)
        self._shared_s = now_s
        self._unheard_us.add(int((1.0 - share) * passed_s * 1e6), now_s)

    def _demand(self, window: _Window, now_s: float, share: float, *, hears_all: bool) -> float:
        """Return at which rate the part of the fleet is asked that shares a part of the quota.

        An instance that is cut off sees its own requests only. Until the silence tells it how large
        its part is, it goes on with the demand that it heard of last.
        """
        asked = window.asked.total(now_s)
        asked += min(window.pending().asked, window.own.asked(now_s))
        demand_per_s = asked / _DEMAND_S
        if hears_all:
            window.heard_demand_per_s = demand_per_s
            return demand_per_s
        return max(demand_per_s, window.heard_demand_per_s * share)

    def _new_window(self, account: ClientAccount, now_s: float) -> _Window:
        """Return the window of an account of whose last requests nothing is known.

        It is taken as evenly full: the fleet may have restarted right after a burst.
        """
        window_s = self._terms.window_s
        window = _Window(SlidingSum(window_s), SlidingSum(window_s), credit=self._rng.random())
        limit, filled, steps = int(self._terms.limit(account)), 0, int(window_s / _FILL_STEP_S)
        for step in range(steps):
            due = limit * (step + 1) // steps
            window.sent.add(due - filled, now_s - window_s + step * _FILL_STEP_S)
            filled = due
        return window
