"""What a caller is given: an upstream's whole answer, or a refusal that says what became of it."""

import enum
from dataclasses import dataclass


class Outcome(enum.Enum):
    """What is known about the work that a request asked for."""

    #: The work was done, though its answer is not at hand.
    RAN = "ran"
    #: The work was not done, and this key will never do it.
    NOT_RUN = "not-run"
    #: The work may or may not have been done; the fleet will not do it again.
    UNKNOWN = "unknown"


class RefusalCause(enum.Enum):
    """Why a request was not answered by an upstream."""

    #: The service's queue is full.
    QUEUE_FULL = "queue-full"
    #: The request cannot be answered within its deadline.
    DEADLINE = "deadline"
    #: No upstream of the service takes work.
    NO_UPSTREAM = "no-upstream"
    #: Every upstream that was tried refused the connection or declined before any work.
    UPSTREAMS_DECLINED = "upstreams-declined"
    #: The connection to the upstream was lost after the request had been sent.
    UPSTREAM_LOST = "upstream-lost"
    #: The upstream's answer was cut, crossed or malformed.
    ANSWER_INVALID = "answer-invalid"
    #: The upstream's answer is larger than the limit.
    ANSWER_TOO_LARGE = "answer-too-large"
    #: As many upstreams as one request may be lost with were lost with it.
    SUSPECT_REQUEST = "suspect-request"
    #: The instance has to catch up with the settings first, after a start or a pause.
    NOT_READY = "not-ready"
    #: The instance is stopping.
    STOPPING = "stopping"
    #: The instances that serve the service cannot be reached.
    GROUP_UNREACHABLE = "group-unreachable"
    #: The instance holds as many requests or keys as it may.
    INSTANCE_FULL = "instance-full"
    #: The key has no valid form, or names no instance of this fleet.
    KEY_INVALID = "key-invalid"
    #: The key was first used for another request, or by another caller.
    KEY_REUSED = "key-reused"
    #: The key was refused before it ran, for good.
    KEY_SEALED = "key-sealed"
    #: The key belongs to a generation that is no longer accepted.
    KEY_EXPIRED = "key-expired"
    #: The key's home cannot reach the witness that must record it first.
    WITNESS_UNREACHABLE = "witness-unreachable"
    #: The key was recorded; the instance that may have run it cannot be asked.
    HOME_UNREACHABLE = "home-unreachable"
    #: The processes that knew the key have ended.
    RECORD_LOST = "record-lost"
    #: The answer was too large to keep, or was dropped for newer ones.
    ANSWER_DROPPED = "answer-dropped"


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An upstream's answer, whole."""

    #: The HTTP status.
    status: int
    #: Header fields in their order, decoded as Latin-1.
    headers: tuple[tuple[str, str], ...]
    #: The whole body.
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """The fleet's own answer, in place of an upstream's."""

    #: What is known about the work.
    outcome: Outcome
    #: Why there is no answer of an upstream.
    cause: RefusalCause
    #: When to come back, with a new key if this one was not run; None: not worth it.
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f"{self.cause.value}: {self.outcome.value}"


Answer = RecordedAnswer | Refusal
