"""The home of keys: the one process that may start their work.

Events come in as calls, what is to be done goes out as the returned step. Nothing here waits.
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
    GENERATION_FORGOTTEN,
    KEY_REUSED,
    KEY_SEALED,
    RECORD_LOST,
    WITNESS_UNREACHABLE,
)
from egretrail.identity import Incarnation
from egretrail.request import Answer, Refusal


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer this request now; nothing is started."""

    #: The recorded answer, or a refusal.
    answer: Answer


@dataclass(frozen=True, slots=True)
class Join:
    """Wait for the answer of the work that goes on."""


@dataclass(frozen=True, slots=True)
class AskWitness:
    """Have the witness record the key, then report its verdict."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Start the work, then report its answer."""


@dataclass(frozen=True, slots=True)
class Settled:
    """Answer everyone who waits for the key, and send the outcome to the witness."""

    #: The answer, or the refusal under which the key is sealed.
    answer: Answer


@dataclass(frozen=True, slots=True)
class SettledKey:
    """A key whose outcome its witness should hold."""

    #: The key.
    key: IdempotencyKey
    #: Digest of the caller and the request.
    binding: bytes
    #: The answer, or the refusal under which the key is sealed.
    answer: Answer


RequestStep = Reply | Join | AskWitness | Dispatch
VerdictStep = Dispatch | Settled


class Home:
    """The records of the keys whose work only this process may start."""

    def __init__(self, own: Incarnation, limits: KeyLimits) -> None:
        self._own = own
        self._limits = limits
        self._records = RecordStore(limits)
        self._stopping = False
        self._openings = 0
        self._awaited_opening: int | None = None
        self._unkept: dict[IdempotencyKey, None] = {}

    @property
    def records(self) -> RecordStore:
        """Return the records, for reports."""
        return self._records

    def owns(self, key: IdempotencyKey) -> bool:
        """Return whether the key names this very process as its home."""
        return key.prefix.home == self._own

    def ask_generation(self) -> int:
        """Return the number of a new opening; the reply to any earlier one is void."""
        self._openings += 1
        self._awaited_opening = self._openings
        return self._openings

    def open(self, opening: int, prefix: KeyPrefix, now_s: float) -> bool:
        """Take keys of a generation that a witness has opened for this process.

        A doubled or late reply opens nothing: a generation that was dropped here and opened again
        would start its keys a second time.
        """
        if self._stopping or prefix.home != self._own or not self._awaits_opening(opening):
            return False
        self._awaited_opening = None
        self._records.open(prefix, now_s)
        return True

    def open_alone(self, now_s: float) -> KeyPrefix | None:
        """Open a generation without a witness, when no other instance can be reached.

        Its keys run at most once all the same: only this process starts them. What is lost is the
        copy: when this process ends, their resends are answered ``unknown``.
        """
        opening = self.ask_generation()
        prefix = KeyPrefix(self._own, None, opening)
        return prefix if self.open(opening, prefix, now_s) else None

    def issuing(self, now_s: float) -> KeyPrefix | None:
        """Return the prefix to name to callers now, if a generation is fresh enough."""
        found: KeyPrefix | None = None
        for prefix, generation in self._records.generations():
            # Half full, so that the prefixes which callers already hold find room.
            roomy = len(generation.records) * 2 < self._limits.generation_keys
            fresh = now_s - generation.opened_s < self._limits.issue_s
            if generation.accepting and roomy and fresh:
                found = prefix
        return found

    def on_request(self, key: IdempotencyKey, binding: bytes) -> RequestStep:
        """Decide on a request that carries one of this home's keys."""
        known = self.on_await(key, binding)
        if known is not None:
            return known
        if not self._records.holds(key.prefix):
            return Reply(GENERATION_FORGOTTEN)
        self._make_room(key.prefix)
        if not self._records.accepts(key.prefix):
            return Reply(GENERATION_CLOSED)
        record = Record(binding, Phase.RECORDING)
        self._records.add(key, record)
        if key.prefix.witness is not None:
            return AskWitness()
        record.phase = Phase.STARTED
        return Dispatch()

    def on_await(self, key: IdempotencyKey, binding: bytes) -> Reply | Join | None:
        """Return what is known of a key, None when it has no record; nothing is started."""
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
        """Act on the witness's verdict, None when it gave none in time.

        A second or late verdict finds the key past ``RECORDING`` and starts nothing.
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
            # It may have recorded the key: tell it that the key will not run.
            self._unkept[key] = None
        return Settled(refusal)

    def on_executed(self, key: IdempotencyKey, answer: Answer) -> Settled:
        """Record what became of the work; a refusal ``not-run`` seals the key."""
        record = self._records.find(key)
        if record is not None and record.phase is not Phase.SETTLED:
            self._records.settle(key, record, answer)
            if key.prefix.witness is not None:
                self._unkept[key] = None
        return Settled(answer)

    def on_kept(self, key: IdempotencyKey) -> None:
        """Note that the witness holds the outcome."""
        self._unkept.pop(key, None)

    def on_not_kept(self, key: IdempotencyKey) -> None:
        """Note that sending the outcome failed; others are tried before it."""
        if key in self._unkept:
            del self._unkept[key]
            self._unkept[key] = None

    def settled(self, key: IdempotencyKey) -> SettledKey | None:
        """Return what the witness should hold of a key: its answer, if it is not too large."""
        record = self._records.find(key)
        if record is None or record.answer is None or record.binding is None:
            return None
        return SettledKey(key, record.binding, record.answer)

    def unkept(self, limit_count: int) -> Sequence[SettledKey]:
        """Return keys whose outcome the witness has not confirmed, longest untried first."""
        settled = (self.settled(key) for key in self._unkept)
        return list(itertools.islice((one for one in settled if one is not None), limit_count))

    def unsettled_count(self) -> int:
        """Return how many keys wait for their witness or their answer."""
        return self._records.unsettled_count

    def close(self, prefix: KeyPrefix) -> None:
        """Take no new keys in one generation, for good; what goes on is finished."""
        self._records.close(prefix)

    def stop(self) -> Sequence[KeyPrefix]:
        """Take no new keys at all; return the generations to close at their witnesses."""
        self._stopping = True
        held = [prefix for prefix, _ in self._records.generations()]
        for prefix in held:
            self._records.close(prefix)
        return [prefix for prefix in held if prefix.witness is not None]

    def tick(self, now_s: float) -> Sequence[KeyPrefix]:
        """Close and drop generations by age; return those that were closed now."""
        closed: list[KeyPrefix] = []
        for prefix, generation in self._records.generations():
            age_s = now_s - generation.opened_s
            if age_s >= self._limits.accept_s and generation.accepting:
                self._records.close(prefix)
                closed.append(prefix)
            if age_s >= self._limits.retain_s:
                self.drop(prefix)
        return closed

    def drop(self, prefix: KeyPrefix) -> None:
        """Forget a generation whose work has all ended; its keys are refused from now on."""
        for held, generation in self._records.generations():
            if held == prefix and not generation.unsettled_count:
                self._records.drop(prefix)
                for suffix in generation.records:
                    self._unkept.pop(IdempotencyKey(prefix, suffix), None)

    def _make_room(self, wanted: KeyPrefix) -> None:
        """Forget the oldest generations while there is no room for a new record.

        Load: more new keys than the memory holds for ``retain_s``. Their resends are answered
        ``unknown``, which costs less than refusing new work.
        """
        for prefix, _ in self._records.generations():
            if not self._records.full:
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
