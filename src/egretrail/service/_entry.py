"""State of a request in the scheduler."""

from dataclasses import dataclass, field

from egretrail.identity import UpstreamName
from egretrail.service._work import Work


@dataclass(slots=True, eq=False)
class Entry:
    """State of one request from its arrival to its end."""

    #: The request as submitted.
    work: Work
    #: Arrival time.
    arrived_s: float
    #: When it was last queued. The queue time of a retry starts again, within the same deadline.
    queued_s: float
    #: Expected duration at arrival: its cost in the queue.
    cost_s: float
    #: Whether its cost class takes much longer than the shortest class of the service.
    is_long: bool
    #: Uncorrected wait expected at arrival, and number of waiting requests of the client then.
    raw_wait_s: float = 0.0
    caller_waiting: int = 0
    #: Upstreams that it was sent to, in order.
    tried: list[UpstreamName] = field(default_factory=list)
    #: Start time of each running attempt, by upstream.
    running: dict[UpstreamName, float] = field(default_factory=dict)
    #: Upstream of the last attempt that may have executed part of the request.
    last_run: UpstreamName | None = None
    #: Whether it is waiting for an upstream.
    queued: bool = False
    #: Whether a hedge was sent.
    hedged: bool = False

    @property
    def latest_start_s(self) -> float:
        """Return the latest time at which the request can start and still meet its deadline.

        The expected duration is capped at half of the time from arrival to deadline. Otherwise a
        period of slow responses could raise the estimate above every deadline, and no request
        could wait any more although later responses may be fast again.
        """
        half_s = (self.work.deadline_s - self.arrived_s) / 2
        last_s = self.work.deadline_s - min(self.cost_s, half_s)
        return min(self.queued_s + self.work.queue_s, last_s)
