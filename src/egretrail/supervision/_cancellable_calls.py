"""Calls that may be cancelled all at once, so that their callers make them again."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

T = TypeVar("T")


class CancellableCalls(Generic[T]):
    """Runs calls; cancelling them leaves the tasks that await them running."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[T | None]] = set()

    async def run(self, call: Coroutine[Any, Any, T | None]) -> T | None:
        """Run a call and return its result, or None if it was cancelled."""
        task = asyncio.get_running_loop().create_task(call)
        self._tasks.add(task)
        try:
            await asyncio.wait([task])
        finally:
            self._tasks.discard(task)
            task.cancel()
        return None if task.cancelled() else task.result()

    def cancel(self) -> None:
        """Cancel all calls that are in progress."""
        for task in self._tasks:
            task.cancel()
