"""Sends each outcome report several times, so that lost datagrams rarely lose a report."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.cluster._heartbeat import OutcomeReport

#: Messages in which each report is sent. With a datagram loss of one tenth, one in a thousand
#: instances misses a report; with two messages, one in a hundred would.
_SEND_COUNT = 3
#: Maximum reports in one message: 11 bytes each.
_MESSAGE_REPORTS_MAX = 48
#: Maximum queued reports. The limit is reached only when everything fails. The newest reports are
#: then dropped, since they add nothing to the first ones.
_QUEUED_MAX = 400


@dataclass(slots=True)
class _QueuedReport:
    """A queued outcome report."""

    #: The report.
    report: OutcomeReport
    #: The number of messages in which the report is still to be sent.
    sends_left: int = _SEND_COUNT


class OutcomeLog:
    """Numbers outcome reports and returns each of them for several successive messages."""

    def __init__(self) -> None:
        self._rows: list[_QueuedReport] = []
        #: The number of the first queued report.
        self._first = 0

    def add(self, report: OutcomeReport) -> None:
        """Queue a report."""
        if len(self._rows) < _QUEUED_MAX:
            self._rows.append(_QueuedReport(report))

    @property
    def is_empty(self) -> bool:
        """Whether no report is left to be sent, not even to be sent again."""
        return not self._rows

    def next_batch(self) -> tuple[int, Sequence[OutcomeReport]]:
        """Return the reports for the next message with the number of the first of them."""
        first, batch = self._first, self._rows[:_MESSAGE_REPORTS_MAX]
        for row in batch:
            row.sends_left -= 1
        finished = sum(row.sends_left == 0 for row in batch)
        del self._rows[:finished]
        self._first += finished
        return first, [row.report for row in batch]
