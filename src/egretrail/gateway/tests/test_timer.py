"""A timer goes on after its function failed."""

import asyncio

from egretrail.gateway._timer import Timer
from egretrail.testing import EgretrailTestCase


class TimerTest(EgretrailTestCase):
    def test_a_failed_call_is_reported_and_made_again(self) -> None:
        # A hub schedules its next sections while it sends some: after one error it fell silent.
        reported: list[dict[str, object]] = []
        calls: list[float] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: reported.append(context))

            def call() -> None:
                calls.append(loop.time())
                if len(calls) == 1:
                    raise RuntimeError("unforeseen")

            Timer(loop, call).schedule_at(1.0)
            await asyncio.sleep(5.0)

        self.run_paused(run())
        self.assertEqual(2, len(calls))
        self.assertLess(calls[1], 2.0)
        self.assertEqual(["RuntimeError('unforeseen')"], [repr(c["exception"]) for c in reported])

    def test_a_timer_that_is_cancelled_after_a_failure_makes_no_call(self) -> None:
        # An instance that gave up the hub role must not send sections again.
        calls: list[float] = []

        async def run() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda *_: None)

            def call() -> None:
                calls.append(loop.time())
                raise RuntimeError("unforeseen")

            timer = Timer(loop, call)
            timer.schedule_at(1.0)
            await asyncio.sleep(1.01)
            timer.cancel()
            await asyncio.sleep(5.0)

        self.run_paused(run())
        self.assertEqual([1.0], calls)
