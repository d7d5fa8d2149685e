"""Records of keys, grouped by generation, with bounded memory for responses."""

import enum
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from egretrail.idempotency._key import IdempotencyKey, KeyPrefix
from egretrail.idempotency._limits import KeyLimits
from egretrail.request import Answer, Outcome, RecordedAnswer, Refusal, RefusalCause

#: Replaces a response that is too large to keep or was evicted in favour of newer ones.
ANSWER_DROPPED = Refusal(Outcome.RAN, RefusalCause.ANSWER_DROPPED)

_ANSWER_OVERHEAD_BYTES = 200
_FIELD_OVERHEAD_BYTES = 150


class Phase(enum.Enum):
    """Progress of a key's request."""

    #: At the home: the witness has not confirmed the record; the request has not started.
    RECORDING = "recording"
    #: At the home: dispatched. At the witness: recorded, so that the home may have dispatched.
    STARTED = "started"
    #: The outcome is known; the request cannot start any more.
    SETTLED = "settled"


@dataclass(slots=True)
class Record:
    """State of one key at a home or a witness."""

    #: Digest of the client and the request; None when the key was sealed before any request.
    binding: bytes | None
    #: Progress of the request.
    phase: Phase
    #: The response or refusal, once settled.
    answer: Answer | None = None


@dataclass(slots=True)
class Generation:
    """The records of one generation."""

    #: When the generation was opened, on the clock of the process that holds it.
    opened_s: float
    #: Whether new keys are accepted; never true again once it is false.
    is_accepting: bool = True
    #: Records that are not settled.
    unsettled_count: int = 0
    #: Records by suffix; no record is removed while the generation is held.
    records: dict[str, Record] = field(default_factory=dict)


def answer_size_bytes(answer: Answer) -> int:
    """Return the approximate memory size of a response."""
    if isinstance(answer, Refusal):
        return 0
    fields = sum(len(name) + len(value) + _FIELD_OVERHEAD_BYTES for name, value in answer.headers)
    return len(answer.body) + fields + _ANSWER_OVERHEAD_BYTES


class RecordStore:
    """Records by generation.

    Dropping a generation is always safe: keys of a generation that is not held are refused.
    """

    def __init__(self, limits: KeyLimits) -> None:
        self._limits = limits
        self._generations: dict[KeyPrefix, Generation] = {}
        self._answers: OrderedDict[IdempotencyKey, int] = OrderedDict()
        self._answers_bytes = 0
        self._records_count = 0

    @property
    def answers_bytes(self) -> int:
        """Return the memory that complete responses take."""
        return self._answers_bytes

    @property
    def records_count(self) -> int:
        """Return how many records are held."""
        return self._records_count

    @property
    def unsettled_count(self) -> int:
        """Return how many records are not settled."""
        return sum(generation.unsettled_count for generation in self._generations.values())

    @property
    def is_full(self) -> bool:
        """Return whether no record can be added before a generation is dropped."""
        return self._records_count >= self._limits.records_count

    def generations(self) -> Iterator[tuple[KeyPrefix, Generation]]:
        """Return the generations held, oldest first; they may be dropped while iterating."""
        return iter(list(self._generations.items()))

    def open(self, prefix: KeyPrefix, now_s: float) -> None:
        """Add an empty generation."""
        self._generations[prefix] = Generation(now_s)

    def close(self, prefix: KeyPrefix) -> None:
        """Stop accepting new keys in a generation, permanently."""
        generation = self._generations.get(prefix)
        if generation is not None:
            generation.is_accepting = False

    def drop(self, prefix: KeyPrefix) -> None:
        """Drop a generation and its records."""
        generation = self._generations.pop(prefix, None)
        if generation is None:
            return
        self._records_count -= len(generation.records)
        for suffix in generation.records:
            self._answers_bytes -= self._answers.pop(IdempotencyKey(prefix, suffix), 0)

    def holds(self, prefix: KeyPrefix) -> bool:
        """Return whether a generation is held."""
        return prefix in self._generations

    def accepts(self, prefix: KeyPrefix) -> bool:
        """Return whether a generation accepts new keys; closes the generation when it is full."""
        generation = self._generations.get(prefix)
        if generation is None:
            return False
        if self.is_full or len(generation.records) >= self._limits.generation_keys:
            generation.is_accepting = False
        return generation.is_accepting

    def find(self, key: IdempotencyKey) -> Record | None:
        """Return the record of a key; None when there is none."""
        generation = self._generations.get(key.prefix)
        return generation.records.get(key.suffix) if generation is not None else None

    def add(self, key: IdempotencyKey, record: Record) -> None:
        """Add the unsettled record of a new key to a generation that is held."""
        generation = self._generations[key.prefix]
        generation.records[key.suffix] = record
        generation.unsettled_count += 1
        self._records_count += 1

    def settle(self, key: IdempotencyKey, record: Record, answer: Answer) -> None:
        """Store the outcome of a key, evicting older responses if memory is exceeded."""
        record.phase = Phase.SETTLED
        self._generations[key.prefix].unsettled_count -= 1
        size_bytes = answer_size_bytes(answer)
        if size_bytes > self._limits.answer_size_bytes:
            record.answer = ANSWER_DROPPED
            return
        record.answer = answer
        if isinstance(answer, RecordedAnswer):
            self._answers[key] = size_bytes
            self._answers_bytes += size_bytes
            self._evict_responses()

    def touch(self, key: IdempotencyKey) -> None:
        """Mark a response as the most recently used."""
        if key in self._answers:
            self._answers.move_to_end(key)

    def _evict_responses(self) -> None:
        """Replace the least recently used responses by their outcome until memory suffices.

        Bounds the memory during a burst of large responses. Only responses are evicted, never
        records: without its record a key could run again.
        """
        while self._answers_bytes > self._limits.answers_size_bytes and self._answers:
            key, size_bytes = self._answers.popitem(last=False)
            self._answers_bytes -= size_bytes
            record = self.find(key)
            if record is not None:
                record.answer = ANSWER_DROPPED
