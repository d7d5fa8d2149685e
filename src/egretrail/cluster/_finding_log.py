"""Findings that are told several times, so that lost datagrams lose hardly any of them."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.cluster._beat import Finding

#: How often a finding is told. With a tenth of the datagrams lost, one in a thousand instances
#: misses it; with two tellings one in a hundred does.
_TELLINGS = 3
#: Findings of one message: 11 bytes each.
_TOLD_MAX = 48
#: Findings that wait to be told. More come only where everything fails, and then the newest, which
#: are dropped, say nothing that the first did not.
_WAITING_MAX = 400


@dataclass(slots=True)
class _Row:
    """One finding."""

    #: What was found.
    finding: Finding
    #: How often it is still to be told.
    left: int = _TELLINGS


class FindingLog:
    """Numbers findings, and yields each of them for some messages in a row."""

    def __init__(self) -> None:
        self._rows: list[_Row] = []
        #: The number of the first row.
        self._first = 0

    def add(self, finding: Finding) -> None:
        """Take a finding to be told."""
        if len(self._rows) < _WAITING_MAX:
            self._rows.append(_Row(finding))

    @property
    def is_empty(self) -> bool:
        """Whether nothing is left to be told, not even once more."""
        return not self._rows

    def take(self) -> tuple[int, Sequence[Finding]]:
        """Return the number of the first finding of the next message, and its findings."""
        first, told = self._first, self._rows[:_TOLD_MAX]
        for row in told:
            row.left -= 1
        ended = sum(row.left == 0 for row in told)
        del self._rows[:ended]
        self._first += ended
        return first, [row.finding for row in told]
