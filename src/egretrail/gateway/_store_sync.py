"""Keeps configuration and upstreams in step with the store, on the few instances that read it."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence, Set
from typing import Any

from result import Err

from egretrail.cluster import part_config
from egretrail.gateway._instance_listing import InstanceListing
from egretrail.gateway._interfaces import StartSettings, StoreLayout
from egretrail.gateway._log import EventLog
from egretrail.gateway._peers import PeerLinks
from egretrail.gateway._slices import in_slices
from egretrail.gateway._view import FleetView
from egretrail.identity import rendezvous_order
from egretrail.store import Entry, HistoryLost, PlatformFailure, Store, StoreUnavailable
from egretrail.traffic import UpstreamRecord, UpstreamState, revision_era

_Following = asyncio.Task[PlatformFailure | None]

#: Zones whose hubs read the store for all: one may be cut off from it, or its reader turned away.
#: With five zones, each change of an upstream costs two calls in place of five.
_READING_ZONES = 2
#: How long one watch waits.
_WATCH_S = 8.0
#: While watches wait, a stale read, which costs a tenth of a call, asks this often whether the
#: store still answers: one that has fallen silent for the readers of all zones is noticed well
#: before the next change is due. The read may take so long at first; a slow store doubles it.
_LIVENESS_INTERVAL_S = 0.5
_LIVENESS_TIMEOUT_S, _LIVENESS_TIMEOUT_MAX_S = 0.5, 3.0
#: While keys need a proof that the configuration is the newest one, each second of these reads is a
#: linearizable watch that ends at once: it proves that nothing had changed when it was asked for.
_PROOF_TURNS = 2
_PROOF_WAIT_S = 0.001
#: After changes the next watch begins this much later, so that those of one moment come together:
#: each watch ends with the first change, and each is a call that costs money.
_GATHER_S = 0.15
#: After a failed call the store is asked again this much later, up to the maximum: a store that is
#: down is priced and loaded by each try, and the peers know what changes.
_RETRY_FIRST_S = 0.2
_RETRY_MAX_S = 1.0
#: An instance that has just started leaves the store to the relays for this long.
_START_WAIT_S = 0.15
_START_PATIENCE_S = 0.8
#: How often an instance looks whether it has to read the store.
_LOOK_S = 0.1
#: Without any peer in contact with the store, further instances of a zone try in turns this long:
#: a store may turn away the hubs and some of those, and a change is due within seconds.
_TURN_S = 0.5
_TURNS = 8
#: Who has taken over from readers goes on for this time at least, and for up to twice as long.
_STAND_IN_S = 3.0
#: Upstreams whose entries lapsed while the store was away list themselves again within two seconds
#: of its return; those that vanish right after it are kept for that time.
_LAPSE_KEEP_S = 2.2
#: A store that was away for less than this has let nothing lapse: upstreams renew every 1.5 s.
_LAPSE_AWAY_S = 1.0
#: This part of a service vanishing at once without a word is a lapse and no release.
_LAPSE_SHARE = 0.5
#: What a store that came back from an older copy lacks is written again within this time; until
#: then it proves nothing of what had been written before.
_RESTORED_S = 2.2


class StoreSync:
    """Reads and watches the store while this instance is one of those that should."""

    def __init__(
        self,
        settings: StartSettings,
        view: FleetView,
        store: Store,
        layout: StoreLayout,
        peers: PeerLinks,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._store = store
        self._layout = layout
        self._peers = peers
        self._log = log
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._patience_s = _START_PATIENCE_S + rng.random() * 0.4
        self._last_success_s = float("-inf")
        #: When this instance began to read; while it does not, the store is not known to be away.
        self._reading_since_s = self._loop.time()
        #: Since when the store has not answered this instance, while it reads.
        self._away_since_s: float | None = None
        #: Whether another instance was in contact with the store meanwhile.
        self._others_reach_store = False
        #: Until when entries that vanish count as lapsed while the store was away.
        self._lapses_until_s = float("-inf")
        #: Entries that count as lapsed: until when they are kept, and their last revision.
        self._vanished: dict[str, tuple[float, int]] = {}
        self._listing = InstanceListing(settings, view, store, layout, peers, log)
        #: What follows a part of the store now.
        self._following: set[_Following] = set()
        self._liveness_timeout_s = _LIVENESS_TIMEOUT_S
        #: Until when this instance reads in place of others although they read too.
        self._stands_in_until_s = float("-inf")
        #: The revision up to which the configuration was read; None where it has to be read anew.
        self._config_revision: int | None = None
        #: The version of the configuration that the store had last; 0 for one that is not valid.
        self._stored_version = 0
        #: The newest era of the store, and from when on it proves what holds; None before any.
        self._era: int | None = None
        self._proof_from_s = float("-inf")

    async def run(self) -> None:
        """Run until cancelled."""
        await asyncio.sleep(_START_WAIT_S)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._keep("config", self._follow_config))
            tasks.create_task(self._keep("upstreams", self._follow_upstreams))
            tasks.create_task(self._check_liveness())
            tasks.create_task(self._listing.run())
            tasks.create_task(self._drop_vanished())

    def use_store(self, store: Store) -> None:
        """Send the next calls to another address of the store.

        A watch that waits at the old one, which may be silent, would keep the changes of the next
        seconds from all who hear them from here.
        """
        self._store = store
        self._listing.use_store(store)
        self._begin_anew()

    def _begin_anew(self) -> None:
        """End the calls that wait; each part of the store is read again."""
        for following in self._following:
            following.cancel()

    def should_read(self) -> bool:
        """Return whether this instance reads the store itself.

        Each call costs money and the store's rate is shared, so the hubs of two zones read for all;
        a zone whose reader is turned away hears from the others. An instance reads for itself
        while it hears of nobody in contact with the store, in turns, since a store that is down
        would otherwise be asked by all of them; and when it has started and nobody has told it the
        configuration.
        """
        if self._view.leaving:
            return False
        rank = self._view.membership.own_rank()
        if rank == 0 and self._zone_reads():
            return True
        if not self._view.ready:
            return rank == 0 or self._loop.time() - self._started_s > self._patience_s
        now_s = self._loop.time()
        if self._peer_reaches_store():
            # All that took over hear of each other. If they stopped at once, nobody would read.
            return self._view.store_contact and now_s < self._stands_in_until_s
        takes_turn = rank == 0 or rank == 1 + int(now_s / _TURN_S) % _TURNS
        if not takes_turn and not self._view.store_contact:
            return False
        if now_s >= self._stands_in_until_s:
            self._stands_in_until_s = now_s + _STAND_IN_S * (1.0 + self._rng.random())
        return True

    def _zone_reads(self) -> bool:
        """Return whether the own zone is one of those that read."""
        zones = rendezvous_order("read the store", self._view.membership.zones())
        return self._settings.availability_zone in zones[:_READING_ZONES]

    async def _keep(
        self, name: str, follow: Callable[[], Coroutine[Any, Any, PlatformFailure | None]]
    ) -> None:
        """Follow a part of the store whenever this instance should."""
        retry_s = _RETRY_FIRST_S
        while True:
            if not self.should_read():
                self._view.set_store_contact(False)
                self._away_since_s = None
                self._reading_since_s = self._loop.time()
                await asyncio.sleep(_LOOK_S)
                continue
            began_s = self._loop.time()
            failure = await self._until_moved(follow())
            if isinstance(failure, HistoryLost):
                self._log.event("store_history_lost", part=name, cause=failure)
            elif failure is not None:
                self._failed(name, failure)
            if self._last_success_s > began_s:
                retry_s = _RETRY_FIRST_S
            await asyncio.sleep(retry_s * (0.75 + self._rng.random() * 0.5))
            retry_s = min(retry_s * 2, _RETRY_MAX_S)

    async def _check_liveness(self) -> None:
        """End watches that wait for a store that does not answer any more.

        Load: the store falls silent for a part of the instances, the readers of both zones among
        them. Until one of them says so, nobody else reads, and no change reaches anyone.
        """
        turn = 0
        while True:
            await asyncio.sleep(_LIVENESS_INTERVAL_S)
            if not self._view.store_contact or not self.should_read():
                continue
            turn += 1
            proves = self._view.needs_proof and turn % _PROOF_TURNS == 0
            failure = await self._in_time(self._prove_config() if proves else self._read_stale())
            if isinstance(failure, HistoryLost):
                self._begin_anew()
            elif failure is not None and self._view.store_contact:
                self._failed("liveness", failure)
                self._begin_anew()

    async def _read_stale(self) -> PlatformFailure | None:
        path = self._layout.instances_prefix + self._settings.availability_zone
        read = await self._store.snapshot(path, stale=True)
        if isinstance(read, Err):
            return read.err_value
        self._note_era(read.ok_value.revision)
        return None

    async def _prove_config(self) -> PlatformFailure | None:
        """Ask for changes of the configuration up to now."""
        if self._config_revision is None:
            return await self._read_stale()
        asked_s = self._view.proof.clock()
        path = self._layout.config_path
        watched = await self._store.watch(path, self._config_revision, _PROOF_WAIT_S)
        if isinstance(watched, Err):
            return watched.err_value
        await self._take_proof(watched.ok_value.entries, watched.ok_value.revision, asked_s)
        return None

    async def _in_time(
        self, call: Coroutine[Any, Any, PlatformFailure | None]
    ) -> PlatformFailure | None:
        """Make a call that tells within a time whether the store answers."""
        asked_s = self._loop.time()
        timeout_s = self._liveness_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                failure = await call
        except TimeoutError:
            self._liveness_timeout_s = min(timeout_s * 2, _LIVENESS_TIMEOUT_MAX_S)
            return StoreUnavailable("liveness", f"no answer within {timeout_s} s")
        if self._loop.time() - asked_s < timeout_s / 4:
            self._liveness_timeout_s = max(timeout_s / 2, _LIVENESS_TIMEOUT_S)
        return failure

    async def _until_moved(
        self, follow: Coroutine[Any, Any, PlatformFailure | None]
    ) -> PlatformFailure | None:
        """Follow a part of the store until a call fails or the store has another address."""
        following = self._loop.create_task(follow)
        self._following.add(following)
        try:
            await asyncio.wait([following])
        finally:
            self._following.discard(following)
            following.cancel()
        return None if following.cancelled() else following.result()

    async def _follow_config(self) -> PlatformFailure | None:
        """Read the configuration and follow its changes until a call fails."""
        # A snapshot tells the store's revision. The value's own may be older than its history.
        configs = self._view.configs
        configs.reaches_store = False
        self._config_revision = None
        asked_s = self._view.proof.clock()
        read = await self._store.snapshot(self._layout.config_path)
        if isinstance(read, Err):
            return read.err_value
        self._succeeded()
        revision = read.ok_value.revision
        self._note_era(revision)
        await self._take_proof(read.ok_value.entries, revision, asked_s)
        configs.reaches_store = True
        while self.should_read():
            asked_s = self._view.proof.clock()
            watched = await self._store.watch(self._layout.config_path, revision, _WATCH_S)
            if isinstance(watched, Err):
                configs.reaches_store = False
                return watched.err_value
            self._succeeded()
            revision = max(revision, watched.ok_value.revision)
            await self._take_proof(watched.ok_value.entries, revision, asked_s)
            await self._gather(watched.ok_value.entries)
        configs.reaches_store = False
        return None

    async def _take_proof(self, entries: Sequence[Entry], revision: int, asked_s: float) -> None:
        """Take an answer that tells all changes of the configuration up to when it was asked for.

        A store whose configuration is older than the one in force, or cannot be read, proves
        nothing about the one in force.
        """
        await self._take_config(entries)
        self._config_revision = max(self._config_revision or 0, revision)
        is_newest = self._stored_version >= self._view.config_version
        if is_newest and asked_s >= self._proof_from_s:
            self._view.prove_config(asked_s)

    async def _follow_upstreams(self) -> PlatformFailure | None:
        """Read the upstreams and follow their changes until a call fails."""
        prefix = self._layout.upstreams_prefix
        read = await self._store.snapshot(prefix)
        if isinstance(read, Err):
            return read.err_value
        self._succeeded()
        revision = read.ok_value.revision
        self._note_era(revision)
        # Those that are alive write their entry again, and a watch tells it.
        vanished = self._view.upstreams.vanished_before(revision_era(revision))
        entries = [one for one in read.ok_value.entries if self._name(one) not in vanished]
        records = {record.name: record for record in self._decode(entries)}
        gone = {record.name for record in self._view.upstreams} - records.keys()
        if revision >= self._view.upstreams.revision:
            self._keep_vanished(gone, records)
        self._view.take_upstreams(records.values(), revision, "store")
        while self.should_read():
            watched = await self._store.watch(prefix, revision, _WATCH_S)
            if isinstance(watched, Err):
                return watched.err_value
            self._succeeded()
            if watched.ok_value.entries:
                self._take_changes(watched.ok_value.entries, watched.ok_value.revision)
            revision = max(revision, watched.ok_value.revision)
            await self._gather(watched.ok_value.entries)
        return None

    async def _gather(self, entries: Sequence[Entry]) -> None:
        """Leave time for further changes after some that have just come."""
        if entries:
            await asyncio.sleep(_GATHER_S)

    async def _take_config(self, entries: Sequence[Entry]) -> None:
        """Put the last valid one of some versions in force; those before it were replaced."""
        stored_version = None
        for entry in reversed(entries):
            if entry.path != self._layout.config_path or entry.value is None:
                continue
            arrived_s = self._loop.time()
            value = entry.value.encode(errors="surrogateescape")
            decoded = await in_slices(self._layout.read_config(value))
            if isinstance(decoded, Err):
                self._log.event("config_refused", revision=entry.revision, cause=decoded.err_value)
                stored_version = 0
                continue
            if stored_version is None:
                stored_version = decoded.ok_value.version
            if decoded.ok_value.version > self._view.config_version:
                parted = await in_slices(part_config(decoded.ok_value, self._view.configs.parted))
                self._log.event(
                    "config_read",
                    version=decoded.ok_value.version,
                    revision=entry.revision,
                    size_bytes=len(value),
                    prepare_s=self._loop.time() - arrived_s,
                )
                self._view.take_config(parted, "store")
            break
        if stored_version is not None:
            self._stored_version = stored_version

    def _take_changes(self, entries: Sequence[Entry], revision: int) -> None:
        last = self._last_words(entries)
        removed = {name for name, word in last.items() if word is None}
        kept: dict[str, UpstreamRecord] = {}
        # A peer may have told newer words, and an upstream that it lists has not lapsed.
        if revision > self._view.upstreams.revision:
            self._keep_vanished(removed, kept)
        self._view.change_upstreams({**last, **kept}, revision, "store")

    def _last_words(self, entries: Sequence[Entry]) -> dict[str, UpstreamRecord | None]:
        """Return what holds of each name after changes that came together; None for nothing usable.

        An entry that cannot be used takes the place of the usable one before it. One of an older
        lifetime does not: it was stored late.
        """
        last: dict[str, UpstreamRecord | None] = {}
        for entry in entries:
            name = self._name(entry)
            decoded = self._decode([entry]) if entry.value is not None else []
            record = decoded[0] if decoded else None
            before = last.get(name)
            if record is None or before is None or record.started_ms >= before.started_ms:
                last[name] = record
        return last

    def _name(self, entry: Entry) -> str:
        return entry.path.removeprefix(self._layout.upstreams_prefix)

    def _keep_vanished(self, gone: Set[str], records: dict[str, UpstreamRecord]) -> None:
        """Keep upstreams that vanished while the store was away, until they should be back."""
        now_s = self._loop.time()
        for name in gone:
            record = self._view.upstreams.named(name)
            if record is None or record.state is not UpstreamState.READY:
                continue
            if self._lapsed(record, gone, now_s):
                self._vanished.setdefault(record.id, (now_s + _LAPSE_KEEP_S, record.revision))
                records[name] = record
                self._log.event("upstream_lapsed", upstream=record.id)

    def _lapsed(self, record: UpstreamRecord, gone: Set[str], now_s: float) -> bool:
        if record.id in self._vanished:
            return self._vanished[record.id][0] > now_s
        if now_s < self._lapses_until_s:
            return True
        alike = self._view.upstreams.ready(record.service)
        lost = sum(1 for other in alike if other.name in gone)
        return lost > 1 and lost > len(alike) * _LAPSE_SHARE

    async def _drop_vanished(self) -> None:
        """Remove upstreams that did not list themselves again in time."""
        while True:
            await asyncio.sleep(_LOOK_S)
            now_s = self._loop.time()
            due = [
                (upstream_id, revision)
                for upstream_id, (until_s, revision) in self._vanished.items()
                if until_s <= now_s
            ]
            for upstream_id, _ in due:
                del self._vanished[upstream_id]
            listed = self._view.upstreams.records
            # One that a peer has told since is back.
            self._view.drop_upstreams(
                upstream_id
                for upstream_id, revision in due
                if upstream_id in listed and listed[upstream_id].revision == revision
            )

    def _decode(self, entries: Sequence[Entry]) -> list[UpstreamRecord]:
        records = []
        for entry in entries:
            decoded = self._layout.decode_upstream(entry)
            if isinstance(decoded, Err):
                self._log.event("upstream_refused", cause=decoded.err_value)
                continue
            record = decoded.ok_value
            self._vanished.pop(record.id, None)
            records.append(record)
        return records

    def _note_era(self, revision: int) -> None:
        """Read all parts anew where the store has come back from an older copy."""
        before, era = self._era, revision_era(revision)
        if before is None and self._view.upstreams.revision > 0:
            before = revision_era(self._view.upstreams.revision)
        self._era = era if before is None else max(era, before)
        if before is None or era <= before:
            return
        self._log.event("store_restored", era=era, before=before)
        self._lapses_until_s = self._loop.time() + _LAPSE_KEEP_S
        self._proof_from_s = self._view.proof.clock() + _RESTORED_S
        self._stored_version = 0
        self._listing.write_again()
        self._begin_anew()

    def _succeeded(self) -> None:
        now_s = self._loop.time()
        away_s = now_s - self._away_since_s if self._away_since_s is not None else 0.0
        self._away_since_s = None
        if not self._view.store_contact:
            self._log.event("store_contact", away_s=away_s)
        if away_s > _LAPSE_AWAY_S and not self._others_reach_store:
            self._lapses_until_s = now_s + _LAPSE_KEEP_S
        self._others_reach_store = False
        self._last_success_s = now_s
        self._view.set_store_contact(True)

    def _failed(self, name: str, failure: PlatformFailure) -> None:
        if self._view.store_contact:
            self._log.event("store_lost", part=name, cause=failure)
        # A store that turns this instance away and serves others lets nothing lapse.
        self._others_reach_store |= self._peer_reaches_store()
        if self._away_since_s is None:
            self._away_since_s = max(self._last_success_s, self._reading_since_s)
        self._view.set_store_contact(False)

    def _peer_reaches_store(self) -> bool:
        return self._view.others_reach_store()
