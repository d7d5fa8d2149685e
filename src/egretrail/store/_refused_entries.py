"""The entries of one part of the store that an instance refused, and which refusals are news."""

from collections.abc import Iterable

import xxhash

#: Entries that are tracked, about 150 bytes each. Another writer may create any number.
_TRACKED_MAX = 2_000


class RefusedEntries:
    """Tracks refused entries until they are replaced or removed.

    An entry that is read or written again with the same faults is no news.
    """

    def __init__(self) -> None:
        #: Refusals so far: each refused entry counts once, and once more for each change of its
        #: faults. Those that are too many to be tracked count whenever they are read.
        self.total = 0
        #: The digests of the faults by the digest of the path.
        self._faults: dict[int, int] = {}

    @property
    def present(self) -> int:
        """How many entries are refused now, as far as they are tracked."""
        return len(self._faults)

    def record_refused(self, path: str, faults: str) -> bool:
        """Record a refused entry; return whether it has to be reported."""
        key, digest = _digest(path), _digest(faults)
        before = self._faults.get(key)
        if before == digest:
            return False
        self.total += 1
        if before is None and len(self._faults) >= _TRACKED_MAX:
            return False
        self._faults[key] = digest
        return True

    def record_ended(self, path: str) -> None:
        """Record that an entry is valid or removed."""
        self._faults.pop(_digest(path), None)

    def retain(self, paths: Iterable[str]) -> None:
        """Forget the entries that a complete list does not hold."""
        if self._faults:
            listed = {_digest(path) for path in paths}
            self._faults = {key: one for key, one in self._faults.items() if key in listed}

    def clear(self) -> None:
        """Forget all entries: this instance no longer reads the store."""
        self._faults.clear()


def _digest(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode(errors="surrogatepass"))
