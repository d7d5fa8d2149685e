"""Answers of the store that state a position which the store has not reached."""

import asyncio
from dataclasses import replace
from typing import cast

from result import Result

from egretrail.gateway._awaited_upstreams import AwaitedUpstreams
from egretrail.gateway.tests import test_store_sync as readers
from egretrail.gateway.tests.store_fleet import StoreFleet
from egretrail.store import PlatformFailure, Snapshot, WatchEvents, needs_confirmation
from egretrail.testing import EgretrailTestCase, FakeStore, cases
from egretrail.traffic import UpstreamTable, store_revision
from scaffolding.platform.fleet import config


class _MisleadingStore(FakeStore):
    """A store of which some answers state a position that it has not reached."""

    #: Added to the revision of the following answers, and how many those are.
    ahead, answers = 0, 0

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        read = await super().snapshot(prefix, stale=stale)
        return read.map(lambda found: replace(found, revision=found.revision + self._next_ahead()))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        watched = await super().watch(prefix, after_revision, wait_s)
        return watched.map(
            lambda found: replace(found, revision=found.revision + self._next_ahead())
        )

    def _next_ahead(self) -> int:
        self.answers -= 1
        return self.ahead if self.answers >= 0 else 0


class DecisionTest(EgretrailTestCase):
    @cases(
        {
            "the first": (0, 500, False),
            "the first, far": (0, 1 << 30, True),
            "later": (1 << 30, (1 << 30) + 9, False),
            "earlier": (1 << 30, 5, False),
            "far ahead": (1 << 30, 1 << 31, True),
            "another era": (7, store_revision(1, 7), True),
        }
    )
    def test_positions_that_need_another_call(self, case: tuple[int, int, bool]) -> None:
        known, stated, expected = case
        self.assertIs(expected, needs_confirmation(known, stated))

    def test_a_position_far_ahead_of_all_reports_is_given_up(self) -> None:
        """Guards against a list that no instance may change, and against one given up in haste."""
        table, awaited = UpstreamTable(), AwaitedUpstreams()
        table.replace([], 1 << 30)
        for revision, now_s in ((50, 0.0), (1 << 30, 1.0), (50, 1.5), (51, 3.4), (0, 3.5)):
            awaited.record_lower(table, revision, now_s)
        awaited.record_lower(table, 52, 4.0)
        awaited.record_lower(table, 53, 5.9)
        self.assertEqual(1 << 30, table.revision)
        awaited.record_lower(table, 53, 6.1)
        self.assertEqual((1, False), (table.revision, table.replace([], 1 << 30)))
        self.assertEqual((True, 53), (table.replace([], 53), table.revision))


class PositionTest(EgretrailTestCase):
    """Answers state a position beyond the store's."""

    @cases(
        {
            "answers for a moment": (1 << 30, False, 1_000),
            "answers to a reader that starts again": (1 << 30, True, 1_000),
            "another era": (1 << 45, False, 1_000),
            "one answer": (1 << 30, False, 1),
            "one answer to a reader that starts again": (1 << 30, True, 1),
            "one answer of another era": (1 << 45, False, 1),
            "two answers, slightly ahead": (500, False, 2),
        }
    )
    def test_changes_after_it_are_applied(self, case: tuple[int, bool, int]) -> None:
        """Guards against a reader that waits for a position that the store never reaches."""
        ahead, restarts, answers = case
        store = _MisleadingStore()

        async def act(setup: readers._ReaderSetup) -> None:
            store.ahead, store.answers = ahead, answers
            if restarts:
                setup.sync._calls.cancel()
            setup.list("u5")
            setup.configure(config(2, readers._ROUTES))
            await asyncio.sleep(0.3)
            store.answers = 0
            await asyncio.sleep(1.0)
            setup.list("u1", "draining")
            setup.unlist("u2")
            setup.list("u6")
            setup.configure(config(3, readers._ROUTES))
            await asyncio.sleep(4.0)
            self.assertEqual({"u3", "u4", "u5", "u6"}, setup.ready())
            self.assertEqual(3, setup.view.config_version)

        readers.StoreSyncTest._run(cast("readers.StoreSyncTest", self), act, store)


class FleetPositionTest(EgretrailTestCase):
    @cases({"one answer": 1, "answers for a moment": 1_000})
    def test_all_instances_apply_changes_after_it(self, answers: int) -> None:
        """Guards against a position that instances learn from each other and never leave."""

        async def run() -> None:
            fleet = StoreFleet([3, 2])
            store = fleet.store = _MisleadingStore()
            fleet.configure(1, "s")
            for _ in range(8):
                # The instances start with a list of revision 5.
                fleet.list("u")
            async with fleet.running():
                store.ahead, store.answers = 1 << 30, answers
                fleet.list("v")
                await asyncio.sleep(0.5)
                store.answers = 0
                await asyncio.sleep(5.0)
                fleet.list("u", "draining")
                fleet.list("w")
                fleet.configure(2, "s")
                await asyncio.sleep(6.0)
                for address, view in fleet.views.items():
                    ready = {record.name for record in view.upstreams.ready("s")}
                    self.assertEqual({"v", "w"}, ready, address)
                    self.assertEqual(2, view.config_version, address)

        self.run_paused(run())
