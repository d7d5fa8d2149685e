"""Obtains, shows, passes on and registers the rights to eject."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import structlog
from result import Err

from egretrail.fleet import MemberState
from egretrail.floor import (
    EjectionsChanged,
    EjectionsReply,
    FetchEjections,
    PromiseReply,
    RequestPromise,
    RequestRight,
    RightsTiming,
    RightTransfer,
)
from egretrail.identity import Incarnation, InstanceName, ServiceName, UpstreamName
from egretrail.peer import PeerNetwork
from egretrail.runtime._membership import MembershipDriver
from egretrail.runtime._rights_register import FloorSource, RightsRegistrar, ServiceRights
from egretrail.store import Store
from egretrail.upstream import EjectionRights

#: While a service has ejections, its group's members ask each other this often, so that an
#: answer is replaced some four times before it runs out.
_ASK_PERIOD_S = 1.0
#: Without ejections, one random member is asked this often, in case every hint was lost.
_IDLE_ASK_PERIOD_S = 15.0
#: How long after a hint a service counts as having ejections.
_HINT_S = 5.0
_ASK_TIMEOUT_S = 1.0
#: Each member looks after its share of a service's rights in the store this often: at 3,500
#: services and 8 members each, about 230 reads a second of the store's two thousand. A change of
#: the allowance or the group is registered at once: the store may be out a minute later.
_REGISTER_PERIOD_S = 120.0
#: A member that needs a right and got none waits this long before it tries again.
_OBTAIN_GAP_S = 1.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class RightsReport:
    """One service's rights as this instance sees them, for operators."""

    #: How many upstreams may be out of service.
    allowance: int
    #: The numbers of the rights held here.
    held: Sequence[int]
    #: The upstreams that rights held here keep out.
    own_ejections: Mapping[int, UpstreamName]
    #: The ejections of others that count here now, with their holders.
    honoured: Mapping[UpstreamName, InstanceName]
    #: The processes that registered the rights in the store, when last read.
    registered: Mapping[int, Incarnation]


class RightsDriver(EjectionRights):
    """One instance's rights for all services that it serves."""

    def __init__(
        self,
        membership: MembershipDriver,
        network: PeerNetwork,
        store: Store,
        source: FloorSource,
        timing: RightsTiming | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._membership = membership
        self._network = network
        self._source = source
        self._timing = timing or RightsTiming()
        self._own = membership.own.incarnation
        self._rng = rng or random.Random(self._own.number)
        self._registrar = RightsRegistrar(membership, network, store, source, self._timing)
        self._services: dict[ServiceName, ServiceRights] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_s = 0.0
        self._leaving = False

    async def start(self) -> None:
        """Answer questions, and begin to ask and to register."""
        self._started_s = _now_s()
        self._network.on(FetchEjections, self._on_ejections_ask)
        self._network.on(EjectionsChanged, self._on_changed)
        self._network.on(RequestRight, self._on_right_ask)
        self._network.on(RequestPromise, self._on_promise_ask)
        self._spawn(self._ask_forever())
        self._spawn(self._register_forever())

    async def stop(self) -> None:
        """Stop; what is still held is reissued once this process is proved gone."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def hand_over(self) -> None:
        """Let every ejection of this instance end and offer its rights to the heirs."""
        self._leaving = True
        for service, state in self._services.items():
            state.holder.release_all()
            self._hint_group(service)
        await asyncio.sleep(self._timing.wait_s)
        for service in self._services:
            self._hint_group(service)
        await asyncio.sleep(_ASK_PERIOD_S)

    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Return whether an ejection is covered by a right now; if not, begin to obtain one."""
        if self.is_ejected(service, upstream):
            return True
        if self._leaving or upstream not in self._source.capacity(service):
            return False
        state = self._state(service)
        if state.holder.eject(upstream, self._allowance(service), now_s):
            self._hint_group(service)
            return True
        if now_s >= state.obtain_at_s and not state.lock.locked():
            state.obtain_at_s = now_s + _OBTAIN_GAP_S * self._rng.uniform(0.8, 1.6)
            self._spawn(self._obtain(service, state))
        return False

    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Let an upstream back into service; its right is free once nobody honours it."""
        if self._state(service).holder.release(upstream):
            self._hint_group(service)

    def is_ejected(self, service: ServiceName, upstream: UpstreamName) -> bool:
        """Return whether a right keeps the upstream out at this moment; ask at each placement."""
        state = self._services.get(service)
        if state is None:
            return False
        limit = self._allowance(service)
        return state.holder.is_ejected(upstream, limit) or state.honoured.is_ejected(
            upstream, limit, _now_s()
        )

    def held(self, service: ServiceName) -> Sequence[int]:
        """Return the numbers of the rights that this instance holds."""
        return [right.number for right in self._state(service).holder.rights()]

    def explain(self, service: ServiceName) -> RightsReport:
        """Return a service's rights as this instance sees them."""
        state = self._state(service)
        return RightsReport(
            self._allowance(service),
            self.held(service),
            state.holder.ejections(),
            state.honoured.ejections(_now_s()),
            {recorded.right.number: recorded.owner for recorded in state.record.rights},
        )

    def _allowance(self, service: ServiceName) -> int:
        return self._source.allowance(service)

    def _state(self, service: ServiceName) -> ServiceRights:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = ServiceRights(self._timing, self._started_s)
        return state

    def _peers(self, service: ServiceName) -> Sequence[InstanceName]:
        """Return who may hold rights: the group, and whoever registered one."""
        names = [member.name for member in self._membership.group(service)]
        owners = [recorded.owner.instance for recorded in self._state(service).record.rights]
        known = dict.fromkeys([*names, *owners])
        return [
            name
            for name in known
            if name != self._own.instance and self._membership.member(name) is not None
        ]

    def _hint_group(self, service: ServiceName) -> None:
        for name in self._peers(service):
            self._network.send(name, EjectionsChanged(service))

    async def _ask_forever(self) -> None:
        while True:
            await asyncio.sleep(_ASK_PERIOD_S * self._rng.uniform(0.8, 1.0))
            served = set(self._source.services())
            for service, state in list(self._services.items()):
                if service not in served and state.holder.ejections():
                    state.holder.release_all()
                    self._hint_group(service)
            for service in served:
                self._ask_when_due(service, self._state(service))

    def _ask_when_due(self, service: ServiceName, state: ServiceRights) -> None:
        now_s = _now_s()
        state.honoured.remove_expired(now_s)
        peers = self._peers(service)
        if now_s - state.hinted_s < _HINT_S or state.honoured.ejections(now_s):
            for peer in peers:
                self._spawn(self._ask(service, state, peer))
        elif peers and now_s - state.idle_asked_s > _IDLE_ASK_PERIOD_S:
            state.idle_asked_s = now_s
            self._spawn(self._ask(service, state, self._rng.choice(peers)))

    async def _ask(self, service: ServiceName, state: ServiceRights, peer: InstanceName) -> None:
        asked_s = _now_s()
        ask = FetchEjections(service)
        reply = await self._network.ask(peer, ask, EjectionsReply, _ASK_TIMEOUT_S)
        if isinstance(reply, Err):
            return
        answer = reply.ok_value
        state.honoured.record_reply(peer, answer.ejections, asked_s)
        member = self._membership.member(peer)
        leaving = member is not None and member.state is MemberState.LEAVING
        if leaving and answer.free and not self._leaving:
            await self._take_from(service, state, peer)

    async def _obtain(self, service: ServiceName, state: ServiceRights) -> None:
        """Get a right from a peer, or from the store when it is there."""
        peers = list(self._peers(service))
        self._rng.shuffle(peers)
        for peer in peers:
            if await self._take_from(service, state, peer):
                return
        await self._registrar.register(service, state, needed=True)

    async def _take_from(
        self, service: ServiceName, state: ServiceRights, peer: InstanceName
    ) -> bool:
        if not state.holder.is_warmed_up(_now_s()):
            return False
        ask = RequestRight(service, self._allowance(service))
        reply = await self._network.ask(peer, ask, RightTransfer, _ASK_TIMEOUT_S)
        if isinstance(reply, Err) or reply.ok_value.right is None:
            return False
        return state.holder.accept(reply.ok_value.right, _now_s())

    async def _register_forever(self) -> None:
        while True:
            for service in self._source.services():
                state = self._state(service)
                group = tuple(member.name for member in self._membership.group(service))
                basis = (self._allowance(service), group)
                due = _now_s() >= state.register_at_s or basis != state.registered_basis
                if due and not self._leaving:
                    period_s = _REGISTER_PERIOD_S * self._rng.uniform(0.8, 1.2)
                    state.register_at_s = _now_s() + period_s
                    state.registered_basis = basis
                    await self._registrar.register(service, state, needed=False)
            await asyncio.sleep(_ASK_PERIOD_S * 2 * self._rng.uniform(0.8, 1.2))

    async def _on_ejections_ask(self, _: Incarnation, ask: FetchEjections) -> EjectionsReply:
        state = self._state(ask.service)
        now_s = _now_s()
        return EjectionsReply(
            ask.service, state.holder.report_ejections(now_s), state.holder.transferable(now_s)
        )

    async def _on_changed(self, sender: Incarnation, hint: EjectionsChanged) -> None:
        if hint.service not in self._source.services():
            return
        state = self._state(hint.service)
        state.hinted_s = _now_s()
        self._spawn(self._ask(hint.service, state, sender.instance))

    async def _on_right_ask(self, sender: Incarnation, ask: RequestRight) -> RightTransfer:
        holder = self._state(ask.service).holder
        return RightTransfer(ask.service, holder.transfer(sender.instance, ask.allowance, _now_s()))

    async def _on_promise_ask(self, _: Incarnation, ask: RequestPromise) -> PromiseReply:
        return PromiseReply(
            self._state(ask.service).holder.refuse_unless_held(ask.number, ask.epoch)
        )

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
