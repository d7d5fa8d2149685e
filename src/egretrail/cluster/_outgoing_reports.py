"""The recent observations of an instance that it is about to send to the others."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.cluster._heartbeat import DropReport, LimitReport, LossReport, OutcomeReport

#: Outcome reports and losses are repeated in all heartbeats of this time, so that they survive a
#: lost datagram: the next heartbeat follows within 0.25 s.
_REPORT_SEND_S = 0.3
#: Dropped upstreams are sent for longer, since an instance that misses the report keeps sending
#: requests to them.
_DROP_SEND_S = 3.0
#: Limits of upstreams are sent for this long; the hub sends them for longer.
_LIMIT_SEND_S = 1.0
#: Maximum outcome reports, and maximum successes, in one heartbeat: about 10 bytes each, so that a
#: heartbeat fits into one packet.
_HEARTBEAT_REPORTS_MAX = 40


@dataclass(slots=True)
class OutgoingReports:
    """The queued reports of one instance; outcome reports are numbered."""

    _outcomes: deque[tuple[float, OutcomeReport]] = field(default_factory=deque)
    _losses: deque[tuple[float, LossReport]] = field(default_factory=deque)
    _dropped: deque[tuple[float, DropReport]] = field(default_factory=deque)
    _limits: dict[int, tuple[float, float | None]] = field(default_factory=dict)
    _successes: list[OutcomeReport] = field(default_factory=list)
    #: The number of the oldest outcome report that is still sent.
    first_outcome: int = 0

    def record_outcome(self, report: OutcomeReport, now_s: float) -> None:
        """Queue an outcome report that bears on the health of an upstream."""
        self._outcomes.append((now_s, report))

    def record_success(self, report: OutcomeReport) -> None:
        """Queue a success of an upstream in good health, which is sent once."""
        if len(self._successes) < _HEARTBEAT_REPORTS_MAX:
            self._successes.append(report)

    def record_loss(self, report: LossReport, now_s: float) -> None:
        """Queue the report of a request that was lost with the connection to its upstream."""
        self._losses.append((now_s, report))

    def record_drops(self, reports: Sequence[DropReport], now_s: float) -> None:
        """Queue reports of upstreams that this instance dropped."""
        self._dropped.extend((now_s, report) for report in reports)

    def record_limit(self, upstream_key: int, limit_per_s: float | None, now_s: float) -> None:
        """Queue the limit that an upstream has just advertised; None if it withdrew its limit."""
        self._limits[upstream_key] = (now_s, limit_per_s)

    def discard_expired(self, now_s: float) -> None:
        """Discard the reports that were sent for long enough."""
        while self._outcomes and self._outcomes[0][0] < now_s - _REPORT_SEND_S:
            self._outcomes.popleft()
            self.first_outcome += 1
        while self._losses and self._losses[0][0] < now_s - _REPORT_SEND_S:
            self._losses.popleft()
        while self._dropped and self._dropped[0][0] < now_s - _DROP_SEND_S:
            self._dropped.popleft()
        for key in [key for key, (at_s, _) in self._limits.items() if at_s < now_s - _LIMIT_SEND_S]:
            del self._limits[key]

    def outcomes(self) -> Sequence[OutcomeReport]:
        """Return the outcome reports to send, oldest first."""
        return [report for _, report in self._outcomes][:_HEARTBEAT_REPORTS_MAX]

    def losses(self) -> Sequence[LossReport]:
        """Return the losses to send."""
        return [report for _, report in self._losses][:_HEARTBEAT_REPORTS_MAX]

    def drops(self) -> Sequence[DropReport]:
        """Return the reports of dropped upstreams to send."""
        return [report for _, report in self._dropped][:_HEARTBEAT_REPORTS_MAX]

    def limits(self, now_s: float) -> Sequence[LimitReport]:
        """Return the limits to send."""
        return [
            LimitReport(key, limit_per_s, now_s - at_s)
            for key, (at_s, limit_per_s) in list(self._limits.items())[:_HEARTBEAT_REPORTS_MAX]
        ]

    def drain_successes(self) -> Sequence[OutcomeReport]:
        """Remove and return the successes since the previous heartbeat."""
        drained, self._successes = self._successes, []
        return drained
