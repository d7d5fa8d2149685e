"""Answers of the store that state a position which the store has not reached."""

import asyncio
from dataclasses import replace
from typing import cast

from result import Result

from egretrail.gateway.tests import test_store_sync as readers
from egretrail.store import PlatformFailure, Snapshot, WatchEvents
from egretrail.testing import EgretrailTestCase, FakeStore, cases
from scaffolding.platform.fleet import config


class _MisleadingStore(FakeStore):
    """A store of which some answers state a position that it has not reached."""

    #: Added to the revision of the following answers.
    ahead = 0

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        read = await super().snapshot(prefix, stale=stale)
        return read.map(lambda found: replace(found, revision=found.revision + self.ahead))

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        watched = await super().watch(prefix, after_revision, wait_s)
        return watched.map(lambda found: replace(found, revision=found.revision + self.ahead))


class PositionTest(EgretrailTestCase):
    """One answer states a position far beyond the store's."""

    @cases(
        {
            "answers for a moment": (1 << 30, False),
            "answers to a reader that starts again": (1 << 30, True),
            "another era": (1 << 45, False),
        }
    )
    def test_changes_after_it_are_applied(self, case: tuple[int, bool]) -> None:
        """Guards against a reader that waits for a position that the store never reaches."""
        ahead, restarts = case
        store = _MisleadingStore()

        async def act(setup: readers._ReaderSetup) -> None:
            store.ahead = ahead
            if restarts:
                setup.sync._calls.cancel()
            setup.list("u5")
            setup.configure(config(2, readers._ROUTES))
            await asyncio.sleep(0.3)
            store.ahead = 0
            await asyncio.sleep(1.0)
            setup.list("u1", "draining")
            setup.unlist("u2")
            setup.list("u6")
            setup.configure(config(3, readers._ROUTES))
            await asyncio.sleep(4.0)
            self.assertEqual({"u3", "u4", "u5", "u6"}, setup.ready())
            self.assertEqual(3, setup.view.config_version)

        readers.StoreSyncTest._run(cast("readers.StoreSyncTest", self), act, store)
