"""What instances report of the demand for services, as counts of the last second."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import xxhash

from egretrail.dispatch import account_key

#: The lowest three bits of an account's number in demand reports hold the priority; from this one
#: on, priorities are counted together.
LAST_KEY_PRIORITY = 7

#: The sliding window in which demand is counted. Reports carry the counts of this window, not
#: counters that grow, so that a lost report or a new hub needs no earlier value.
DEMAND_WINDOW_S = 1.0


def service_key(name: str) -> int:
    """Return the 32-bit number that identifies a service in reports.

    Two services that share a number have their requests counted together.
    """
    return xxhash.xxh32_intdigest(name.encode())


def account_demand_key(account: str, priority: int) -> int:
    """Return the 32-bit number that identifies an account's requests of one priority.

    Accounts share the capacity left for one priority, so their requests are counted by priority.
    """
    return (account_key(account) & ~LAST_KEY_PRIORITY) | min(priority, LAST_KEY_PRIORITY)


def priority_of_account_key(key: int) -> int:
    """Return the priority in a number of ``account_demand_key``."""
    return key & LAST_KEY_PRIORITY


class DemandKey(NamedTuple):
    """A service and the priority of requests for it."""

    #: The key of the service (``service_key``).
    service: int
    #: 0 is the most urgent.
    priority: int


class AccountDemandKey(NamedTuple):
    """A service and a client account's requests of one priority."""

    #: The key of the service (``service_key``).
    service: int
    #: The key of the account and the priority (``account_demand_key``).
    account: int


@dataclass(frozen=True, slots=True)
class DemandRow:
    """Requests for one service at one priority in the last demand window."""

    #: Requests that arrived.
    offered: int = 0
    #: Requests that instances refused before any attempt.
    refused: int = 0
    #: Attempts that upstreams refused without running them.
    shed: int = 0
    #: Retries that requests asked for, whether they were permitted or not.
    retries_wanted: int = 0

    def plus(self, other: "DemandRow") -> "DemandRow":
        """Return the sum of two rows."""
        return DemandRow(
            self.offered + other.offered,
            self.refused + other.refused,
            self.shed + other.shed,
            self.retries_wanted + other.retries_wanted,
        )


@dataclass(frozen=True, slots=True)
class DemandReport:
    """The demand that an instance, or a hub for its zone, counted in the last demand window."""

    #: Counts by service and priority.
    rows: Mapping[DemandKey, DemandRow] = field(default_factory=dict)
    #: Requests that arrived, by service and account; the heaviest accounts only.
    accounts: Mapping[AccountDemandKey, int] = field(default_factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to report."""
        return not self.rows and not self.accounts
