"""Traces: recorded requests and faults, and a player for them through the real decisions."""

from egretrail.trace._baselines import BASELINES
from egretrail.trace._egretrail import EgretrailFactory, Variant
from egretrail.trace._figures import Detection, Figures, figures, quantile
from egretrail.trace._oracle import Oracle
from egretrail.trace._player import Ending, Player, PlayLog, RequestLog
from egretrail.trace._policy import Policy, PolicyFactory
from egretrail.trace._recipes import RECIPES, Deployment, Recipe
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

__all__ = [
    "BASELINES",
    "RECIPES",
    "Deployment",
    "Detection",
    "EgretrailFactory",
    "Ending",
    "Expectation",
    "Fault",
    "FaultKind",
    "Figures",
    "MemberLost",
    "Oracle",
    "PlayLog",
    "Player",
    "Policy",
    "PolicyFactory",
    "Recipe",
    "RequestLog",
    "Trace",
    "TraceHeader",
    "TracedMember",
    "TracedRequest",
    "TracedUpstream",
    "Variant",
    "figures",
    "quantile",
]
