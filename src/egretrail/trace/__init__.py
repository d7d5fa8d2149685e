"""Traces of requests and faults, and a simulator that replays them with the real decision code."""

from egretrail.trace._baselines import BASELINES
from egretrail.trace._egretrail import EgretrailFactory, Variant
from egretrail.trace._figures import Detection, Figures, figures, quantile
from egretrail.trace._format import TRACE_VERSION, MalformedTrace, parse_trace, trace_lines
from egretrail.trace._oracle import Oracle
from egretrail.trace._player import Ending, Player, PlayLog, RequestLog
from egretrail.trace._policy import Policy, PolicyFactory
from egretrail.trace._recipes import RECIPES, Recipe
from egretrail.trace._records import (
    Expectation,
    Fault,
    FaultKind,
    MemberLost,
    Trace,
    TracedMember,
    TracedRequest,
    TracedUpstream,
    TraceHeader,
)
from egretrail.trace._sites import (
    READS,
    WRITES,
    Deployment,
    Load,
    ServiceProfile,
    capacity_per_s,
    constant_rate,
    generate_requests,
    make_header,
)
from egretrail.trace._summary import (
    HELD_OUT_SEEDS,
    TUNING_SEEDS,
    Row,
    UnmetExpectation,
    play,
    table,
)
from egretrail.trace._targets import Target, slowdown, targets

__all__ = [
    "BASELINES",
    "HELD_OUT_SEEDS",
    "READS",
    "RECIPES",
    "TRACE_VERSION",
    "TUNING_SEEDS",
    "WRITES",
    "Deployment",
    "Detection",
    "EgretrailFactory",
    "Ending",
    "Expectation",
    "Fault",
    "FaultKind",
    "Figures",
    "Load",
    "MalformedTrace",
    "MemberLost",
    "Oracle",
    "PlayLog",
    "Player",
    "Policy",
    "PolicyFactory",
    "Recipe",
    "RequestLog",
    "Row",
    "ServiceProfile",
    "Target",
    "Trace",
    "TraceHeader",
    "TracedMember",
    "TracedRequest",
    "TracedUpstream",
    "UnmetExpectation",
    "Variant",
    "capacity_per_s",
    "constant_rate",
    "figures",
    "generate_requests",
    "make_header",
    "parse_trace",
    "play",
    "quantile",
    "slowdown",
    "table",
    "targets",
    "trace_lines",
]
