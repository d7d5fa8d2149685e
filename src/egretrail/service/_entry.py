"""A request's state inside the scheduler."""

from dataclasses import dataclass, field

from egretrail.identity import UpstreamName
from egretrail.service._work import Work


@dataclass(slots=True, eq=False)
class Entry:
    """One request from its arrival to its end."""

    #: What the caller handed in.
    work: Work
    #: When it came.
    arrived_s: float
    #: When it was queued last; a retry waits anew, within its deadline.
    queued_s: float
    #: Expected duration when it came, the cost it brings to the queue.
    cost_s: float
    #: Whether its class takes much longer than the service's shortest.
    is_long: bool
    #: The wait that was expected at its arrival, uncorrected, and what its caller had waiting then.
    raw_wait_s: float = 0.0
    caller_waiting: int = 0
    #: Upstreams it was sent to, in order.
    tried: list[UpstreamName] = field(default_factory=list)
    #: Start of each attempt that runs.
    running: dict[UpstreamName, float] = field(default_factory=dict)
    #: The upstream of the last attempt that may have done some of the work.
    last_run: UpstreamName | None = None
    #: Whether it waits for an upstream.
    queued: bool = False
    #: Whether a hedge was sent.
    hedged: bool = False

    @property
    def latest_start_s(self) -> float:
        """Return the latest time at which starting it still makes its deadline.

        The expected duration counts for at most half of the time to the deadline. Otherwise a time
        of slow answers could raise the estimate above every deadline, and nothing would be let
        wait any more although the next answers may be quick again.
        """
        half_s = (self.work.deadline_s - self.arrived_s) / 2
        last_s = self.work.deadline_s - min(self.cost_s, half_s)
        return min(self.queued_s + self.work.queue_s, last_s)
