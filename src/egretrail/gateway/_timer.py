"""A timer that can be rescheduled to an earlier time."""

import asyncio
from collections.abc import Callable


class Timer:
    """Calls a function once, at the earliest of the scheduled times."""

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
        self._callback()
