"""Generates a random plan of faults from a seed."""

import enum
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


class FaultKind(enum.Enum):
    """The kinds of fault and load pattern; several may overlap, also of the same kind."""

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
    ACCOUNT_SURGES = "account_surges"
    KIND_BURSTS = "kind_bursts"
    CLIENTS_RETURN_AT_ONCE = "clients_return_at_once"
    CLIENTS_READ_SLOWLY = "clients_read_slowly"
    BACKENDS_UNEQUAL = "backends_unequal"
    PATHS_CUT_HUB_KILLED = "paths_cut_hub_killed"
    ODD_ENTRIES = "odd_entries"
    ODD_CONFIG = "odd_config"
    STORE_NONSENSE = "store_nonsense"
    STORE_PARTIAL = "store_partial"
    STORE_RESTORED = "store_restored"
    PEERS_CUT = "peers_cut"


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
#: Relative frequency of each load pattern, and of the fault that goes with them. They are drawn
#: apart from the faults, so that a seed keeps the faults that it had without them.
_LOAD_WEIGHTS = {
    FaultKind.ACCOUNT_SURGES: 2,
    FaultKind.KIND_BURSTS: 3,
    FaultKind.CLIENTS_RETURN_AT_ONCE: 2,
    FaultKind.CLIENTS_READ_SLOWLY: 2,
    FaultKind.BACKENDS_UNEQUAL: 2,
    FaultKind.PATHS_CUT_HUB_KILLED: 2,
}
#: Relative frequency of each kind of trouble with what the store holds and says, drawn apart too.
_ODD_WEIGHTS = {
    FaultKind.ODD_ENTRIES: 4,
    FaultKind.ODD_CONFIG: 2,
    FaultKind.STORE_NONSENSE: 2,
    FaultKind.STORE_PARTIAL: 2,
    FaultKind.STORE_RESTORED: 1,
    FaultKind.PEERS_CUT: 2,
}
#: Bounds of the duration of a fault.
_DURATION_MIN_S, _DURATION_MAX_S = 0.3, 4.0
#: Mean time between the starts of faults.
_INTERVAL_S = 0.7
#: Mean time between the starts of load patterns, which last longer than this on average.
_LOAD_INTERVAL_S = 1.8
#: Mean time between the starts of trouble with what the store holds and says.
_ODD_INTERVAL_S = 1.2
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
    """Return the faults and load patterns of a run, ordered by start time."""
    faults = _draw(random.Random(seed), _WEIGHTS, _INTERVAL_S, length_s)
    loads = _draw(random.Random(f"load {seed}"), _LOAD_WEIGHTS, _LOAD_INTERVAL_S, length_s)
    odd = _draw(random.Random(f"odd {seed}"), _ODD_WEIGHTS, _ODD_INTERVAL_S, length_s)
    return sorted([*faults, *loads, *odd], key=lambda fault: fault.at_s)


def _draw(
    rng: random.Random, weights_by_kind: Mapping[FaultKind, int], interval_s: float, length_s: float
) -> Sequence[Fault]:
    kinds, weights = list(weights_by_kind), list(weights_by_kind.values())
    faults: list[Fault] = []
    at_s = rng.expovariate(1 / interval_s)
    while at_s < length_s:
        kind = rng.choices(kinds, weights)[0]
        faults.append(
            Fault(at_s, rng.uniform(_DURATION_MIN_S, _DURATION_MAX_S), kind, rng.getrandbits(30))
        )
        pause_s = 0.05 if rng.random() < _IMMEDIATE_NEXT_SHARE else rng.expovariate(1 / interval_s)
        at_s += pause_s
    return faults
