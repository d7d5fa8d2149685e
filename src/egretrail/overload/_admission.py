"""Divides a rate between priorities, and between the accounts of one priority."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from egretrail.overload._demand import LAST_KEY_PRIORITY

#: An account that exceeds the fair level by less than this many standard deviations of a count may
#: ask for no more than its fair share, and is not limited. Averaged over two seconds, counts vary
#: by half a deviation.
_LEVEL_TOLERANCE = 1.0
#: Accounts that are not listed count as at most this many; more would cost a decision more time.
_UNLISTED_MAX = 100


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
        count = min(math.ceil(unlisted / size), _UNLISTED_MAX)
        ordered = sorted([*ordered, *[unlisted / count] * count])
    total = sum(ordered)
    if total <= room:
        return float("inf")
    limited = 0.0
    for index in range(len(ordered) - 1, -1, -1):
        limited += ordered[index]
        level = (room - (total - limited)) / (len(ordered) - index)
        if index == 0 or level >= ordered[index - 1]:
            return max(level, 0.0)
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
    accounts: Mapping[int, Mapping[int, float]] | None,
    room_per_s: float,
    capacity_per_s: float | None = None,
) -> AdmissionPlan:
    """Admit by priority until the room is spent, and by account at the last one.

    Made for bursts of 2.5 times the load: without it, all kinds of requests lose alike, and one
    account that sends six times its load takes the others' part. ``counts`` and ``accounts`` are
    the requests of the last second by priority, and by priority and account key. These lag behind
    the rates, so accounts share the part of ``counts`` that is admitted. ``accounts`` is None where
    they do not share the capacity. The most urgent requests get ``capacity_per_s`` where it exceeds
    the room: only less urgent ones make up for a queue that is too long.
    """
    shares = dict(fill_by_priority(offered_per_s, room_per_s))
    first = min(offered_per_s, default=None)
    if first is not None and capacity_per_s is not None and shares[first] < 1.0:
        shares[first] = min(max(room_per_s, capacity_per_s) / offered_per_s[first], 1.0)
    total_per_s = sum(offered_per_s.values())
    partial = min((priority for priority, share in shares.items() if share < 1.0), default=None)
    if partial is None or accounts is None:
        return AdmissionPlan(shares, partial, total_per_s)
    listed = accounts.get(min(partial, LAST_KEY_PRIORITY), {})
    listed_count = sum(listed.values())
    count = max(counts.get(partial, 0.0), listed_count)
    level = fair_level(listed.values(), count - listed_count, shares[partial] * count)
    return AdmissionPlan(shares, partial, total_per_s, level, listed)
