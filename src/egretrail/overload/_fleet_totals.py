"""The demand of the whole fleet, from the reports of its zones."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from egretrail.overload._demand import (
    DEMAND_WINDOW_S,
    AccountDemandKey,
    DemandKey,
    DemandReport,
    DemandRow,
)

#: How long the report of the own zone counts. Its hub sends five a second.
OWN_ZONE_VALID_S = 1.0
#: How long the report of another zone counts. It comes with sections that may be half a second
#: apart, and a new hub needs a second.
OTHER_ZONE_VALID_S = 2.2
#: The rate at which requests arrive is that of this time before the last report. A count of a whole
#: second lags behind a burst by half a second, in which the queue grows past what may wait.
_RATE_SPAN_S = 0.4
#: Counts of accounts are averaged over this time.
_STEADY_S = 2.0
#: A count that differs from the average by more than this many standard deviations is a change.
_CHANGE_DEVIATIONS = 2.5


class RateTracker:
    """Finds when the requests of a one-second count arrived, from consecutive counts.

    Each count must be the sum of the time since the previous report and of what remains of earlier
    times within the window. All times add up to the last count always, so an error (a lost or late
    report) leaves with the window, and the first count needs no earlier one: it is taken as even.
    """

    __slots__ = ("_bins",)

    def __init__(self) -> None:
        #: Start, end and number of requests of consecutive times within the window.
        self._bins: list[tuple[float, float, float]] = []

    def update(self, count: int, now_s: float) -> None:
        """Apply the count of the window that ends now."""
        first_s = now_s - DEMAND_WINDOW_S
        kept: list[tuple[float, float, float]] = []
        known = 0.0
        for start_s, end_s, requests in self._bins:
            if end_s <= first_s:
                continue
            if start_s < first_s:
                requests *= (end_s - first_s) / (end_s - start_s)
                start_s = first_s
            kept.append((start_s, end_s, requests))
            known += requests
        last_s = kept[-1][1] if kept else first_s
        if known > count:
            scale = count / known
            kept = [(start_s, end_s, requests * scale) for start_s, end_s, requests in kept]
            known = count
        if now_s > last_s:
            kept.append((last_s, now_s, count - known))
        elif kept:
            start_s, end_s, requests = kept[-1]
            kept[-1] = (start_s, end_s, requests + count - known)
        self._bins = kept

    def per_s(self) -> float:
        """Return the rate before the last report."""
        if not self._bins:
            return 0.0
        first_s = self._bins[-1][1] - _RATE_SPAN_S
        recent = 0.0
        for start_s, end_s, requests in reversed(self._bins):
            if end_s <= first_s:
                break
            recent += requests * (end_s - max(start_s, first_s)) / (end_s - start_s)
        return recent / _RATE_SPAN_S


@dataclass(slots=True)
class ServiceDemand:
    """The demand for one service, by the fleet or by the part of it that is known."""

    #: Counts of the last second by priority.
    rows: dict[int, DemandRow] = field(default_factory=dict)
    #: Requests that arrive per second, by priority.
    offered_per_s: dict[int, float] = field(default_factory=dict)
    #: Attempts that upstreams refuse per second, by priority.
    shed_per_s: dict[int, float] = field(default_factory=dict)
    #: Requests of the last second, by account key; the heaviest accounts only.
    accounts: dict[int, float] = field(default_factory=dict)
    #: Receipt of the oldest report behind it.
    oldest_s: float = float("inf")
    #: When the first report behind it stops counting.
    valid_until_s: float = float("inf")

    @property
    def total(self) -> DemandRow:
        """The counts of all priorities."""
        total = DemandRow()
        for row in self.rows.values():
            total = total.plus(row)
        return total


@dataclass(slots=True)
class _ZoneReport:
    """The last report of a zone, and the rates behind its counts."""

    received_s: float
    rows: dict[DemandKey, tuple[DemandRow, RateTracker, RateTracker]]
    accounts: Mapping[AccountDemandKey, int]


class FleetTotals:
    """Adds up the reports of the zones as long as they count."""

    def __init__(self) -> None:
        self._zones: dict[str, _ZoneReport] = {}
        self._cache: dict[int, ServiceDemand] = {}

    def apply(self, zone: str, report: DemandReport, now_s: float) -> None:
        """Replace the report of a zone."""
        self._cache.clear()
        before = self._zones.get(zone)
        if before is None or now_s - before.received_s > OTHER_ZONE_VALID_S:
            before = _ZoneReport(now_s, {}, {})
        rows = {}
        for key, row in report.rows.items():
            known = before.rows.get(key)
            offered = RateTracker() if known is None else known[1]
            shed = RateTracker() if known is None else known[2]
            offered.update(row.offered, now_s)
            shed.update(row.shed, now_s)
            rows[key] = (row, offered, shed)
        self._zones[zone] = _ZoneReport(now_s, rows, report.accounts)

    def demand(self, service: int, own_zone: str, now_s: float) -> ServiceDemand | None:
        """Return the fleet's demand; None without a current report of the own zone."""
        own = self._zones.get(own_zone)
        if own is None or now_s - own.received_s >= OWN_ZONE_VALID_S:
            return None
        cached = self._cache.get(service)
        if cached is None or now_s >= cached.valid_until_s:
            cached = self._cache[service] = self._sum(service, own_zone, now_s)
        return cached

    def _sum(self, service: int, own_zone: str, now_s: float) -> ServiceDemand:
        demand = ServiceDemand()
        for zone, report in list(self._zones.items()):
            valid_s = OWN_ZONE_VALID_S if zone == own_zone else OTHER_ZONE_VALID_S
            if now_s - report.received_s >= valid_s:
                del self._zones[zone]
                continue
            demand.oldest_s = min(demand.oldest_s, report.received_s)
            demand.valid_until_s = min(demand.valid_until_s, report.received_s + valid_s)
            for (row_service, priority), (row, offered, shed) in report.rows.items():
                if row_service == service:
                    demand.rows[priority] = demand.rows.get(priority, DemandRow()).plus(row)
                    _add(demand.offered_per_s, priority, offered.per_s())
                    _add(demand.shed_per_s, priority, shed.per_s())
            for (account_service, account), count in report.accounts.items():
                if account_service == service:
                    _add(demand.accounts, account, float(count))
        return demand


class SteadyCounts:
    """Averages the counts of accounts over some seconds, unless an account's demand changes.

    An account with eight requests a second has eleven in some seconds. Limited by the counts of
    single seconds, an account that asks for its fair share would be served 0.87 of it. A change
    that chance does not explain counts at once, so that an account that sends six times its load is
    limited from the first report on.
    """

    def __init__(self) -> None:
        self._means: dict[int, float] = {}
        self._updated_s = float("-inf")
        self._counts: Mapping[int, float] | None = None

    def update(self, counts: Mapping[int, float], now_s: float) -> Mapping[int, float]:
        """Return the averages; counts that are the same object as before are not applied again."""
        if counts is self._counts:
            return self._means
        weight = 1.0 - math.exp(-max(now_s - self._updated_s, 0.0) / _STEADY_S)
        means = {}
        for key, count in counts.items():
            mean = self._means.get(key, count)
            if abs(count - mean) > _CHANGE_DEVIATIONS * math.sqrt(max(mean, 1.0)):
                mean = count
            means[key] = mean + (count - mean) * weight
        self._means, self._counts, self._updated_s = means, counts, now_s
        return means


def own_demand(
    rows: Mapping[int, DemandRow], accounts: Mapping[int, int], now_s: float
) -> ServiceDemand:
    """Return the demand that an instance counts itself."""
    return ServiceDemand(
        dict(rows),
        {priority: float(row.offered) for priority, row in rows.items()},
        {priority: float(row.shed) for priority, row in rows.items()},
        {key: float(count) for key, count in accounts.items()},
        now_s,
    )


def _add(rates: dict[int, float], key: int, per_s: float) -> None:
    rates[key] = rates.get(key, 0.0) + per_s
