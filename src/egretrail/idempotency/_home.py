"""The home of idempotency keys: the only process that may start the requests of its keys.

A state machine without I/O: each event is a method call, and the returned step tells the caller
which action to perform. No method blocks.
"""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.idempotency._key import IdempotencyKey, KeyPrefix
from egretrail.idempotency._limits import KeyLimits
from egretrail.idempotency._messages import RecordVerdict
from egretrail.idempotency._records import Phase, Record, RecordStore
from egretrail.idempotency._refusals import (
    GENERATION_CLOSED,
    GENERATION_DROPPED,
    KEY_REUSED,
    KEY_SEALED,
    RECORD_LOST,
    WITNESS_UNREACHABLE,
)
from egretrail.identity import Incarnation
from egretrail.request import Answer, Refusal


@dataclass(frozen=True, slots=True)
class Reply:
    """Respond to this request now; no request is dispatched."""

    #: The recorded response, or a refusal.
    answer: Answer


@dataclass(frozen=True, slots=True)
class Join:
    """Wait for the response to the dispatched request that is still running."""


@dataclass(frozen=True, slots=True)
class RecordAtWitness:
    """Send the key to the witness to be recorded, then pass the verdict to ``on_verdict``."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Dispatch the request, then pass the response to ``on_result``."""


@dataclass(frozen=True, slots=True)
class Settled:
    """Respond to every request that waits for the key, and send the outcome to the witness."""

    #: The response, or the refusal with which the key is sealed.
    answer: Answer


@dataclass(frozen=True, slots=True)
class KeyOutcome:
    """A key with its outcome, as it is sent to the witness."""

    key: IdempotencyKey
    #: Digest of the client and the request.
    binding: bytes
    #: The response, or the refusal with which the key is sealed.
    answer: Answer


RequestStep = Reply | Join | RecordAtWitness | Dispatch
VerdictStep = Dispatch | Settled


class Home:
    """The records of the keys whose requests only this process may start."""

    def __init__(self, own: Incarnation, limits: KeyLimits) -> None:
        self._own = own
        self._limits = limits
        self._records = RecordStore(limits)
        self._stopping = False
        #: How many openings were started; the newest one has this number.
        self._openings = 0
        #: The opening whose reply is awaited; None while none is.
        self._awaited_opening: int | None = None
        #: Keys whose outcome the witness has not confirmed, least recently sent first.
        self._unconfirmed: dict[IdempotencyKey, None] = {}

    @property
    def records(self) -> RecordStore:
        """Return the records, for metrics and reports."""
        return self._records

    def owns(self, key: IdempotencyKey) -> bool:
        """Return whether this incarnation of the instance is the home of the key."""
        return key.prefix.home == self._own

    def start_opening(self) -> int:
        """Start the opening of a generation and return its number.

        Replies to earlier openings are ignored from now on.
        """
        self._openings += 1
        self._awaited_opening = self._openings
        return self._openings

    def open(self, opening: int, prefix: KeyPrefix, now_s: float) -> bool:
        """Accept keys of a generation that a witness has opened for this process.

        Returns False for a duplicate or late reply: if a generation that was dropped here were
        opened again, its keys could start a second time.
        """
        if self._stopping or prefix.home != self._own or not self._awaits_opening(opening):
            return False
        self._awaited_opening = None
        self._records.open(prefix, now_s)
        return True

    def open_without_witness(self, now_s: float) -> KeyPrefix | None:
        """Open a generation without a witness, for use when no other instance is reachable.

        The keys still run at most once, because only this process starts them. Without a copy at a
        witness, retries after the end of this process get the outcome ``unknown``.

        Returns None while stopping.
        """
        opening = self.start_opening()
        prefix = KeyPrefix(self._own, None, opening)
        return prefix if self.open(opening, prefix, now_s) else None

    def prefix_to_issue(self, now_s: float) -> KeyPrefix | None:
        """Return the prefix to issue to clients; None when no open generation is recent enough."""
        newest: KeyPrefix | None = None
        for prefix, generation in self._records.generations():
            # At most half full, which leaves capacity for clients that already hold the prefix.
            has_capacity = len(generation.records) * 2 < self._limits.generation_keys
            is_recent = now_s - generation.opened_s < self._limits.issue_s
            if generation.is_accepting and has_capacity and is_recent:
                newest = prefix
        return newest

    def on_request(self, key: IdempotencyKey, binding: bytes) -> RequestStep:
        """Return the next step for a request that carries one of this home's keys."""
        known = self.on_await(key, binding)
        if known is not None:
            return known
        if not self._records.holds(key.prefix):
            return Reply(GENERATION_DROPPED)
        self._drop_oldest_generations(key.prefix)
        if not self._records.accepts(key.prefix):
            return Reply(GENERATION_CLOSED)
        record = Record(binding, Phase.RECORDING)
        self._records.add(key, record)
        if key.prefix.witness is not None:
            return RecordAtWitness()
        record.phase = Phase.STARTED
        return Dispatch()

    def on_await(self, key: IdempotencyKey, binding: bytes) -> Reply | Join | None:
        """Return the step for a key that has a record, else None; never starts a request."""
        if not self.owns(key):
            return Reply(RECORD_LOST)
        record = self._records.find(key)
        if record is None:
            return None
        if not self._same_request(record, binding):
            return Reply(KEY_REUSED)
        if record.answer is None:
            return Join()
        self._records.touch(key)
        return Reply(record.answer)

    def on_verdict(self, key: IdempotencyKey, verdict: RecordVerdict | None) -> VerdictStep | None:
        """Apply the witness's verdict; ``verdict`` is None when the witness did not reply in time.

        Returns None for a duplicate or late verdict: the key has left ``RECORDING`` by then.
        """
        record = self._records.find(key)
        if record is None or not self._awaits_verdict(record):
            return None
        if verdict is RecordVerdict.RECORDED:
            record.phase = Phase.STARTED
            return Dispatch()
        if verdict is RecordVerdict.REFUSED:
            self._records.close(key.prefix)
        refusal = WITNESS_UNREACHABLE if verdict is None else KEY_SEALED
        self._seal(key, record, refusal)
        if verdict is None:
            # The witness may have recorded the key: send it the outcome "not run".
            self._unconfirmed[key] = None
        return Settled(refusal)

    def on_result(self, key: IdempotencyKey, answer: Answer) -> Settled:
        """Record the result of a dispatched request; a refusal ``not-run`` seals the key."""
        record = self._records.find(key)
        if record is not None and record.phase is not Phase.SETTLED:
            self._records.settle(key, record, answer)
            if key.prefix.witness is not None:
                self._unconfirmed[key] = None
        return Settled(answer)

    def on_outcome_confirmed(self, key: IdempotencyKey) -> None:
        """Record that the witness has confirmed the outcome."""
        self._unconfirmed.pop(key, None)

    def on_outcome_send_failed(self, key: IdempotencyKey) -> None:
        """Record that sending the outcome failed: move it to the end of the queue."""
        if key in self._unconfirmed:
            del self._unconfirmed[key]
            self._unconfirmed[key] = None

    def settled(self, key: IdempotencyKey) -> KeyOutcome | None:
        """Return a settled key with its outcome; None when the key is unknown or not settled."""
        record = self._records.find(key)
        if record is None or record.answer is None or record.binding is None:
            return None
        return KeyOutcome(key, record.binding, record.answer)

    def unconfirmed_outcomes(self, limit_count: int) -> Sequence[KeyOutcome]:
        """Return keys whose outcome the witness has not confirmed, least recently sent first."""
        settled = (self.settled(key) for key in self._unconfirmed)
        return list(
            itertools.islice((entry for entry in settled if entry is not None), limit_count)
        )

    def unsettled_count(self) -> int:
        """Return how many keys wait for a verdict or for a response."""
        return self._records.unsettled_count

    def close(self, prefix: KeyPrefix) -> None:
        """Stop accepting new keys in a generation, permanently; running requests continue."""
        self._records.close(prefix)

    def stop(self) -> Sequence[KeyPrefix]:
        """Stop accepting new keys; return the generations to close at their witnesses."""
        self._stopping = True
        held = [prefix for prefix, _ in self._records.generations()]
        for prefix in held:
            self._records.close(prefix)
        return [prefix for prefix in held if prefix.witness is not None]

    def tick(self, now_s: float) -> Sequence[KeyPrefix]:
        """Close and drop generations by age; return those closed by this call."""
        closed: list[KeyPrefix] = []
        for prefix, generation in self._records.generations():
            age_s = now_s - generation.opened_s
            if age_s >= self._limits.accept_s and generation.is_accepting:
                self._records.close(prefix)
                closed.append(prefix)
            if age_s >= self._limits.retain_s:
                self.drop(prefix)
        return closed

    def drop(self, prefix: KeyPrefix) -> None:
        """Drop a generation if all its keys are settled; its keys are refused from now on."""
        for held, generation in self._records.generations():
            if held == prefix and not generation.unsettled_count:
                self._records.drop(prefix)
                for suffix in generation.records:
                    self._unconfirmed.pop(IdempotencyKey(prefix, suffix), None)

    def _drop_oldest_generations(self, wanted: KeyPrefix) -> None:
        """Drop the oldest generations while the store has no capacity for a new record.

        This happens when more new keys arrive than memory can hold for ``retain_s``. Retries with
        keys of dropped generations get the outcome ``unknown``, which costs less than refusing new
        requests.
        """
        for prefix, _ in self._records.generations():
            if not self._records.is_full:
                return
            if prefix != wanted:
                self.drop(prefix)

    def _awaits_opening(self, opening: int) -> bool:
        return opening == self._awaited_opening

    def _same_request(self, record: Record, binding: bytes) -> bool:
        return record.binding == binding

    def _awaits_verdict(self, record: Record) -> bool:
        return record.phase is Phase.RECORDING

    def _seal(self, key: IdempotencyKey, record: Record, refusal: Refusal) -> None:
        self._records.settle(key, record, refusal)
