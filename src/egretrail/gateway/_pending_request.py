"""The state of a request from its admission to its final response."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from egretrail.dispatch import Refusal, RequestDigest
from egretrail.gateway._interfaces import RequestMetadata
from egretrail.http1 import ExchangeTrace, ReceivedResponse, Request
from egretrail.overload import Arrival
from egretrail.traffic import ClientAccount, Route, RouteKind, request_priority


class Disposition(enum.Enum):
    """What the end of one attempt means for the request; logged as ``fate``."""

    #: The upstream gave a complete response for the client.
    SERVED = "served"
    #: The upstream refused the request without running it.
    NOT_RUN = "not_run"
    #: No connection could be opened.
    UNREACHABLE = "unreachable"
    #: The upstream started to drain while the connection was opened; nothing was sent.
    DRAINING = "leaving"
    #: The upstream asked for a backoff while the connection was opened; nothing was sent.
    BACKING_OFF = "backing_off"
    #: The request ran, or may have run, without a valid response.
    FAILED = "failed"
    #: The instance through which it was to be sent found no upstream for it; nothing was sent.
    REFUSED = "refused"


#: Dispositions of attempts that sent nothing.
UNSENT = frozenset({Disposition.UNREACHABLE, Disposition.DRAINING, Disposition.BACKING_OFF})


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The result of one attempt."""

    #: What the attempt means for the request.
    disposition: Disposition
    #: The upstream's response; None if none arrived complete and valid.
    received: ReceivedResponse | None = None
    #: What went wrong, for the log.
    cause: str = ""
    #: The id of the upstream's lifetime; empty if none was chosen.
    upstream_id: str = ""
    #: Why another instance found no upstream; None for all other dispositions than REFUSED.
    refusal: Refusal | None = None
    #: Where the exchange took place; None if nothing was sent from this instance.
    trace: ExchangeTrace | None = None
    #: Whether another instance sent it.
    is_relayed: bool = False

    def exchange_fields(self) -> Mapping[str, object]:
        """Return the log fields that show how the response was matched to the request."""
        fields: dict[str, object] = {"relayed": self.is_relayed}
        if self.trace is not None:
            fields["connection"] = self.trace.connection
            fields["exchange"] = self.trace.exchange
            fields["skipped"] = self.trace.skipped
            fields["unused_bytes"] = self.trace.unused_bytes
        return fields


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """What is sent to an upstream in one attempt, by whichever instance."""

    #: The request as the client sent it.
    request: Request
    #: The id of the client's attempt.
    attempt_id: str
    #: The service whose upstreams serve the request.
    service: str
    #: The name of the client account whose quota it uses; None where requests need no API key.
    account: str | None
    #: The digest that identifies the same request when a client sends it again.
    digest: RequestDigest
    #: When the response is due, by the event loop's clock.
    deadline_s: float


@dataclass(slots=True)
class PendingRequest:
    """An admitted request that has not got its final response."""

    #: The request as the client sent it.
    request: Request
    #: What its headers say.
    metadata: RequestMetadata
    #: Its route, in the configuration that was in force when the request was admitted.
    route: Route
    #: The service whose upstreams serve the request.
    service: str
    #: The client account whose quota the request uses; None where requests need no API key.
    account: ClientAccount | None
    #: The digest that identifies the same request when a client sends it again.
    digest: RequestDigest
    #: When the response is due, by the event loop's clock.
    deadline_s: float
    #: Ids of the upstreams that were chosen so far.
    tried: list[str] = field(default_factory=list)
    #: How many attempts could not send anything.
    unsent_count: int = 0
    #: Whether the request was counted against its account's quota.
    is_charged: bool = False
    #: How many attempts were started, without those that could not send anything.
    send_count: int = 0
    #: Whether the request was due for hedging, also where no hedge was sent.
    is_hedge_decided: bool = False
    #: Whether an upstream may have run the request.
    may_have_run: bool = False
    #: The last response with which an upstream reported a failure.
    failure_response: ReceivedResponse | None = None
    #: The result of the last attempt that ended; None before.
    last_result: AttemptResult | None = None
    #: What went wrong last, for the log.
    last_cause: str = ""

    @property
    def priority(self) -> int:
        """The request's priority; 0 is the most urgent."""
        return request_priority(self.route, self.account)

    @property
    def account_name(self) -> str:
        """The name of its client account for logs; empty without one."""
        return self.account.name if self.account is not None else ""

    def arrival(self, now_s: float) -> Arrival:
        """Return the request as overload control ranks it; routes stand in for no account."""
        return Arrival(
            service=self.service,
            priority=self.priority,
            account=self.account_name or self.route.name,
            objective_s=self.request.received_s + self.route.objective_s - now_s,
            remaining_s=self.deadline_s - now_s,
        )

    def attempt(self) -> AttemptRequest:
        """Return what is sent to an upstream."""
        return AttemptRequest(
            self.request,
            self.metadata.attempt_id,
            self.service,
            self.account.name if self.account is not None else None,
            self.digest,
            self.deadline_s,
        )

    @property
    def is_retryable(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.kind is RouteKind.IDEMPOTENT
