"""Detects requests that crash every upstream that runs them."""

from collections.abc import Iterable
from typing import NewType

import xxhash

#: Digest of a request's method, host, path and body; a retried request has the same digest.
RequestDigest = NewType("RequestDigest", int)

#: Number of upstreams whose connection broke while they ran a request, from which on it is refused.
#: Two may be coincidence.
_LOSSES_MAX = 3
#: Losses are kept for this long after the last one.
_RETENTION_S = 30.0
#: Number of requests for which losses are kept; each takes about 300 bytes.
_REQUESTS_MAX = 2_000


def request_digest(parts: Iterable[bytes]) -> RequestDigest:
    """Return the digest of a request from its parts, which are given in a fixed order."""
    hasher = xxhash.xxh3_64()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return RequestDigest(hasher.intdigest())


class CrashingRequests:
    """Counts the upstreams that each request has crashed, over the whole fleet.

    Guards against a client that sends a request that crashes upstreams again and again, to any
    instance. Without the count, each of these requests takes one upstream after the other out of
    service for seconds.
    """

    def __init__(self) -> None:
        self._losses_s: dict[RequestDigest, dict[str, float]] = {}

    def record_loss(self, digest: RequestDigest, upstream_id: str, now_s: float) -> None:
        """Record an upstream whose connection broke while it ran a request."""
        loss_times_s = self._losses_s.pop(digest, {})
        loss_times_s[upstream_id] = now_s
        self._losses_s[digest] = loss_times_s
        if len(self._losses_s) > _REQUESTS_MAX:
            del self._losses_s[next(iter(self._losses_s))]

    def clear(self, digest: RequestDigest) -> None:
        """Drop the losses of a request that was answered; they had another cause."""
        self._losses_s.pop(digest, None)

    def is_blocked(self, digest: RequestDigest, now_s: float) -> bool:
        """Return whether a request has crashed too many upstreams to be run again."""
        loss_times_s = self._losses_s.get(digest)
        if loss_times_s is None:
            return False
        if now_s - max(loss_times_s.values()) > _RETENTION_S:
            del self._losses_s[digest]
            return False
        return len(loss_times_s) >= _LOSSES_MAX
