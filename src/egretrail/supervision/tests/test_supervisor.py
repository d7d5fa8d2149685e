"""Restarts of failed tasks on a paused clock."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

from egretrail.supervision import LoopErrors, RestartBackoff, Supervisor
from egretrail.testing import EgretrailTestCase, cases


class _UnprintableError(Exception):
    def __repr__(self) -> str:
        raise ValueError("no text")


async def _raise(error: BaseException) -> None:
    raise error


async def _await_a_cancelled_task() -> None:
    inner = asyncio.ensure_future(asyncio.sleep(1.0))
    inner.cancel()
    await inner


async def _return() -> None:
    return


class BackoffTest(EgretrailTestCase):
    def test_delays_double_up_to_a_maximum_and_vary(self) -> None:
        # An error that lasts must not take the processor.
        backoff = RestartBackoff(random.Random(1))
        delays = [backoff.next_delay_s(0.0) for _ in range(20)]
        self.assertTrue(0.075 <= delays[0] <= 0.125, delays)
        self.assertTrue(all(1.5 <= delay <= 2.5 for delay in delays[5:]), delays)
        self.assertGreater(len(set(delays)), 15)

    def test_a_task_that_ran_well_starts_from_the_first_delay(self) -> None:
        # Single errors hours apart must not add up.
        backoff = RestartBackoff(random.Random(1))
        for _ in range(20):
            backoff.next_delay_s(9.0)
        self.assertGreater(backoff.next_delay_s(9.0), 1.0)
        self.assertLess(backoff.next_delay_s(10.0), 0.2)


class SupervisorTest(EgretrailTestCase):
    def _run(self, act: Callable[[Supervisor, list[dict[str, Any]]], Any]) -> None:
        async def run() -> None:
            lines: list[dict[str, Any]] = []
            supervisor = Supervisor(
                lambda name, **fields: lines.append({"event": name, **fields}), random.Random(1)
            )
            await act(supervisor, lines)

        self.run_paused(run())

    @cases(
        {
            "an error": (lambda: _raise(RuntimeError("x")), "RuntimeError('x')"),
            "a group": (
                lambda: _raise(ExceptionGroup("g", [KeyError("x")])),
                "ExceptionGroup('g', [KeyError('x')])",
            ),
            "no memory": (lambda: _raise(MemoryError()), "MemoryError()"),
            "no text": (lambda: _raise(_UnprintableError()), "_UnprintableError"),
            "a task inside is cancelled": (_await_a_cancelled_task, "CancelledError()"),
            "it returns": (_return, "TaskEnded('it returned')"),
        }
    )
    def test_a_failed_task_is_started_again_and_others_go_on(self, case: tuple[Any, str]) -> None:
        # The first error of any task ended the process.
        work, cause = case
        starts: list[float] = []
        ticks: list[float] = []
        discarded: list[float] = []

        async def act(supervisor: Supervisor, lines: list[dict[str, Any]]) -> None:
            loop = asyncio.get_running_loop()

            async def failing() -> None:
                starts.append(loop.time())
                await work()

            async def sound() -> None:
                while True:
                    await asyncio.sleep(1.0)
                    ticks.append(loop.time())

            def discard() -> None:
                discarded.append(loop.time())

            tasks = [
                loop.create_task(supervisor.run("failing", failing, discard)),
                loop.create_task(supervisor.run("sound", sound)),
            ]
            await asyncio.sleep(60.5)
            self.assertEqual(60, len(ticks))
            # Doubled delays from 0.1 to 2 s.
            self.assertTrue(25 <= len(starts) <= 45, len(starts))
            self.assertEqual(len(starts), len(discarded))
            self.assertEqual({"task_failed"}, {line["event"] for line in lines})
            self.assertEqual({cause}, {line["cause"] for line in lines})
            self.assertEqual({"failing"}, {line["task"] for line in lines})
            self.assertEqual({"failing": len(lines), "sound": 0}, supervisor.restart_counts())
            gauges = {"tasks_failing": 1, 'task_restarts_total{task="sound"}': 0}
            self.assertEqual(gauges, {k: supervisor.gauges()[k] for k in gauges})
            await self._stop(tasks)

        self._run(act)

    def test_the_place_of_an_error_is_logged(self) -> None:
        # Without it, an error in the field could not be traced.
        async def act(supervisor: Supervisor, lines: list[dict[str, Any]]) -> None:
            work = asyncio.create_task(supervisor.run("failing", lambda: _raise(RuntimeError("x"))))
            await asyncio.sleep(0.01)
            self.assertRegex(lines[0]["place"], r"^test_supervisor\.py:\d+:_raise<")
            self.assertGreater(lines[0]["restart_s"], 0.0)
            await self._stop([work])

        self._run(act)

    def test_a_task_whose_state_cannot_be_discarded_is_started_again(self) -> None:
        # The handler of a failure is code like any other.
        async def act(supervisor: Supervisor, lines: list[dict[str, Any]]) -> None:
            def discard() -> None:
                raise KeyError("y")

            work = asyncio.create_task(
                supervisor.run("failing", lambda: _raise(RuntimeError("x")), discard)
            )
            await asyncio.sleep(1.0)
            causes = [line["cause"] for line in lines[:4]]
            self.assertEqual(["RuntimeError('x')", "KeyError('y')"] * 2, causes)
            await self._stop([work])

        self._run(act)

    def test_a_task_counts_as_failing_until_it_has_run_for_a_while(self) -> None:
        errors = iter([RuntimeError("x")])

        async def act(supervisor: Supervisor, lines: list[dict[str, Any]]) -> None:
            async def fail_once() -> None:
                for error in errors:
                    raise error
                await asyncio.sleep(3600.0)

            work = asyncio.create_task(supervisor.run("failing", fail_once))
            await asyncio.sleep(9.0)
            self.assertEqual(1, supervisor.failing_count())
            await asyncio.sleep(2.0)
            self.assertEqual(0, supervisor.failing_count())
            await self._stop([work])

        self._run(act)

    @cases({"while it runs": 0.0, "while it waits": 1.0})
    def test_a_cancelled_task_ends_at_once(self, fails: float) -> None:
        # A stop must take no longer.
        async def act(supervisor: Supervisor, lines: list[dict[str, Any]]) -> None:
            async def work() -> None:
                if fails:
                    raise RuntimeError("x")
                await asyncio.sleep(3600.0)

            task = asyncio.create_task(supervisor.run("task", work))
            await asyncio.sleep(5.0)
            await self._stop([task])

        self._run(act)

    @cases({"an interrupt": KeyboardInterrupt(), "an exit": SystemExit(3)})
    def test_a_wanted_end_of_the_process_is_none_of_its_failures(
        self, error: BaseException
    ) -> None:
        async def act(supervisor: Supervisor, lines: list[dict[str, Any]]) -> None:
            await supervisor.run("task", lambda: _raise(error))

        self.assertRaises(type(error), self._run, act)

    async def _stop(self, tasks: Sequence["asyncio.Task[Any]"]) -> None:
        began_s = asyncio.get_running_loop().time()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertTrue(all(task.cancelled() for task in tasks))
        self.assertEqual(began_s, asyncio.get_running_loop().time())


class LoopErrorsTest(EgretrailTestCase):
    def test_an_error_of_a_callback_is_logged_and_counted(self) -> None:
        # The loop's own handler may block at standard error.
        lines: list[dict[str, Any]] = []
        errors = LoopErrors(lambda name, **fields: lines.append({"event": name, **fields}))

        def fail() -> None:
            raise RuntimeError("x")

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(errors.handle)
            loop.call_soon(fail)
            loop.call_exception_handler({"message": "no error at hand"})
            await asyncio.sleep(0.1)

        self.run_paused(run())
        self.assertEqual(2, errors.total)
        causes = sorted(line["cause"] for line in lines)
        self.assertEqual(["", "RuntimeError('x')"], causes)
