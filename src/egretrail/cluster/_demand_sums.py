"""Sums the demand that the instances of a zone report, for the sections of its hub."""

from collections import Counter
from collections.abc import Collection, Iterable

from egretrail.cluster._section import Scope
from egretrail.overload import AccountDemandKey, DemandKey, DemandReport, DemandRow

#: The minimum interval between reports to the own zone: five a second. Sections to other zones are
#: sent no more often than that.
_ZONE_INTERVAL_S = 0.2
#: The minimum interval between reports with accounts, for each instance of the zone. With 24
#: accounts of 10 bytes, an instance of a fleet of 300 in three zones receives 0.3 KB/s of the own
#: zone's accounts. In a zone of 25 instances, each report has them.
_ACCOUNTS_INSTANCE_S = {Scope.ZONE: 0.008, Scope.CROSS_ZONE: 0.016}
_ACCOUNTS_INTERVAL_MAX_S = {Scope.ZONE: 0.8, Scope.CROSS_ZONE: 1.6}
#: Maximum accounts in one report, the heaviest first. Light accounts are not those that a fair
#: share limits.
_ACCOUNTS_MAX = 24
#: How many reports tell that the demand has ended, in case a datagram is lost.
_END_REPORTS = 3
#: Timers may fire this much early.
_TIMER_TOLERANCE_S = 0.005


class DemandSums:
    """Decides when the demand of a zone is sent, and what of it.

    Made for services whose callers compete for capacity: no instance sees more than a few requests
    a second, so that all must know the sum to rank callers alike. Services that serve all requests
    are left out, since nothing is decided there.
    """

    def __init__(self) -> None:
        self._sent_s = {scope: float("-inf") for scope in Scope}
        self._accounts_sent_s = {scope: float("-inf") for scope in Scope}
        self._ends_left = dict.fromkeys(Scope, 0)

    def next_report(
        self,
        scope: Scope,
        reports: Collection[DemandReport],
        busy_services: Collection[int],
        now_s: float,
    ) -> DemandReport | None:
        """Return what a section reports of the demand; None if it reports nothing new.

        ``reports`` are the last ones of the zone's instances. ``busy_services`` are the keys of the
        services that are also reported while they refuse nothing.
        """
        if now_s - self._sent_s[scope] < _ZONE_INTERVAL_S - _TIMER_TOLERANCE_S:
            return None
        total = sum_demand(reports, busy_services)
        if total.is_empty:
            if not self._ends_left[scope]:
                return None
            self._ends_left[scope] -= 1
            self._sent_s[scope] = now_s
            return total
        self._ends_left[scope] = _END_REPORTS
        self._sent_s[scope] = now_s
        interval_s = min(
            len(reports) * _ACCOUNTS_INSTANCE_S[scope], _ACCOUNTS_INTERVAL_MAX_S[scope]
        )
        if now_s - self._accounts_sent_s[scope] < interval_s - _TIMER_TOLERANCE_S:
            return DemandReport(total.rows)
        self._accounts_sent_s[scope] = now_s
        return total


def sum_demand(reports: Iterable[DemandReport], busy_services: Collection[int]) -> DemandReport:
    """Return the sum of reports for the services that are short of capacity or busy."""
    rows: dict[DemandKey, DemandRow] = {}
    accounts: Counter[AccountDemandKey] = Counter()
    for report in reports:
        for key, row in report.rows.items():
            rows[key] = rows[key].plus(row) if key in rows else row
        accounts.update(report.accounts)
    included = {
        key.service
        for key, row in rows.items()
        if row.refused or row.shed or row.retries_wanted or key.service in busy_services
    }
    heaviest = sorted(
        ((offered, key) for key, offered in accounts.items() if key.service in included),
        key=lambda entry: (-entry[0], entry[1]),
    )
    return DemandReport(
        {key: row for key, row in rows.items() if key.service in included},
        {key: offered for offered, key in heaviest[:_ACCOUNTS_MAX]},
    )
