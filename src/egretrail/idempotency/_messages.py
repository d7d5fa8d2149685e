"""The messages between receivers, homes and witnesses of keys."""

import enum
from dataclasses import dataclass

from egretrail.idempotency._key import IdempotencyKey, KeyPrefix
from egretrail.request import RecordedAnswer, Refusal, RequestEnvelope
from egretrail.wire import Message, message


class RecordVerdict(enum.Enum):
    """What a witness says to a record."""

    #: Recorded: the home may start the work, once.
    RECORDED = "recorded"
    #: The key was sealed; it must not start.
    SEALED = "sealed"
    #: The generation is closed, or not held here; none of its new keys can start.
    REFUSED = "refused"


class KeyStanding(enum.Enum):
    """What a home or a witness says of a key."""

    #: The answer is final for now and is attached.
    ANSWERED = "answered"
    #: The work goes on; ask again.
    RUNNING = "running"
    #: The key names another process.
    NOT_HERE = "not-here"


@message("key-open")
@dataclass(frozen=True, slots=True)
class OpenGeneration(Message):
    """A home asks an instance to be its witness for a new generation."""

    #: Numbers the home's openings, repeated in the reply.
    opening: int


@message("key-opened")
@dataclass(frozen=True, slots=True)
class GenerationOpened(Message):
    """The reply to ``OpenGeneration``."""

    #: The number in the question.
    opening: int
    #: The new generation; None: not willing, for instance because it is stopping.
    prefix: KeyPrefix | None


@message("key-record")
@dataclass(frozen=True, slots=True)
class RecordKey(Message):
    """A home asks its witness to record a key before the work starts."""

    #: The key.
    key: IdempotencyKey
    #: Digest of the caller and the request.
    binding: bytes


@message("key-recorded")
@dataclass(frozen=True, slots=True)
class RecordReply(Message):
    """The reply to ``RecordKey``."""

    #: Whether the work may start.
    verdict: RecordVerdict


@message("key-outcome")
@dataclass(frozen=True, slots=True)
class KeepOutcome(Message):
    """A home sends its witness what became of a key; acknowledged."""

    #: The key.
    key: IdempotencyKey
    #: Digest of the caller and the request.
    binding: bytes
    #: The answer, or the refusal under which the key is sealed.
    answer: RecordedAnswer | Refusal


@message("key-close")
@dataclass(frozen=True, slots=True)
class CloseGeneration(Message):
    """A home takes no new keys in a generation; acknowledged."""

    #: The generation.
    prefix: KeyPrefix


@message("key-run")
@dataclass(frozen=True, slots=True)
class RunKeyed(Message):
    """A receiver passes a request on to its key's home; answered by ``KeyedReply``."""

    #: The request, with the key as the caller sent it.
    request: RequestEnvelope


@message("key-relay")
@dataclass(frozen=True, slots=True)
class RelayKeyed(Message):
    """Asks an instance to find an answer, where the sender reaches neither home nor witness.

    Answered by ``KeyedReply``; not relayed any further.
    """

    #: The request, with the key as the caller sent it.
    request: RequestEnvelope


@message("key-await")
@dataclass(frozen=True, slots=True)
class AwaitKeyed(Message):
    """Asks a home what became of a key, without starting it; answered by ``KeyedReply``."""

    #: The key.
    key: IdempotencyKey
    #: Digest of the caller and the request.
    binding: bytes


@message("key-query")
@dataclass(frozen=True, slots=True)
class QueryWitness(Message):
    """A receiver that cannot reach the home asks the witness; answered by ``KeyedReply``."""

    #: The key.
    key: IdempotencyKey
    #: Digest of the caller and the request.
    binding: bytes


@message("key-reply")
@dataclass(frozen=True, slots=True)
class KeyedReply(Message):
    """What a home or a witness says of a key."""

    #: Whether there is an answer.
    standing: KeyStanding
    #: The answer, when there is one.
    answer: RecordedAnswer | Refusal | None = None


@message("key-ask-prefix")
@dataclass(frozen=True, slots=True)
class AskPrefix(Message):
    """Asks a home for the prefix to name to callers; answered by ``PrefixReply``."""


@message("key-prefix")
@dataclass(frozen=True, slots=True)
class PrefixReply(Message):
    """The reply to ``AskPrefix``."""

    #: The prefix; None: name none, for instance because the home is stopping.
    prefix: str | None
