"""Service-level objectives: counts of good and bad responses, error budgets and burn rates."""

from egretrail.report._burn import (
    WINDOWS_S,
    BurnRate,
    Objective,
    RouteBurn,
    burn_rate,
    remaining_budget,
)
from egretrail.report._messages import (
    EjectionReport,
    FetchReport,
    InstanceReport,
    RouteCounts,
)
from egretrail.report._recorder import AnswerKind, BurnRecorder
from egretrail.report._summary import FleetReport, ServiceSummary, summarise

__all__ = [
    "WINDOWS_S",
    "AnswerKind",
    "BurnRate",
    "BurnRecorder",
    "EjectionReport",
    "FetchReport",
    "FleetReport",
    "InstanceReport",
    "Objective",
    "RouteBurn",
    "RouteCounts",
    "ServiceSummary",
    "burn_rate",
    "remaining_budget",
    "summarise",
]
