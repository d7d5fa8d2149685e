"""The witness of other instances' keys: records each before its work starts, answers after.

It numbers the generations itself and refuses what it does not hold, so that forgetting a
generation, for whatever reason, can never let a sealed key run.
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
    """The records that this process keeps for homes elsewhere."""

    def __init__(self, own: Incarnation, limits: KeyLimits) -> None:
        self._own = own
        self._limits = limits
        self._records = RecordStore(limits)
        self._last_generation = 0

    @property
    def records(self) -> RecordStore:
        """Return the records, for reports."""
        return self._records

    def open(self, home: Incarnation, now_s: float) -> KeyPrefix:
        """Open a generation for a home, under a number that was never used.

        Load: homes that restart again and again, or doubled messages. Harm prevented: memory
        without bound. The oldest generation goes; its keys are answered ``unknown`` from then on,
        and its home, told at its next record, opens another.
        """
        self._last_generation += 1
        prefix = KeyPrefix(home, self._own, self._last_generation)
        self._records.open(prefix, now_s)
        held = [held for held, _ in self._records.generations()]
        for oldest in held[: -self._limits.witness_generations]:
            self._records.drop(oldest)
        return prefix

    def on_record(self, sender: Incarnation, key: IdempotencyKey, binding: bytes) -> RecordVerdict:
        """Record a key before its home starts it, unless it is sealed."""
        if sender != key.prefix.home or not self._records.holds(key.prefix):
            return RecordVerdict.REFUSED
        record = self._records.find(key)
        if record is not None:
            repeated = record.phase is Phase.STARTED and record.binding == binding
            return RecordVerdict.RECORDED if repeated else RecordVerdict.SEALED
        if not self._accepts(key.prefix):
            return RecordVerdict.REFUSED
        self._records.add(key, Record(binding, Phase.STARTED))
        return RecordVerdict.RECORDED

    def on_outcome(
        self, sender: Incarnation, key: IdempotencyKey, binding: bytes, answer: Answer
    ) -> None:
        """Keep what became of a key; the home's word that it was sealed seals it here, too."""
        if sender != key.prefix.home:
            return
        record = self._records.find(key)
        if record is None and _not_run(answer) and self._accepts(key.prefix):
            record = Record(binding, Phase.STARTED)
            self._records.add(key, record)
        if record is not None and record.phase is Phase.STARTED:
            self._records.settle(key, record, answer)

    def on_query(self, key: IdempotencyKey, binding: bytes) -> Answer | None:
        """Answer for a home that cannot be reached; None: recorded, its outcome not known yet.

        A key without a record is sealed, before the caller is told that it was not run: the home
        can no longer have it recorded, so it cannot start it.
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
        """Take no new records in a generation that its home has closed."""
        if sender == prefix.home:
            self._records.close(prefix)

    def tick(self, now_s: float) -> None:
        """Drop generations that their homes, too, hold no longer."""
        for prefix, generation in self._records.generations():
            if now_s - generation.opened_s >= self._limits.retain_s:
                self._records.drop(prefix)

    def drop(self, prefix: KeyPrefix) -> None:
        """Forget a generation."""
        self._records.drop(prefix)

    def _accepts(self, wanted: KeyPrefix) -> bool:
        """Return whether a generation takes a new record, forgetting older ones to make room."""
        for prefix, _ in self._records.generations():
            if self._records.full and prefix != wanted:
                self._records.drop(prefix)
        return self._records.accepts(wanted)

    def _seal(self, key: IdempotencyKey) -> Refusal:
        if not self._accepts(key.prefix):
            # A closed generation takes no record any more: all its unknown keys are sealed.
            return GENERATION_CLOSED
        record = Record(None, Phase.STARTED)
        self._records.add(key, record)
        self._records.settle(key, record, HOME_UNREACHABLE_NOT_RUN)
        return HOME_UNREACHABLE_NOT_RUN

    def _same_request(self, record: Record, binding: bytes) -> bool:
        return record.binding is None or record.binding == binding


def _not_run(answer: Answer) -> bool:
    return isinstance(answer, Refusal) and answer.outcome is Outcome.NOT_RUN
