"""Keeps an instance's settings in step with the store and the fleet."""

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
from egretrail.runtime._settings_peers import InForce, SettingsPeers
from egretrail.runtime._settings_policy import SettingsPolicy
from egretrail.runtime._settings_state import SettingsListener, SettingsState
from egretrail.runtime._settings_store import SettingsReader
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
    is_watcher,
)
from egretrail.store import Store

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class SettingsStatus:
    """How sure an instance is of its settings."""

    #: Whether it has caught up since its start or its last pause.
    caught_up: bool
    #: Live paths.
    paths: int
    #: The revision up to which it has seen every change.
    complete_revision: int
    #: The root of its digests, equal on instances that hold the same.
    root: int
    #: How long ago the store confirmed what is held; None: never.
    confirmed_age_s: float | None
    #: How long ago a caught-up peer or the store was compared with; None: never.
    compared_age_s: float | None
    #: Whether it keeps the store's watch.
    watches: bool
    #: Set while the store shows an older state than the fleet.
    behind: StoreBehind | None
    #: Values that cannot be read; their last readable one is in force.
    issues: Sequence[InvalidSettings]
    #: Contradictions between paths that operators left by a race.
    conflicts: Sequence[SettingsFault]


class SettingsDriver:
    """The settings of one instance: read, compared, written and brought into force.

    A few instances keep the store's watch and pass changes on; all compare with random peers now
    and then. Who has not heard for long that the store confirmed what is held asks it itself, so
    that nobody watching is only slow.
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
        """Answer peers and begin to catch up; ``wait_until_caught_up`` tells when it is done."""
        self._peers.listen()
        loops = (self._keep_caught_up, self._keep_watch, self._keep_compared, self._keep_polled)
        self._tasks = [asyncio.create_task(loop()) for loop in loops]

    async def stop(self) -> None:
        """Stop all exchanges; what is held stays readable."""
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
        """Return every path that is held, with its generation."""
        return self._state.catalogue

    @property
    def caught_up(self) -> bool:
        """Return whether the instance may serve by what it holds."""
        return self._peers.caught_up.is_set()

    def settings(self) -> FleetSettings:
        """Return the settings in force; the same object until they change."""
        return self._state.catalogue.in_force.settings()

    def subscribe(self, listener: SettingsListener) -> None:
        """Call ``listener`` with the changed paths after each change."""
        self._state.subscribe(listener)

    async def wait_until_caught_up(self) -> None:
        """Return once the instance may serve: it knows all that was accepted before it started."""
        await self._peers.caught_up.wait()

    def status(self) -> SettingsStatus:
        """Return how sure the instance is of its settings."""
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
            behind=self._state.behind,
            issues=list(in_force.issues().values()),
            conflicts=existing_conflicts(in_force.settings()),
        )

    async def put(
        self, path: SettingPath, text: str, expected_revision: int, change_id: str, author: str
    ) -> Result[Accepted, SettingsRefusal]:
        """Accept a new text for a path (``expected_revision`` 0: it is absent), or refuse it."""
        return await self._writer.write(path, text, expected_revision, change_id, author)

    async def delete(
        self, path: SettingPath, expected_revision: int, change_id: str, author: str
    ) -> Result[Accepted, SettingsRefusal]:
        """Accept the deletion of a path, or refuse it."""
        return await self._writer.write(path, None, expected_revision, change_id, author)

    async def read(self, path: SettingPath) -> Result[StoredSetting, SettingsRefusal]:
        """Read a path with its history from the store."""
        return await self._writer.read(path)

    async def in_force(self, path: SettingPath, generation: int) -> InForce:
        """Ask every member whether a change is in force there."""
        return await self._peers.in_force(str(path), generation)

    async def _keep_caught_up(self) -> None:
        """Catch up at the start, and again whenever the process was paused."""
        loop = asyncio.get_running_loop()
        await self._catch_up()
        while True:
            slept_from_s = loop.time()
            await asyncio.sleep(1.0)
            if loop.time() - slept_from_s > 1.0 + self._policy.paused_s:
                # Load: a process stopped for longer than peers wait. Harm prevented: serving by
                # settings that changed meanwhile; the reason why it is not named to callers now.
                _log.warning("settings_paused", paused_s=round(loop.time() - slept_from_s, 1))
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
            if confirmed or self._suffices(agreed, waited_s, held_before):
                break
            if not reported:
                _log.error("settings_not_caught_up", store_out=self._reader.out, peers=len(agreed))
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

    def _suffices(self, agreed: Sequence[Member], waited_s: float, held_before: bool) -> bool:
        """Return whether what peers said is enough to serve while the store is out.

        Harm prevented: an instance that learns from one peer which was itself cut off, and serves
        by what it held before the cut. Several peers in two zones are not cut off together by one
        fault; fewer are taken when there are no more, after a while, because a fleet in one zone
        must be able to replace its instances.
        """
        zones = {member.availability_zone for member in agreed}
        enough = len(agreed) >= self._policy.catch_up_peers
        if enough and len(zones) >= self._policy.catch_up_zones:
            return True
        patient = waited_s >= self._policy.few_peers_after_s
        return patient and (bool(agreed) or held_before)

    async def _compare_with_several(self) -> Sequence[Member]:
        asked = self._several()
        answers = await asyncio.gather(*(self._peers.compare(member.name) for member in asked))
        return [member for member, agrees in zip(asked, answers, strict=True) if agrees]

    def _several(self) -> Sequence[Member]:
        """Return random members, taking the zones in turn."""
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

    async def _keep_watch(self) -> None:
        while True:
            pause_s = self._jittered(self._policy.watcher_check_s)
            if self._watches():
                confirmed = await self._reader.refresh(self._policy.watch_wait_s)
                pause_s = self._policy.watch_pause_s
                if not confirmed:
                    pause_s = self._jittered(self._retry_s())
            await asyncio.sleep(pause_s)

    async def _keep_compared(self) -> None:
        while True:
            await asyncio.sleep(self._jittered(self._policy.compare_interval_s))
            # Not waited for: a peer that does not answer must not delay the next comparison.
            self._peers.compare_with_random()

    async def _keep_polled(self) -> None:
        """Ask the store when its last confirmation is old.

        Load: nobody watches, or the store is out for hours. Harm prevented: changes that reach
        nobody, and 3,500 instances that ask a store which is just coming back. The pause grows
        with the fleet so that all together keep below a fixed rate.
        """
        while True:
            fleet_s = len(self._peers.others()) / self._policy.polls_per_s
            await asyncio.sleep(self._jittered(max(self._policy.stale_after_s, fleet_s)))
            age_s = self._age_s(self._state.confirmed_at_s)
            stale = age_s is None or age_s > self._policy.stale_after_s
            if stale and not self._watches():
                await self._reader.refresh(0.0)

    def _retry_s(self) -> float:
        # A store that lost writes is read whole each time, until operators have mended it.
        behind = self._state.behind is not None
        return self._policy.stale_after_s if behind else self._policy.retry_s

    def _watches(self) -> bool:
        zones = {member.name: member.availability_zone for member in self._peers.others()}
        zones[self._own.instance] = self._view.own.availability_zone
        return is_watcher(self._own.instance, zones)

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.5, 1.5)

    def _age_s(self, at_s: float | None) -> float | None:
        return None if at_s is None else asyncio.get_running_loop().time() - at_s
