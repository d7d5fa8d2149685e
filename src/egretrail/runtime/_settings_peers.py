"""Spreads changes of settings to peers, and compares the settings held here with theirs."""

import asyncio
import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from result import Err

from egretrail.fleet import FleetView, Member, MemberState
from egretrail.identity import Incarnation, InstanceName
from egretrail.peer import PeerNetwork
from egretrail.runtime._settings_policy import SettingsPolicy
from egretrail.runtime._settings_state import SettingsState
from egretrail.settings import (
    BUCKETS,
    ChangeRun,
    CompareSettings,
    FetchDifference,
    InForceReply,
    QueryInForce,
    SettingChange,
    SettingsCompared,
    SettingsDifference,
    SettingsRun,
)
from egretrail.wire import Message

#: Rounds of one comparison without progress, because messages are lost or late, before it ends.
_IDLE_ROUNDS_LIMIT = 4
#: Random draws per wanted member; after these, fewer members are returned.
_DRAWS = 8


@dataclass(frozen=True, slots=True)
class InForceReport:
    """The instances on which a change is in force."""

    #: Instances that have the change, or a later one of its path.
    have: Sequence[InstanceName]
    #: Instances that replied that they do not have the change yet.
    lack: Sequence[InstanceName]
    #: Instances that did not reply.
    silent: Sequence[InstanceName]


class SettingsPeers:
    """One instance's exchanges with its peers about settings."""

    def __init__(
        self,
        own: Incarnation,
        network: PeerNetwork,
        view: FleetView,
        state: SettingsState,
        rng: random.Random,
        policy: SettingsPolicy,
    ) -> None:
        self._own = own
        self._network = network
        self._view = view
        self._state = state
        self._rng = rng
        self._policy = policy
        self._comparing: dict[InstanceName, asyncio.Task[bool]] = {}
        #: Whether this instance has caught up since its start or its last pause.
        self.caught_up = asyncio.Event()

    def start(self) -> None:
        """Start handling messages of peers."""
        self._network.on(SettingsRun, self._on_settings_run)
        self._network.on(CompareSettings, self._on_compare_settings)
        self._network.on(FetchDifference, self._on_fetch_difference)
        self._network.on(QueryInForce, self._on_query_in_force)

    async def stop(self) -> None:
        """Cancel running comparisons."""
        tasks = list(self._comparing.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def others(self) -> Sequence[Member]:
        """Return the other members that are not known to be unreachable."""
        members = self._view.members()
        return [
            member
            for member in members
            if member.name != self._own.instance and member.state is not MemberState.UNREACHABLE
        ]

    def _random_others(self, count: int) -> Collection[InstanceName]:
        """Return names of random members that ``others`` would list, without a pass over all."""
        members = self._view.members()
        chosen: dict[InstanceName, None] = {}
        for _ in range(_DRAWS * count if members else 0):
            member = members[self._rng.randrange(len(members))]
            if member.name != self._own.instance and member.state is not MemberState.UNREACHABLE:
                chosen[member.name] = None
            if len(chosen) == count:
                break
        return chosen

    def spread(self, run: ChangeRun) -> None:
        """Send changes to a few random peers, which forward the changes that are new to them.

        Each change has to reach 3,500 instances, without one sender of 3,500 messages and without
        all instances sending to all others. With a constant fan-out the cost for an instance does
        not depend on the fleet's size. Instances that are missed find the difference by comparing.
        """
        if not run.changes or len(run.changes) > self._policy.spread_limit_changes:
            return
        for name in self._random_others(self._policy.fanout):
            self._network.send(name, SettingsRun(run))

    def compare_with_random(self) -> None:
        """Start a comparison with one random peer."""
        for name in self._random_others(1):
            self._start_comparison(name)

    async def compare(self, peer: InstanceName) -> bool:
        """Compare with a peer and return whether both agree and the peer has caught up.

        Concurrent calls for one peer share a comparison.
        """
        return await asyncio.shield(self._start_comparison(peer))

    async def in_force(self, path: str, generation: int) -> InForceReport:
        """Ask every member whether a change is in force there."""
        semaphore = asyncio.Semaphore(self._policy.in_force_parallel)
        have, lack, silent = [], [], []
        if self._state.catalogue.has_in_force(path, generation):
            have.append(self._own.instance)
        else:
            lack.append(self._own.instance)

        async def ask(name: InstanceName) -> None:
            async with semaphore:
                request = QueryInForce(path, generation)
                timeout_s = self._policy.ask_timeout_s
                reply = await self._network.ask(name, request, InForceReply, timeout_s)
            if isinstance(reply, Err):
                silent.append(name)
            else:
                (have if reply.ok_value.in_force else lack).append(name)

        names = [member.name for member in self._view.members()]
        await asyncio.gather(*(ask(name) for name in names if name != self._own.instance))
        return InForceReport(sorted(have), sorted(lack), sorted(silent))

    def _start_comparison(self, peer: InstanceName) -> asyncio.Task[bool]:
        task = self._comparing.get(peer)
        if task is None:
            task = asyncio.create_task(self._compare(peer))
            self._comparing[peer] = task
            task.add_done_callback(lambda _: self._comparing.pop(peer, None))
        return task

    async def _compare(self, peer: InstanceName) -> bool:
        idle_rounds = 0
        before: tuple[int, Sequence[int]] | None = None
        while idle_rounds < _IDLE_ROUNDS_LIMIT:
            root = self._state.catalogue.tree.root
            sent_s = asyncio.get_running_loop().time()
            request = self._comparison_request(root)
            reply = await self._network.ask(
                peer, request, SettingsCompared, self._policy.ask_timeout_s
            )
            if isinstance(reply, Err):
                return False
            compared = reply.ok_value
            self._state.catalogue.record_lost_writes(compared.lost_upto_revision)
            if not compared.buckets:
                return self._record_agreement(compared, sent_s)
            if len(compared.buckets) != BUCKETS or not await self._pull(peer, compared.buckets):
                return False
            idle_rounds = idle_rounds + 1 if before == (root, compared.buckets) else 0
            before = (root, compared.buckets)
        return False

    def _comparison_request(self, root: int) -> CompareSettings:
        catalogue = self._state.catalogue
        return CompareSettings(root, catalogue.complete_revision, catalogue.lost_upto_revision)

    def _record_agreement(self, compared: SettingsCompared, sent_s: float) -> bool:
        # Both held the same live paths when the peer replied, so this instance holds all changes
        # that the peer had received.
        self._state.record_complete_upto(compared.complete_revision)
        if compared.confirmed_age_s is not None:
            self._state.record_confirmation(sent_s - compared.confirmed_age_s)
        if compared.caught_up:
            self._state.compared_at_s = sent_s
        return compared.caught_up

    async def _pull(self, peer: InstanceName, theirs: Sequence[int]) -> bool:
        catalogue = self._state.catalogue
        buckets = self._limit_buckets(catalogue.tree.differing(theirs))
        request = FetchDifference(buckets, catalogue.marks(buckets))
        timeout_s = self._policy.ask_timeout_s
        reply = await self._network.ask(peer, request, SettingsDifference, timeout_s)
        if isinstance(reply, Err):
            return False
        found = reply.ok_value
        self._state.apply(found.changes)
        # Paths that the peer holds in an older state, or requests, are sent back as held here.
        older = [
            change.path
            for change in found.changes
            if catalogue.current(change.path).order > change.order
        ]
        self._push(peer, [catalogue.current(path) for path in (*older, *found.wanted)])
        return True

    def _limit_buckets(self, buckets: Sequence[int]) -> Sequence[int]:
        chosen: list[int] = []
        marks = 0
        for number in buckets:
            marks += self._state.catalogue.bucket_size(number)
            if chosen and marks > self._policy.marks_limit:
                break
            chosen.append(number)
        return chosen

    def _push(self, peer: InstanceName, changes: Sequence[SettingChange]) -> None:
        step = self._policy.spread_limit_changes
        for start in range(0, len(changes), step):
            chunk = changes[start : start + step]
            self._network.send(peer, SettingsRun(ChangeRun(0, 0, chunk)))

    async def _on_settings_run(self, sender: Incarnation, body: SettingsRun) -> Message | None:
        outcome = self._state.apply_run(body.run)
        if outcome.applied:
            self.spread(body.run)
        if outcome.gap and not self._comparing:
            self._start_comparison(sender.instance)
        return None

    async def _on_compare_settings(self, _: Incarnation, body: CompareSettings) -> Message | None:
        catalogue = self._state.catalogue
        catalogue.record_lost_writes(body.lost_upto_revision)
        same = body.root == catalogue.tree.root
        if same:
            self._state.record_complete_upto(body.complete_revision)
        confirmed_at_s = self._state.confirmed_at_s
        now_s = asyncio.get_running_loop().time()
        return SettingsCompared(
            complete_revision=catalogue.complete_revision,
            lost_upto_revision=catalogue.lost_upto_revision,
            buckets=() if same else catalogue.tree.buckets,
            caught_up=self.caught_up.is_set(),
            confirmed_age_s=None if confirmed_at_s is None else now_s - confirmed_at_s,
        )

    async def _on_fetch_difference(self, _: Incarnation, body: FetchDifference) -> Message | None:
        limit_bytes = self._policy.reply_limit_bytes
        buckets = [number for number in body.buckets if 0 <= number < BUCKETS]
        found = self._state.catalogue.difference(buckets, body.marks, limit_bytes)
        return SettingsDifference(found.changes, found.wanted)

    async def _on_query_in_force(self, _: Incarnation, body: QueryInForce) -> Message | None:
        return InForceReply(self._state.catalogue.has_in_force(body.path, body.generation))
