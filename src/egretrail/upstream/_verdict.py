"""What an instance decides about an upstream."""

import enum
from dataclasses import dataclass


class UpstreamState(enum.Enum):
    """Whether and how an upstream receives work."""

    #: It gets its full share.
    HEALTHY = "healthy"
    #: It stays in service with a smaller share.
    DEGRADED = "degraded"
    #: It gets no work.
    EJECTED = "ejected"
    #: It gets a trickle of idempotent work after an ejection.
    TRIAL = "trial"
    #: Its share grows after a start or a return.
    RAMPING = "ramping"


class Cause(enum.Enum):
    """Why an upstream is not simply healthy."""

    #: Nothing is wrong.
    NONE = "none"
    #: It fails more often than the service's other upstreams.
    FAILURES = "failures"
    #: It is slower than the service's other upstreams.
    SLOWNESS = "slowness"
    #: Only this instance sees it fail, other members of the group do not.
    PATH = "path"
    #: A request that loses its upstreams was lost with it.
    CRASHED_BY_REQUEST = "crashed-by-request"
    #: It declines work that other upstreams accept.
    SHEDDING = "shedding"
    #: Another member of the group ejected it.
    PEER = "peer"
    #: It is new, or returns from an ejection.
    START = "start"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The share of work that an upstream gets, and why."""

    #: Whether and how the upstream receives work.
    state: UpstreamState
    #: Its share relative to a healthy upstream, from 0 to 1.
    weight: float
    #: Why it has this state.
    cause: Cause
    #: When it entered this state, on the instance's own clock.
    since_s: float

    @property
    def in_service(self) -> bool:
        """Return whether any work may be sent to the upstream."""
        return self.state is not UpstreamState.EJECTED

    @property
    def idempotent_only(self) -> bool:
        """Return whether only idempotent work may be sent to the upstream."""
        return self.state is UpstreamState.TRIAL
