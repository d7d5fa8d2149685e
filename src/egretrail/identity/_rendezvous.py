"""Rendezvous hashing: an order of members for a key that is the same on every instance."""

import math
from collections.abc import Iterable, Mapping

import xxhash

_HASH_SPACE = float(1 << 64)


def rendezvous_score(key: str, member: str, weight: float = 1.0) -> float:
    """Return the member's score for the key; the member with the highest score is preferred.

    Weights use the logarithmic method: a member with twice the weight is preferred for twice as
    many keys, and a change of one member's weight moves only the keys that this member gains or
    loses.
    """
    digest = xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())
    uniform = (digest + 0.5) / _HASH_SPACE
    return -weight / math.log(uniform) if weight > 0 else 0.0


def rendezvous_order(
    key: str, members: Iterable[str], weights: Mapping[str, float] | None = None
) -> list[str]:
    """Return the members in order of preference for the key, most preferred first."""
    weighting = weights or {}
    return sorted(
        members,
        key=lambda member: (-rendezvous_score(key, member, weighting.get(member, 1.0)), member),
    )
