"""The record of one attempt to send a request to one upstream, and its outcome."""

import enum
from dataclasses import dataclass

import xxhash

from egretrail.identity import CallerId, UpstreamName


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    #: A complete response that the service counts as a success.
    ANSWERED = "answered"
    #: A 5xx response, or any other response that the service counts as a failure.
    FAILED = "failed"
    #: The connection was lost after the request was sent.
    LOST = "lost"
    #: The connection could not be opened, so the request was certainly not sent.
    REFUSED = "refused"
    #: The upstream rejected the request because of its load.
    SHED = "shed"
    #: No complete response arrived before the attempt's deadline.
    TIMED_OUT = "timed-out"
    #: The response ended before its announced length.
    TRUNCATED = "truncated"
    #: The response belonged to another request.
    CROSSED = "crossed"
    #: The client disconnected, or another upstream responded first to a hedged request.
    CANCELLED = "cancelled"
    #: The upstream rejected the request because it is draining.
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Attempt:
    """A finished attempt, with the properties that health decisions depend on."""

    #: The upstream that the request was sent to.
    upstream: UpstreamName
    #: How the attempt ended.
    outcome: AttemptOutcome
    #: Time from sending the request to the end of the response, or to the failure.
    latency_s: float
    #: Start of the attempt, on the instance's own clock.
    started_s: float
    #: Digest of method, target and body; equal for all retries of the same request.
    request_digest: int
    #: The route or method class; latencies and failures are compared within a kind.
    request_kind: str
    #: The client that sent the request.
    caller: CallerId
    #: Size of the response body as received.
    answer_size_bytes: int = 0
    #: Whether the request may be executed more than once.
    idempotent: bool = True


def request_digest(method: str, target: str, body: bytes) -> int:
    """Return the digest that identifies a request when it is retried.

    The idempotency key is not part of the digest, so that a retry under another key matches.
    """
    head = f"{method}\x00{target}\x00".encode()
    return xxhash.xxh3_64_intdigest(head + body)
