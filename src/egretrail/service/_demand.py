"""Exchange of the demand for slots among the members of a group."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import InstanceName, ServiceName
from egretrail.wire import Message, message

#: Validity of a report. A member that stops reporting reserves no slots beyond this time.
REPORT_VALID_S = 3.0
#: Interval of reports while demand changes: about the time in which a burst fills a queue.
REPORT_INTERVAL_S = 0.1
#: Interval of reports while demand does not change, well within the validity of a report.
_REFRESH_INTERVAL_S = 1.0
#: A change of demand is reported early when it exceeds this share of the last report and this many
#: slots. Below that, the bandwidth of a message is not justified: a group that is not close to its
#: capacity does not need exact numbers.
_MIN_RELATIVE_CHANGE = 0.25
_MIN_ABSOLUTE_CHANGE = 2.0


@message("service-demand")
@dataclass(frozen=True, slots=True)
class DemandReport(Message):
    """Reports to the other members of the group how many slots this member could use."""

    #: The service.
    service: ServiceName
    #: Number of requests that run or wait at the sender.
    demand: int


class PeerDemands:
    """The latest demand reports from the other members of the group of one service."""

    def __init__(self) -> None:
        self._reports: dict[InstanceName, tuple[float, int]] = {}

    def record_report(self, sender: InstanceName, report: DemandReport, now_s: float) -> None:
        """Store the report of a member; replaces its earlier report."""
        self._reports[sender] = (now_s, report.demand)

    def remove_member(self, sender: InstanceName) -> None:
        """Remove the report of a member that has left the group."""
        self._reports.pop(sender, None)

    def demands(self, now_s: float) -> Sequence[float]:
        """Return the demand of each other member whose report is still valid."""
        oldest_s = now_s - REPORT_VALID_S
        return [float(demand) for at_s, demand in self._reports.values() if at_s >= oldest_s]


class DemandReporter:
    """Decides when to send the demand of this member to the group."""

    def __init__(self, service: ServiceName) -> None:
        self._service = service
        self._sent_s = float("-inf")
        self._sent = 0.0

    def next_report(self, demand: float, now_s: float) -> DemandReport | None:
        """Return the report to send to the group now, None if none is due.

        Must be called every ``REPORT_INTERVAL_S``.
        """
        moved = abs(demand - self._sent)
        wanted = moved >= max(_MIN_ABSOLUTE_CHANGE, _MIN_RELATIVE_CHANGE * self._sent)
        if not wanted and now_s - self._sent_s < _REFRESH_INTERVAL_S:
            return None
        self._sent, self._sent_s = demand, now_s
        return DemandReport(self._service, round(demand))
