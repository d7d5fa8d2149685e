"""A part of the store's reader that fails ends neither the process nor the other parts."""

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable, Generator
from typing import Any
from unittest import mock

from result import Result

from egretrail.cluster import ChunkedConfig, FetchUpstreams, decode_upstreams
from egretrail.gateway import InvalidDocument
from egretrail.gateway._log import EventLog
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._state_answers import StateAnswers
from egretrail.gateway._store_sync import StoreSync
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.gateway.tests.store_fleet import StoreFleet
from egretrail.platform import PlatformLayout
from egretrail.store import Entry
from egretrail.testing import EgretrailTestCase, FakeStore, cases
from egretrail.traffic import FleetConfig, UpstreamRecord
from scaffolding.platform import StandInBackend
from scaffolding.platform.fleet import config, route

_ROUTES = [route("read", "/read/", "s")]
_ENTRY = {**StandInBackend("s", "zone-a").store_entry(), "address": "10.0.0.1:1"}
#: Longer than the maximum time before a part is started again.
_RESTARTED_S = 3.0


class _FailingLayout(PlatformLayout):
    """Fails with an unforeseen error at an upstream's entry ``odd`` and at the version 7."""

    def decode_upstream(self, entry: Entry) -> Result[UpstreamRecord, InvalidDocument]:
        if entry.path.endswith("odd"):
            raise RuntimeError("an unforeseen entry")
        return super().decode_upstream(entry)

    def decode_config_in_slices(
        self, value: bytes
    ) -> Generator[None, None, Result[FleetConfig, InvalidDocument]]:
        if b'"00000007"' in value:
            raise RuntimeError("an unforeseen configuration")
        return (yield from super().decode_config_in_slices(value))


class _Reader:
    """A reader with its store."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(1)
        log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
        settings = gateway_settings()
        self.store, self.layout = FakeStore(), _FailingLayout()
        self.view = FleetView(settings, 1, loop.time, log, rng)
        peers = PeerLinks(settings, self.view, log, rng)
        self.sync = StoreSync(settings, self.view, self.store, self.layout, peers, log, rng)
        self.configure(1)
        self.list("u1")

    def list(self, name: str) -> None:
        self.store._apply(self.layout.upstreams_prefix + name, json.dumps(_ENTRY))

    def configure(self, version: int) -> None:
        self.store._apply(self.layout.config_path, json.dumps(config(version, _ROUTES)))

    def followed(self) -> tuple[int, set[str]]:
        """Return the version and the upstreams that are in force."""
        return self.view.config_version, {record.name for record in self.view.upstreams.ready("s")}


Act = Callable[[_Reader], Awaitable[None]]


async def _fail(*_: Any) -> None:
    raise RuntimeError("unforeseen")


def _failing_once(act: Callable[..., Any]) -> Callable[..., Any]:
    """Return a function that fails once after it has acted."""
    failures = iter([RuntimeError("unforeseen")])

    def run(*args: Any, **kwargs: Any) -> Any:
        result = act(*args, **kwargs)
        for failure in failures:
            raise failure
        return result

    return run


class FailingPartsTest(EgretrailTestCase):
    def _run(self, act: Act, patched: dict[str, Any] | None = None) -> None:
        async def run() -> None:
            reader = _Reader()
            for name, replacement in (patched or {}).items():
                owner: Any = reader.sync
                *path, last = name.split(".")
                for step in path:
                    owner = getattr(owner, step)
                setattr(owner, last, replacement)
            task = asyncio.get_running_loop().create_task(reader.sync.run())
            await asyncio.sleep(1.0)
            try:
                await act(reader)
                self.assertFalse(task.done())
            finally:
                task.cancel()
                await asyncio.wait_for(asyncio.gather(task, return_exceptions=True), 0.1)

        self.run_paused(run())

    @cases(
        {
            "upstreams": lambda reader: reader.list("odd"),
            "an_id_without_key": lambda reader: reader.list("\udc80"),
            "configuration": lambda reader: reader.configure(7),
        }
    )
    def test_an_unforeseen_entry_costs_only_itself(self, write: Callable[[_Reader], None]) -> None:
        # One entry at which a decoder failed ended the process.
        async def act(reader: _Reader) -> None:
            reader.list("u2")
            write(reader)
            reader.list("u3")
            await asyncio.sleep(0.1)
            self.assertEqual((1, {"u1", "u2", "u3"}), reader.followed())
            reader.configure(9)
            reader.list("u4")
            await asyncio.sleep(_RESTARTED_S)
            self.assertEqual((9, {"u1", "u2", "u3", "u4"}), reader.followed())
            self.assertTrue(reader.view.store_contact)

        self._run(act)

    def test_a_refused_name_does_not_keep_changes_from_peers(self) -> None:
        # Peers fetch the names of changed upstreams, and one that cannot be encoded ended the
        # fetch: all instances but the readers would have stayed behind.
        async def act(reader: _Reader) -> None:
            known = reader.view.upstreams.revision
            reader.list("\udc80")
            reader.list("u2")
            await asyncio.sleep(0.1)
            fetch = FetchUpstreams(known, with_suspicions=False)
            reply = decode_upstreams(StateAnswers(reader.view).upstreams_reply(fetch))
            self.assertEqual({"u2"}, set(reply.unwrap().changes or {}))

        self._run(act)

    @cases({"upstreams": lambda r: r.list("odd"), "configuration": lambda r: r.configure(7)})
    def test_an_unforeseen_entry_at_the_start(self, write: Callable[[_Reader], None]) -> None:
        # No process could start beside the entry.
        async def run() -> None:
            reader = _Reader()
            write(reader)
            reader.list("u2")
            task = asyncio.get_running_loop().create_task(reader.sync.run())
            await asyncio.sleep(1.0)
            self.assertEqual({"u1", "u2"}, reader.followed()[1])
            reader.configure(9)
            await asyncio.sleep(_RESTARTED_S)
            self.assertEqual(9, reader.view.config_version)
            self.assertFalse(task.done())
            task.cancel()

        self.run_paused(run())

    @cases(
        {
            "liveness": "_check_liveness",
            "listing": "_listing.run",
            "vanished": "_drop_vanished",
            "config": "_follow_config",
            "upstreams": "_follow_upstreams",
        }
    )
    def test_the_other_parts_go_on(self, part: str) -> None:
        # The task group ended all parts with the first that failed.
        async def act(reader: _Reader) -> None:
            reader.configure(3)
            reader.list("u2")
            await asyncio.sleep(_RESTARTED_S)
            version, names = reader.followed()
            self.assertEqual(0 if part == "_follow_config" else 3, version)
            self.assertEqual(set() if part == "_follow_upstreams" else {"u1", "u2"}, names)
            follows_all = "follow" not in part
            self.assertEqual(follows_all, reader.view.store_contact)

        self._run(act, {part: _fail})

    def test_a_part_that_ends_is_started_again(self) -> None:
        # Upstreams that never came back after an outage would have been kept for good.
        starts = []

        async def run() -> None:
            starts.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)

        async def act(reader: _Reader) -> None:
            await asyncio.sleep(_RESTARTED_S)
            self.assertGreater(len(starts), 2)
            self.assertLess(len(starts), 20)

        self._run(act, {"_drop_vanished": run})

    def test_a_change_that_failed_half_way_is_read_again__upstreams(self) -> None:
        # The revision had advanced, so the change would have been skipped for good.
        async def act(reader: _Reader) -> None:
            view = reader.view
            listed: list[set[str]] = []
            view.on_upstreams_changed = _failing_once(lambda names: listed.append(set(names)))
            reader.list("u2")
            await asyncio.sleep(0.05)
            self.assertFalse(view.store_contact)
            self.assertTrue(view.ready)
            await asyncio.sleep(_RESTARTED_S)
            self.assertTrue(view.store_contact)
            self.assertGreater(len(listed), 1)
            self.assertEqual({"u1", "u2"}, reader.followed()[1])

        self._run(act)

    def test_a_change_that_failed_half_way_is_read_again__configuration(self) -> None:
        # A route that is not known yet would have been denied as if the reader were current.
        async def act(reader: _Reader) -> None:
            view = reader.view
            with mock.patch.object(view, "apply_config", side_effect=RuntimeError("unforeseen")):
                reader.configure(3)
                await asyncio.sleep(0.05)
                self.assertFalse(view.configs.reaches_store)
                self.assertFalse(view.is_config_current)
                self.assertTrue(view.ready)
                # The upstreams' part is sound, and must not make up for it.
                reader.list("u2")
                await asyncio.sleep(5.0)
                self.assertFalse(view.store_contact)
            await asyncio.sleep(_RESTARTED_S)
            self.assertTrue(view.configs.reaches_store)
            self.assertTrue(view.store_contact)
            self.assertEqual((3, {"u1", "u2"}), reader.followed())

        self._run(act)

    def test_an_unforeseen_configuration_is_not_confirmed_as_current(self) -> None:
        # Keys would have been accepted on the word of a configuration that nobody could read.
        async def act(reader: _Reader) -> None:
            reader.configure(7)
            await asyncio.sleep(10.0)
            self.assertGreater(reader.view.config_freshness.age_s, 9.0)

        self._run(act)


class FailingReadersTest(EgretrailTestCase):
    def test_others_read_where_the_readers_fail(self) -> None:
        # Changes would not reach the fleet while its readers fail.
        async def run() -> None:
            fleet = StoreFleet([3, 3])
            async with fleet.running():
                for address in fleet.readers():
                    _fail_to_read(fleet.views[address])
                sound = [a for a in fleet.addresses if a not in fleet.readers()]
                fleet.configure(3, "s")
                await asyncio.sleep(6.0)
                self.assertEqual({3}, {fleet.views[a].config_version for a in sound})

        self.run_paused(run())

    def test_a_fleet_in_which_all_readers_fail_stays_ready(self) -> None:
        # What is known goes on being served; only what may be new is not denied.
        async def run() -> None:
            fleet = StoreFleet([3, 3])
            async with fleet.running():
                for view in fleet.views.values():
                    _fail_to_read(view)
                fleet.configure(3, "s")
                for _ in range(100):
                    await asyncio.sleep(0.1)
                    self.assertTrue(all(view.ready for view in fleet.views.values()))
                    self.assertTrue(all(v.config_version == 1 for v in fleet.views.values()))
                self.assertFalse(any(v.is_config_current for v in fleet.views.values()))

        self.run_paused(run())


def _fail_to_read(view: FleetView) -> None:
    """Let an instance fail at each configuration that it reads itself."""
    apply_config = view.apply_config

    def apply(chunked: ChunkedConfig, source: str) -> bool:
        if source == "store":
            raise RuntimeError("unforeseen")
        return apply_config(chunked, source)

    view.apply_config = apply  # type: ignore[method-assign]
