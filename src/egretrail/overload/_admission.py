"""Divides a rate between priorities, and between the accounts of one priority."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretrail.overload._demand import LAST_KEY_PRIORITY, priority_of_account_key

#: An account that exceeds the fair level by less than this many standard deviations of a count may
#: ask for no more than its fair share, and is not limited. Averaged over two seconds, counts vary
#: by half a deviation.
_LEVEL_TOLERANCE = 1.0


def fill_by_priority(wanted_per_s: Mapping[int, float], room_per_s: float) -> Mapping[int, float]:
    """Return the share of each priority's requests that fits, the most urgent (0) first."""
    shares = {}
    left_per_s = room_per_s
    for priority, per_s in sorted(wanted_per_s.items()):
        shares[priority] = min(max(left_per_s, 0.0) / per_s, 1.0) if per_s > 0 else 1.0
        left_per_s -= per_s
    return shares


def fair_level(demands: Iterable[float], unlisted: float, room: float) -> float:
    """Return the largest number that each account may have, so that all together fit the room.

    Accounts that ask for less get what they ask for, and the others share what these leave (max-min
    fairness). ``unlisted`` is the demand of accounts that are too small to be listed: of as many as
    the smallest listed one would allow.
    """
    ordered = sorted(demands)
    if unlisted > 0:
        size = max(ordered[0], 1.0) if ordered else 1.0
        count = math.ceil(unlisted / size)
        ordered = sorted([*ordered, *[unlisted / count] * count])
    left = room
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand >= level:
            return max(level, 0.0)
        left -= demand
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
    #: Requests of each account that are admitted at the partial priority, at most, of those that
    #: ``accounts`` counts; None where accounts do not share the capacity.
    level: float | None = None
    #: Requests in a second of accounts at the partial priority.
    accounts: Mapping[int, float] = field(default_factory=dict)

    def share(self, priority: int, account_key: int, own_count: float) -> float:
        """Return the share of a kind of request that is admitted.

        An account that is not listed offers at least what this instance counts.
        """
        if self.partial_priority is None or priority < self.partial_priority:
            return 1.0
        if priority > self.partial_priority:
            return 0.0
        if self.level is None:
            return self.shares[priority]
        count = max(self.accounts.get(account_key, 0.0), own_count)
        if count <= self.level + _LEVEL_TOLERANCE * math.sqrt(self.level):
            return 1.0
        return self.level / count


def plan_admission(
    offered_per_s: Mapping[int, float],
    counts: Mapping[int, float],
    accounts: Mapping[int, float] | None,
    room_per_s: float,
) -> AdmissionPlan:
    """Admit by priority until the room is spent, and by account at the last one.

    Made for bursts of 2.5 times the load: without it, all kinds of requests lose alike, and one
    account that sends six times its load takes the others' part. ``counts`` and ``accounts`` are
    the requests of the last second by priority and by account key. These lag behind the rates, so
    accounts share the part of ``counts`` that is admitted. ``accounts`` is None where they do not
    share the capacity.
    """
    shares = fill_by_priority(offered_per_s, room_per_s)
    total_per_s = sum(offered_per_s.values())
    partial = min((priority for priority, share in shares.items() if share < 1.0), default=None)
    if partial is None or accounts is None:
        return AdmissionPlan(shares, partial, total_per_s)
    listed = {
        key: count
        for key, count in accounts.items()
        if priority_of_account_key(key) == min(partial, LAST_KEY_PRIORITY)
    }
    count = max(counts.get(partial, 0.0), sum(listed.values()))
    level = fair_level(listed.values(), count - sum(listed.values()), shares[partial] * count)
    return AdmissionPlan(shares, partial, total_per_s, level, listed)
