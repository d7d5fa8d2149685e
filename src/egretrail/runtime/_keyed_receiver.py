"""Finds the answer to a keyed request that arrived here: from its home, else from its witness."""

import asyncio
import random
from dataclasses import replace

from result import Ok, Result

from egretrail.fleet import FleetView, MemberState
from egretrail.idempotency import (
    HOME_UNREACHABLE,
    RECORD_LOST,
    STILL_RUNNING,
    AwaitKeyed,
    IdempotencyKey,
    KeyedReply,
    KeyStanding,
    QueryWitness,
    RelayKeyed,
    RunKeyed,
)
from egretrail.identity import Incarnation, InstanceName
from egretrail.peer import PeerFailure, PeerNetwork
from egretrail.request import Answer, RecordedAnswer, Refusal, RefusalCause, RequestEnvelope
from egretrail.runtime._keyed_home import HOLD_S, KeyedHome
from egretrail.runtime._keyed_witness import HOME_PATIENCE_S, KeyedWitness
from egretrail.wire import Message

#: A witness may itself wait for the home before it answers.
_WITNESS_PATIENCE_S = HOME_PATIENCE_S + 0.3
#: The home answers by the deadline; its answer has to travel, too.
_GRACE_S = 0.25
#: A silence shorter than this was a stream that broke, not a home that is gone.
_BROKEN_STREAM_S = HOLD_S / 2


class KeyedReceiver:
    """Holds callers' keyed requests until their answer is known."""

    def __init__(
        self,
        own: Incarnation,
        network: PeerNetwork,
        view: FleetView,
        rng: random.Random,
        home: KeyedHome,
        witness: KeyedWitness,
    ) -> None:
        self._own = own
        self._network = network
        self._view = view
        self._rng = rng
        self._home = home
        self._witness = witness

    async def answer(self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope) -> Answer:
        """Return the answer, by a little after the request's deadline at the latest."""
        until_s = asyncio.get_running_loop().time() + request.deadline_s
        answer = await self.find(key, binding, request)
        if answer != HOME_UNREACHABLE:
            return answer
        left_s = until_s - asyncio.get_running_loop().time()
        return await self._relay(key, replace(request, deadline_s=left_s)) or answer

    async def find(self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope) -> Answer:
        """Return the answer as far as this instance itself can find it."""
        until_s = asyncio.get_running_loop().time() + request.deadline_s + _GRACE_S
        if key.prefix.home == self._own:
            return await self._await_own(key, binding, request, until_s)
        reply = await self._ask_home(key, binding, request, until_s)
        if reply is not None and reply.answer is not None:
            return await self._whole(key, binding, reply.answer)
        if reply is not None and reply.standing is KeyStanding.RUNNING:
            return STILL_RUNNING
        home_ended = reply is not None
        return await self._ask_witness(key, binding, until_s, home_ended)

    async def _await_own(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope, until_s: float
    ) -> Answer:
        answer = self._home.begin(key, binding, request)
        # Waits without cancelling: the work goes on to its outcome when the caller goes away.
        await asyncio.wait({answer}, timeout=until_s - asyncio.get_running_loop().time())
        return answer.result() if answer.done() else STILL_RUNNING

    async def _ask_home(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope, until_s: float
    ) -> KeyedReply | None:
        """Return what the home says, None when it cannot be reached."""
        body: RunKeyed | AwaitKeyed = RunKeyed(request)
        while True:
            asked = await self._ask_twice(key.prefix.home.instance, body, HOME_PATIENCE_S)
            if not isinstance(asked, Ok):
                return None
            reply = asked.ok_value
            if reply.standing is not KeyStanding.RUNNING or _past(until_s):
                return reply
            body = AwaitKeyed(key, binding)

    async def _ask_twice(
        self, peer: InstanceName, body: Message, patience_s: float
    ) -> Result[KeyedReply, PeerFailure]:
        """Ask, and once more if only a stream broke; a second question changes nothing."""
        asked_s = asyncio.get_running_loop().time()
        asked = await self._network.ask(peer, body, KeyedReply, patience_s)
        waited_s = asyncio.get_running_loop().time() - asked_s
        if isinstance(asked, Ok) or waited_s > _BROKEN_STREAM_S:
            return asked
        return await self._network.ask(peer, body, KeyedReply, patience_s)

    async def _ask_witness(
        self, key: IdempotencyKey, binding: bytes, until_s: float, home_ended: bool
    ) -> Answer:
        unknown = RECORD_LOST if home_ended else HOME_UNREACHABLE
        if key.prefix.witness is None:
            return unknown
        while True:
            reply = await self._query(key, binding)
            if reply is None:
                return HOME_UNREACHABLE
            if reply.answer is not None:
                return reply.answer
            if reply.standing is KeyStanding.NOT_HERE:
                return unknown
            if _past(until_s):
                return STILL_RUNNING

    async def _query(self, key: IdempotencyKey, binding: bytes) -> KeyedReply | None:
        assert key.prefix.witness is not None
        if key.prefix.witness == self._own:
            return await self._witness.query(key, binding)
        peer = key.prefix.witness.instance
        body = QueryWitness(key, binding)
        asked = await self._ask_twice(peer, body, _WITNESS_PATIENCE_S)
        return asked.ok_value if isinstance(asked, Ok) else None

    async def _relay(self, key: IdempotencyKey, request: RequestEnvelope) -> Answer | None:
        """Have another instance look for the answer, in case only this one is cut off.

        Load: when home and witness are both lost, each of their keys' resends costs one more
        message; a second relay would cost as much again and find no more.
        """
        known = {self._own, key.prefix.home, key.prefix.witness}
        others = [m for m in self._view.members() if m.incarnation not in known]
        alive = [m for m in others if m.state is MemberState.ALIVE]
        if not alive or request.deadline_s <= 0:
            return None
        peer = self._rng.choice(alive).name
        asked = await self._network.ask(peer, RelayKeyed(request), KeyedReply, request.deadline_s)
        return asked.ok_value.answer if isinstance(asked, Ok) else None

    async def _whole(self, key: IdempotencyKey, binding: bytes, answer: Answer) -> Answer:
        """Return the home's answer; where it has dropped the body, the witness's copy."""
        dropped = isinstance(answer, Refusal) and answer.cause is RefusalCause.ANSWER_DROPPED
        if not dropped or key.prefix.witness is None:
            return answer
        reply = await self._query(key, binding)
        copy = reply.answer if reply is not None else None
        return copy if isinstance(copy, RecordedAnswer) else answer


def _past(until_s: float) -> bool:
    return asyncio.get_running_loop().time() >= until_s
