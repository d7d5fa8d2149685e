"""Service-level objectives: counts of good and bad responses, error budgets and burn rates."""

from egretrail.report._burn import (
    WINDOWS_S,
    BurnRate,
    Objective,
    RouteBurn,
    budget_left,
    burn_rate,
)
from egretrail.report._messages import (
    EjectionReport,
    InstanceReport,
    ReportAsk,
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
    "FleetReport",
    "InstanceReport",
    "Objective",
    "ReportAsk",
    "RouteBurn",
    "RouteCounts",
    "ServiceSummary",
    "budget_left",
    "burn_rate",
    "summarise",
]
