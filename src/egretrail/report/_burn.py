"""Error budgets and their burn rates over several windows.

A burn rate of 1 consumes the budget exactly by the end of the objective's period. An alert that
requires a high rate in a short and a long window fires early, but not for a burst that is over.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from egretrail.identity import RouteName, ServiceName

#: Five minutes and an hour show the current burn rate, six hours the longer trend.
WINDOWS_S = (300.0, 3600.0, 21600.0)


@dataclass(frozen=True, slots=True)
class Objective:
    """The service-level objective of a service."""

    #: Share of requests that must get a good response.
    share: float
    #: Longest latency of a good response.
    latency_s: float


@dataclass(frozen=True, slots=True)
class BurnRate:
    """Consumption of the error budget within one window."""

    #: Length of the window, which ends now.
    window_s: float
    #: Requests in the window.
    requests: int
    #: Requests without a good response, by kind of answer.
    burnt: Mapping[str, int]
    #: Share of bad requests, divided by the share that the objective allows.
    rate: float


@dataclass(frozen=True, slots=True)
class RouteBurn:
    """The burn rates of one route over every window."""

    #: The qualified service and route.
    service: ServiceName
    route: RouteName
    #: One entry for each of ``WINDOWS_S``.
    windows: tuple[BurnRate, ...]


def burn_rate(counts: Mapping[str, int], objective: Objective, window_s: float) -> BurnRate:
    """Return the burn rate of a window from its counts by kind of answer; only ``good`` is good."""
    requests = sum(counts.values())
    burnt = {kind: count for kind, count in counts.items() if kind != "good" and count}
    bad_share = sum(burnt.values()) / requests if requests else 0.0
    return BurnRate(window_s, requests, burnt, bad_share / (1.0 - objective.share))


def remaining_budget(burn: BurnRate) -> float:
    """Return the remaining share of the window's error budget; negative when exceeded."""
    return 1.0 - burn.rate
