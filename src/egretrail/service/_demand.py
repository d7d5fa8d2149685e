"""How many slots each member of a group could use, told among its members."""

from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import InstanceName, ServiceName
from egretrail.wire import Message, message

#: A report counts for this long. A member that fell silent holds no slots back for longer.
REPORT_VALID_S = 3.0
#: While demand moves, it is told this often: about the time in which a burst fills a queue.
REPORT_INTERVAL_S = 0.1
#: Without a change it is told this often, well within its validity.
_REPEAT_S = 1.0
#: Demand moves when it changes by this share, and by at least this many slots. A group that is
#: not near its capacity has no use for exact numbers, and each message costs its bytes.
_MOVED_SHARE = 0.25
_MOVED_LEAST = 2.0


@message("service-demand")
@dataclass(frozen=True, slots=True)
class DemandReport(Message):
    """Tells the group's other members how many slots this member could use."""

    #: The service.
    service: ServiceName
    #: Requests that run or wait at the sender.
    demand: int


class PeerDemands:
    """The demands that the other members of one service's group last reported."""

    def __init__(self) -> None:
        self._reports: dict[InstanceName, tuple[float, int]] = {}

    def note(self, sender: InstanceName, report: DemandReport, now_s: float) -> None:
        """Take a report."""
        self._reports[sender] = (now_s, report.demand)

    def forget(self, sender: InstanceName) -> None:
        """Drop a member that has left the group."""
        self._reports.pop(sender, None)

    def demands(self, now_s: float) -> Sequence[float]:
        """Return the demand of each other member whose report still counts."""
        oldest_s = now_s - REPORT_VALID_S
        return [float(demand) for at_s, demand in self._reports.values() if at_s >= oldest_s]


class DemandReporter:
    """Decides when this member's demand is worth a message."""

    def __init__(self, service: ServiceName) -> None:
        self._service = service
        self._sent_s = float("-inf")
        self._sent = 0.0

    def due(self, demand: float, now_s: float) -> DemandReport | None:
        """Return the report to send to the group now; call it every ``REPORT_INTERVAL_S``."""
        moved = abs(demand - self._sent)
        wanted = moved >= max(_MOVED_LEAST, _MOVED_SHARE * self._sent)
        if not wanted and now_s - self._sent_s < _REPEAT_S:
            return None
        self._sent, self._sent_s = demand, now_s
        return DemandReport(self._service, round(demand))
