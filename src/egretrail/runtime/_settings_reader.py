"""Reads the settings from the store: by snapshot, by watch or by a watch without waiting."""

import asyncio
from collections.abc import Sequence

import structlog
from result import Err

from egretrail.runtime._settings_peers import SettingsPeers
from egretrail.runtime._settings_state import SettingsState
from egretrail.settings import (
    STORE_PREFIX,
    ChangeRun,
    SettingChange,
    StoreBehind,
    change_of,
)
from egretrail.store import Entry, Store, StoreRefused

_log = structlog.get_logger()


class SettingsReader:
    """Applies the store's content to the state, and spreads changes to peers."""

    def __init__(self, store: Store, state: SettingsState, peers: SettingsPeers) -> None:
        self._store = store
        self._state = state
        self._peers = peers
        # After a failure a snapshot is read, which alone shows whether the store lost writes.
        self._can_watch = True
        self._has_snapshot = False
        #: Whether the last call failed.
        self.is_store_unreachable = False

    async def refresh(self, wait_s: float) -> bool:
        """Read changes, waiting up to ``wait_s`` for one; return whether the state is confirmed."""
        started_s = _now_s()
        if self._can_watch and (self._has_snapshot or self._state.catalogue.complete_revision):
            confirmed = await self._watch(wait_s)
        else:
            confirmed = await self._snapshot()
        self._can_watch = confirmed
        if confirmed:
            self._state.record_confirmation(started_s)
        return confirmed

    async def _snapshot(self) -> bool:
        asked_at_revision = self._state.catalogue.highest_revision
        answer = await self._store.snapshot(STORE_PREFIX)
        if isinstance(answer, Err):
            return self._record_failure(str(answer.err_value))
        self._record_success()
        snapshot = answer.ok_value
        changes = _changes(snapshot.entries)
        outcome = self._state.apply_snapshot(changes, snapshot.revision, asked_at_revision)
        self._state.record_store_behind(outcome.behind, _now_s())
        revision = self._state.catalogue.complete_revision
        self._peers.spread(ChangeRun(revision, revision, outcome.applied))
        self._has_snapshot = outcome.behind is None
        return self._has_snapshot

    async def _watch(self, wait_s: float) -> bool:
        asked_at_revision = self._state.catalogue.complete_revision
        known_revision = self._state.catalogue.highest_revision
        answer = await self._store.watch(STORE_PREFIX, asked_at_revision, wait_s)
        if isinstance(answer, Err):
            if isinstance(answer.err_value, StoreRefused):
                # The store no longer retains the changes since that revision: read a snapshot.
                return await self._snapshot()
            return self._record_failure(str(answer.err_value))
        self._record_success()
        events = answer.ok_value
        if events.revision < known_revision:
            self._state.catalogue.record_lost_writes(known_revision)
            behind = StoreBehind(events.revision, known_revision, [])
            self._state.record_store_behind(behind, _now_s())
            return False
        self._state.record_store_behind(None, _now_s())
        after_revision = min(asked_at_revision, self._state.unchanged_since_revision)
        run = ChangeRun(after_revision, events.revision, _changes(events.entries))
        if self._state.apply_run(run).applied:
            self._peers.spread(run)
        return True

    def _record_failure(self, cause: str) -> bool:
        if not self.is_store_unreachable:
            _log.warning("settings_store_out", cause=cause)
        self.is_store_unreachable = True
        return False

    def _record_success(self) -> None:
        if self.is_store_unreachable:
            _log.info("settings_store_back")
        self.is_store_unreachable = False


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _changes(entries: Sequence[Entry]) -> Sequence[SettingChange]:
    return [change_of(entry.path, entry.value, entry.revision) for entry in entries]
