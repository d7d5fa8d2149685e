"""Records keys of other instances, and answers for homes that cannot be reached."""

import asyncio

from result import Ok

from egretrail.idempotency import (
    HOME_UNREACHABLE,
    KEY_REUSED,
    RECORD_LOST,
    AwaitKeyed,
    CloseGeneration,
    GenerationOpened,
    IdempotencyKey,
    KeyedReply,
    KeyStatus,
    OpenGeneration,
    QueryWitness,
    RecordKey,
    RecordReply,
    StoreOutcome,
    Witness,
)
from egretrail.identity import Incarnation
from egretrail.peer import PeerNetwork
from egretrail.request import Answer
from egretrail.wire import Acknowledged

#: A home that sends no reply for this long counts as unreachable; it replies within ``HOLD_S``.
HOME_TIMEOUT_S = 0.8


class KeyedWitness:
    """Runs the witness's side of the protocol."""

    def __init__(self, own: Incarnation, network: PeerNetwork, witness: Witness) -> None:
        self._own = own
        self._network = network
        self._witness = witness
        self._stopping = False

    def start(self) -> None:
        """Start handling messages of homes and receivers."""
        self._network.on(OpenGeneration, self._on_open_generation)
        self._network.on(RecordKey, self._on_record_key)
        self._network.on(StoreOutcome, self._on_store_outcome)
        self._network.on(CloseGeneration, self._on_close_generation)
        self._network.on(QueryWitness, self._on_query_witness)

    def refuse_new(self) -> None:
        """Open no more generations: this process is stopping."""
        self._stopping = True

    async def query(self, key: IdempotencyKey, binding: bytes) -> KeyedReply:
        """Return the state of a key whose home the requester cannot reach.

        A recorded key may still be running at a home that only the requester cannot reach. The
        witness therefore asks the home before it replies that the outcome is unknown.
        """
        if key.prefix.witness != self._own:
            return KeyedReply(KeyStatus.NOT_HERE)
        answer = self._witness.on_query(key, binding)
        if answer is not None:
            return KeyedReply(KeyStatus.ANSWERED, answer)
        body = AwaitKeyed(key, binding)
        home = key.prefix.home.instance
        reply = await self._network.ask(home, body, KeyedReply, HOME_TIMEOUT_S)
        if isinstance(reply, Ok) and reply.ok_value.standing is KeyStatus.RUNNING:
            return reply.ok_value
        if isinstance(reply, Ok) and reply.ok_value.answer not in (None, KEY_REUSED):
            self._record_outcome(key, binding, reply.ok_value.answer)
        home_ended = isinstance(reply, Ok) and reply.ok_value.standing is KeyStatus.NOT_HERE
        # The home may have sent the outcome in the meantime.
        answer = self._witness.on_query(key, binding)
        return KeyedReply(
            KeyStatus.ANSWERED, answer or (RECORD_LOST if home_ended else HOME_UNREACHABLE)
        )

    def _record_outcome(self, key: IdempotencyKey, binding: bytes, answer: Answer | None) -> None:
        if answer is not None:
            self._witness.on_outcome(key.prefix.home, key, binding, answer)

    async def _on_open_generation(
        self, sender: Incarnation, body: OpenGeneration
    ) -> GenerationOpened:
        if self._stopping:
            return GenerationOpened(body.opening, None)
        now_s = asyncio.get_running_loop().time()
        return GenerationOpened(body.opening, self._witness.open(sender, now_s))

    async def _on_record_key(self, sender: Incarnation, body: RecordKey) -> RecordReply:
        return RecordReply(self._witness.on_record(sender, body.key, body.binding))

    async def _on_store_outcome(self, sender: Incarnation, body: StoreOutcome) -> Acknowledged:
        self._witness.on_outcome(sender, body.key, body.binding, body.answer)
        return Acknowledged()

    async def _on_close_generation(
        self, sender: Incarnation, body: CloseGeneration
    ) -> Acknowledged:
        self._witness.on_close(sender, body.prefix)
        return Acknowledged()

    async def _on_query_witness(self, _sender: Incarnation, body: QueryWitness) -> KeyedReply:
        return await self.query(body.key, body.binding)
