"""What a key is bound to: the caller and the work it first asked for."""

import hashlib

from egretrail.request import RequestEnvelope, request_digest

_BINDING_BYTES = 16


def request_binding(request: RequestEnvelope) -> bytes:
    """Return a collision-resistant digest of the caller and the request's work.

    xxhash would be faster, but a caller could choose a request that collides with another's.
    """
    digest = hashlib.blake2b(request_digest(request), digest_size=_BINDING_BYTES)
    digest.update(request.caller_id.encode())
    return digest.digest()
