"""The result of health checking: an upstream's state, its weight, and the cause."""

import enum
from dataclasses import dataclass


class UpstreamState(enum.Enum):
    """Whether and how an upstream receives work."""

    #: It receives its full share.
    HEALTHY = "healthy"
    #: It stays in service with a smaller share.
    DEGRADED = "degraded"
    #: It receives no work.
    EJECTED = "ejected"
    #: It receives a small share of idempotent requests after an ejection.
    TRIAL = "trial"
    #: Its share grows after its start or its return to service.
    RAMPING = "ramping"


class Cause(enum.Enum):
    """Why an upstream is not healthy."""

    #: No fault is known.
    NONE = "none"
    #: It fails more often than the service's other upstreams.
    FAILURES = "failures"
    #: It is slower than the service's other upstreams.
    SLOWNESS = "slowness"
    #: The network path is bad: it fails for this instance, but not for other members of the group.
    PATH = "path"
    #: A suspect request, which crashes upstreams, was lost with it.
    CRASHED_BY_REQUEST = "crashed-by-request"
    #: It rejects work that other upstreams accept.
    SHEDDING = "shedding"
    #: Another member of the group ejected it.
    PEER = "peer"
    #: It is new, or has returned from an ejection.
    START = "start"


@dataclass(frozen=True, slots=True)
class Verdict:
    """An upstream's state and share of work, and the cause."""

    #: Whether and how the upstream receives work.
    state: UpstreamState
    #: The upstream's share relative to a healthy one, from 0 to 1.
    weight: float
    #: The cause of the state.
    cause: Cause
    #: Start of the state, on the instance's own clock.
    since_s: float

    @property
    def in_service(self) -> bool:
        """Return whether any work may be sent to the upstream."""
        return self.state is not UpstreamState.EJECTED

    @property
    def idempotent_only(self) -> bool:
        """Return whether only idempotent work may be sent to the upstream."""
        return self.state is UpstreamState.TRIAL
