"""Findings that are told twice, so that one lost datagram loses none of them."""

from collections.abc import Sequence

from egretrail.cluster._beat import Finding

#: Findings of one message: 11 bytes each.
_TOLD_MAX = 48
#: Findings that wait to be told. More come only where everything fails, and then the newest, which
#: are dropped, say nothing that the first did not.
_WAITING_MAX = 400


class FindingLog:
    """Numbers findings, and yields each of them for two messages in a row."""

    def __init__(self) -> None:
        self._rows: list[Finding] = []
        #: The number of the first row, and of the first that was not told yet.
        self._first = 0
        self._untold = 0

    def add(self, finding: Finding) -> None:
        """Take a finding to be told."""
        if len(self._rows) < _WAITING_MAX:
            self._rows.append(finding)

    @property
    def has_news(self) -> bool:
        """Whether findings wait that were not told yet."""
        return self._first + len(self._rows) > self._untold

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left to be told, a second time included."""
        return not self._rows

    def take(self) -> tuple[int, Sequence[Finding]]:
        """Return the number of the first finding of the next message, and its findings."""
        first = self._first
        told = self._rows[:_TOLD_MAX]
        twice = min(self._untold - first, len(told))
        del self._rows[:twice]
        self._first += twice
        self._untold = max(self._untold, first + len(told))
        return first, told
