"""Explains single requests and counts lost requests from the text lines of gateways' logs."""

from egretrail.diagnosis._cause import Cause, CauseKind, find_cause
from egretrail.diagnosis._lines import LogLine, parse_lines
from egretrail.diagnosis._losses import LossReport, LostRequest, find_losses
from egretrail.diagnosis._tables import (
    AttemptCounts,
    Dimension,
    LossTables,
    Outcome,
    RefusalCounts,
    RequestCounts,
    SlotState,
)
from egretrail.diagnosis._timeline import RequestTimeline, build_timeline

__all__ = [
    "AttemptCounts",
    "Cause",
    "CauseKind",
    "Dimension",
    "LogLine",
    "LossReport",
    "LossTables",
    "LostRequest",
    "Outcome",
    "RefusalCounts",
    "RequestCounts",
    "RequestTimeline",
    "SlotState",
    "build_timeline",
    "find_cause",
    "find_losses",
    "parse_lines",
]
