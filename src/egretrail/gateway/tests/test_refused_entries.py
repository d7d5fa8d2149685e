"""A reader of the store refuses odd entries: what it costs, and what the operator sees of it."""

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable

from result import Result

from egretrail.gateway import InvalidDocument
from egretrail.gateway._log import EventLog
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._store_sync import StoreSync
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.platform import PlatformLayout
from egretrail.store import Entry
from egretrail.testing import EgretrailTestCase, FakeStore, cases
from egretrail.traffic import UpstreamRecord
from scaffolding.platform import StandInBackend
from scaffolding.platform.fleet import config, route

_ENTRY = {**StandInBackend("s", "zone-a").store_entry(), "address": "10.0.0.1:1"}
#: The start of an upstream and the readers' wall clock, in milliseconds of Unix time.
_STARTED_MS, _NOW_MS = 1_790_000_000_000, 1_790_000_100_000
_LAYOUT = PlatformLayout(clock=lambda: _NOW_MS / 1_000)
_ROUTES = [route("read", "/read/", "s")]


class _Reader(StoreSync):
    """Reads the store whenever the test lets it."""

    is_reader = True

    def should_read(self) -> bool:
        return self.is_reader


class _Setup:
    """A reader of a store with a configuration and three upstreams, and its log."""

    def __init__(self) -> None:
        rng = random.Random(1)
        self._receiver, sender = os.pipe()
        self._log = EventLog("test", sender)
        own = gateway_settings()
        self.store = FakeStore()
        self.view = FleetView(own, 1, asyncio.get_running_loop().time, self._log, rng)
        peers = PeerLinks(own, self.view, self._log, rng)
        self.sync = _Reader(own, self.view, self.store, _LAYOUT, peers, self._log, rng)
        self.write(_LAYOUT.config_path, config(1, _ROUTES))
        for name in ("u1", "u2", "u3"):
            self.list(name)

    def write(self, path: str, document: object) -> None:
        """Write a document, or remove a path."""
        self.store._apply(path, None if document is None else json.dumps(document))

    def list(self, name: str, **changes: object) -> None:
        """Write an upstream's entry."""
        self.write(_LAYOUT.upstreams_prefix + name, {**_ENTRY, **changes})

    def unlist(self, name: str) -> None:
        """Remove an upstream's entry."""
        self.write(_LAYOUT.upstreams_prefix + name, None)

    def ready(self) -> set[str]:
        """Return the names of the upstreams that are ready here."""
        return {record.name for record in self.view.upstreams.ready("s")}

    def lines(self, event: str) -> int:
        """Return how many lines of an event were written since the last call."""
        self._log.flush()
        return os.read(self._receiver, 1 << 16).decode().count(f" event={event} ")


Act = Callable[[_Setup], Awaitable[None]]


class RefusedEntriesTest(EgretrailTestCase):
    def _run(self, act: Act) -> None:
        async def run() -> None:
            setup = _Setup()
            task = asyncio.create_task(setup.sync.run())
            await asyncio.sleep(1.0)
            try:
                await act(setup)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        self.run_paused(run())

    async def _read_anew(self, setup: _Setup) -> None:
        setup.store.discard_history()
        setup.sync.use_store(setup.store)
        await asyncio.sleep(1.0)

    @cases(
        {
            "an upstream's": _LAYOUT.upstreams_prefix + "odd",
            "the configuration": _LAYOUT.config_path,
        }
    )
    def test_a_refusal_is_told_once_for_each_change(self, path: str) -> None:
        """Each complete read told every refused entry again."""

        async def act(setup: _Setup) -> None:
            event, refused = "upstream_refused", setup.sync.refused_upstreams
            if path == _LAYOUT.config_path:
                event, refused = "config_refused", setup.sync.refused_configs
            for number, odd in enumerate(({"slots": 0}, {"slots": 0, "version": "1"}, []), 1):
                setup.write(path, odd)
                await asyncio.sleep(1.0)
                self.assertEqual((1, 1), (setup.lines(event), refused.present))
                self.assertEqual(number, refused.total)
                await self._read_anew(setup)
                setup.write(path, odd)
                await self._read_anew(setup)
                self.assertEqual((0, 1), (setup.lines(event), refused.present))
            setup.write(path, None)
            await asyncio.sleep(1.0)
            self.assertEqual((0, 3), (refused.present, refused.total))
            setup.write(path, [])
            await asyncio.sleep(1.0)
            self.assertEqual((1, 1), (setup.lines(event), refused.present))

        self._run(act)

    @cases({"valid": True, "removed unseen": False})
    def test_a_refusal_ends_with_its_entry(self, becomes_valid: bool) -> None:
        """The gauge must not tell of entries that are mended or gone."""

        async def act(setup: _Setup) -> None:
            setup.list("odd", slots=0)
            await asyncio.sleep(1.0)
            self.assertEqual(1, setup.sync.refused_upstreams.present)
            if becomes_valid:
                setup.list("odd")
                await asyncio.sleep(1.0)
            else:
                setup.unlist("odd")
                await self._read_anew(setup)
            self.assertEqual(0, setup.sync.refused_upstreams.present)

        self._run(act)

    def test_an_instance_that_stops_reading_reports_no_refusals(self) -> None:
        """A former reader would show its last count for as long as it runs."""

        async def act(setup: _Setup) -> None:
            setup.list("odd", slots=0)
            await asyncio.sleep(1.0)
            setup.sync.is_reader = False
            await asyncio.sleep(10.0)
            self.assertEqual(0, setup.sync.refused_upstreams.present)

        self._run(act)

    def test_odd_entries_cost_only_themselves(self) -> None:
        """One odd entry among the upstreams stopped the following of all."""

        async def act(setup: _Setup) -> None:
            for number in range(50):
                setup.list(f"odd{number}", address="10.0.0.1:" + "9" * (4_000 + 50 * number))
            setup.list("\udc80")
            setup.list("u4")
            setup.list("u1", state="draining")
            await asyncio.sleep(1.0)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())
            self.assertEqual(51, setup.sync.refused_upstreams.present)
            await self._read_anew(setup)
            setup.unlist("u2")
            await asyncio.sleep(1.0)
            self.assertEqual({"u3", "u4"}, setup.ready())

        self._run(act)

    @cases(
        {
            "in a change": (False, False),
            "in a complete list": (True, False),
            "in a change, then removed": (False, True),
        }
    )
    def test_an_upstream_whose_entry_became_odd_in_an_outage_is_not_kept(
        self, case: tuple[bool, bool]
    ) -> None:
        """Only what expired in an outage is kept; an odd entry replaces the valid one before it."""
        history_is_gone, is_removed = case

        async def act(setup: _Setup) -> None:
            setup.store.set_out(True)
            await asyncio.sleep(4.0)
            setup.list("u1", slots=0)
            if is_removed:
                setup.unlist("u1")
            setup.unlist("u2")
            if history_is_gone:
                setup.store.discard_history()
            setup.store.set_out(False)
            await asyncio.sleep(1.5)
            self.assertEqual({"u2", "u3"}, setup.ready())
            await asyncio.sleep(4.0)
            self.assertEqual({"u3"}, setup.ready())

        self._run(act)

    @cases({"in changes": False, "in complete lists": True})
    def test_an_entry_with_a_start_in_the_future_outlasts_nothing(self, is_complete: bool) -> None:
        """Its start was remembered as the newest one and hid all that the upstream wrote."""

        async def act(setup: _Setup) -> None:
            async def write(started_ms: int, state: str = "ready") -> None:
                setup.list("u1", born=started_ms, state=state)
                await asyncio.sleep(1.0)
                if is_complete:
                    await self._read_anew(setup)

            odd_ms = _NOW_MS + 10 * 365 * 86_400_000
            await write(_STARTED_MS)
            await write(odd_ms)
            await write(_STARTED_MS)
            self.assertEqual({"u1", "u2", "u3"}, setup.ready())
            await write(odd_ms)
            await write(_STARTED_MS, "draining")
            self.assertEqual({"u2", "u3"}, setup.ready())
            drained = setup.view.upstreams.find_by_name("u1")
            assert drained is not None
            self.assertEqual(_STARTED_MS, drained.started_ms)
            setup.unlist("u1")
            await asyncio.sleep(1.0)
            await write(_STARTED_MS + 60_000)
            self.assertEqual({"u1", "u2", "u3"}, setup.ready())

        self._run(act)

    @cases({"in a change": False, "in a complete list": True})
    def test_other_tasks_run_while_many_entries_are_decoded(self, is_complete: bool) -> None:
        """Hundreds of large odd entries would keep a hub from its reports for seconds."""

        async def act(setup: _Setup) -> None:
            layout = _CountingLayout()
            setup.sync._layout = layout
            for number in range(1_000):
                setup.list(f"odd{number}", slots=0)
            if is_complete:
                setup.store.discard_history()
                setup.sync.use_store(setup.store)
            await asyncio.sleep(1.0)
            self.assertGreaterEqual(len(layout.delays), 1_000)
            self.assertLess(max(layout.delays), 100)

        self._run(act)


class _CountingLayout(PlatformLayout):
    """Counts how many entries are decoded while another task waits for its turn."""

    def __init__(self) -> None:
        super().__init__()
        self.delays: list[int] = []
        self._decoded = 0

    def decode_upstream(self, entry: Entry) -> Result[UpstreamRecord, InvalidDocument]:
        self._decoded += 1
        before = self._decoded
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: self.delays.append(self._decoded - before))
        return super().decode_upstream(entry)
