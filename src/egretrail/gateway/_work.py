"""A request on its way through the gateway, and what its attempts tell about it."""

import enum
from dataclasses import dataclass, field

from egretrail.dispatch import RequestDigest
from egretrail.gateway._interfaces import CallerTerms
from egretrail.http1 import ReceivedAnswer, Request
from egretrail.traffic import ClientAccount, Route, RouteKind


class Fate(enum.Enum):
    """What one attempt tells about the request."""

    #: A whole answer for the client.
    SERVED = "served"
    #: The upstream refused it without running it.
    NOT_RUN = "not_run"
    #: No connection was opened.
    UNREACHABLE = "unreachable"
    #: The upstream began to leave while its connection was opened; nothing was sent.
    LEAVING = "leaving"
    #: It ran, or may have run.
    FAILED = "failed"


#: Fates of attempts that sent nothing.
UNSENT = frozenset({Fate.UNREACHABLE, Fate.LEAVING})


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of one attempt."""

    #: What it tells about the request.
    fate: Fate
    #: The upstream's answer, where one arrived whole.
    received: ReceivedAnswer | None = None
    #: What went wrong, for the log.
    cause: str = ""


@dataclass(slots=True)
class Work:
    """One request on its way."""

    #: The request as the client sent it.
    request: Request
    #: What it says besides its target.
    terms: CallerTerms
    #: Its route, in the configuration that was in force when it came.
    route: Route
    #: The service that takes it.
    service: str
    #: The client account that it counts for; None where requests need no API key.
    account: ClientAccount | None
    #: By which it is known when it is sent again.
    digest: RequestDigest
    #: When the answer is due, by the loop's clock.
    end_s: float
    #: The upstreams that were chosen so far.
    tried: list[str] = field(default_factory=list)
    #: To how many of them nothing could be sent.
    unreachable: int = 0
    #: Whether it was counted against its account's quota.
    is_charged: bool = False
    #: How many of them it was sent to.
    sends: int = 0
    #: Whether the time for a second copy has passed.
    hedged: bool = False
    #: Whether an upstream may have run it.
    may_have_run: bool = False
    #: The last failure that an upstream answered with.
    failure: ReceivedAnswer | None = None
    #: What went wrong last, for the log.
    last_cause: str = ""

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind is RouteKind.IDEMPOTENT
