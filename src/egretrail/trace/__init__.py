"""Traces: recorded requests and faults, and a player for them through the real decisions."""

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
    Site,
    capacity_per_s,
    header_of,
    requests_of,
    steady,
)
from egretrail.trace._summary import HELD_OUT_SEEDS, TUNING_SEEDS, Row, Unmet, play, table
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
    "Site",
    "Target",
    "Trace",
    "TraceHeader",
    "TracedMember",
    "TracedRequest",
    "TracedUpstream",
    "Unmet",
    "Variant",
    "capacity_per_s",
    "figures",
    "header_of",
    "parse_trace",
    "play",
    "quantile",
    "requests_of",
    "slowdown",
    "steady",
    "table",
    "targets",
    "trace_lines",
]
