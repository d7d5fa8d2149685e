"""Finds the answer to a keyed request that arrived here: from its home, else from its witness."""

import asyncio

from result import Ok, Result

from egretrail.idempotency import (
    HOME_UNREACHABLE,
    RECORD_LOST,
    STILL_RUNNING,
    AwaitKeyed,
    IdempotencyKey,
    KeyedReply,
    KeyStanding,
    QueryWitness,
    RunKeyed,
)
from egretrail.identity import Incarnation
from egretrail.peer import PeerFailure, PeerNetwork
from egretrail.request import Answer, RecordedAnswer, Refusal, RefusalCause, RequestEnvelope
from egretrail.runtime._keyed_home import HOLD_S, KeyedHome
from egretrail.runtime._keyed_witness import HOME_PATIENCE_S, KeyedWitness

#: A witness may itself wait for the home before it answers.
_WITNESS_PATIENCE_S = HOME_PATIENCE_S + 0.5
_TRIES = 2
#: The home answers by the deadline; its answer has to travel, too.
_GRACE_S = 0.25
#: A silence shorter than this was a stream that broke, not a home that is gone.
_BROKEN_STREAM_S = HOLD_S / 2


class KeyedReceiver:
    """Holds callers' keyed requests until their answer is known."""

    def __init__(
        self, own: Incarnation, network: PeerNetwork, home: KeyedHome, witness: KeyedWitness
    ) -> None:
        self._own = own
        self._network = network
        self._home = home
        self._witness = witness

    async def answer(self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope) -> Answer:
        """Return the answer, by a little after the request's deadline at the latest."""
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
            asked = await self._ask_home_once(key, body)
            if not isinstance(asked, Ok):
                return None
            reply = asked.ok_value
            if reply.standing is not KeyStanding.RUNNING or _past(until_s):
                return reply
            body = AwaitKeyed(key, binding)

    async def _ask_home_once(
        self, key: IdempotencyKey, body: RunKeyed | AwaitKeyed
    ) -> Result[KeyedReply, PeerFailure]:
        peer = key.prefix.home.instance
        asked_s = asyncio.get_running_loop().time()
        asked = await self._network.ask(peer, body, KeyedReply, HOME_PATIENCE_S)
        waited_s = asyncio.get_running_loop().time() - asked_s
        if isinstance(asked, Ok) or waited_s > _BROKEN_STREAM_S:
            return asked
        # The key joins or is answered if the first message did arrive.
        return await self._network.ask(peer, body, KeyedReply, HOME_PATIENCE_S)

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
        for _ in range(_TRIES):
            asked = await self._network.ask(peer, body, KeyedReply, _WITNESS_PATIENCE_S)
            if isinstance(asked, Ok):
                return asked.ok_value
        return None

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
