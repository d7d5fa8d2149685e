"""The requests that clients submit, and the results of their attempts."""

import enum
from dataclasses import dataclass
from typing import NewType

from egretrail.identity import CallerId, RouteName, TeamName

#: Identifies a request on one instance, from its arrival to its response.
WorkId = NewType("WorkId", str)

#: Class of requests with similar expected cost, for example those of one route and method.
CostClass = NewType("CostClass", str)


@dataclass(frozen=True, slots=True)
class Work:
    """One request as submitted to the scheduler."""

    #: Identifies the request on this instance.
    work_id: WorkId
    #: The client that sent it.
    caller: CallerId
    #: The team whose subtree holds the route.
    team: TeamName
    #: The route that it matched.
    route: RouteName
    #: Whether it may safely be executed more than once.
    idempotent: bool
    #: Time after which the response is useless, on the clock of ``now_s``.
    deadline_s: float
    #: Maximum time in seconds that it may wait for an upstream.
    queue_s: float
    #: Class of requests with similar expected cost.
    cost_class: CostClass
    #: Digest of method, target and body; a resend with a new idempotency key has the same digest.
    digest: bytes = b""
    #: Whether a second upstream may be tried in parallel while the first is slow.
    hedge: bool = False


class AttemptResult(enum.Enum):
    """Result of one attempt on one upstream, as far as it matters for a further attempt."""

    #: A complete response that is forwarded to the client, whatever its status.
    ANSWERED = "answered"
    #: The upstream responded, and the response indicates a failure of the upstream.
    FAILED = "failed"
    #: The request was sent, and no complete response was received.
    LOST = "lost"
    #: No connection was opened, so no part of the request was sent.
    NOT_SENT = "not-sent"
    #: The upstream declined the request before it began processing.
    SHED = "shed"
    #: The scheduler abandoned the attempt, or the client disconnected.
    ABANDONED = "abandoned"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the upstream cannot have executed any part of the request."""
        return self in (AttemptResult.NOT_SENT, AttemptResult.SHED)
