"""A store reader's handling of outages, expired entries, restores and versions."""

import asyncio
import itertools
import json
import os
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import cast
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Result

from egretrail.cluster import (
    Instance,
    InstanceState,
    Membership,
    Scope,
    Section,
    run_to_completion,
    split_config,
)
from egretrail.gateway._log import EventLog
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._store_sync import StoreSync
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.identity import rendezvous_order
from egretrail.platform import PlatformLayout
from egretrail.store import PlatformFailure, Snapshot, StoreUnavailable, WatchEvents
from egretrail.testing import EgretrailTestCase, FakeStore, cases
from egretrail.traffic import ClientLimits, FleetConfig
from scaffolding.platform import StandInBackend
from scaffolding.platform.fleet import account, config, route

_ROUTES = [route("read", "/read/", "s")]
_ENTRY = {**StandInBackend("s", "zone-a").store_entry(), "address": "10.0.0.1:1"}


class _Reader(StoreSync):
    """Reads the store while the test makes it a reader."""

    is_reader = True

    def should_read(self) -> bool:
        return self.is_reader


@dataclass(frozen=True, slots=True)
class _ReaderSetup:
    """A reader with its store."""

    store: FakeStore
    view: FleetView
    layout: PlatformLayout
    sync: "_Reader"

    def list(self, name: str, state: str = "ready", born: int = 0) -> None:
        """Write an upstream's entry, as the upstream does."""
        self.write(name, json.dumps({**_ENTRY, "state": state, "born": born}))

    def write(self, name: str, value: str) -> None:
        """Write an arbitrary value as an upstream's entry."""
        self._apply(self.layout.upstreams_prefix + name, value)

    def unlist(self, name: str) -> None:
        """Remove an upstream's entry."""
        self._apply(self.layout.upstreams_prefix + name, None)

    def configure(self, document: Mapping[str, object]) -> None:
        """Write a configuration, as the operators do."""
        self._apply(self.layout.config_path, json.dumps(document))

    def ready(self) -> set[str]:
        """Return the names of the upstreams that are ready here."""
        return {record.name for record in self.view.upstreams.ready("s")}

    def _apply(self, path: str, value: str | None) -> None:
        self.store._apply(path, value)


Act = Callable[[_ReaderSetup], Awaitable[None]]


class _SilentStore(FakeStore):
    """A store that stops answering, so that calls time out in the client."""

    silent = False

    async def snapshot(
        self, prefix: str, *, stale: bool = False
    ) -> Result[Snapshot, PlatformFailure]:
        if self.silent:
            await asyncio.sleep(1.0)
            return Err(StoreUnavailable(prefix, "silent"))
        return await super().snapshot(prefix, stale=stale)

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> Result[WatchEvents, PlatformFailure]:
        end_s = asyncio.get_running_loop().time() + wait_s + 0.5
        watched = await super().watch(prefix, after_revision, wait_s)
        if self.silent:
            await asyncio.sleep(end_s - asyncio.get_running_loop().time())
            return Err(StoreUnavailable(prefix, "silent"))
        return watched


class StoreSyncTest(EgretrailTestCase):
    def _run(self, act: Act, store: FakeStore | None = None) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            rng = random.Random(1)
            log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
            own, layout, held = gateway_settings(), PlatformLayout(), store or FakeStore()

            view = FleetView(own, 1, loop.time, log, rng)
            peers = PeerLinks(own, view, log, rng)
            sync = _Reader(own, view, held, layout, peers, log, rng)
            setup = _ReaderSetup(held, view, layout, sync)
            setup.configure(config(1, _ROUTES))
            for name in ("u1", "u2", "u3", "u4"):
                setup.list(name)
            task = loop.create_task(sync.run())
            await asyncio.sleep(1.0)
            try:
                await act(setup)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        self.run_paused(run())

    def test_a_store_that_falls_silent_is_noticed_before_a_change_is_due(self) -> None:
        """Both readers relied on pending watches for seconds, and nobody else read meanwhile."""
        silent = _SilentStore()

        async def act(setup: _ReaderSetup) -> None:
            self.assertTrue(setup.view.store_contact)
            await asyncio.sleep(3.3)
            silent.silent = True
            await asyncio.sleep(1.1)
            self.assertFalse(setup.view.store_contact)

        self._run(act, silent)

    def test_changes_are_applied_at_once(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())
            setup.list("u1", "draining")
            setup.unlist("u2")
            setup.list("u5")
            setup.configure(config(3, _ROUTES))
            await asyncio.sleep(0.01)
            self.assertEqual({"u3", "u4", "u5"}, setup.ready())
            assert setup.view.config is not None
            self.assertEqual(3, setup.view.config.version)

        self._run(act)

    @cases({"answers": False, "is down": True})
    def test_another_address_of_the_store_is_called_next(self, is_out: bool) -> None:
        async def act(setup: _ReaderSetup) -> None:
            old, new = setup.store, FakeStore()
            for entry in old.entries.values():
                new._apply(entry.path, entry.value)
            if is_out:
                old.set_out(True)
                await asyncio.sleep(3.0)
            setup.sync.use_store(new)
            # Longer than the grace period of expired entries, and well before the end of a watch.
            await asyncio.sleep(4.0)
            calls = sum(old.calls.values())
            new._apply(setup.layout.config_path, json.dumps(config(3, _ROUTES)))
            new._apply(setup.layout.upstreams_prefix + "u1", None)
            await asyncio.sleep(0.2)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())
            self.assertEqual(3, setup.view.config_version)
            self.assertTrue(setup.view.store_contact)
            await asyncio.sleep(20.0)
            self.assertEqual(calls, sum(old.calls.values()))

        self._run(act)

    @cases(
        {
            "an unknown state": json.dumps({**_ENTRY, "state": "thinking"}),
            "a field missing": json.dumps({"service": "s", "state": "ready"}),
            "no document": "garbage",
            "bytes that are no text": b"\xff\xfe\x00".decode(errors="surrogateescape"),
        }
    )
    def test_an_invalid_entry_lists_no_upstream(self, value: str) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.write("u1", value)
            setup.write("foreign", value)
            setup.list("u5")
            await asyncio.sleep(0.01)
            self.assertEqual({"u2", "u3", "u4", "u5"}, setup.ready())
            setup.list("u1")
            await asyncio.sleep(1.0)
            self.assertEqual({"u1", "u2", "u3", "u4", "u5"}, setup.ready())

        self._run(act)

    def test_a_restarted_upstream_is_ready_again(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.list("u1", "draining", born=5)
            await asyncio.sleep(1.0)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())
            setup.list("u1", born=9)
            await asyncio.sleep(1.0)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())
            # An entry of the old lifetime that the store applied late.
            setup.list("u1", "draining", born=5)
            await asyncio.sleep(1.0)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())

        self._run(act)

    # Guards against a write that a later one to the same path hides from a reader that takes over.
    @cases({"history is kept": False, "history is gone": True})
    def test_a_reader_that_takes_over_learns_what_later_writes_replaced(
        self, history_is_gone: bool
    ) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.list("u1", "draining", born=1)
            await asyncio.sleep(1.0)
            setup.sync.is_reader = False
            # Longer than the watch that is pending.
            await asyncio.sleep(10.0)
            setup.list("u1", born=2)
            setup.list("u1", "draining", born=1)
            setup.configure(config(2, _ROUTES))
            setup.configure({"version": "00000003", "routes": "none"})
            if history_is_gone:
                setup.store.discard_history()
            setup.sync.is_reader = True
            await asyncio.sleep(1.0)
            expected = {"u2", "u3", "u4"} if history_is_gone else {"u1", "u2", "u3", "u4"}
            self.assertEqual(expected, setup.ready())
            self.assertEqual(1 if history_is_gone else 2, setup.view.config_version)
            setup.list("u1", born=2)
            await asyncio.sleep(1.0)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())

        self._run(act)

    def test_changes_in_one_answer_apply_in_order(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.list("u1")
            setup.unlist("u1")
            setup.unlist("u2")
            setup.list("u2")
            setup.list("u3", born=9)
            setup.list("u3", "draining", born=5)
            setup.list("u4")
            setup.write("u4", "garbage")
            await asyncio.sleep(1.0)
            self.assertEqual({"u2", "u3"}, setup.ready())

        self._run(act)

    @cases(
        {
            "ready": ([("draining", 5), ("ready", 5)], False),
            "odd, ready": ([("draining", 5), None, ("ready", 5)], False),
            "removed, ready": ([("draining", 5), "", ("ready", 5)], False),
            "odd, ready twice": ([("draining", 5), None, ("ready", 5), ("ready", 5)], False),
            "late ready of the old start": ([("draining", 9), ("ready", 5), ("ready", 9)], False),
            "its next start": ([("draining", 5), ("ready", 9)], True),
            "its next start, a late drain": (
                [("draining", 5), ("ready", 9), ("draining", 5)],
                True,
            ),
        }
    )
    def test_a_drain_holds_against_later_changes_in_one_answer(
        self, case: tuple[Sequence[tuple[str, int] | str | None], bool]
    ) -> None:
        """A drained upstream got work again if a later entry of it came in the same answer."""
        changes, is_ready = case

        async def act(setup: _ReaderSetup) -> None:
            setup.list("u1", born=5)
            await asyncio.sleep(1.0)
            for change in changes:
                if change is None:
                    setup.write("u1", "garbage")
                elif isinstance(change, str):
                    setup.unlist("u1")
                else:
                    setup.list("u1", change[0], born=change[1])
            await asyncio.sleep(1.0)
            self.assertEqual(is_ready, "u1" in setup.ready())

        self._run(act)

    def test_changes_in_quick_succession_cost_few_calls(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            before = setup.store.calls["watch"]
            for number in range(100):
                setup.list(f"n{number}")
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.2)
            self.assertEqual(104, len(setup.ready()))
            # One call for each change would be a hundred.
            self.assertLess(setup.store.calls["watch"] - before, 10)

        self._run(act)

    @cases(
        {
            "one of four": ["u1"],
            "three of four": ["u1", "u2", "u3"],
            "all": ["u1", "u2", "u3", "u4"],
        }
    )
    def test_entries_that_expired_in_a_store_outage_are_kept_for_a_grace_period(
        self, expired: list[str]
    ) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.store.set_out(True)
            await asyncio.sleep(4.0)
            for name in expired:
                setup.unlist(name)
            setup.store.set_out(False)
            await asyncio.sleep(1.5)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())
            setup.list(expired[0])
            await asyncio.sleep(4.0)
            gone = set(expired[1:])
            self.assertEqual({"u1", "u2", "u3", "u4"} - gone, setup.ready())

        self._run(act)

    def test_a_name_that_is_not_valid_unicode_is_refused(self) -> None:
        """Such a name can't be encoded for peers; it ended one reader's process after the other."""

        async def act(setup: _ReaderSetup) -> None:
            setup.configure(config(3, [route("\ud800", "/read/", "s")]))
            await asyncio.sleep(1.0)
            self.assertLess(setup.view.config_version, 3)
            setup.configure(config(5, _ROUTES))
            await asyncio.sleep(1.0)
            self.assertEqual(5, setup.view.config_version)

        self._run(act)

    def test_a_valid_version_is_applied_despite_an_invalid_one_after_it(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            # After the first change, the next two arrive in one answer.
            setup.configure(config(2, _ROUTES))
            await asyncio.sleep(0.01)
            setup.configure(config(3, _ROUTES))
            setup.configure({"routes": "none"})
            await asyncio.sleep(3.0)
            self.assertEqual(3, setup.view.config_version)

        self._run(act)

    def test_an_answer_older_than_a_peers_list_removes_nothing(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            upstreams = setup.view.upstreams
            setup.view.replace_upstreams(list(upstreams), upstreams.revision + 100, "peer")
            for name in ("u1", "u2", "u3"):
                setup.unlist(name)
            await asyncio.sleep(4.0)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())

        self._run(act)

    def test_an_expired_entry_that_a_peer_lists_again_is_not_dropped(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.store.set_out(True)
            await asyncio.sleep(4.0)
            for name in ("u1", "u2", "u3"):
                setup.unlist(name)
            setup.store.set_out(False)
            await asyncio.sleep(1.5)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())
            setup.sync.is_reader = False
            revision = setup.store.revision + 1
            back = replace(setup.view.upstreams.records["u1"], revision=revision)
            setup.view.apply_upstream_changes({"u1": back}, revision, "peer")
            await asyncio.sleep(4.0)
            self.assertEqual({"u1", "u4"}, setup.ready())

        self._run(act)

    # Guards against removed entries that are taken as expired since many vanish together.
    @cases(
        {
            "one of four": (["u1"], 0.0),
            "two of four": (["u1", "u2"], 0.0),
            "three of four": (["u1", "u2", "u3"], 0.0),
            "all": (["u1", "u2", "u3", "u4"], 0.0),
            "three of four, in several answers": (["u1", "u2", "u3"], 0.2),
        }
    )
    def test_removals_are_applied_at_once_without_an_outage(
        self, case: tuple[Sequence[str], float]
    ) -> None:
        removed, interval_s = case

        async def act(setup: _ReaderSetup) -> None:
            await asyncio.sleep(30.0)
            for name in removed:
                setup.unlist(name)
                if interval_s:
                    await asyncio.sleep(interval_s)
            await asyncio.sleep(0.01)
            self.assertEqual({"u1", "u2", "u3", "u4"} - set(removed), setup.ready())

        self._run(act)

    # Guards against an outage that is too short for an entry to expire, or that nobody saw.
    @cases({"a short outage": True, "nobody read the store": False})
    def test_removals_are_applied_at_once_where_no_entry_can_have_expired(
        self, is_outage: bool
    ) -> None:
        async def act(setup: _ReaderSetup) -> None:
            await asyncio.sleep(10.0)
            if is_outage:
                setup.store.set_out(True)
                await asyncio.sleep(0.5)
                setup.store.set_out(False)
            else:
                setup.sync.is_reader = False
                await asyncio.sleep(12.0)
                setup.sync.is_reader = True
            for name in ("u1", "u2", "u3"):
                setup.unlist(name)
            await asyncio.sleep(1.0)
            self.assertEqual({"u4"}, setup.ready())

        self._run(act)

    def test_a_new_reader_applies_a_removal_at_once(
        self,
    ) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.sync.is_reader = False
            await asyncio.sleep(20.0)
            setup.sync.is_reader = True
            await asyncio.sleep(1.0)
            setup.unlist("u1")
            await asyncio.sleep(0.3)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())

        self._run(act)

    def test_a_removal_is_applied_at_once_if_the_store_refused_only_this_instance(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.store.set_out(True)
            for sequence in range(1, 5):
                setup.view.apply_section(
                    Section(Scope.CROSS_ZONE, "zone-b", "10.0.0.9", 1, sequence, 1, 0, 1, 1),
                    followed=True,
                )
                await asyncio.sleep(1.0)
            setup.store.set_out(False)
            await asyncio.sleep(1.2)
            setup.unlist("u1")
            await asyncio.sleep(0.3)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())

        self._run(act)

    def test_a_drained_upstream_is_not_kept_if_its_entry_expires_in_an_outage(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.list("u1", "draining")
            await asyncio.sleep(0.1)
            setup.store.set_out(True)
            await asyncio.sleep(4.0)
            setup.unlist("u1")
            setup.store.set_out(False)
            await asyncio.sleep(1.5)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())

        self._run(act)

    def test_an_outage_costs_a_bounded_number_of_calls(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.store.set_out(True)
            before = sum(setup.store.calls.values())
            await asyncio.sleep(60.0)
            # One call a second for each of two parts.
            self.assertLess(sum(setup.store.calls.values()) - before, 160)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())

        self._run(act)

    def test_quiet_periods_cost_few_calls(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            before = setup.store.calls.copy()
            await asyncio.sleep(600.0)
            made = setup.store.calls - before
            # Liveness checks, each at a tenth of the cost of a call.
            stale = made.pop("stale snapshot")
            self.assertLess(stale, 600 / 0.5 + 10)
            self.assertLess(sum(made.values()), 2 * 600 / 8 + 10)

        self._run(act)


class RestoreTest(EgretrailTestCase):
    """A store that is restored from a copy some seconds old."""

    def _run(self, before: Callable[[_ReaderSetup], None], after: Act) -> None:
        async def act(setup: _ReaderSetup) -> None:
            copy, revision = dict(setup.store.entries), setup.store.revision
            before(setup)
            for number in range(5):
                # The copy's revision is far behind the known one.
                setup.list(f"noise-{number}", "draining")
            await asyncio.sleep(1.0)
            setup.store.restore(copy, revision)
            await asyncio.sleep(1.0)
            await after(setup)

        StoreSyncTest._run(cast("StoreSyncTest", self), act)

    def test_a_drain_with_a_lower_revision_is_applied_at_once(self) -> None:
        async def after(setup: _ReaderSetup) -> None:
            setup.list("u1", "draining")
            await asyncio.sleep(0.3)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())

        self._run(lambda setup: None, after)

    def test_an_upstream_that_had_drained_does_not_come_back(self) -> None:
        async def after(setup: _ReaderSetup) -> None:
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())
            await asyncio.sleep(4.0)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())

        self._run(lambda setup: setup.list("u1", "draining"), after)

    def test_a_removed_upstream_returns_only_when_it_lists_itself(self) -> None:
        async def after(setup: _ReaderSetup) -> None:
            await asyncio.sleep(4.0)
            self.assertEqual({"u2", "u3", "u4"}, setup.ready())
            setup.list("u1")
            await asyncio.sleep(0.3)
            self.assertEqual({"u1", "u2", "u3", "u4"}, setup.ready())

        self._run(lambda setup: setup.unlist("u1"), after)

    @cases({"it writes again": True, "it is gone": False})
    def test_an_upstream_that_the_copy_lacks_is_kept_until_it_should_be_back(
        self, is_back: bool
    ) -> None:
        async def after(setup: _ReaderSetup) -> None:
            self.assertIn("u5", setup.ready())
            if is_back:
                setup.list("u5")
            await asyncio.sleep(3.0)
            self.assertEqual(is_back, "u5" in setup.ready())

        self._run(lambda setup: setup.list("u5"), after)

    def test_a_configuration_missing_from_the_copy_stays_in_force_and_is_confirmed_later(
        self,
    ) -> None:
        def before(setup: _ReaderSetup) -> None:
            setup.view.apply_settings(replace(gateway_settings(), revocation_s=5.0))
            setup.configure(config(2, _ROUTES, [account("acme", "k1")]))

        async def after(setup: _ReaderSetup) -> None:
            self.assertEqual(2, setup.view.config_version)
            await asyncio.sleep(5.0)
            self.assertFalse(setup.view.accepts_keys)
            setup.configure(config(3, _ROUTES, [account("acme", "k2")]))
            await asyncio.sleep(1.5)
            self.assertEqual(3, setup.view.config_version)
            self.assertTrue(setup.view.accepts_keys)

        self._run(before, after)

    def test_a_restored_store_confirms_nothing_until_all_is_written_again(self) -> None:
        def before(setup: _ReaderSetup) -> None:
            setup.view.apply_settings(replace(gateway_settings(), revocation_s=5.0))

        async def after(setup: _ReaderSetup) -> None:
            setup.configure(config(2, _ROUTES, [account("acme", "k1")]))
            await asyncio.sleep(0.5)
            # The store was restored a second and a half ago.
            self.assertGreater(setup.view.config_freshness.age_s, 1.5)
            await asyncio.sleep(2.5)
            self.assertLess(setup.view.config_freshness.age_s, 1.2)

        self._run(before, after)


class FreshnessTest(EgretrailTestCase):
    """The age of a reader's confirmation that its configuration is current."""

    def _run(self, act: Act) -> None:
        async def act_with_accounts(setup: _ReaderSetup) -> None:
            setup.view.apply_settings(replace(gateway_settings(), revocation_s=5.0))
            setup.configure(config(2, _ROUTES, [account("acme", "k1")]))
            await asyncio.sleep(3.0)
            await act(setup)

        StoreSyncTest._run(cast("StoreSyncTest", self), act_with_accounts)

    def test_a_confirmation_is_at_most_about_a_second_old_and_costs_a_call(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            before = setup.store.calls.copy()
            for _ in range(100):
                await asyncio.sleep(0.1)
                self.assertLess(setup.view.config_freshness.age_s, 1.2)
            made = setup.store.calls - before
            del made["stale snapshot"]
            self.assertLess(sum(made.values()), 10 + 2 * 2 + 2)

        self._run(act)

    def test_a_store_outage_confirms_nothing(self) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.store.out = True
            await asyncio.sleep(5.0)
            self.assertFalse(setup.view.accepts_keys)
            setup.store.out = False
            await asyncio.sleep(2.0)
            self.assertTrue(setup.view.accepts_keys)

        self._run(act)

    @cases(
        {
            "older than the one in force": config(1, _ROUTES, [account("acme", "k1")]),
            "one that cannot be read": {"version": "00000009"},
        }
    )
    def test_a_stored_configuration_that_is_not_the_one_in_force_confirms_nothing(
        self, document: Mapping[str, object]
    ) -> None:
        async def act(setup: _ReaderSetup) -> None:
            setup.configure(document)
            await asyncio.sleep(6.0)
            self.assertFalse(setup.view.accepts_keys)
            setup.configure(config(10, _ROUTES, [account("acme", "k1")]))
            await asyncio.sleep(1.5)
            self.assertTrue(setup.view.accepts_keys)

        self._run(act)


class VersionsTest(EgretrailTestCase):
    @given(st.lists(st.tuples(st.integers(0, 40), st.booleans()), max_size=30))
    @settings(max_examples=60, deadline=None, database=None)
    def test_the_version_in_force_never_decreases(self, section: list[tuple[int, bool]]) -> None:
        async def run() -> None:
            log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
            loop = asyncio.get_running_loop()
            view = FleetView(gateway_settings(), 1, loop.time, log, random.Random(1))
            highest = 0
            for version, valid in section:
                document = config(version, _ROUTES)
                if not valid:
                    document["routes"] = "none"
                value = json.dumps(document).encode()
                decoded = PlatformLayout().decode_config(value)
                self.assertIs(valid, decoded.is_ok())
                if valid:
                    view.apply_config(run_to_completion(split_config(decoded.unwrap())), "test")
                    highest = max(highest, version)
                in_force = view.config.version if view.config is not None else 0
                self.assertEqual(highest, in_force)

        self.run_paused(run())


class ReadersTest(EgretrailTestCase):
    """The hubs of two zones read the store for all; those of other zones read if they cannot."""

    @cases(
        {
            "of the first zone": (0, 1, True),
            "of the second zone": (1, 1, True),
            "of a further zone, while others reach the store": (2, 1, False),
            "of a further zone, while nobody does": (2, 0, True),
        }
    )
    def test_a_hub_reads(self, case: tuple[int, int, bool]) -> None:
        position, readers, expected = case

        async def act(
            sync: StoreSync, view: FleetView, send_sections: Callable[[int], None]
        ) -> None:
            send_sections(readers)
            self.assertIs(expected, sync.should_read())

        self._run(position, act)

    def test_a_stand_in_reader_does_not_stop_as_soon_as_another_reads(self) -> None:
        """All stand-in readers learned of each other and stopped at once, so that nobody read."""

        async def act(
            sync: StoreSync, view: FleetView, send_sections: Callable[[int], None]
        ) -> None:
            send_sections(0)
            self.assertTrue(sync.should_read())
            view.set_store_contact(True)
            send_sections(2)
            self.assertTrue(sync.should_read())
            await asyncio.sleep(1.5)
            send_sections(2)
            self.assertTrue(sync.should_read())
            await asyncio.sleep(6.0)
            send_sections(2)
            self.assertFalse(sync.should_read())

        self._run(2, act)

    @cases({"with the first ranks": 1, "with ranks behind many lost instances": 60})
    def test_several_instances_of_any_rank_try_before_a_change_is_due(self, rank: int) -> None:
        """The store refused three hubs and their successors, whose time slots lasted too long.

        Time slots by rank also went to lost instances, so that for seconds nobody tried.
        """

        async def act(
            sync: StoreSync, view: FleetView, send_sections: Callable[[int], None]
        ) -> None:
            own, log, size = gateway_settings(), sync._log, 20
            others = [
                StoreSync(own, view, sync._store, sync._layout, sync._peers, log, random.Random(n))
                for n in range(size)
            ]
            tried: set[int] = set()
            with (
                mock.patch.object(Membership, "own_rank", return_value=rank),
                mock.patch.object(Membership, "zone_size", return_value=size),
            ):
                for _ in range(20):
                    await asyncio.sleep(0.1)
                    send_sections(0)
                    tried |= {n for n, one in enumerate(others) if one.should_read()}
            self.assertGreaterEqual(len(tried), 4)
            self.assertLessEqual(len(tried), 10)

        self._run(2, act)

    def _run(
        self,
        position: int,
        act: Callable[[StoreSync, FleetView, Callable[[int], None]], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
            zones = rendezvous_order("read the store", ["z0", "z1", "z2"])
            own, layout = gateway_settings(zone=zones[position]), PlatformLayout()
            view = FleetView(own, 1, loop.time, log, random.Random(1))
            view.apply_config(
                run_to_completion(split_config(FleetConfig(1, [], {}, ClientLimits()))), "test"
            )
            view.replace_upstreams([], 5, "test")
            peers = PeerLinks(own, view, log, random.Random(1))
            sync = StoreSync(own, view, FakeStore(), layout, peers, log, random.Random(1))
            sequences = itertools.count(1)

            def send_sections(readers: int) -> None:
                sequence = next(sequences)
                for number, zone in enumerate(zones):
                    if zone != own.availability_zone:
                        hub = f"10.0.{number}.1"
                        view.membership.record_introduction(
                            Instance(hub, zone, 1, InstanceState.READY, 1.0), loop.time()
                        )
                        section = Section(
                            Scope.CROSS_ZONE, zone, hub, 1, sequence, 1, 5, readers, 1
                        )
                        view.apply_section(section, followed=True)

            await act(sync, view, send_sections)

        self.run_paused(run())
