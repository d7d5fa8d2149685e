"""Keeps configuration and upstreams in step with the store, on the instances that read it."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence, Set
from dataclasses import replace
from functools import partial
from typing import Any

from result import Err, Ok, Result

from egretrail.cluster import READER_CHECK_S
from egretrail.gateway._instance_listing import InstanceListing
from egretrail.gateway._interfaces import StartupSettings, StoreLayout, is_text
from egretrail.gateway._log import EventLog
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._reader_role import ReaderRole
from egretrail.gateway._slices import prepare_config
from egretrail.gateway._view import FleetView
from egretrail.store import (
    ConfirmedStore,
    Entry,
    FollowProgress,
    HistoryLost,
    PlatformFailure,
    RefusedEntries,
    ReplyUnusable,
    Store,
    StoreUnavailable,
)
from egretrail.supervision import AdaptiveTimeout, CancellableCalls, Supervisor
from egretrail.traffic import UpstreamRecord, UpstreamState, revision_era

#: The maximum duration of one watch.
_WATCH_S = 8.0
#: The duration of the first watch after a known revision: the changes up to now.
_CATCH_UP_WAIT_S = 0.001
#: While watches are pending, a stale read at this interval checks that the store still answers, at
#: a tenth of the cost of a call. A store that has stopped answering the readers of all zones is
#: then noticed well before the next change is due. The time-out doubles while the store is slow.
_LIVENESS_INTERVAL_S = 0.5
_LIVENESS_TIMEOUT_S, _LIVENESS_TIMEOUT_MAX_S = 0.5, 3.0
#: While keys require a configuration that is confirmed as current, every second check is a
#: linearizable watch that ends at once. It confirms that nothing had changed when it was sent.
_CONFIRM_EVERY = 2
_CONFIRM_WAIT_S = 0.001
#: After a change, the next watch starts this much later, so that one call returns several changes:
#: each watch ends with the first change, and each call costs money.
_BATCH_S = 0.15
#: After a failed call, the next one follows after this time, doubled up to the maximum. Each try
#: costs money and loads a store in trouble, and changes arrive from peers meanwhile.
_RETRY_FIRST_S = 0.2
_RETRY_MAX_S = 1.0
#: An instance that has just started waits for this long before it reads.
_START_WAIT_S = 0.15
#: Entries that are decoded before other tasks run: a millisecond or two, or a tenth of a second for
#: odd ones of the largest size. Another writer may create any number.
_ENTRIES_PER_SLICE = 50
#: Upstreams and operators have written again what a restored store lacks within this time. Until
#: then its answers confirm nothing that was written before.
_RESTORE_SETTLE_S = 2.2
#: The parts that follow the store. While one of them fails, this instance is not current.
_CONFIG, _UPSTREAMS = "config", "upstreams"


class StoreSync:
    """Reads and watches the store while this instance is one of its readers."""

    def __init__(
        self,
        settings: StartupSettings,
        view: FleetView,
        store: Store,
        layout: StoreLayout,
        peers: PeerLinks,
        log: EventLog,
        rng: random.Random,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._settings = settings
        self._view = view
        self._store: Store = ConfirmedStore(store)
        self._layout = layout
        self._peers = peers
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        #: How far the parts of the store are followed.
        self.progress = FollowProgress(self._loop.time)
        self._supervisor = supervisor or Supervisor(log.event, rng)
        #: The parts that failed and have not caught up since.
        self._failing: set[str] = set()
        self._role = ReaderRole(view, lambda: peers.is_hub, self._loop.time, rng)
        self._last_success_s = float("-inf")
        self._outage = view.store_outage
        #: Whether this instance was a reader when that was last checked.
        self._is_reader = False
        #: When this instance began to read; while it does not read, its calls prove no outage.
        self._reading_since_s = self._loop.time()
        #: When the whole list of upstreams was last compared with the store's.
        self._compared_s = self._loop.time()
        #: Upstreams that stay in use although their entries vanished: until when, and their last
        #: revision.
        self._vanished: dict[str, tuple[float, int]] = {}
        self._listing = InstanceListing(settings, view, store, layout, peers, log)
        #: The calls that read and watch a part of the store.
        self._calls: CancellableCalls[PlatformFailure] = CancellableCalls()
        self._liveness_timeout = AdaptiveTimeout(_LIVENESS_TIMEOUT_S, _LIVENESS_TIMEOUT_MAX_S)
        #: The revision up to which the configuration was read; None if it has to be read again.
        self._config_revision: int | None = None
        #: The version of the configuration that the store last returned; 0 for an invalid one.
        self._stored_version = 0
        #: The refused entries, as this instance last read them.
        self.refused_configs = RefusedEntries()
        self.refused_upstreams = RefusedEntries()
        #: The newest era of the store, None before the first answer, and from when on its answers
        #: confirm the configuration.
        self._era: int | None = None
        self._confirms_from_s = float("-inf")

    async def run(self) -> None:
        """Run until cancelled."""
        await asyncio.sleep(_START_WAIT_S)
        parts: dict[str, Callable[[], Awaitable[None]]] = {
            _CONFIG: partial(self._follow_while_reader, _CONFIG, self._follow_config),
            _UPSTREAMS: partial(self._follow_while_reader, _UPSTREAMS, self._follow_upstreams),
            "liveness": self._check_liveness,
            "listing": self._listing.run,
            "vanished": self._drop_vanished,
        }
        async with asyncio.TaskGroup() as tasks:
            for name, work in parts.items():
                on_failure = partial(self._record_failed_part, name)
                tasks.create_task(self._supervisor.run(name, work, on_failure))

    def use_store(self, store: Store) -> None:
        """Send the next calls to another address of the store.

        A watch that is pending at the old address may never be answered. It would delay the changes
        of the next seconds for all instances that learn them from here.
        """
        self._store = ConfirmedStore(store)
        self._listing.use_store(store)
        self._calls.cancel()

    def should_read(self) -> bool:
        """Return whether this instance reads the store now."""
        return self._role.should_read()

    async def _follow_while_reader(
        self, name: str, follow: Callable[[], Coroutine[Any, Any, PlatformFailure | None]]
    ) -> None:
        """Read and watch a part of the store while this instance is a reader."""
        retry_s = _RETRY_FIRST_S
        while True:
            reads = self.should_read()
            self._log_role(reads)
            if not reads:
                self._view.set_store_contact(False)
                self._reading_since_s = self._loop.time()
                await asyncio.sleep(READER_CHECK_S)
                continue
            began_s = self._loop.time()
            failure = await self._calls.run(follow())
            if isinstance(failure, HistoryLost):
                event = "store_position_refuted" if failure.is_refuted else "store_history_lost"
                self._log.event(event, part=name, cause=failure)
                if failure.is_refuted:
                    self.progress.record_refuted(name)
            elif failure is not None:
                self._record_failure(name, failure)
            if self._last_success_s > began_s:
                retry_s = _RETRY_FIRST_S
            await asyncio.sleep(retry_s * (0.75 + self._rng.random() * 0.5))
            retry_s = min(retry_s * 2, _RETRY_MAX_S)

    def _log_role(self, reads: bool) -> None:
        """Log once when this instance begins or stops to read the store."""
        if reads == self._is_reader:
            return
        self._is_reader = reads
        if not reads:
            self.refused_configs.clear()
            self.refused_upstreams.clear()
        self._log.event(
            "reader_started" if reads else "reader_stopped",
            rank=self._view.membership.own_rank(),
            is_hub=self._peers.is_hub,
            others_read=self._view.others_reach_store(),
        )

    async def _check_liveness(self) -> None:
        """Cancel watches that are pending at a store that no longer answers.

        The store may stop answering part of the instances, among them the readers of both zones.
        Until one of them reports the loss, no other instance reads and no change reaches the fleet.
        """
        check = 0
        while True:
            await asyncio.sleep(_LIVENESS_INTERVAL_S)
            if not self._view.store_contact or not self.should_read():
                continue
            check += 1
            confirms = self._view.requires_fresh_config and check % _CONFIRM_EVERY == 0
            try:
                failure = await self._liveness_timeout.run(
                    self._confirm_config() if confirms else self._read_stale()
                )
            except TimeoutError as error:
                failure = StoreUnavailable("liveness", str(error))
            if isinstance(failure, HistoryLost):
                self._calls.cancel()
            elif failure is None:
                self._outage.record_contact(self._loop.time())
            elif self._view.store_contact:
                self._record_failure("liveness", failure)
                self._calls.cancel()

    async def _read_stale(self) -> PlatformFailure | None:
        path = self._layout.instances_prefix + self._settings.availability_zone
        read = await self._store.snapshot(path, stale=True)
        if isinstance(read, Ok):
            self._check_era(read.ok_value.revision)
        return read.err()

    async def _confirm_config(self) -> PlatformFailure | None:
        """Confirm the configuration as current by a watch for changes up to now."""
        if self._config_revision is None:
            return await self._read_stale()
        sent_s = self._view.config_freshness.clock()
        path = self._layout.config_path
        watched = await self._store.watch(path, self._config_revision, _CONFIRM_WAIT_S)
        if isinstance(watched, Ok):
            answer = watched.ok_value
            await self._apply_config_answer(answer.entries, answer.revision, sent_s)
        return watched.err()

    async def _follow_config(self) -> PlatformFailure | None:
        """Follow the changes of the configuration until a call fails."""
        configs = self._view.configs
        configs.reaches_store = False
        caught_up = await self._catch_up(
            self._config_revision or 0, self._watch_config, self._read_config
        )
        if isinstance(caught_up, Ok):
            self._record_caught_up(_CONFIG)
        while isinstance(caught_up, Ok) and self.should_read():
            configs.reaches_store = True
            caught_up = await self._watch_config(caught_up.ok_value, _WATCH_S)
        configs.reaches_store = False
        return caught_up.err_value if isinstance(caught_up, Err) else None

    async def _catch_up(
        self,
        known_revision: int,
        watch: Callable[[int, float], Coroutine[Any, Any, Result[int, PlatformFailure]]],
        read: Callable[[], Coroutine[Any, Any, Result[int, PlatformFailure]]],
    ) -> Result[int, PlatformFailure]:
        """Learn a part of the store; return the revision up to which it is known then.

        A complete read shows only the last write to each path: a late write of an upstream's
        earlier lifetime, or an invalid configuration, hides the write before it. So all that has
        been written since a known revision is watched, as far as the store still has it. A reply
        with all these changes may be too large, and would be so again; a complete read has pages.
        """
        if known_revision:
            watched = await watch(known_revision, _CATCH_UP_WAIT_S)
            if isinstance(watched, Ok):
                return watched
            if not isinstance(watched.err_value, HistoryLost | ReplyUnusable):
                return watched
        return await read()

    async def _read_config(self) -> Result[int, PlatformFailure]:
        # The snapshot returns the store's revision; the entry's own may be older than the kept
        # history.
        self._config_revision = None
        sent_s = self._view.config_freshness.clock()
        read = await self._store.snapshot(self._layout.config_path)
        if isinstance(read, Err):
            return read
        self._record_success()
        revision = read.ok_value.revision
        self.progress.record_answer("config")
        self._check_era(revision)
        self.refused_configs.retain(entry.path for entry in read.ok_value.entries)
        await self._apply_config_answer(read.ok_value.entries, revision, sent_s)
        return Ok(revision)

    async def _watch_config(self, after: int, wait_s: float) -> Result[int, PlatformFailure]:
        """Apply the changes after a revision; return the one up to which they are known then."""
        sent_s = self._view.config_freshness.clock()
        began_s = self._loop.time()
        watched = await self._store.watch(self._layout.config_path, after, wait_s)
        if isinstance(watched, Err):
            return watched
        self._record_success()
        self.progress.record_answer("config")
        revision = max(after, watched.ok_value.revision)
        await self._apply_config_answer(watched.ok_value.entries, revision, sent_s)
        await self._pace_watches(watched.ok_value.entries, began_s + wait_s)
        return Ok(revision)

    async def _pace_watches(self, entries: Sequence[Entry], due_s: float) -> None:
        """Wait after changes, so that the next watch returns several, or an answer before its time.

        Without a pause, a store that does not let watches wait would be queried without end.
        """
        if entries or due_s - self._loop.time() > _BATCH_S:
            await asyncio.sleep(_BATCH_S)

    async def _apply_config_answer(
        self, entries: Sequence[Entry], revision: int, sent_s: float
    ) -> None:
        """Apply an answer that holds all changes of the configuration up to the time of the call.

        It confirms nothing if the store's configuration is invalid or older than the one in force.
        """
        await self._apply_config(entries)
        self._config_revision = max(self._config_revision or 0, revision)
        is_newest = self._stored_version >= self._view.config_version
        if is_newest and sent_s >= self._confirms_from_s:
            self._view.confirm_config_current(sent_s)

    async def _follow_upstreams(self) -> PlatformFailure | None:
        """Follow the changes of the upstreams until a call fails."""
        known = 0 if _UPSTREAMS in self._failing else self._view.upstreams.revision
        caught_up = await self._catch_up(known, self._watch_upstreams, self._read_upstreams)
        if isinstance(caught_up, Ok):
            self._record_caught_up(_UPSTREAMS)
        if isinstance(caught_up, Ok) and self._outage.ended_s >= self._compared_s:
            failure = await self._find_expired()
            if failure is not None:
                return failure
        while isinstance(caught_up, Ok) and self.should_read():
            caught_up = await self._watch_upstreams(caught_up.ok_value, _WATCH_S)
        return caught_up.err_value if isinstance(caught_up, Err) else None

    async def _find_expired(self) -> PlatformFailure | None:
        """Compare the list of upstreams with the store's after an outage.

        The reader that kept upstreams whose entries had expired may be gone. The changes that are
        watched from now on name them only if they return.
        """
        read = await self._store.snapshot(self._layout.upstreams_prefix)
        if isinstance(read, Err):
            return read.err_value
        self._record_success()
        self._compared_s = self._loop.time()
        stored = {self._name(entry) for entry in read.ok_value.entries}
        for record in self._view.upstreams:
            if record.name not in stored and record.revision <= read.ok_value.revision:
                self._vanished.setdefault(record.id, (self._outage.expiry_until_s, record.revision))
        return None

    async def _read_upstreams(self) -> Result[int, PlatformFailure]:
        read = await self._store.snapshot(self._layout.upstreams_prefix)
        if isinstance(read, Err):
            return read
        self._record_success()
        revision = read.ok_value.revision
        self.progress.record_answer("upstreams")
        self._check_era(revision)
        self._log.event(
            "upstreams_read",
            revision=revision,
            known=self._view.upstreams.revision,
            entries=len(read.ok_value.entries),
        )
        # Upstreams that are alive write their entry again, and a watch returns it.
        vanished = self._view.upstreams.absent_since_before(revision_era(revision))
        entries = [one for one in read.ok_value.entries if self._name(one) not in vanished]
        decoded = await self._decode(entries)
        records = {record.name: record for _, record in decoded if record is not None}
        self.refused_upstreams.retain(entry.path for entry in read.ok_value.entries)
        # The entry of a name that is listed and refused has not expired.
        stored = {self._name(entry) for entry in entries}
        gone = {record.name for record in self._view.upstreams} - stored
        if revision >= self._view.upstreams.revision:
            self._retain_vanished(gone, records)
        self._view.replace_upstreams(records.values(), revision, "store")
        return Ok(revision)

    async def _watch_upstreams(self, after: int, wait_s: float) -> Result[int, PlatformFailure]:
        """Apply the changes after a revision; return the one up to which they are known then."""
        began_s = self._loop.time()
        watched = await self._store.watch(self._layout.upstreams_prefix, after, wait_s)
        if isinstance(watched, Err):
            if isinstance(watched.err_value, HistoryLost) and watched.err_value.is_refuted:
                self._view.upstreams.refute(after)
            return watched
        self._record_success()
        changes = watched.ok_value
        self.progress.record_answer("upstreams")
        if changes.entries:
            self._log.event(
                "upstreams_watched",
                after=after,
                revision=changes.revision,
                known=self._view.upstreams.revision,
                entries=len(changes.entries),
            )
            await self._apply_changes(changes.entries, changes.revision)
        await self._pace_watches(changes.entries, began_s + wait_s)
        return Ok(max(after, changes.revision))

    async def _apply_config(self, entries: Sequence[Entry]) -> None:
        """Put the last valid version among some entries in force; it replaces those before it."""
        stored_version = None
        refusals: list[tuple[Entry, str]] = []
        entries = [entry for entry in entries if entry.path == self._layout.config_path]
        for entry in reversed(entries):
            if entry.value is None:
                continue
            arrived_s = self._loop.time()
            prepared = await prepare_config(
                self._layout, entry.path, entry.value, self._view.configs
            )
            if isinstance(prepared, Err):
                refusals.append((entry, str(prepared.err_value)))
                stored_version = 0
                continue
            version, chunked = prepared.ok_value
            if stored_version is None:
                stored_version = version
            if chunked is not None:
                self._log.event(
                    "config_read",
                    version=version,
                    revision=entry.revision,
                    size_bytes=len(entry.value.encode(errors="surrogateescape")),
                    prepare_s=self._loop.time() - arrived_s,
                )
                self._view.apply_config(chunked, "store")
            break
        for entry, cause in reversed(refusals):
            if self.refused_configs.record_refused(entry.path, cause):
                self._log.event("config_refused", revision=entry.revision, cause=cause)
        if entries and not (refusals and refusals[0][0] is entries[-1]):
            self.refused_configs.record_ended(self._layout.config_path)
        if stored_version is not None:
            self._stored_version = stored_version

    async def _apply_changes(self, entries: Sequence[Entry], revision: int) -> None:
        latest, refused = self._latest_records(await self._decode(entries))
        removed = {name for name, record in latest.items() if record is None} - refused
        kept: dict[str, UpstreamRecord] = {}
        # A peer may have sent newer records; an upstream that it lists has not expired.
        if revision > self._view.upstreams.revision:
            self._retain_vanished(removed, kept)
        # Peers cannot be told of a name with lone surrogates, and nobody lists it.
        changes = {name: one for name, one in {**latest, **kept}.items() if is_text(name)}
        self._view.apply_upstream_changes(changes, revision, "store")

    def _latest_records(
        self, decoded: Iterable[tuple[Entry, UpstreamRecord | None]]
    ) -> tuple[dict[str, UpstreamRecord | None], set[str]]:
        """Return the record that holds for each name after changes; None if removed or invalid.

        An invalid entry replaces the valid one before it. A valid entry of an older lifetime does
        not, since it was stored late. A lifetime that drained in between stays draining. Also
        returns the names of which no valid entry came after an invalid one: what was there before
        has not expired.
        """
        latest: dict[str, UpstreamRecord | None] = {}
        refused: set[str] = set()
        drained: set[str] = set()
        for entry, record in decoded:
            name = self._name(entry)
            if record is not None:
                refused.discard(name)
                if record.state is UpstreamState.DRAINING:
                    drained.add(record.id)
                elif record.id in drained:
                    record = replace(record, state=UpstreamState.DRAINING)
            elif entry.value is not None:
                refused.add(name)
            before = latest.get(name)
            if record is None or before is None or record.started_ms >= before.started_ms:
                latest[name] = record
        return latest, refused

    def _name(self, entry: Entry) -> str:
        return entry.path.removeprefix(self._layout.upstreams_prefix)

    def _retain_vanished(self, gone: Set[str], records: dict[str, UpstreamRecord]) -> None:
        """Keep ready upstreams whose entries expired in an outage until they should be back."""
        now_s = self._loop.time()
        for name in gone:
            record = self._view.upstreams.find_by_name(name)
            if record is None or record.state is not UpstreamState.READY:
                continue
            until_s, _ = self._vanished.get(record.id, (self._outage.expiry_until_s, 0))
            if now_s < until_s:
                self._vanished.setdefault(record.id, (until_s, record.revision))
                records[name] = record
                self._log.event("upstream_lapsed", upstream=record.id)

    async def _drop_vanished(self) -> None:
        """Drop upstreams that did not list themselves again in time after an outage."""
        while True:
            await asyncio.sleep(READER_CHECK_S)
            due = [
                (upstream_id, revision)
                for upstream_id, (until_s, revision) in self._vanished.items()
                if until_s <= self._loop.time()
            ]
            for upstream_id, _ in due:
                del self._vanished[upstream_id]
            listed = self._view.upstreams.records
            # An upstream that a peer has sent since then is listed again.
            self._view.drop_upstreams(
                upstream_id
                for upstream_id, revision in due
                if upstream_id in listed and listed[upstream_id].revision == revision
            )

    async def _decode(
        self, entries: Sequence[Entry]
    ) -> Sequence[tuple[Entry, UpstreamRecord | None]]:
        """Return the records of entries; None for a removed or refused one."""
        decoded = []
        for number, entry in enumerate(entries, 1):
            decoded.append((entry, self._decode_entry(entry)))
            if number % _ENTRIES_PER_SLICE == 0:
                await asyncio.sleep(0)
        return decoded

    def _decode_entry(self, entry: Entry) -> UpstreamRecord | None:
        if entry.value is None:
            self.refused_upstreams.record_ended(entry.path)
            return None
        decoded = self._layout.decode_or_refuse_upstream(entry)
        if isinstance(decoded, Err):
            cause = str(decoded.err_value)
            if self.refused_upstreams.record_refused(entry.path, cause):
                self._log.event("upstream_refused", cause=cause)
            return None
        self.refused_upstreams.record_ended(entry.path)
        self._vanished.pop(decoded.ok_value.id, None)
        return decoded.ok_value

    def _check_era(self, revision: int) -> None:
        """Read everything again if the store's era shows that it was restored from a copy."""
        before, era = self._era, revision_era(revision)
        if before is None and self._view.upstreams.revision > 0:
            before = revision_era(self._view.upstreams.revision)
        self._era = era if before is None else max(era, before)
        if before is None or era <= before:
            return
        self._log.event("store_restored", era=era, before=before)
        self._outage.extend_expiry(self._loop.time())
        self._confirms_from_s = self._view.config_freshness.clock() + _RESTORE_SETTLE_S
        self._stored_version = 0
        self._listing.invalidate()
        self._calls.cancel()

    def _record_success(self) -> None:
        now_s = self._loop.time()
        away_s = self._outage.record_contact(now_s)
        self._last_success_s = now_s
        if not self._view.store_contact and not self._failing:
            self._log.event("store_contact", away_s=away_s)
            self._view.set_store_contact(True)

    def _record_failure(self, name: str, failure: PlatformFailure) -> None:
        if self._view.store_contact:
            self._log.event("store_lost", part=name, cause=failure)
        self._outage.record_failure(self._reading_since_s, self._loop.time())
        self._view.set_store_contact(False)

    def _record_failed_part(self, name: str) -> None:
        """Have a part read anew, and let others read meanwhile: it may have failed half-way."""
        if name not in (_CONFIG, _UPSTREAMS):
            return
        self._failing.add(name)
        if name == _CONFIG:
            self._config_revision = None
            self._view.configs.record_failing(True)
        self._view.set_store_contact(False)

    def _record_caught_up(self, name: str) -> None:
        if name in self._failing:
            self._failing.discard(name)
            self._view.configs.record_failing(_CONFIG in self._failing)
            self._record_success()
