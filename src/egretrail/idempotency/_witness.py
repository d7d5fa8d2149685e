"""The witness of other instances' keys: records a key before the key's request starts.

When the home is unreachable, the witness answers for the key. The witness numbers the generations
and refuses keys of generations that it does not hold. A dropped generation can therefore never let
a sealed key run, whatever the reason for dropping it.
"""

from egretrail.idempotency._key import IdempotencyKey, KeyPrefix
from egretrail.idempotency._limits import KeyLimits
from egretrail.idempotency._messages import RecordVerdict
from egretrail.idempotency._records import Phase, Record, RecordStore
from egretrail.idempotency._refusals import (
    GENERATION_CLOSED,
    HOME_UNREACHABLE_NOT_RUN,
    KEY_REUSED,
    RECORD_LOST,
)
from egretrail.identity import Incarnation
from egretrail.request import Answer, Outcome, Refusal


class Witness:
    """The records that this process keeps for the homes on other instances."""

    def __init__(self, own: Incarnation, limits: KeyLimits) -> None:
        self._own = own
        self._limits = limits
        self._records = RecordStore(limits)
        self._last_generation = 0

    @property
    def records(self) -> RecordStore:
        """Return the records, for metrics and reports."""
        return self._records

    def open(self, home: Incarnation, now_s: float) -> KeyPrefix:
        """Open a generation for a home, with a number that was never used.

        Homes that restart repeatedly, or duplicate messages, would make memory grow without bound.
        Above ``witness_generations`` the oldest generation is therefore dropped: its keys get the
        outcome ``unknown`` from then on, and its home opens another generation when its next
        request to record a key is refused.
        """
        self._last_generation += 1
        prefix = KeyPrefix(home, self._own, self._last_generation)
        self._records.open(prefix, now_s)
        held = [held_prefix for held_prefix, _ in self._records.generations()]
        for oldest in held[: -self._limits.witness_generations]:
            self._records.drop(oldest)
        return prefix

    def on_record(self, sender: Incarnation, key: IdempotencyKey, binding: bytes) -> RecordVerdict:
        """Record a key before its home starts the request, unless the key is sealed."""
        if sender != key.prefix.home or not self._records.holds(key.prefix):
            return RecordVerdict.REFUSED
        record = self._records.find(key)
        if record is not None:
            is_duplicate = record.phase is Phase.STARTED and record.binding == binding
            return RecordVerdict.RECORDED if is_duplicate else RecordVerdict.SEALED
        if not self._accepts(key.prefix):
            return RecordVerdict.REFUSED
        self._records.add(key, Record(binding, Phase.STARTED))
        return RecordVerdict.RECORDED

    def on_outcome(
        self, sender: Incarnation, key: IdempotencyKey, binding: bytes, answer: Answer
    ) -> None:
        """Store the outcome that the home sent; a key that the home sealed is sealed here, too."""
        if sender != key.prefix.home:
            return
        record = self._records.find(key)
        if record is None and _not_run(answer) and self._accepts(key.prefix):
            record = Record(binding, Phase.STARTED)
            self._records.add(key, record)
        if record is not None and record.phase is Phase.STARTED:
            self._records.settle(key, record, answer)

    def on_query(self, key: IdempotencyKey, binding: bytes) -> Answer | None:
        """Answer for an unreachable home; None: the key is recorded, its outcome not known yet.

        A key without a record is sealed before the client gets the outcome "not run": the home can
        then no longer get the key recorded, and so cannot start its request.
        """
        if not self._records.holds(key.prefix):
            return RECORD_LOST
        record = self._records.find(key)
        if record is None:
            return self._seal(key)
        if not self._same_request(record, binding):
            return KEY_REUSED
        self._records.touch(key)
        return record.answer

    def on_close(self, sender: Incarnation, prefix: KeyPrefix) -> None:
        """Stop accepting records in a generation that its home has closed."""
        if sender == prefix.home:
            self._records.close(prefix)

    def tick(self, now_s: float) -> None:
        """Drop generations older than ``retain_s``, after which their homes drop them, too."""
        for prefix, generation in self._records.generations():
            if now_s - generation.opened_s >= self._limits.retain_s:
                self._records.drop(prefix)

    def drop(self, prefix: KeyPrefix) -> None:
        """Drop a generation and its records."""
        self._records.drop(prefix)

    def _accepts(self, wanted: KeyPrefix) -> bool:
        """Return whether a generation accepts a new record; a full store drops older ones."""
        for prefix, _ in self._records.generations():
            if self._records.is_full and prefix != wanted:
                self._records.drop(prefix)
        return self._records.accepts(wanted)

    def _seal(self, key: IdempotencyKey) -> Refusal:
        if not self._accepts(key.prefix):
            # A closed generation accepts no more records, which seals all its unrecorded keys.
            return GENERATION_CLOSED
        record = Record(None, Phase.STARTED)
        self._records.add(key, record)
        self._records.settle(key, record, HOME_UNREACHABLE_NOT_RUN)
        return HOME_UNREACHABLE_NOT_RUN

    def _same_request(self, record: Record, binding: bytes) -> bool:
        return record.binding is None or record.binding == binding


def _not_run(answer: Answer) -> bool:
    return isinstance(answer, Refusal) and answer.outcome is Outcome.NOT_RUN
