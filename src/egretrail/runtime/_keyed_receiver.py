"""Gets the answer to a keyed request received here from its home, or else from its witness."""

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
    KeyStatus,
    QueryWitness,
    RelayKeyed,
    RunKeyed,
)
from egretrail.identity import Incarnation, InstanceName
from egretrail.peer import PeerFailure, PeerNetwork
from egretrail.request import Answer, RecordedAnswer, Refusal, RefusalCause, RequestEnvelope
from egretrail.runtime._keyed_home import HOLD_S, KeyedHome
from egretrail.runtime._keyed_witness import HOME_TIMEOUT_S, KeyedWitness
from egretrail.wire import Message

#: Time limit for a witness, which may itself wait for the home before it replies.
_WITNESS_TIMEOUT_S = HOME_TIMEOUT_S + 0.3
#: Added to the deadline for the transfer of the reply: the home has the response by the deadline.
_TRANSFER_S = 0.25
#: An exchange that fails sooner than this had a broken stream; the home itself is not gone.
_BROKEN_STREAM_LIMIT_S = HOLD_S / 2


class KeyedReceiver:
    """Waits for the answers to clients' keyed requests."""

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
        """Return the answer, at the latest shortly after the request's deadline."""
        until_s = asyncio.get_running_loop().time() + request.deadline_s
        answer = await self.find_answer(key, binding, request)
        if answer != HOME_UNREACHABLE:
            return answer
        left_s = until_s - asyncio.get_running_loop().time()
        return await self._relay(key, replace(request, deadline_s=left_s)) or answer

    async def find_answer(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope
    ) -> Answer:
        """Return the answer that this instance can get from home and witness without a relay."""
        until_s = asyncio.get_running_loop().time() + request.deadline_s + _TRANSFER_S
        if key.prefix.home == self._own:
            return await self._await_own(key, binding, request, until_s)
        reply = await self._ask_home(key, binding, request, until_s)
        if reply is not None and reply.answer is not None:
            return await self._complete_answer(key, binding, reply.answer)
        if reply is not None and reply.standing is KeyStatus.RUNNING:
            return STILL_RUNNING
        home_ended = reply is not None
        return await self._ask_witness(key, binding, until_s, home_ended)

    async def _await_own(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope, until_s: float
    ) -> Answer:
        answer = self._home.start_request(key, binding, request)
        # Waits without cancelling: the work goes on to its outcome even if the client disconnects.
        await asyncio.wait({answer}, timeout=until_s - asyncio.get_running_loop().time())
        return answer.result() if answer.done() else STILL_RUNNING

    async def _ask_home(
        self, key: IdempotencyKey, binding: bytes, request: RequestEnvelope, until_s: float
    ) -> KeyedReply | None:
        """Return the home's reply; None when it cannot be reached."""
        body: RunKeyed | AwaitKeyed = RunKeyed(request)
        while True:
            result = await self._ask_with_retry(key.prefix.home.instance, body, HOME_TIMEOUT_S)
            if not isinstance(result, Ok):
                return None
            reply = result.ok_value
            if reply.standing is not KeyStatus.RUNNING or _has_passed(until_s):
                return reply
            body = AwaitKeyed(key, binding)

    async def _ask_with_retry(
        self, peer: InstanceName, body: Message, timeout_s: float
    ) -> Result[KeyedReply, PeerFailure]:
        """Ask a peer, and ask again if only the stream broke; these requests are idempotent."""
        sent_s = asyncio.get_running_loop().time()
        reply = await self._network.ask(peer, body, KeyedReply, timeout_s)
        waited_s = asyncio.get_running_loop().time() - sent_s
        if isinstance(reply, Ok) or waited_s > _BROKEN_STREAM_LIMIT_S:
            return reply
        return await self._network.ask(peer, body, KeyedReply, timeout_s)

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
            if reply.standing is KeyStatus.NOT_HERE:
                return unknown
            if _has_passed(until_s):
                return STILL_RUNNING

    async def _query(self, key: IdempotencyKey, binding: bytes) -> KeyedReply | None:
        assert key.prefix.witness is not None
        if key.prefix.witness == self._own:
            return await self._witness.query(key, binding)
        peer = key.prefix.witness.instance
        body = QueryWitness(key, binding)
        reply = await self._ask_with_retry(peer, body, _WITNESS_TIMEOUT_S)
        return reply.ok_value if isinstance(reply, Ok) else None

    async def _relay(self, key: IdempotencyKey, request: RequestEnvelope) -> Answer | None:
        """Have another instance look for the answer, in case only this one is partitioned.

        When home and witness are both lost, this costs one more message for each resend of their
        keys. A second relay would double that cost and find nothing more.
        """
        known = {self._own, key.prefix.home, key.prefix.witness}
        others = [member for member in self._view.members() if member.incarnation not in known]
        alive = [member for member in others if member.state is MemberState.ALIVE]
        if not alive or request.deadline_s <= 0:
            return None
        peer = self._rng.choice(alive).name
        reply = await self._network.ask(peer, RelayKeyed(request), KeyedReply, request.deadline_s)
        return reply.ok_value.answer if isinstance(reply, Ok) else None

    async def _complete_answer(self, key: IdempotencyKey, binding: bytes, answer: Answer) -> Answer:
        """Return the home's answer, or the witness's copy if the home no longer holds the body."""
        dropped = isinstance(answer, Refusal) and answer.cause is RefusalCause.ANSWER_DROPPED
        if not dropped or key.prefix.witness is None:
            return answer
        reply = await self._query(key, binding)
        copy = reply.answer if reply is not None else None
        return copy if isinstance(copy, RecordedAnswer) else answer


def _has_passed(until_s: float) -> bool:
    return asyncio.get_running_loop().time() >= until_s
