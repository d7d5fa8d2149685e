"""Binding of an idempotency key to the client and the request that first used the key."""

import hashlib

from egretrail.request import RequestEnvelope, request_digest

_BINDING_BYTES = 16


def request_binding(request: RequestEnvelope) -> bytes:
    """Return a collision-resistant digest of the client and the request.

    xxhash would be faster, but a client could construct a request whose digest collides with that
    of another client's request.
    """
    digest = hashlib.blake2b(request_digest(request), digest_size=_BINDING_BYTES)
    digest.update(request.caller_id.encode())
    return digest.digest()
