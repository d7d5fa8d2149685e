"""Counts what one instance sees of the demand for a service in the last demand window."""

from collections import deque
from collections.abc import Mapping

from egretrail.overload._demand import (
    DEMAND_WINDOW_S,
    DemandRow,
    account_demand_key,
    priority_of_account_key,
)

#: Resolution of the window. ``SlidingSum`` of ``egretrail.dispatch`` has 0.25 s, with which a count
#: of one second exceeds the rate by 0.12 on average; so much would be refused in excess.
_BUCKET_S = 0.05


class RecentCount:
    """The number of events in the last demand window."""

    __slots__ = ("_buckets", "_sum")

    def __init__(self) -> None:
        self._buckets: deque[list[int]] = deque()
        self._sum = 0

    def add(self, now_s: float) -> None:
        """Count an event; ``now_s`` must not be before that of earlier calls."""
        index = int(now_s / _BUCKET_S)
        if self._buckets and self._buckets[-1][0] == index:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([index, 1])
        self._sum += 1

    def total(self, now_s: float) -> int:
        """Return the number of events in the window, to half a bucket."""
        first = round((now_s - DEMAND_WINDOW_S) / _BUCKET_S)
        while self._buckets and self._buckets[0][0] < first:
            self._sum -= self._buckets.popleft()[1]
        return self._sum


class _RowCounter:
    """The counts of a ``DemandRow``."""

    __slots__ = ("offered", "refused", "retries_wanted", "shed")

    def __init__(self) -> None:
        self.offered = RecentCount()
        self.refused = RecentCount()
        self.shed = RecentCount()
        self.retries_wanted = RecentCount()

    def row(self, now_s: float) -> DemandRow:
        return DemandRow(
            self.offered.total(now_s),
            self.refused.total(now_s),
            self.shed.total(now_s),
            self.retries_wanted.total(now_s),
        )


class OwnDemand:
    """What this instance counts for one service."""

    def __init__(self, *, counts_accounts: bool) -> None:
        self._counts_accounts = counts_accounts
        self._rows: dict[int, _RowCounter] = {}
        self._accounts: dict[int, RecentCount] = {}
        #: Names of the accounts that were counted, for operators.
        self._names: dict[int, str] = {}

    def record_offered(self, priority: int, account: str, now_s: float) -> None:
        """Count a request that arrived."""
        self._row(priority).offered.add(now_s)
        if not self._counts_accounts:
            return
        key = account_demand_key(account, priority)
        count = self._accounts.get(key)
        if count is None:
            count = self._accounts[key] = RecentCount()
            self._names[key] = account
        count.add(now_s)

    def record_refused(self, priority: int, now_s: float) -> None:
        """Count a request that is refused before any attempt."""
        self._row(priority).refused.add(now_s)

    def record_shed(self, priority: int, now_s: float) -> None:
        """Count an attempt that an upstream refused."""
        self._row(priority).shed.add(now_s)

    def record_retry_wanted(self, priority: int, now_s: float) -> None:
        """Count a retry that a request asks for."""
        self._row(priority).retries_wanted.add(now_s)

    def rows(self, now_s: float) -> Mapping[int, DemandRow]:
        """Return the counts by priority, without empty ones."""
        rows = {priority: counter.row(now_s) for priority, counter in self._rows.items()}
        return {priority: row for priority, row in rows.items() if row != DemandRow()}

    def accounts(self, now_s: float) -> Mapping[int, int]:
        """Return the requests by account key, and forget accounts that have none."""
        totals = {key: count.total(now_s) for key, count in self._accounts.items()}
        for key in [key for key, total in totals.items() if not total]:
            del self._accounts[key], self._names[key], totals[key]
        return totals

    def account_total(self, key: int, now_s: float) -> int:
        """Return the requests of one account at one priority."""
        count = self._accounts.get(key)
        return 0 if count is None else count.total(now_s)

    def account_name(self, key: int) -> str:
        """Return the name of an account, or its key if this instance has not seen it lately."""
        return self._names.get(key) or f"#{key - priority_of_account_key(key):08x}"

    def _row(self, priority: int) -> _RowCounter:
        row = self._rows.get(priority)
        if row is None:
            row = self._rows[priority] = _RowCounter()
        return row
