"""Replies to watches that are too large, or come too early."""

import asyncio
from typing import cast

from result import Err, Ok, Result

from egretrail.gateway.tests import test_store_sync as readers
from egretrail.store import PlatformFailure, ReplyUnusable, WatchEvents
from egretrail.testing import EgretrailTestCase, FakeStore
from scaffolding.platform.fleet import config

_REPLY_CHARACTERS_MAX = 20_000


class _LargeReplyStore(FakeStore):
    """A store whose client does not take replies beyond a size."""

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        watched = await super().watch(prefix, after_revision, wait_s)
        if isinstance(watched, Ok):
            size = sum(len(entry.value or "") for entry in watched.ok_value.entries)
            if size > _REPLY_CHARACTERS_MAX:
                return Err(ReplyUnusable(prefix, f"{size} characters"))
        return watched


class LargeChangesTest(EgretrailTestCase):
    def test_upstreams_are_followed_after_changes_that_no_reply_can_hold(self) -> None:
        """A reader asked for the same changes for ever, and missed all drains behind them."""

        async def act(setup: readers._ReaderSetup) -> None:
            for number in range(30):
                setup.write(f"large-{number}", "x" * 1_000)
            setup.list("u1", "draining")
            await asyncio.sleep(2.0)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())
            setup.list("u2", "draining")
            setup.configure(config(2, readers._ROUTES))
            await asyncio.sleep(1.0)
            self.assertEqual({"u3", "u4"}, setup.ready())
            self.assertEqual(2, setup.view.config_version)

        readers.StoreSyncTest._run(cast("readers.StoreSyncTest", self), act, _LargeReplyStore())


class _HastyStore(FakeStore):
    """A store that lets no watch wait."""

    watches = 0

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        self.watches += 1
        return await super().watch(prefix, after_revision, 0.0)


class EarlyReplyTest(EgretrailTestCase):
    def test_watches_that_end_at_once_are_paced(self) -> None:
        """A reader made thousands of calls a second, and did nothing else."""
        store = _HastyStore()

        async def act(setup: readers._ReaderSetup) -> None:
            before = store.watches
            await asyncio.sleep(2.0)
            self.assertLess(store.watches - before, 40)
            setup.list("u1", "draining")
            setup.configure(config(2, readers._ROUTES))
            await asyncio.sleep(0.5)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())
            self.assertEqual(2, setup.view.config_version)

        readers.StoreSyncTest._run(cast("readers.StoreSyncTest", self), act, store)
