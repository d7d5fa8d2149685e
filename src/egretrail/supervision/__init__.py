"""Keeps the long-lived tasks of a process running when one of them fails."""

from egretrail.supervision._adaptive_timeout import AdaptiveTimeout
from egretrail.supervision._backoff import RestartBackoff
from egretrail.supervision._cancellable_calls import CancellableCalls
from egretrail.supervision._errors import describe_error, error_place
from egretrail.supervision._listening import open_when_free
from egretrail.supervision._loop_errors import LoopErrors
from egretrail.supervision._supervisor import Supervisor, TaskEnded

__all__ = [
    "AdaptiveTimeout",
    "CancellableCalls",
    "LoopErrors",
    "RestartBackoff",
    "Supervisor",
    "TaskEnded",
    "describe_error",
    "error_place",
    "open_when_free",
]
