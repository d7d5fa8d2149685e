"""Generates a random plan of faults from a seed."""

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass


class FaultKind(enum.Enum):
    """The kinds of fault; several faults may overlap, also of the same kind."""

    GATEWAY_KILLED = "gateway_killed"
    GATEWAY_STOPPED = "gateway_stopped"
    GATEWAY_PAUSED = "gateway_paused"
    GATEWAY_RELOADED = "gateway_reloaded"
    GATEWAYS_CUT = "gateways_cut"
    ALL_KILLED = "all_killed"
    BACKEND_FAULTY = "backend_faulty"
    SERVICE_REFUSES = "service_refuses"
    BACKEND_DRAINS = "backend_leaves"
    BACKEND_CRASHES = "backend_crashes"
    BACKEND_REPLACED = "backend_replaced"
    BACKEND_LINK = "backend_link"
    STORE_UNAVAILABLE = "store_away"
    STORE_REJECTS_GATEWAYS = "store_turns_away"
    STORE_LINK = "store_link"
    STORE_HISTORY_DISCARDED = "store_forgets"
    CONFIG_CHANGE = "config_change"
    CONFIG_SERIES = "config_series"


#: Relative frequency of each kind.
_WEIGHTS = {
    FaultKind.GATEWAY_KILLED: 3,
    FaultKind.GATEWAY_STOPPED: 4,
    FaultKind.GATEWAY_PAUSED: 3,
    FaultKind.GATEWAY_RELOADED: 1,
    FaultKind.GATEWAYS_CUT: 4,
    FaultKind.ALL_KILLED: 1,
    FaultKind.BACKEND_FAULTY: 6,
    FaultKind.SERVICE_REFUSES: 1,
    FaultKind.BACKEND_DRAINS: 3,
    FaultKind.BACKEND_CRASHES: 2,
    FaultKind.BACKEND_REPLACED: 2,
    FaultKind.BACKEND_LINK: 4,
    FaultKind.STORE_UNAVAILABLE: 2,
    FaultKind.STORE_REJECTS_GATEWAYS: 2,
    FaultKind.STORE_LINK: 2,
    FaultKind.STORE_HISTORY_DISCARDED: 2,
    FaultKind.CONFIG_CHANGE: 3,
    FaultKind.CONFIG_SERIES: 1,
}
#: Bounds of the duration of a fault.
_DURATION_MIN_S, _DURATION_MAX_S = 0.3, 4.0
#: Mean time between the starts of faults.
_INTERVAL_S = 0.7
#: Probability that the next fault, of any kind, follows within 0.05 s.
_IMMEDIATE_NEXT_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a plan."""

    #: Start time, in seconds from the start of traffic.
    at_s: float
    #: Duration in seconds, for kinds that last.
    duration_s: float
    #: The kind of fault.
    kind: FaultKind
    #: Seed of the random choices of its target and variant.
    seed: int


def plan(seed: int, length_s: float) -> Sequence[Fault]:
    """Return the faults of a run, ordered by start time."""
    rng = random.Random(seed)
    kinds, weights = list(_WEIGHTS), list(_WEIGHTS.values())
    faults: list[Fault] = []
    at_s = rng.expovariate(1 / _INTERVAL_S)
    while at_s < length_s:
        kind = rng.choices(kinds, weights)[0]
        faults.append(
            Fault(at_s, rng.uniform(_DURATION_MIN_S, _DURATION_MAX_S), kind, rng.getrandbits(30))
        )
        pause_s = 0.05 if rng.random() < _IMMEDIATE_NEXT_SHARE else rng.expovariate(1 / _INTERVAL_S)
        at_s += pause_s
    return faults
