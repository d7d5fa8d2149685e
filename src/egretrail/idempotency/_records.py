"""Records of keys, grouped by generation, with the memory for answers bounded."""

import enum
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from egretrail.idempotency._key import IdempotencyKey, KeyPrefix
from egretrail.idempotency._limits import KeyLimits
from egretrail.request import Answer, Outcome, RecordedAnswer, Refusal, RefusalCause

#: What a record keeps of an answer that is too large, or made room for newer ones.
ANSWER_DROPPED = Refusal(Outcome.RAN, RefusalCause.ANSWER_DROPPED)

_ANSWER_OVERHEAD_BYTES = 200
_FIELD_OVERHEAD_BYTES = 150


class Phase(enum.Enum):
    """How far the work of a key is."""

    #: At the home: the witness has not confirmed the record; nothing has started.
    RECORDING = "recording"
    #: At the home: dispatched. At the witness: recorded, so that the home may have dispatched.
    STARTED = "started"
    #: The answer is known; nothing will start any more.
    SETTLED = "settled"


@dataclass(slots=True)
class Record:
    """What a home or a witness knows of one key."""

    #: Digest of the caller and the request; None when the key was sealed before any was seen.
    binding: bytes | None
    #: How far the work is.
    phase: Phase
    #: The answer, once settled.
    answer: Answer | None = None


@dataclass(slots=True)
class Generation:
    """The records of one generation."""

    #: When it was opened, on the clock of its holder.
    opened_s: float
    #: Whether new keys are taken; once false it stays so.
    accepting: bool = True
    #: Records that are not settled.
    unsettled_count: int = 0
    #: Records by suffix; none is ever removed while the generation is held.
    records: dict[str, Record] = field(default_factory=dict)


def answer_size_bytes(answer: Answer) -> int:
    """Return about how much memory an answer takes."""
    if isinstance(answer, Refusal):
        return 0
    fields = sum(len(name) + len(value) + _FIELD_OVERHEAD_BYTES for name, value in answer.headers)
    return len(answer.body) + fields + _ANSWER_OVERHEAD_BYTES


class RecordStore:
    """Generations of records. Dropping a generation is always safe: what is not held is refused."""

    def __init__(self, limits: KeyLimits) -> None:
        self._limits = limits
        self._generations: dict[KeyPrefix, Generation] = {}
        self._answers: OrderedDict[IdempotencyKey, int] = OrderedDict()
        self._answers_bytes = 0
        self._records_count = 0

    @property
    def answers_bytes(self) -> int:
        """Return the memory taken by whole answers."""
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
    def full(self) -> bool:
        """Return whether no record can be added before a generation is dropped."""
        return self._records_count >= self._limits.records_count

    def generations(self) -> Iterator[tuple[KeyPrefix, Generation]]:
        """Return the generations held, oldest first; the caller may drop while iterating."""
        return iter(list(self._generations.items()))

    def open(self, prefix: KeyPrefix, now_s: float) -> None:
        """Hold a generation from now on."""
        self._generations[prefix] = Generation(now_s)

    def close(self, prefix: KeyPrefix) -> None:
        """Take no new keys in a generation, for good."""
        generation = self._generations.get(prefix)
        if generation is not None:
            generation.accepting = False

    def drop(self, prefix: KeyPrefix) -> None:
        """Forget a generation."""
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
        """Return whether a generation takes new keys; a full one is closed here."""
        generation = self._generations.get(prefix)
        if generation is None:
            return False
        if self.full or len(generation.records) >= self._limits.generation_keys:
            generation.accepting = False
        return generation.accepting

    def find(self, key: IdempotencyKey) -> Record | None:
        """Return the record of a key."""
        generation = self._generations.get(key.prefix)
        return generation.records.get(key.suffix) if generation is not None else None

    def add(self, key: IdempotencyKey, record: Record) -> None:
        """Add the record of a new key, not settled yet, to a generation that is held."""
        generation = self._generations[key.prefix]
        generation.records[key.suffix] = record
        generation.unsettled_count += 1
        self._records_count += 1

    def settle(self, key: IdempotencyKey, record: Record, answer: Answer) -> None:
        """Give a record its answer, and make room for it."""
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
            self._make_room()

    def touch(self, key: IdempotencyKey) -> None:
        """Count an answer as used now."""
        if key in self._answers:
            self._answers.move_to_end(key)

    def _make_room(self) -> None:
        """Shrink the least recently used answers to their outcome.

        Load: a burst of large answers. Harm prevented: the process outgrowing its memory. Only
        answers are dropped here, never records: a dropped record could let its key run again.
        """
        while self._answers_bytes > self._limits.answers_size_bytes and self._answers:
            key, size_bytes = self._answers.popitem(last=False)
            self._answers_bytes -= size_bytes
            record = self.find(key)
            if record is not None:
                record.answer = ANSWER_DROPPED
