"""Passes changes of settings on to peers, and compares what is held with theirs."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from result import Err

from egretrail.fleet import FleetView, Member, MemberState
from egretrail.identity import Incarnation, InstanceName
from egretrail.peer import PeerNetwork
from egretrail.runtime._settings_policy import SettingsPolicy
from egretrail.runtime._settings_state import SettingsState
from egretrail.settings import (
    BUCKETS,
    AskInForce,
    ChangeRun,
    CompareSettings,
    DifferSettings,
    InForceReply,
    SettingChange,
    SettingsCompared,
    SettingsDifference,
    SettingsRun,
)
from egretrail.wire import Message

#: Rounds of one comparison that bring the two no closer, because messages are lost or late.
_IDLE_ROUNDS_LIMIT = 4


@dataclass(frozen=True, slots=True)
class InForce:
    """On which instances a change is in force."""

    #: Instances that have it, or a later change of its path.
    have: Sequence[InstanceName]
    #: Instances that answered that they do not have it yet.
    lack: Sequence[InstanceName]
    #: Instances that did not answer.
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

    def listen(self) -> None:
        """Answer peers from now on."""
        self._network.on(SettingsRun, self._on_run)
        self._network.on(CompareSettings, self._on_compare)
        self._network.on(DifferSettings, self._on_differ)
        self._network.on(AskInForce, self._on_ask_in_force)

    async def stop(self) -> None:
        """End comparisons under way."""
        tasks = list(self._comparing.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def others(self) -> Sequence[Member]:
        """Return the members that may be asked."""
        members = self._view.members()
        return [
            member
            for member in members
            if member.name != self._own.instance and member.state is not MemberState.UNREACHABLE
        ]

    def spread(self, run: ChangeRun) -> None:
        """Pass changes on to a few random peers, who do the same when they are new to them.

        Load: each change reaches 3,500 instances. Harm prevented: one sender with 3,500 sends, or
        all sending to all. A constant fan-out costs each instance the same at any size; those who
        are missed find the difference when they compare.
        """
        if not run.changes or len(run.changes) > self._policy.spread_limit_changes:
            return
        others = self.others()
        for member in self._rng.sample(others, min(self._policy.fanout, len(others))):
            self._network.send(member.name, SettingsRun(run))

    def compare_with_random(self) -> None:
        """Begin a comparison with one random peer."""
        others = self.others()
        if others:
            self._comparison(self._rng.choice(others).name)

    async def compare(self, peer: InstanceName) -> bool:
        """Compare with a peer; one comparison with each at a time."""
        return await asyncio.shield(self._comparison(peer))

    async def in_force(self, path: str, generation: int) -> InForce:
        """Ask every member whether a change is in force there."""
        limit = asyncio.Semaphore(self._policy.in_force_parallel)
        have, lack, silent = [], [], []
        if self._state.catalogue.has_in_force(path, generation):
            have.append(self._own.instance)
        else:
            lack.append(self._own.instance)

        async def ask(name: InstanceName) -> None:
            async with limit:
                question = AskInForce(path, generation)
                timeout_s = self._policy.ask_timeout_s
                answer = await self._network.ask(name, question, InForceReply, timeout_s)
            if isinstance(answer, Err):
                silent.append(name)
            else:
                (have if answer.ok_value.in_force else lack).append(name)

        names = [member.name for member in self._view.members()]
        await asyncio.gather(*(ask(name) for name in names if name != self._own.instance))
        return InForce(sorted(have), sorted(lack), sorted(silent))

    def _comparison(self, peer: InstanceName) -> asyncio.Task[bool]:
        task = self._comparing.get(peer)
        if task is None:
            task = asyncio.create_task(self._compare(peer))
            self._comparing[peer] = task
            task.add_done_callback(lambda _: self._comparing.pop(peer, None))
        return task

    async def _compare(self, peer: InstanceName) -> bool:
        idle = 0
        before: tuple[int, Sequence[int]] | None = None
        while idle < _IDLE_ROUNDS_LIMIT:
            root = self._state.catalogue.tree.root
            asked_s = asyncio.get_running_loop().time()
            question = self._question(root)
            answer = await self._network.ask(
                peer, question, SettingsCompared, self._policy.ask_timeout_s
            )
            if isinstance(answer, Err):
                return False
            compared = answer.ok_value
            self._state.catalogue.distrust_upto(compared.lost_upto_revision)
            if not compared.buckets:
                return self._agreed(compared, asked_s)
            if len(compared.buckets) != BUCKETS or not await self._pull(peer, compared.buckets):
                return False
            idle = idle + 1 if before == (root, compared.buckets) else 0
            before = (root, compared.buckets)
        return False

    def _question(self, root: int) -> CompareSettings:
        catalogue = self._state.catalogue
        return CompareSettings(root, catalogue.complete_revision, catalogue.lost_upto_revision)

    def _agreed(self, compared: SettingsCompared, asked_s: float) -> bool:
        # Both held the same live paths when the peer answered, so that what it had seen is held.
        self._state.complete_upto(compared.complete_revision)
        if compared.confirmed_age_s is not None:
            self._state.confirm(asked_s - compared.confirmed_age_s)
        if compared.caught_up:
            self._state.compared_at_s = asked_s
        return compared.caught_up

    async def _pull(self, peer: InstanceName, theirs: Sequence[int]) -> bool:
        catalogue = self._state.catalogue
        buckets = self._few(catalogue.tree.differing(theirs))
        question = DifferSettings(buckets, catalogue.marks(buckets))
        timeout_s = self._policy.ask_timeout_s
        answer = await self._network.ask(peer, question, SettingsDifference, timeout_s)
        if isinstance(answer, Err):
            return False
        found = answer.ok_value
        self._state.apply(found.changes)
        # What the peer holds in an older state, or wants, is sent back as it is known here.
        older = [c.path for c in found.changes if catalogue.current(c.path).order > c.order]
        self._push(peer, [catalogue.current(path) for path in (*older, *found.wanted)])
        return True

    def _few(self, buckets: Sequence[int]) -> Sequence[int]:
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
            part = changes[start : start + step]
            self._network.send(peer, SettingsRun(ChangeRun(0, 0, part)))

    async def _on_run(self, sender: Incarnation, body: SettingsRun) -> Message | None:
        outcome = self._state.apply_run(body.run)
        if outcome.applied:
            self.spread(body.run)
        if outcome.gap and not self._comparing:
            self._comparison(sender.instance)
        return None

    async def _on_compare(self, _: Incarnation, body: CompareSettings) -> Message | None:
        catalogue = self._state.catalogue
        catalogue.distrust_upto(body.lost_upto_revision)
        same = body.root == catalogue.tree.root
        if same:
            self._state.complete_upto(body.complete_revision)
        confirmed_at_s = self._state.confirmed_at_s
        now_s = asyncio.get_running_loop().time()
        return SettingsCompared(
            complete_revision=catalogue.complete_revision,
            lost_upto_revision=catalogue.lost_upto_revision,
            buckets=() if same else catalogue.tree.buckets,
            caught_up=self.caught_up.is_set(),
            confirmed_age_s=None if confirmed_at_s is None else now_s - confirmed_at_s,
        )

    async def _on_differ(self, _: Incarnation, body: DifferSettings) -> Message | None:
        limit_bytes = self._policy.reply_limit_bytes
        buckets = [number for number in body.buckets if 0 <= number < BUCKETS]
        found = self._state.catalogue.difference(buckets, body.marks, limit_bytes)
        return SettingsDifference(found.changes, found.wanted)

    async def _on_ask_in_force(self, _: Incarnation, body: AskInForce) -> Message | None:
        return InForceReply(self._state.catalogue.has_in_force(body.path, body.generation))
