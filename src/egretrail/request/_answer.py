"""The answer to a client: an upstream's complete response, or a refusal with the known outcome."""

import enum
from dataclasses import dataclass


class Outcome(enum.Enum):
    """What is known about whether a request ran."""

    #: The request ran, but its response is not available.
    RAN = "ran"
    #: The request did not run, and will not run under this key.
    NOT_RUN = "not-run"
    #: The request may have run; the fleet will not run it again.
    UNKNOWN = "unknown"


class RefusalCause(enum.Enum):
    """Why a request got no response from an upstream."""

    #: The service's queue is full.
    QUEUE_FULL = "queue-full"
    #: The request cannot be answered within its deadline.
    DEADLINE = "deadline"
    #: No upstream of the service accepts requests.
    NO_UPSTREAM = "no-upstream"
    #: Every upstream that was tried refused the connection or declined without running the request.
    UPSTREAMS_DECLINED = "upstreams-declined"
    #: The connection to the upstream was lost after the request had been sent.
    UPSTREAM_LOST = "upstream-lost"
    #: The upstream's response was truncated, malformed or belonged to another request.
    ANSWER_INVALID = "answer-invalid"
    #: The upstream's response exceeds the size limit.
    ANSWER_TOO_LARGE = "answer-too-large"
    #: The limit of upstreams lost while they had this request is reached.
    SUSPECT_REQUEST = "suspect-request"
    #: The instance has not caught up with the settings yet, after a start or a pause.
    NOT_READY = "not-ready"
    #: The instance is stopping.
    STOPPING = "stopping"
    #: The instances that serve the service cannot be reached.
    GROUP_UNREACHABLE = "group-unreachable"
    #: The instance holds the most requests or keys that it accepts.
    INSTANCE_FULL = "instance-full"
    #: The key is malformed, or was not issued by this fleet.
    KEY_INVALID = "key-invalid"
    #: The key was first used for another request, or by another client account.
    KEY_REUSED = "key-reused"
    #: The key was finally refused before it ran.
    KEY_SEALED = "key-sealed"
    #: The key belongs to a generation that is no longer accepted.
    KEY_EXPIRED = "key-expired"
    #: The key's home cannot reach the witness, which has to record the key first.
    WITNESS_UNREACHABLE = "witness-unreachable"
    #: The key was recorded, but the instance that may have run it is unreachable.
    HOME_UNREACHABLE = "home-unreachable"
    #: The processes that held the key's record have ended.
    RECORD_LOST = "record-lost"
    #: The response was too large to retain, or was evicted by newer ones.
    ANSWER_DROPPED = "answer-dropped"


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An upstream's complete response."""

    #: The HTTP status.
    status: int
    #: Header fields in their order, decoded as Latin-1.
    headers: tuple[tuple[str, str], ...]
    #: The whole body.
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """The fleet's own response instead of an upstream's."""

    #: What is known about whether the request ran.
    outcome: Outcome
    #: Why there is no response of an upstream.
    cause: RefusalCause
    #: Delay before a retry, with a new key if this one did not run; None if a retry is of no use.
    retry_after_s: float | None = None

    def __str__(self) -> str:
        return f"{self.cause.value}: {self.outcome.value}"


Answer = RecordedAnswer | Refusal
