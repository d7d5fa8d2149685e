"""Writes settings into the store by compare-and-swap, and resolves the outcome of each write."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import structlog
from result import Err, Ok, Result

from egretrail.route import acceptance_faults, existing_conflicts
from egretrail.runtime._settings_peers import SettingsPeers
from egretrail.runtime._settings_state import SettingsState
from egretrail.settings import (
    STORE_PREFIX,
    TEXT_LIMIT_BYTES,
    Accepted,
    ChangeRecord,
    ChangeRun,
    ConcurrentChange,
    Envelope,
    InvalidSettings,
    RouteSettings,
    ServiceSettings,
    SettingChange,
    SettingKind,
    SettingPath,
    SettingsFault,
    SettingsRefusal,
    StoreBehind,
    StoreUnreachable,
    WriteUnresolved,
    change_of,
    decode_envelope,
    is_change_id,
    parse_setting,
)
from egretrail.store import Entry, PlatformFailure, RevisionConflict, Store, WriteUnknown

#: Attempts to resolve a write whose reply was lost, before it is reported as unresolved.
_ATTEMPTS_LIMIT = 4
_RETRY_PAUSE_S = 0.25
_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StoredSetting:
    """A path's latest accepted change and its history."""

    #: The path.
    path: str
    #: The generation of the latest change; 0 if the path never existed.
    revision: int
    #: The revision in the store; lower than the generation only if the store lost writes.
    store_revision: int
    #: The latest change and its history; None if the path never existed.
    envelope: Envelope | None

    @property
    def visible_revision(self) -> int:
        """Return the revision shown to operators: 0 if the path is absent or deleted."""
        deleted = self.envelope is None or self.envelope.latest.text is None
        return 0 if deleted else self.revision


class SettingsWriter:
    """Accepts or refuses operators' changes."""

    def __init__(
        self,
        store: Store,
        state: SettingsState,
        peers: SettingsPeers,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._state = state
        self._peers = peers
        self._clock = clock

    async def read(self, path: SettingPath) -> Result[StoredSetting, SettingsRefusal]:
        """Read a path and its history from the store."""
        answer = await self._store.get(STORE_PREFIX + str(path))
        if isinstance(answer, Err):
            return Err(StoreUnreachable(str(path), str(answer.err_value)))
        return Ok(self._stored_setting(path, answer.ok_value))

    async def write(
        self,
        path: SettingPath,
        text: str | None,
        expected_revision: int,
        change_id: str,
        author: str,
    ) -> Result[Accepted, SettingsRefusal]:
        """Write a path's text, or delete it (None), if it is at the revision the operator saw."""
        parsed = _parsed(path, text, change_id)
        if isinstance(parsed, Err):
            return parsed
        change = ChangeRecord(change_id, author, self._clock(), text)
        stored = await self._read_team(path)
        if isinstance(stored, Err):
            return stored
        done = _resolved(path, stored.ok_value, change)
        if done is not None:
            return done
        if stored.ok_value.visible_revision != expected_revision:
            return Err(_lost_race(path, expected_revision, stored.ok_value, change))
        refusal = self._check(path, parsed.ok_value, stored.ok_value)
        if refusal is not None:
            return Err(refusal)
        accepted = await self._swap(path, stored.ok_value, change)
        if isinstance(accepted, Err):
            return accepted
        return Ok(await self._apply_accepted(path, change, accepted.ok_value))

    async def _read_team(self, path: SettingPath) -> Result[StoredSetting, SettingsRefusal]:
        """Return the path's entry after reading all paths of its team from the store.

        The checks that follow then see every accepted change of the team.
        """
        seen_revision = self._state.catalogue.highest_revision
        answer = await self._store.snapshot(f"{STORE_PREFIX}{path.team}/")
        if isinstance(answer, Err):
            return Err(StoreUnreachable(str(path), str(answer.err_value)))
        snapshot = answer.ok_value
        if snapshot.revision < seen_revision:
            # The store lost writes. It would accept the new text at a revision that instances
            # ignore, because they hold a later one.
            return Err(StoreBehind(snapshot.revision, seen_revision, [str(path)]))
        self._state.apply(
            change_of(entry.path, entry.value, entry.revision) for entry in snapshot.entries
        )
        entries = [entry for entry in snapshot.entries if entry.path == STORE_PREFIX + str(path)]
        return Ok(self._stored_setting(path, entries[0] if entries else None))

    def _stored_setting(self, path: SettingPath, entry: Entry | None) -> StoredSetting:
        revision = 0 if entry is None else entry.revision
        held = self._state.catalogue.held(str(path))
        if held is not None and held.text is not None and held.generation > revision:
            # A restored store may hold an older state: operators continue from the value in force.
            latest = ChangeRecord(held.change_id, "", 0.0, held.text)
            return StoredSetting(str(path), held.generation, revision, Envelope(latest))
        if entry is None or entry.value is None:
            return StoredSetting(str(path), 0, 0, None)
        return StoredSetting(str(path), revision, revision, decode_envelope(entry.value))

    def _check(
        self,
        path: SettingPath,
        value: ServiceSettings | RouteSettings | None,
        stored: StoredSetting,
    ) -> InvalidSettings | None:
        if value is None and stored.visible_revision == 0:
            return InvalidSettings(str(path), [SettingsFault("", "there is nothing to delete")])
        settings = self._state.catalogue.in_force.settings()
        faults = acceptance_faults(path, value, settings, self._state.routes)
        return InvalidSettings(str(path), faults) if faults else None

    async def _swap(
        self, path: SettingPath, stored: StoredSetting, change: ChangeRecord
    ) -> Result[Accepted, SettingsRefusal]:
        """Write until the outcome is known, or the attempts are used up.

        Every attempt expects the same revision, so that at most one takes effect, even a delayed
        one. Every value contains the ids of earlier changes, so that a read shows which one did.
        """
        value = _with_change(stored, change).encode()
        cause: PlatformFailure | None = None
        sent = False
        for _ in range(_ATTEMPTS_LIMIT):
            written = await self._store.put(STORE_PREFIX + str(path), value, stored.store_revision)
            if isinstance(written, Ok):
                return Ok(Accepted(str(path), written.ok_value, change.change_id))
            cause = written.err_value
            sent = sent or isinstance(cause, WriteUnknown)
            if not sent and not isinstance(cause, RevisionConflict):
                return Err(StoreUnreachable(str(path), str(cause)))
            found = await self.read(path)
            if isinstance(found, Ok):
                done = _resolved(path, found.ok_value, change)
                if done is not None:
                    return done
                if found.ok_value.store_revision != stored.store_revision:
                    return Err(_lost_race(path, stored.visible_revision, found.ok_value, change))
            await asyncio.sleep(_RETRY_PAUSE_S)
        return Err(WriteUnresolved(str(path), change.change_id, str(cause)))

    async def _apply_accepted(
        self, path: SettingPath, change: ChangeRecord, done: Accepted
    ) -> Accepted:
        """Apply an accepted change here, spread it to peers, and check for conflicts."""
        accepted = SettingChange(str(path), done.revision, change.change_id, change.text)
        self._state.apply([accepted])
        self._peers.spread(ChangeRun(done.revision, done.revision, [accepted]))
        _log.info(
            "setting_accepted",
            path=str(path),
            revision=done.revision,
            change_id=change.change_id,
            author=change.author,
        )
        conflicts = await self._conflicts(path, change)
        return replace(done, conflicts=conflicts)

    async def _conflicts(self, path: SettingPath, change: ChangeRecord) -> Sequence[SettingsFault]:
        deletes_service = change.text is None and path.kind is SettingKind.SERVICE
        if not deletes_service and (change.text is None or path.kind is SettingKind.SERVICE):
            return []
        await self._read_team(path)
        return existing_conflicts(self._state.catalogue.in_force.settings(), path.team)


def _parsed(
    path: SettingPath, text: str | None, change_id: str
) -> Result[ServiceSettings | RouteSettings | None, SettingsRefusal]:
    faults = []
    if not is_change_id(change_id):
        faults.append(SettingsFault("change_id", "8 to 80 characters of A-Z a-z 0-9 _ . : -"))
    if text is not None and len(text.encode()) > TEXT_LIMIT_BYTES:
        faults.append(SettingsFault("", f"the text exceeds {TEXT_LIMIT_BYTES} bytes"))
    if faults:
        return Err(InvalidSettings(str(path), faults))
    return Ok(None) if text is None else parse_setting(path, text)


def _with_change(stored: StoredSetting, change: ChangeRecord) -> Envelope:
    if stored.envelope is None:
        return Envelope(change)
    return stored.envelope.with_change(change, stored.revision)


def _resolved(
    path: SettingPath, stored: StoredSetting, change: ChangeRecord
) -> Result[Accepted, SettingsRefusal] | None:
    """Return the outcome of a change that is in the path's history; None if it is not there."""
    if stored.envelope is None:
        return None
    known = stored.envelope.find(change.change_id)
    if known is None:
        return None
    if known.text != change.text:
        fault = SettingsFault("change_id", "another change has this id")
        return Err(InvalidSettings(str(path), [fault]))
    return Ok(Accepted(str(path), known.revision or stored.revision, change.change_id))


def _lost_race(
    path: SettingPath, expected: int, stored: StoredSetting, change: ChangeRecord
) -> ConcurrentChange:
    theirs = ChangeRecord("", "", 0.0, None) if stored.envelope is None else stored.envelope.latest
    return ConcurrentChange(str(path), expected, stored.visible_revision, change, theirs)
