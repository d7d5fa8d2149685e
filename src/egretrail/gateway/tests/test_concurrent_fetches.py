"""Concurrent fetches of state, and the back-off of peers that fail."""

import asyncio

from egretrail.gateway._concurrent_fetches import ConcurrentFetches
from egretrail.testing import EgretrailTestCase


async def _stall() -> None:
    await asyncio.sleep(3600.0)


class ConcurrentFetchesTest(EgretrailTestCase):
    def test_two_more_fetches_start_beside_a_stalled_one(self) -> None:
        async def run() -> list[bool]:
            fetches = ConcurrentFetches()
            fetches.start("a", _stall(), 0.0)
            at_once = [fetches.may_start(peer, 0.2) for peer in ("a", "b")]
            late = [fetches.may_start(peer, 0.4) for peer in ("a", "b")]
            fetches.start("b", _stall(), 0.4)
            fetches.start("c", _stall(), 0.4)
            full = fetches.may_start("d", 1.0)
            fetches.cancel()
            return [*at_once, *late, full]

        self.assertEqual([False, False, False, True, False], self.run_paused(run()))

    def test_no_fetch_starts_beside_one_that_makes_progress(self) -> None:
        async def run() -> list[bool]:
            fetches = ConcurrentFetches()
            fetches.start("a", _stall(), 0.0)
            fetches.record_progress(0.35)
            admitted = [fetches.may_start("b", 0.4), fetches.may_start("b", 0.7)]
            fetches.cancel()
            return admitted

        self.assertEqual([False, True], self.run_paused(run()))

    def test_backoff_grows_with_repeated_failures(self) -> None:
        fetches = ConcurrentFetches()
        durations_s = []
        now_s = 0.0
        for _ in range(4):
            fetches.backoffs.record_failure("a", now_s)
            begun_s = now_s
            while fetches.backoffs.is_backed_off("a", now_s):
                now_s += 0.25
            durations_s.append(now_s - begun_s)
        self.assertEqual([0.5, 1.0, 2.0, 2.0], durations_s)
        fetches.backoffs.record_failure("a", now_s + 10.0)
        self.assertFalse(fetches.backoffs.is_backed_off("a", now_s + 10.6))
