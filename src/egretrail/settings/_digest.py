"""A two-level hash tree with which two instances find the buckets of paths that differ."""

import struct
from collections.abc import Sequence

import xxhash

from egretrail.settings._change import SettingChange

#: A reply with the digests of all buckets takes about 2 KB. With 220,000 paths each bucket has
#: about 900.
BUCKETS = 256


def bucket_of(path: str) -> int:
    """Return the index of the bucket of a path."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS


class DigestTree:
    """Digests of the live paths in each bucket, updated in constant time for each change.

    The digest of a bucket is the exclusive or of its entries' digests, and so does not depend on
    the order of changes. Deleted paths are not included, because instances discard deletions at
    different times.
    """

    def __init__(self) -> None:
        self._buckets = [0] * BUCKETS
        self._root: int | None = None

    def toggle(self, change: SettingChange) -> None:
        """Add the change of a live path, or remove it if it is included."""
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
        """Return the digest of each bucket."""
        return tuple(self._buckets)

    def differing(self, other: Sequence[int]) -> Sequence[int]:
        """Return the indexes of the buckets whose digests differ from another tree's."""
        pairs = zip(self._buckets, other, strict=True)
        return [index for index, (own, theirs) in enumerate(pairs) if own != theirs]
