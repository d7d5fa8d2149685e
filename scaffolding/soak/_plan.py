"""Which faults strike when, from a seed."""

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass


class FaultKind(enum.Enum):
    """One kind of trouble. Several overlap, and the same one may strike again at once."""

    GATEWAY_KILLED = "gateway_killed"
    GATEWAY_STOPPED = "gateway_stopped"
    GATEWAY_PAUSED = "gateway_paused"
    GATEWAY_RELOADED = "gateway_reloaded"
    ALL_KILLED = "all_killed"
    BACKEND_FAULTY = "backend_faulty"
    BACKEND_LEAVES = "backend_leaves"
    BACKEND_CRASHES = "backend_crashes"
    BACKEND_REPLACED = "backend_replaced"
    BACKEND_LINK = "backend_link"
    STORE_AWAY = "store_away"
    STORE_TURNS_AWAY = "store_turns_away"
    STORE_LINK = "store_link"
    STORE_FORGETS = "store_forgets"
    CONFIG_CHANGE = "config_change"
    CONFIG_SERIES = "config_series"


#: How often each kind is drawn, relative to the others.
_WEIGHTS = {
    FaultKind.GATEWAY_KILLED: 3,
    FaultKind.GATEWAY_STOPPED: 4,
    FaultKind.GATEWAY_PAUSED: 3,
    FaultKind.GATEWAY_RELOADED: 1,
    FaultKind.ALL_KILLED: 1,
    FaultKind.BACKEND_FAULTY: 6,
    FaultKind.BACKEND_LEAVES: 3,
    FaultKind.BACKEND_CRASHES: 2,
    FaultKind.BACKEND_REPLACED: 2,
    FaultKind.BACKEND_LINK: 4,
    FaultKind.STORE_AWAY: 2,
    FaultKind.STORE_TURNS_AWAY: 2,
    FaultKind.STORE_LINK: 2,
    FaultKind.STORE_FORGETS: 2,
    FaultKind.CONFIG_CHANGE: 3,
    FaultKind.CONFIG_SERIES: 1,
}
#: A fault lasts between these times.
_SHORTEST_S, _LONGEST_S = 0.3, 4.0
#: A fault strikes this often on average.
_INTERVAL_S = 0.7
#: The chance that a fault is followed at once by another of its kind.
_SERIES_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a plan."""

    #: When it strikes, from the start of traffic.
    at_s: float
    #: How long it lasts, where it lasts.
    for_s: float
    #: What it is.
    kind: FaultKind
    #: Chooses what it strikes and how.
    pick: int


def plan(seed: int, length_s: float) -> Sequence[Fault]:
    """Return the faults of a run in order of time."""
    rng = random.Random(seed)
    kinds, weights = list(_WEIGHTS), list(_WEIGHTS.values())
    faults: list[Fault] = []
    at_s = rng.expovariate(1 / _INTERVAL_S)
    while at_s < length_s:
        kind = rng.choices(kinds, weights)[0]
        faults.append(Fault(at_s, rng.uniform(_SHORTEST_S, _LONGEST_S), kind, rng.getrandbits(30)))
        pause_s = 0.05 if rng.random() < _SERIES_SHARE else rng.expovariate(1 / _INTERVAL_S)
        at_s += pause_s
    return faults
