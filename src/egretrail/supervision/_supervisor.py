"""Runs long-lived tasks, and starts those that failed again."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import NoReturn

from egretrail.supervision._backoff import STEADY_S, RestartBackoff
from egretrail.supervision._errors import describe_error, error_place


class TaskEnded(Exception):  # noqa: N818 - named for what happened
    """A task that should run until it is cancelled has returned."""


@dataclass(slots=True)
class _Task:
    """A supervised task."""

    #: Decides when it is started again.
    backoff: RestartBackoff
    #: When it was last started.
    started_s: float = 0.0
    #: Whether it waits to be started again.
    is_waiting: bool = False
    #: How often it was started again.
    restarts: int = 0


class Supervisor:
    """Keeps tasks running until they are cancelled.

    An error of one task ends neither the process nor the other tasks. ``KeyboardInterrupt`` and
    ``SystemExit`` ask for the end of the process and are left alone. A ``MemoryError`` is a failure
    like others: what the task had allocated is free again, and an end of the process would break
    off every request that it serves.
    """

    def __init__(self, log_event: Callable[..., None], rng: random.Random) -> None:
        self._log_event = log_event
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._tasks: dict[str, _Task] = {}

    async def run(
        self,
        name: str,
        work: Callable[[], Awaitable[object]],
        on_failure: Callable[[], None] = lambda: None,
    ) -> NoReturn:
        """Run the task ``name`` until cancelled; start it again whenever it fails or returns.

        ``on_failure`` is called at each failure. It discards the state that the task may have left
        half-way.
        """
        task = self._tasks.setdefault(name, _Task(RestartBackoff(self._rng)))
        while True:
            task.started_s, task.is_waiting = self._loop.time(), False
            error = await _failure(work)
            restart_s = task.backoff.next_delay_s(self._loop.time() - task.started_s)
            task.restarts += 1
            task.is_waiting = True
            self._log_failure(name, error, restart_s)
            # The traceback holds on to everything that the task was working on.
            del error
            try:
                on_failure()
            except Exception as further:
                self._log_failure(name, further, restart_s)
            await asyncio.sleep(restart_s)

    def restart_counts(self) -> Mapping[str, int]:
        """Return how often each task was started again."""
        return {name: task.restarts for name, task in self._tasks.items()}

    def gauges(self) -> Mapping[str, float]:
        """Return the metrics of the tasks by name, with labels."""
        counts = {f'task_restarts_total{{task="{t}"}}': n for t, n in self.restart_counts().items()}
        return {"tasks_failing": self.failing_count(), **counts}

    def failing_count(self) -> int:
        """Return how many tasks are not sound: they wait, or failed only a while ago."""
        steady_since_s = self._loop.time() - STEADY_S
        return sum(
            task.is_waiting or (task.restarts > 0 and task.started_s > steady_since_s)
            for task in self._tasks.values()
        )

    def _log_failure(self, name: str, error: BaseException, restart_s: float) -> None:
        self._log_event(
            "task_failed",
            task=name,
            cause=describe_error(error),
            place=error_place(error),
            restart_s=restart_s,
        )


async def _failure(work: Callable[[], Awaitable[object]]) -> BaseException:
    """Run a task until it fails or returns, and return why; raises CancelledError."""
    try:
        await work()
    except asyncio.CancelledError as error:
        running = asyncio.current_task()
        if running is None or running.cancelling():
            raise
        # Not this task was cancelled, but something that it awaited.
        return error
    except Exception as error:
        return error
    return TaskEnded("it returned")
