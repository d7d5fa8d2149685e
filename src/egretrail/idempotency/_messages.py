"""The messages between receivers, homes and witnesses of keys.

The receiver is the instance that a client sent the request to.
"""

import enum
from dataclasses import dataclass

from egretrail.idempotency._key import IdempotencyKey, KeyPrefix
from egretrail.request import RecordedAnswer, Refusal, RequestEnvelope
from egretrail.wire import Message, message


class RecordVerdict(enum.Enum):
    """A witness's reply to a request to record a key."""

    #: Recorded: the home may start the request once.
    RECORDED = "recorded"
    #: The key is sealed; its request must not start.
    SEALED = "sealed"
    #: The generation is closed or not held here; none of its new keys may start.
    REFUSED = "refused"


class KeyStatus(enum.Enum):
    """Status of a key at a home or a witness."""

    #: The reply contains the response or refusal to return to the client.
    ANSWERED = "answered"
    #: The request is still running; query again later.
    RUNNING = "running"
    #: Another process is responsible for the key.
    NOT_HERE = "not-here"


@message("key-open")
@dataclass(frozen=True, slots=True)
class OpenGeneration(Message):
    """A home asks an instance to be its witness for a new generation."""

    #: Number of the opening, unique at the home; the reply repeats it.
    opening: int


@message("key-opened")
@dataclass(frozen=True, slots=True)
class GenerationOpened(Message):
    """The reply to ``OpenGeneration``."""

    #: The number from ``OpenGeneration``.
    opening: int
    #: The new generation; None: declined, for instance because the instance is stopping.
    prefix: KeyPrefix | None


@message("key-record")
@dataclass(frozen=True, slots=True)
class RecordKey(Message):
    """A home asks its witness to record a key before the request starts."""

    key: IdempotencyKey
    #: Digest of the client and the request.
    binding: bytes


@message("key-recorded")
@dataclass(frozen=True, slots=True)
class RecordReply(Message):
    """The reply to ``RecordKey``."""

    #: Whether the request may start.
    verdict: RecordVerdict


@message("key-outcome")
@dataclass(frozen=True, slots=True)
class StoreOutcome(Message):
    """A home sends the outcome of a key to its witness; acknowledged."""

    key: IdempotencyKey
    #: Digest of the client and the request.
    binding: bytes
    #: The response, or the refusal with which the key is sealed.
    answer: RecordedAnswer | Refusal


@message("key-close")
@dataclass(frozen=True, slots=True)
class CloseGeneration(Message):
    """A home has stopped accepting new keys in a generation; acknowledged."""

    #: The generation.
    prefix: KeyPrefix


@message("key-run")
@dataclass(frozen=True, slots=True)
class RunKeyed(Message):
    """A receiver forwards a request to the home of its key; answered by ``KeyedReply``."""

    #: The request, with the key as the client sent it.
    request: RequestEnvelope


@message("key-relay")
@dataclass(frozen=True, slots=True)
class RelayKeyed(Message):
    """Asks another instance to query a key whose home and witness the sender cannot reach.

    Answered by ``KeyedReply``; never relayed again.
    """

    #: The request, with the key as the client sent it.
    request: RequestEnvelope


@message("key-await")
@dataclass(frozen=True, slots=True)
class AwaitKeyed(Message):
    """Queries a key at its home without starting its request; answered by ``KeyedReply``."""

    key: IdempotencyKey
    #: Digest of the client and the request.
    binding: bytes


@message("key-query")
@dataclass(frozen=True, slots=True)
class QueryWitness(Message):
    """A receiver that cannot reach the home asks the witness; answered by ``KeyedReply``."""

    key: IdempotencyKey
    #: Digest of the client and the request.
    binding: bytes


@message("key-reply")
@dataclass(frozen=True, slots=True)
class KeyedReply(Message):
    """The status of a key at a home or a witness."""

    #: The status.
    standing: KeyStatus
    #: The response or refusal; set when the status is ``ANSWERED``.
    answer: RecordedAnswer | Refusal | None = None


@message("key-ask-prefix")
@dataclass(frozen=True, slots=True)
class FetchPrefix(Message):
    """Asks a home for the prefix to issue to clients; answered by ``PrefixReply``."""


@message("key-prefix")
@dataclass(frozen=True, slots=True)
class PrefixReply(Message):
    """The reply to ``FetchPrefix``."""

    #: The prefix; None: issue none, for instance because the home is stopping.
    prefix: str | None
