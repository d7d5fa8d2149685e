"""Explains single requests and counts losses from the gateways' logs; reads only text lines."""

from egretrail.diagnosis._cause import Cause, Kind, find_cause
from egretrail.diagnosis._lines import LogLine, parse_lines
from egretrail.diagnosis._losses import LossReport, LostRequest, find_losses
from egretrail.diagnosis._story import Story, tell_story

__all__ = [
    "Cause",
    "Kind",
    "LogLine",
    "LossReport",
    "LostRequest",
    "Story",
    "find_cause",
    "find_losses",
    "parse_lines",
    "tell_story",
]
