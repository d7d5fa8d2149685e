"""A timer that can be rescheduled to an earlier time, and goes on after errors."""

import asyncio
from collections.abc import Callable

#: A call that failed is made again after this time, since it may have to schedule the next one.
_RETRY_S = 0.5


class Timer:
    """Calls a function once, at the earliest of the scheduled times; again if it fails."""

    def __init__(self, loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
        self._loop = loop
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._due_s = 0.0

    def schedule_at(self, due_s: float) -> None:
        """Schedule the call at a time of the event loop's clock, or keep an earlier schedule."""
        if self._handle is not None:
            if self._due_s <= due_s:
                return
            self._handle.cancel()
        self._due_s = due_s
        self._handle = self._loop.call_at(due_s, self._run)

    def cancel(self) -> None:
        """Cancel the scheduled call, if any."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run(self) -> None:
        self._handle = None
        try:
            self._callback()
        except Exception as error:
            self._loop.call_exception_handler({"message": "a timer failed", "exception": error})
            self.schedule_at(self._loop.time() + _RETRY_S)
