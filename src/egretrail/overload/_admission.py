"""Divides a rate between priorities, and between the accounts of one priority."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretrail.overload._demand import priority_of_account_key


def fill_by_priority(wanted_per_s: Mapping[int, float], room_per_s: float) -> Mapping[int, float]:
    """Return the share of each priority's requests that fits, the most urgent (0) first."""
    shares = {}
    left_per_s = room_per_s
    for priority, per_s in sorted(wanted_per_s.items()):
        shares[priority] = min(max(left_per_s, 0.0) / per_s, 1.0) if per_s > 0 else 1.0
        left_per_s -= per_s
    return shares


def fair_level(demands_per_s: Iterable[float], unlisted_per_s: float, room_per_s: float) -> float:
    """Return the largest rate that each account may have, so that all together fit the room.

    Accounts that ask for less get what they ask for, and the others share what these leave (max-min
    fairness). ``unlisted_per_s`` is the demand of accounts that are too small to be listed: of as
    many as the smallest listed one would allow.
    """
    demands = sorted(demands_per_s)
    left_per_s = room_per_s
    if unlisted_per_s > 0:
        smallest_per_s = max(demands[0], 1.0) if demands else 1.0
        count = -(-unlisted_per_s // smallest_per_s)
        demands = sorted([*demands, *[unlisted_per_s / count] * int(count)])
    for index, per_s in enumerate(demands):
        level_per_s = left_per_s / (len(demands) - index)
        if per_s >= level_per_s:
            return max(level_per_s, 0.0)
        left_per_s -= per_s
    return float("inf")


@dataclass(frozen=True, slots=True)
class AdmissionPlan:
    """What is admitted of the requests of a full service."""

    #: The share that is admitted, by priority.
    shares: Mapping[int, float]
    #: The last priority of which something is admitted; None if all fit.
    partial_priority: int | None
    #: Requests per second that are offered at all priorities.
    offered_per_s: float
    #: Requests per second that are admitted of each account at the partial priority, at most; None
    #: where accounts do not share the capacity.
    level_per_s: float | None = None
    #: Requests per second of accounts at the partial priority.
    accounts_per_s: Mapping[int, float] = field(default_factory=dict)

    def share(self, priority: int, account_key: int, own_account_per_s: float) -> float:
        """Return the share of a kind of request that is admitted.

        An account that is not listed offers at least what this instance counts.
        """
        if self.partial_priority is None or priority < self.partial_priority:
            return 1.0
        if priority > self.partial_priority:
            return 0.0
        if self.level_per_s is None:
            return self.shares[priority]
        account_per_s = max(self.accounts_per_s.get(account_key, 0.0), own_account_per_s)
        return min(self.level_per_s / account_per_s, 1.0) if account_per_s > 0 else 1.0


def plan_admission(
    offered_per_s: Mapping[int, float],
    accounts_per_s: Mapping[int, float] | None,
    room_per_s: float,
) -> AdmissionPlan:
    """Admit by priority until the room is spent, and by account at the last one.

    Made for bursts of 2.5 times the load: without it, all kinds of requests lose alike, and one
    account that sends six times its load takes the others' part. ``accounts_per_s`` is None where
    accounts do not share the capacity.
    """
    shares = fill_by_priority(offered_per_s, room_per_s)
    total_per_s = sum(offered_per_s.values())
    partial = min((priority for priority, share in shares.items() if share < 1.0), default=None)
    if partial is None or accounts_per_s is None:
        return AdmissionPlan(shares, partial, total_per_s)
    accounts = {
        key: per_s
        for key, per_s in accounts_per_s.items()
        if priority_of_account_key(key) == min(partial, 7)
    }
    left_per_s = shares[partial] * offered_per_s[partial]
    unlisted_per_s = offered_per_s[partial] - sum(accounts.values())
    level_per_s = fair_level(accounts.values(), unlisted_per_s, left_per_s)
    return AdmissionPlan(shares, partial, total_per_s, level_per_s, accounts)
