"""A client's complete request, with the metadata that is needed to place it."""

import hashlib
from dataclasses import dataclass

from egretrail.identity import CallerId, RouteName, ServiceName

_DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class RequestEnvelope:
    """One complete request of a client.

    The fields are tuples, not sequences, so that a request compares equal after it is decoded by a
    peer.
    """

    #: The HTTP method.
    method: str
    #: The path with its query, as the client sent it.
    target: str
    #: Header fields in their order, decoded as Latin-1.
    headers: tuple[tuple[str, str], ...]
    #: The whole body.
    body: bytes
    #: The client account that sent the request.
    caller_id: CallerId
    #: The service of the route.
    service: ServiceName
    #: The route that the request matched.
    route: RouteName
    #: Seconds left until the deadline, counted from the time this instance got the envelope.
    deadline_s: float
    #: The Idempotency-Key as the client sent it; None for an idempotent request without a key.
    key: str | None = None


def request_digest(request: RequestEnvelope) -> bytes:
    """Return a collision-resistant digest of the route, method, target and body.

    Requests with equal digests ask for the same work. Header fields are not included: a resend may
    have another date or trace id. Its Host may differ, too, because clients connect to instances by
    address; the route covers the relevant part of Host.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.route.encode(), request.method.encode(), request.target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(request.body)
    return digest.digest()
