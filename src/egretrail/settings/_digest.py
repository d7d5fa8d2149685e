"""A small tree of digests by which two instances find the paths where they differ."""

import struct
from collections.abc import Sequence

import xxhash

from egretrail.settings._change import SettingChange

#: A reply with all buckets stays near 2 KB; at 220,000 paths a bucket has about 900.
BUCKETS = 256


def bucket_of(path: str) -> int:
    """Return the number of the bucket that a path belongs to."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS


class DigestTree:
    """Digests of the live paths in each bucket, kept up to date in constant time a change.

    A bucket is the exclusive or of its entries' digests, so that the order of changes leaves no
    trace. Deleted paths have no part in it: how long they are remembered differs by instance.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS
        self._root: int | None = None

    def toggle(self, change: SettingChange) -> None:
        """Add a live path's change, or take it out again."""
        entry = f"{change.path}\x00{change.generation}\x00{change.change_id}\x00{change.text}"
        digest = xxhash.xxh3_64_intdigest(entry.encode())
        self._buckets[bucket_of(change.path)] ^= digest
        self._root = None

    @property
    def root(self) -> int:
        """Return the digest of all buckets."""
        if self._root is None:
            self._root = xxhash.xxh3_64_intdigest(struct.pack(f"<{BUCKETS}Q", *self._buckets))
        return self._root

    @property
    def buckets(self) -> Sequence[int]:
        """Return each bucket's digest."""
        return tuple(self._buckets)

    def differing(self, other: Sequence[int]) -> Sequence[int]:
        """Return the numbers of the buckets in which another tree differs."""
        pairs = zip(self._buckets, other, strict=True)
        return [number for number, (own, theirs) in enumerate(pairs) if own != theirs]
