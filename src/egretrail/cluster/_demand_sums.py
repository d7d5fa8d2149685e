"""Sums the demand that the instances of a zone report, for the sections of its hub."""

from collections import Counter
from collections.abc import Collection, Iterable

from egretrail.cluster._section import Scope
from egretrail.overload import AccountDemandKey, DemandKey, DemandReport, DemandRow

#: The minimum interval between reports, five a second, and by how much it grows with each instance
#: of the zone. In a fleet of 300 in three zones, an instance receives 4 reports a second of its own
#: zone, and 1.7 of each other zone: with the accounts and its own heartbeats less than 1 KB/s.
_INTERVAL_MIN_S = 0.2
_INTERVAL_INSTANCE_S = {Scope.ZONE: 0.0025, Scope.CROSS_ZONE: 0.006}
#: The same interval between reports with accounts, which are most of the bytes.
_ACCOUNTS_INSTANCE_S = {Scope.ZONE: 0.01, Scope.CROSS_ZONE: 0.024}
_ACCOUNTS_INTERVAL_MAX_S = {Scope.ZONE: 1.0, Scope.CROSS_ZONE: 2.4}
#: Accounts in one report, the heaviest first; fewer in zones of more than 50 instances. Light
#: accounts are not those that a fair share limits.
_ACCOUNTS_MIN, _ACCOUNTS_MAX = 12, 24
_ACCOUNT_ROWS = 1_200
#: How many reports of some bytes tell that the demand has ended. With a tenth of the datagrams lost
#: on each of two hops, three of them were not enough for all instances of a fleet of 44.
_END_REPORTS = 8
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
        size = len(reports)
        interval_s = max(size * _INTERVAL_INSTANCE_S[scope], _INTERVAL_MIN_S)
        if now_s - self._sent_s[scope] < interval_s - _TIMER_TOLERANCE_S:
            return None
        accounts_max = min(max(_ACCOUNT_ROWS // max(size, 1), _ACCOUNTS_MIN), _ACCOUNTS_MAX)
        total = sum_demand(reports, busy_services, accounts_max)
        if total.is_empty:
            if not self._ends_left[scope]:
                return None
            self._ends_left[scope] -= 1
            self._sent_s[scope] = now_s
            return total
        self._ends_left[scope] = _END_REPORTS
        self._sent_s[scope] = now_s
        interval_s = min(size * _ACCOUNTS_INSTANCE_S[scope], _ACCOUNTS_INTERVAL_MAX_S[scope])
        if now_s - self._accounts_sent_s[scope] < interval_s - _TIMER_TOLERANCE_S:
            return DemandReport(total.rows)
        self._accounts_sent_s[scope] = now_s
        return total


def sum_demand(
    reports: Iterable[DemandReport], busy_services: Collection[int], accounts_max: int
) -> DemandReport:
    """Return the sum of reports for the services that are short of capacity or busy."""
    rows: dict[DemandKey, list[int]] = {}
    accounts: Counter[AccountDemandKey] = Counter()
    for report in reports:
        # Without an object for each sum: a hub of 100 instances adds up 900 rows.
        for key, row in report.rows.items():
            sums = rows.setdefault(key, [0, 0, 0, 0])
            sums[0] += row.offered
            sums[1] += row.refused
            sums[2] += row.shed
            sums[3] += row.retries_wanted
        for account, offered in report.accounts.items():
            accounts[account] += offered
    included = {
        key.service for key, sums in rows.items() if any(sums[1:]) or key.service in busy_services
    }
    heaviest = sorted(
        ((offered, key) for key, offered in accounts.items() if key.service in included),
        key=lambda entry: (-entry[0], entry[1]),
    )
    return DemandReport(
        {key: DemandRow(*sums) for key, sums in rows.items() if key.service in included},
        {key: offered for offered, key in heaviest[:accounts_max]},
    )
