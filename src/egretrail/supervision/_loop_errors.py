"""Errors that no caller awaits: of callbacks, protocols and abandoned tasks."""

import asyncio
from collections.abc import Callable
from typing import Any

from egretrail.supervision._errors import describe_error, error_place


class LoopErrors:
    """Logs and counts the errors that reach the event loop.

    The loop's own handler writes tracebacks to standard error, where a slow reader would block the
    process.
    """

    def __init__(self, log_event: Callable[..., None]) -> None:
        self._log_event = log_event
        #: How many errors reached the loop.
        self.total = 0

    def handle(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error; set as the event loop's exception handler."""
        self.total += 1
        error = context.get("exception")
        cause = place = ""
        if isinstance(error, BaseException):
            cause, place = describe_error(error), error_place(error)
        self._log_event("loop_error", message=context.get("message", ""), cause=cause, place=place)
