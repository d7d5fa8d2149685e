"""Checks that timers on the paused loop fire in order without waiting."""

import asyncio

from egretrail.testing import EgretrailTestCase


class PausedLoopTest(EgretrailTestCase):
    def test_an_hour_of_sleep_passes_at_once_and_in_order(self) -> None:
        woken: list[tuple[str, float]] = []

        async def sleeper(name: str, delay_s: float) -> None:
            await asyncio.sleep(delay_s)
            woken.append((name, asyncio.get_running_loop().time()))

        async def both() -> None:
            await asyncio.gather(sleeper("late", 3600.0), sleeper("early", 1.5))

        self.run_paused(both())
        self.assertEqual([("early", 1.5), ("late", 3600.0)], woken)
