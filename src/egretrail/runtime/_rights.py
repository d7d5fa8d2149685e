"""Obtains, reports, hands over and registers the rights to eject upstreams."""

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
from egretrail.runtime._rights_registrar import FloorSource, RightsRegistrar, ServiceRights
from egretrail.store import Store
from egretrail.upstream import EjectionRights

#: While a service has ejections, its group's members ask each other at this interval, so that a
#: reply is renewed about four times before it expires.
_ASK_PERIOD_S = 1.0
#: Without ejections, one random member is asked at this interval, in case every hint was lost.
_IDLE_ASK_PERIOD_S = 15.0
#: How long after a hint a service counts as having ejections.
_HINT_S = 5.0
#: Time limit for a peer's reply.
_ASK_TIMEOUT_S = 1.0
#: Interval at which each member checks its share of a service's rights in the store. With 3,500
#: services of 8 members each this takes about 230 of the store's 2,000 reads a second. A change of
#: the allowance or the group is registered at once, because the store may be
#: unreachable a minute later.
_REGISTER_PERIOD_S = 120.0
#: Delay before a member that needs a right and got none tries again.
_OBTAIN_GAP_S = 1.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class RightsReport:
    """One service's rights as this instance sees them, for operators."""

    #: How many upstreams may be out of service.
    allowance: int
    #: The numbers of the rights held here.
    held: Sequence[int]
    #: The upstreams that are ejected under rights held here, by right number.
    own_ejections: Mapping[int, UpstreamName]
    #: The ejections of other holders that are in effect here, with the holder.
    honoured: Mapping[UpstreamName, InstanceName]
    #: The processes that registered the rights in the store, when last read.
    registered: Mapping[int, Incarnation]


class RightsDriver(EjectionRights):
    """One instance's ejection rights for all services that it serves."""

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
        """Start handling messages of peers, asking them and registering rights."""
        self._started_s = _now_s()
        self._network.on(FetchEjections, self._on_fetch_ejections)
        self._network.on(EjectionsChanged, self._on_ejections_changed)
        self._network.on(RequestRight, self._on_request_right)
        self._network.on(RequestPromise, self._on_request_promise)
        self._spawn(self._ask_forever())
        self._spawn(self._register_forever())

    async def stop(self) -> None:
        """Stop; rights still held are reissued once this process has certainly ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def hand_over(self) -> None:
        """End every ejection of this instance and offer its rights to its successors."""
        self._leaving = True
        for service, state in self._services.items():
            state.holder.release_all()
            self._notify_group(service)
        await asyncio.sleep(self._timing.wait_s)
        for service in self._services:
            self._notify_group(service)
        await asyncio.sleep(_ASK_PERIOD_S)

    def may_eject(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> bool:
        """Return whether a right covers an ejection now; if not, start obtaining one."""
        if self.is_ejected(service, upstream):
            return True
        if self._leaving or upstream not in self._source.capacity(service):
            return False
        state = self._rights_of(service)
        if state.holder.eject(upstream, self._allowance(service), now_s):
            self._notify_group(service)
            return True
        if now_s >= state.next_obtain_s and not state.lock.locked():
            state.next_obtain_s = now_s + _OBTAIN_GAP_S * self._rng.uniform(0.8, 1.6)
            self._spawn(self._obtain(service, state))
        return False

    def release(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Return an upstream to service; its right is free once no member honours the ejection."""
        if self._rights_of(service).holder.release(upstream):
            self._notify_group(service)

    def is_ejected(self, service: ServiceName, upstream: UpstreamName) -> bool:
        """Return whether a right ejects the upstream now; to be checked at each placement."""
        state = self._services.get(service)
        if state is None:
            return False
        limit = self._allowance(service)
        return state.holder.is_ejected(upstream, limit) or state.honoured.is_ejected(
            upstream, limit, _now_s()
        )

    def held(self, service: ServiceName) -> Sequence[int]:
        """Return the numbers of the rights that this instance holds."""
        return [right.number for right in self._rights_of(service).holder.rights()]

    def explain(self, service: ServiceName) -> RightsReport:
        """Return a service's rights as this instance sees them."""
        state = self._rights_of(service)
        return RightsReport(
            self._allowance(service),
            self.held(service),
            state.holder.ejections(),
            state.honoured.ejections(_now_s()),
            {recorded.right.number: recorded.owner for recorded in state.record.rights},
        )

    def _allowance(self, service: ServiceName) -> int:
        return self._source.allowance(service)

    def _rights_of(self, service: ServiceName) -> ServiceRights:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = ServiceRights(self._timing, self._started_s)
        return state

    def _peers(self, service: ServiceName) -> Sequence[InstanceName]:
        """Return the members that may hold rights: the group, and owners of registered rights."""
        names = [member.name for member in self._membership.group(service)]
        owners = [recorded.owner.instance for recorded in self._rights_of(service).record.rights]
        known = dict.fromkeys([*names, *owners])
        return [
            name
            for name in known
            if name != self._own.instance and self._membership.member(name) is not None
        ]

    def _notify_group(self, service: ServiceName) -> None:
        for name in self._peers(service):
            self._network.send(name, EjectionsChanged(service))

    async def _ask_forever(self) -> None:
        while True:
            await asyncio.sleep(_ASK_PERIOD_S * self._rng.uniform(0.8, 1.0))
            served = set(self._source.services())
            for service, state in list(self._services.items()):
                if service not in served and state.holder.ejections():
                    state.holder.release_all()
                    self._notify_group(service)
            for service in served:
                self._ask_when_due(service, self._rights_of(service))

    def _ask_when_due(self, service: ServiceName, state: ServiceRights) -> None:
        now_s = _now_s()
        state.honoured.remove_expired(now_s)
        peers = self._peers(service)
        if now_s - state.last_hint_s < _HINT_S or state.honoured.ejections(now_s):
            for peer in peers:
                self._spawn(self._ask(service, state, peer))
        elif peers and now_s - state.last_idle_ask_s > _IDLE_ASK_PERIOD_S:
            state.last_idle_ask_s = now_s
            self._spawn(self._ask(service, state, self._rng.choice(peers)))

    async def _ask(self, service: ServiceName, state: ServiceRights, peer: InstanceName) -> None:
        sent_s = _now_s()
        request = FetchEjections(service)
        reply = await self._network.ask(peer, request, EjectionsReply, _ASK_TIMEOUT_S)
        if isinstance(reply, Err):
            return
        ejections_reply = reply.ok_value
        state.honoured.record_reply(peer, ejections_reply.ejections, sent_s)
        member = self._membership.member(peer)
        peer_is_leaving = member is not None and member.state is MemberState.LEAVING
        if peer_is_leaving and ejections_reply.free and not self._leaving:
            await self._request_right(service, state, peer)

    async def _obtain(self, service: ServiceName, state: ServiceRights) -> None:
        """Get a right from a peer, or claim one in the store if it can be reached."""
        peers = list(self._peers(service))
        self._rng.shuffle(peers)
        for peer in peers:
            if await self._request_right(service, state, peer):
                return
        await self._registrar.register(service, state, needed=True)

    async def _request_right(
        self, service: ServiceName, state: ServiceRights, peer: InstanceName
    ) -> bool:
        if not state.holder.is_warmed_up(_now_s()):
            return False
        request = RequestRight(service, self._allowance(service))
        reply = await self._network.ask(peer, request, RightTransfer, _ASK_TIMEOUT_S)
        if isinstance(reply, Err) or reply.ok_value.right is None:
            return False
        return state.holder.accept(reply.ok_value.right, _now_s())

    async def _register_forever(self) -> None:
        while True:
            for service in self._source.services():
                state = self._rights_of(service)
                group = tuple(member.name for member in self._membership.group(service))
                inputs = (self._allowance(service), group)
                due = _now_s() >= state.next_register_s or inputs != state.registered_inputs
                if due and not self._leaving:
                    period_s = _REGISTER_PERIOD_S * self._rng.uniform(0.8, 1.2)
                    state.next_register_s = _now_s() + period_s
                    state.registered_inputs = inputs
                    await self._registrar.register(service, state, needed=False)
            await asyncio.sleep(_ASK_PERIOD_S * 2 * self._rng.uniform(0.8, 1.2))

    async def _on_fetch_ejections(self, _: Incarnation, request: FetchEjections) -> EjectionsReply:
        state = self._rights_of(request.service)
        now_s = _now_s()
        return EjectionsReply(
            request.service, state.holder.report_ejections(now_s), state.holder.transferable(now_s)
        )

    async def _on_ejections_changed(self, sender: Incarnation, hint: EjectionsChanged) -> None:
        if hint.service not in self._source.services():
            return
        state = self._rights_of(hint.service)
        state.last_hint_s = _now_s()
        self._spawn(self._ask(hint.service, state, sender.instance))

    async def _on_request_right(self, sender: Incarnation, request: RequestRight) -> RightTransfer:
        holder = self._rights_of(request.service).holder
        return RightTransfer(
            request.service, holder.transfer(sender.instance, request.allowance, _now_s())
        )

    async def _on_request_promise(self, _: Incarnation, request: RequestPromise) -> PromiseReply:
        return PromiseReply(
            self._rights_of(request.service).holder.refuse_unless_held(
                request.number, request.epoch
            )
        )

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
