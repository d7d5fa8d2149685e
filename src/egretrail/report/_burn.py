"""Error budgets and how fast they burn, over several windows at once.

A burn rate of 1 uses the budget up exactly by the end of the objective's period. An alert on a
short and a long window together is prompt and does not fire for a burst that is already over.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from egretrail.identity import RouteName, ServiceName

#: Five minutes and an hour show what burns now, six hours what has been burning.
WINDOWS_S = (300.0, 3600.0, 21600.0)


@dataclass(frozen=True, slots=True)
class Objective:
    """What a service promises."""

    #: Share of requests to be answered well.
    share: float
    #: A good answer takes no longer than this.
    latency_s: float


@dataclass(frozen=True, slots=True)
class BurnRate:
    """One window's use of the error budget."""

    #: The window, back from now.
    window_s: float
    #: Requests in the window.
    requests: int
    #: Requests not answered well, by what burnt them.
    burnt: Mapping[str, int]
    #: Share of bad requests over the share that the objective allows.
    rate: float


@dataclass(frozen=True, slots=True)
class RouteBurn:
    """One route's burn over every window."""

    #: The qualified service and route.
    service: ServiceName
    route: RouteName
    #: One entry for each of ``WINDOWS_S``.
    windows: tuple[BurnRate, ...]


def burn_rate(counts: Mapping[str, int], objective: Objective, window_s: float) -> BurnRate:
    """Return a window's burn from its counts by kind of answer; ``good`` is the only good kind."""
    requests = sum(counts.values())
    burnt = {kind: count for kind, count in counts.items() if kind != "good" and count}
    bad_share = sum(burnt.values()) / requests if requests else 0.0
    return BurnRate(window_s, requests, burnt, bad_share / (1.0 - objective.share))


def budget_left(burn: BurnRate) -> float:
    """Return the share of the window's error budget that is left; below 0 when overdrawn."""
    return 1.0 - burn.rate
