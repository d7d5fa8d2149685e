"""A caller's request, whole, with what the fleet has to know to place it."""

import hashlib
from dataclasses import dataclass

from egretrail.identity import CallerId, RouteName, ServiceName

_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class RequestEnvelope:
    """One request of a caller, read to its end.

    Tuples rather than sequences, so that a request is equal to itself after a trip between peers.
    """

    #: The HTTP method.
    method: str
    #: The path with its query, as the caller sent it.
    target: str
    #: Header fields in their order, decoded as Latin-1.
    headers: tuple[tuple[str, str], ...]
    #: The whole body.
    body: bytes
    #: Who sent it.
    caller_id: CallerId
    #: The service that the route names.
    service: ServiceName
    #: The route that the request matched.
    route: RouteName
    #: Time left, counted from the moment the holder of this envelope got it.
    deadline_s: float
    #: The Idempotency-Key as the caller sent it; None for an idempotent request without one.
    key: str | None = None


def request_digest(request: RequestEnvelope) -> bytes:
    """Return a collision-resistant digest of the route, method, target and body.

    Two requests of equal digest ask for the same work. Header fields stay out: a resend may carry
    other dates, traces and, as callers connect to instances by address, another Host; the route
    stands for the part of Host that matters.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.route.encode(), request.method.encode(), request.target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()
