"""One attempt: a request sent to one upstream, and how it ended."""

import enum
from dataclasses import dataclass

import xxhash

from egretrail.identity import CallerId, UpstreamName


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    #: A whole answer that the service counts as good.
    ANSWERED = "answered"
    #: A 5xx answer, or what else the service counts as a failure.
    FAILED = "failed"
    #: The connection was lost after the request was sent.
    LOST = "lost"
    #: The connection was never opened: the request was certainly not sent.
    REFUSED = "refused"
    #: The upstream declined the request because of its load.
    SHED = "shed"
    #: No whole answer came before the attempt's deadline.
    TIMED_OUT = "timed-out"
    #: The answer ended before its announced length.
    TRUNCATED = "truncated"
    #: The answer belonged to another request.
    CROSSED = "crossed"
    #: The caller gave up, or a hedge was won by another upstream.
    CANCELLED = "cancelled"
    #: The upstream declined the request because it is draining.
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Attempt:
    """A finished attempt as the health decisions see it."""

    #: The upstream that was tried.
    upstream: UpstreamName
    #: How the attempt ended.
    outcome: AttemptOutcome
    #: From sending the request to the end of the answer, or to the failure.
    latency_s: float
    #: When the attempt began, on the instance's own clock.
    started_s: float
    #: Digest of method, target and body; equal for every resend of the same request.
    request_digest: int
    #: The route or method class; latencies and failures are compared within a kind.
    request_kind: str
    #: Who sent the request.
    caller: CallerId
    #: Size of the answer's body as received.
    answer_size_bytes: int = 0
    #: Whether the request may run more than once.
    idempotent: bool = True


def request_digest(method: str, target: str, body: bytes) -> int:
    """Return the digest that recognises a request when it is sent again, with whatever key."""
    head = f"{method}\x00{target}\x00".encode()
    return xxhash.xxh3_64_intdigest(head + body)
