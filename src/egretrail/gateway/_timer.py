"""A callback at a time that may be brought forward."""

import asyncio
from collections.abc import Callable


class Timer:
    """Calls back once at the earliest of the times that were asked for."""

    def __init__(self, loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
        self._loop = loop
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._due_s = 0.0

    def at(self, due_s: float) -> None:
        """Call back at a time of the loop's clock, or sooner where that is set already."""
        if self._handle is not None:
            if self._due_s <= due_s:
                return
            self._handle.cancel()
        self._due_s = due_s
        self._handle = self._loop.call_at(due_s, self._run)

    def stop(self) -> None:
        """Do not call back before the next time that is asked for."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run(self) -> None:
        self._handle = None
        self._callback()
