"""How many requests of each client account the whole fleet takes.

Load: one account sends many times its usual rate, from clients spread over all instances or all at
one of them. Each instance sees a few of its requests and hears of the others' some tenths of a
second late. Were each to take requests while the account's common bucket seems to have tokens, all
would take some in the same moment, and none for seconds afterwards. So all instances keep the same
bucket from what all have told, and once it is nearly empty each takes a share of its own requests:
the rate of the quota over the rate at which the fleet is asked, a little more or less as the bucket
is above or below empty. That share does not depend on how the requests are spread.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from egretrail.dispatch._window import SlidingSum
from egretrail.traffic import ClientAccount

#: Requests of the last moments of this length are the rate at which an account asks.
_DEMAND_S = 1.0
#: What other instances take is known after this time at the latest; with more tokens than are
#: asked for meanwhile nobody needs to be refused.
_TOLD_AFTER_S = 0.5
#: The bucket is brought back to empty over this time.
_SETTLE_S = 1.0
#: Debts beyond so many seconds of the quota's rate are forgiven.
_DEBT_MAX_S = 3.0
#: An instance that hears a part of the fleet only has this multiple of that part of each quota:
#: instances that are gone are not told apart from those that are cut off and serve on.
_KNOWN_SHARE_FACTOR = 1.08
#: Counts of accounts are told for this long after their last change, in case that one is lost.
_TOLD_FOR_S = 1.0
#: Counts are told modulo this.
COUNT_MODULUS = 1 << 16
_RETRY_MIN_S, _RETRY_MAX_S = 0.1, 2.0


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
class OverQuota:
    """A request that its account's quota has no room for."""

    #: When there is room again.
    retry_after_s: float
    #: The requests that the account may send at once now; below 0 for a debt.
    tokens: float
    #: The requests a second that the fleet is asked for.
    demand_per_s: float


@dataclass(slots=True)
class _Bucket:
    """The common bucket of one account, as this instance knows it."""

    rate_per_s: float
    burst: float
    #: Without what this instance has sent and the others have not told back.
    tokens: float
    refilled_s: float
    #: All requests of this instance, and those of them that are in what the others tell.
    own: CountedAccount = field(default_factory=CountedAccount)
    acknowledged: AccountCounts = AccountCounts()
    #: Requests that the fleet was asked for.
    asked: SlidingSum = field(default_factory=lambda: SlidingSum(_DEMAND_S))
    #: The demand while the own zone was last heard.
    heard_demand_per_s: float = 0.0
    #: The part of a request that this instance may take beyond those that it took.
    credit: float = 0.0

    def pending(self) -> AccountCounts:
        """Return this instance's requests that the others have not told back."""
        return self.own.total.since(self.acknowledged)

    def refill(self, now_s: float, share: float) -> float:
        """Return the tokens left, when this instance has a share of the quota."""
        pending = self.pending().sent
        self.tokens += (now_s - self.refilled_s) * self.rate_per_s * share
        self.refilled_s = now_s
        self.tokens = min(self.tokens, self.burst * share + pending)
        self.tokens = max(self.tokens, pending - _DEBT_MAX_S * self.rate_per_s)
        return self.tokens - pending


class AccountQuotas:
    """Admits requests of accounts with a quota."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._buckets: dict[int, _Bucket] = {}
        #: The last counts that others told, by teller and account.
        self._told: dict[str, dict[int, AccountCounts]] = {}

    def set_accounts(self, accounts: Iterable[ClientAccount], now_s: float) -> None:
        """Take the accounts of a configuration; those with a quota keep what they had left."""
        before, self._buckets = self._buckets, {}
        for account in accounts:
            if not account.is_limited:
                continue
            key = account_key(account.name)
            bucket = before.get(key)
            if bucket is None:
                # An instance that has just started does not know what is left.
                bucket = _Bucket(0.0, 0.0, 0.0, now_s, credit=self._rng.random())
            bucket.rate_per_s, bucket.burst = account.rate_per_s, account.burst
            self._buckets[key] = bucket

    def admit(
        self, account: ClientAccount, now_s: float, known_share: float, *, hears_all: bool
    ) -> OverQuota | None:
        """Count a request that came; return why it is refused, or None.

        ``known_share`` is the part of the fleet that is heard, and ``hears_all`` False while a
        zone that is counted in it tells nothing.
        """
        bucket = self._buckets.get(account_key(account.name))
        if bucket is None:
            return None
        bucket.own.add(AccountCounts(asked=1), now_s)
        share = min(known_share * _KNOWN_SHARE_FACTOR, 1.0)
        tokens = bucket.refill(now_s, share)
        demand_per_s = self._demand(bucket, now_s, share, hears_all=hears_all)
        if tokens >= demand_per_s * _TOLD_AFTER_S:
            return None
        rate_per_s = bucket.rate_per_s * share
        taken = (rate_per_s + tokens / _SETTLE_S) / max(demand_per_s, 1.0)
        bucket.credit = min(bucket.credit + max(taken, 0.0), 2.0)
        if bucket.credit >= 1.0:
            bucket.credit -= 1.0
            return None
        # Callers that are refused at the same time come back one after the other.
        wait_s = max(1.0 - tokens, 1.0) / rate_per_s * (0.5 + self._rng.random())
        wait_s = min(max(wait_s, _RETRY_MIN_S), _RETRY_MAX_S)
        return OverQuota(wait_s, tokens, demand_per_s)

    def sent(self, account: ClientAccount, now_s: float) -> None:
        """Count a request that is sent to an upstream for the first time."""
        bucket = self._buckets.get(account_key(account.name))
        if bucket is not None:
            bucket.own.add(AccountCounts(sent=1), now_s)

    def own_reports(self, now_s: float) -> Mapping[int, AccountReport]:
        """Return this instance's counts that changed lately, for the others."""
        return {
            key: bucket.own.report(now_s)
            for key, bucket in self._buckets.items()
            if bucket.own.is_told(now_s)
        }

    def acknowledged(self, reports: Mapping[int, AccountReport]) -> None:
        """Take which counts of this instance are in what its zone tells."""
        for key, report in reports.items():
            bucket = self._buckets.get(key)
            if bucket is not None:
                new = report.total.since(bucket.acknowledged)
                bucket.acknowledged = bucket.acknowledged.plus(new)

    def told(self, teller: str, reports: Mapping[int, AccountReport], now_s: float) -> None:
        """Take the sums of a zone, by the lifetime of its hub; what changed since is new."""
        held = self._told.setdefault(teller, {})
        for key, report in reports.items():
            before = held.get(key)
            new = news_of(report, before)
            held[key] = report.total if before is None else before.plus(new)
            bucket = self._buckets.get(key)
            if bucket is not None:
                bucket.tokens -= new.sent
                bucket.asked.add(new.asked, now_s)

    def forget(self, teller: str) -> None:
        """Drop a hub that is gone."""
        self._told.pop(teller, None)

    def _demand(self, bucket: _Bucket, now_s: float, share: float, *, hears_all: bool) -> float:
        """Return at which rate the part of the fleet is asked that shares a part of the quota.

        An instance that is cut off sees its own requests only. Until the silence tells it how large
        its part is, it goes on with the demand that it heard of last.
        """
        asked = bucket.asked.total(now_s)
        asked += min(bucket.pending().asked, bucket.own.asked(now_s))
        demand_per_s = asked / _DEMAND_S
        if hears_all:
            bucket.heard_demand_per_s = demand_per_s
            return demand_per_s
        return max(demand_per_s, bucket.heard_demand_per_s * share)
