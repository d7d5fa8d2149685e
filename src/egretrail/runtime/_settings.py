"""Keeps an instance's settings consistent with the store and the fleet."""

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import structlog
from result import Result

from egretrail.fleet import FleetView, Member
from egretrail.identity import Incarnation
from egretrail.peer import PeerNetwork
from egretrail.route import RouteTable, existing_conflicts
from egretrail.runtime._settings_peers import InForceReport, SettingsPeers
from egretrail.runtime._settings_policy import SettingsPolicy
from egretrail.runtime._settings_reader import SettingsReader
from egretrail.runtime._settings_state import SettingsListener, SettingsState
from egretrail.runtime._settings_writer import SettingsWriter, StoredSetting
from egretrail.settings import (
    Accepted,
    Catalogue,
    FleetSettings,
    InvalidSettings,
    SettingPath,
    SettingsFault,
    SettingsRefusal,
    StoreBehind,
    is_store_watcher,
)
from egretrail.store import Store

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class SettingsStatus:
    """How current an instance's settings are known to be."""

    #: Whether it has caught up since its start or its last pause.
    caught_up: bool
    #: Number of live paths.
    paths: int
    #: The revision up to which the instance has received every change.
    complete_revision: int
    #: The root of the digest tree; equal on instances that hold the same settings.
    root: int
    #: Time since the store last confirmed the settings held here; None if it never did.
    confirmed_age_s: float | None
    #: Time since the last comparison with a caught-up peer or the store; None if there was none.
    compared_age_s: float | None
    #: Whether the instance watches the store.
    watches: bool
    #: Set while the store returns an older state than the fleet holds.
    behind: StoreBehind | None
    #: Values that cannot be parsed; for each path the last valid value stays in force.
    issues: Sequence[InvalidSettings]
    #: Contradictions between paths, left by concurrent changes of operators.
    conflicts: Sequence[SettingsFault]


class SettingsDriver:
    """Reads, compares, writes and applies the settings of one instance.

    A few instances watch the store and spread changes; all compare with random peers from time to
    time. An instance whose settings the store has not confirmed for long polls the store itself, so
    that changes are only delayed if no instance watches.
    """

    def __init__(
        self,
        own: Incarnation,
        network: PeerNetwork,
        view: FleetView,
        store: Store,
        rng: random.Random,
        policy: SettingsPolicy | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._own = own
        self._view = view
        self._rng = rng
        self._policy = policy or SettingsPolicy()
        self._state = SettingsState()
        self._peers = SettingsPeers(own, network, view, self._state, rng, self._policy)
        self._reader = SettingsReader(store, self._state, self._peers)
        self._writer = SettingsWriter(store, self._state, self._peers, clock)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start handling messages of peers and catching up; see ``wait_until_caught_up``."""
        self._peers.start()
        loops = (
            self._catch_up_forever,
            self._watch_forever,
            self._compare_forever,
            self._poll_forever,
        )
        self._tasks = [asyncio.create_task(loop()) for loop in loops]

    async def stop(self) -> None:
        """Stop all exchanges; the settings held here stay readable."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peers.stop()

    @property
    def routes(self) -> RouteTable:
        """Return the route table in force; it is kept up to date in place."""
        return self._state.routes

    @property
    def catalogue(self) -> Catalogue:
        """Return the catalogue of every path held here, with its generation."""
        return self._state.catalogue

    @property
    def caught_up(self) -> bool:
        """Return whether the instance may serve with the settings it holds."""
        return self._peers.caught_up.is_set()

    def settings(self) -> FleetSettings:
        """Return the settings in force; the same object until they change."""
        return self._state.catalogue.in_force.settings()

    def subscribe(self, listener: SettingsListener) -> None:
        """Call ``listener`` with the changed paths after each change."""
        self._state.subscribe(listener)

    async def wait_until_caught_up(self) -> None:
        """Return once the instance may serve: it has all changes accepted before its start."""
        await self._peers.caught_up.wait()

    def status(self) -> SettingsStatus:
        """Return how current the instance's settings are known to be."""
        catalogue = self._state.catalogue
        in_force = catalogue.in_force
        return SettingsStatus(
            caught_up=self.caught_up,
            paths=len(catalogue),
            complete_revision=catalogue.complete_revision,
            root=catalogue.tree.root,
            confirmed_age_s=self._age_s(self._state.confirmed_at_s),
            compared_age_s=self._age_s(self._state.compared_at_s),
            watches=self._watches(),
            behind=self._state.store_behind,
            issues=list(in_force.issues().values()),
            conflicts=existing_conflicts(in_force.settings()),
        )

    async def put(
        self, path: SettingPath, text: str, expected_revision: int, change_id: str, author: str
    ) -> Result[Accepted, SettingsRefusal]:
        """Accept or refuse a new text for a path; ``expected_revision`` 0 means it is absent."""
        return await self._writer.write(path, text, expected_revision, change_id, author)

    async def delete(
        self, path: SettingPath, expected_revision: int, change_id: str, author: str
    ) -> Result[Accepted, SettingsRefusal]:
        """Accept or refuse the deletion of a path."""
        return await self._writer.write(path, None, expected_revision, change_id, author)

    async def read(self, path: SettingPath) -> Result[StoredSetting, SettingsRefusal]:
        """Read a path and its history from the store."""
        return await self._writer.read(path)

    async def in_force(self, path: SettingPath, generation: int) -> InForceReport:
        """Ask every member whether a change is in force there."""
        return await self._peers.in_force(str(path), generation)

    async def _catch_up_forever(self) -> None:
        """Catch up at the start, and again whenever the process was paused."""
        loop = asyncio.get_running_loop()
        await self._catch_up()
        while True:
            sleep_started_s = loop.time()
            await asyncio.sleep(1.0)
            if loop.time() - sleep_started_s > 1.0 + self._policy.paused_s:
                # The process was paused for longer than peers wait for it. Until it has caught up,
                # it must neither serve with old settings nor be returned to clients.
                _log.warning("settings_paused", paused_s=round(loop.time() - sleep_started_s, 1))
                self._peers.caught_up.clear()
                await self._catch_up()

    async def _catch_up(self) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        held_before = self._state.compared_at_s is not None
        reported = False
        while True:
            agreed = await self._compare_with_several()
            confirmed = await self._reader.refresh(0.0)
            waited_s = loop.time() - started_s
            if confirmed or self._is_agreement_enough(agreed, waited_s, held_before):
                break
            if not reported:
                _log.error(
                    "settings_not_caught_up",
                    store_out=self._reader.is_store_unreachable,
                    peers=len(agreed),
                )
                reported = True
            await asyncio.sleep(self._jittered(self._policy.retry_s))
        self._peers.caught_up.set()
        _log.info(
            "settings_caught_up",
            from_store=confirmed,
            from_peers=len(agreed),
            complete_revision=self._state.catalogue.complete_revision,
            waited_s=round(waited_s, 3),
        )

    def _is_agreement_enough(
        self, agreed: Sequence[Member], waited_s: float, held_before: bool
    ) -> bool:
        """Return whether the agreeing peers suffice to serve while the store is unreachable.

        A single peer may itself be partitioned and hold old settings. One fault does not partition
        several peers in two zones together. After a while fewer peers suffice if there are no more,
        because a fleet in one zone must be able to replace its instances.
        """
        zones = {member.availability_zone for member in agreed}
        enough = len(agreed) >= self._policy.catch_up_peers
        if enough and len(zones) >= self._policy.catch_up_zones:
            return True
        has_waited = waited_s >= self._policy.few_peers_after_s
        return has_waited and (bool(agreed) or held_before)

    async def _compare_with_several(self) -> Sequence[Member]:
        peers = self._peers_to_compare()
        answers = await asyncio.gather(*(self._peers.compare(member.name) for member in peers))
        return [member for member, agrees in zip(peers, answers, strict=True) if agrees]

    def _peers_to_compare(self) -> Sequence[Member]:
        """Return random members, selected round-robin over the zones."""
        zones: dict[str, list[Member]] = {}
        others = list(self._peers.others())
        self._rng.shuffle(others)
        for member in others:
            zones.setdefault(member.availability_zone, []).append(member)
        chosen: list[Member] = []
        while zones and len(chosen) < self._policy.catch_up_asked:
            for zone in list(zones):
                chosen.append(zones[zone].pop())
                if not zones[zone]:
                    del zones[zone]
        return chosen[: self._policy.catch_up_asked]

    async def _watch_forever(self) -> None:
        while True:
            pause_s = self._jittered(self._policy.watcher_check_s)
            if self._watches():
                confirmed = await self._reader.refresh(self._policy.watch_wait_s)
                pause_s = self._policy.watch_pause_s
                if not confirmed:
                    pause_s = self._jittered(self._retry_s())
            await asyncio.sleep(pause_s)

    async def _compare_forever(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(self._policy.compare_interval_s))
            # Not awaited: a peer that does not reply must not delay the next comparison.
            self._peers.compare_with_random()

    async def _poll_forever(self) -> None:
        """Poll the store when its last confirmation is old.

        This finds changes when no instance watches. After a store outage of hours, 3,500 instances
        must not all ask the store while it comes back: the pause grows with the fleet's size, so
        that all instances together stay below a fixed rate.
        """
        while True:
            fleet_s = len(self._peers.others()) / self._policy.polls_per_s
            await asyncio.sleep(self._jittered(max(self._policy.stale_after_s, fleet_s)))
            age_s = self._age_s(self._state.confirmed_at_s)
            stale = age_s is None or age_s > self._policy.stale_after_s
            if stale and not self._watches():
                await self._reader.refresh(0.0)

    def _retry_s(self) -> float:
        # A store that lost writes is read in full each time, until operators have repaired it.
        behind = self._state.store_behind is not None
        return self._policy.stale_after_s if behind else self._policy.retry_s

    def _watches(self) -> bool:
        zones = {member.name: member.availability_zone for member in self._peers.others()}
        zones[self._own.instance] = self._view.own.availability_zone
        return is_store_watcher(self._own.instance, zones)

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.5, 1.5)

    def _age_s(self, at_s: float | None) -> float | None:
        return None if at_s is None else asyncio.get_running_loop().time() - at_s
