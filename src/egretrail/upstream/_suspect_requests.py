"""Suspect requests, which crash upstreams, and the limit on the upstreams that each may be sent to.

A request may crash each upstream that executes it while its client retries it. Such a request is
identified by its digest, whatever idempotency key it has. Without the limit, a client that retries
without pause would take a service down upstream by upstream.

A loss is an attempt whose connection was lost or whose response was truncated. A request with at
least one recorded loss is suspect.
"""

from collections import Counter, OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import ServiceName, UpstreamName
from egretrail.wire import Message, message

#: A loss is kept for this long: longer than clients keep retrying one request.
RETENTION_S = 3600.0

#: Assumed duration of a lost attempt when it is unknown. Attempts in flight at the same time are
#: lost in one crash, and a crashed process needs longer than this to restart.
_DEFAULT_DURATION_S = 2.0

#: Limit on the digests kept for one service. A crash loses only the upstream's attempts in flight
#: (a few slots), so that thousands of entries mean hundreds of crashes within the retention time.
MAX_SUSPECTS = 4096


@message("request-loss")
@dataclass(frozen=True, slots=True)
class RequestLoss(Message):
    """Reports a loss (an upstream and a request) to a member of the group; acknowledged."""

    #: The service the upstream belongs to.
    service: ServiceName
    #: Digest of the request.
    request_digest: int
    #: The upstream whose connection was lost.
    upstream: UpstreamName
    #: Time from the start of the lost attempt to this message.
    lasted_s: float = _DEFAULT_DURATION_S


@message("request-losses")
@dataclass(frozen=True, slots=True)
class RequestLosses(Message):
    """The losses that a member keeps, for a member that has just joined the group."""

    #: The losses, latest last.
    losses: Sequence[RequestLoss]


@message("request-losses-wanted")
@dataclass(frozen=True, slots=True)
class FetchRequestLosses(Message):
    """Asks a member for the losses that it keeps for one service."""

    #: The service the losses belong to.
    service: ServiceName


@message("request-answered")
@dataclass(frozen=True, slots=True)
class RequestAnswered(Message):
    """Reports to a member that an upstream responded to a suspect request."""

    #: The service the upstream belongs to.
    service: ServiceName
    #: Digest of the request.
    request_digest: int


@dataclass(frozen=True, slots=True)
class _Loss:
    """A loss of one upstream with a request."""

    #: The upstream.
    upstream: UpstreamName
    #: Time at which this instance observed the loss or received its report.
    at_s: float


class SuspectRequests:
    """The suspect requests of one service, and the copies of requests in flight."""

    def __init__(self, upstreams_per_request: int) -> None:
        self.upstreams_per_request = upstreams_per_request
        self._losses: OrderedDict[int, list[_Loss]] = OrderedDict()
        self._in_flight: dict[int, Counter[UpstreamName]] = {}

    def record_loss(
        self,
        request_digest: int,
        upstream: UpstreamName,
        now_s: float,
        lasted_s: float = _DEFAULT_DURATION_S,
    ) -> None:
        """Record a loss observed by this or another member.

        An attempt that began before an earlier loss of the same upstream was lost in the same
        crash, or its report is a duplicate. An attempt that began later is another loss.
        """
        began_s = now_s - lasted_s
        losses = self._losses.setdefault(request_digest, [])
        self._losses.move_to_end(request_digest)
        if not any(loss.upstream == upstream and began_s <= loss.at_s for loss in losses):
            losses.append(_Loss(upstream, now_s))
        self._evict(now_s)

    def clear(self, request_digest: int) -> bool:
        """Clear a request that an upstream responded to; return whether the request was suspect.

        A popular request may lose upstreams for another reason, such as the outage of a rack or a
        crash by another request. Without clearing, all clients' copies of it would be refused.
        """
        return self._losses.pop(request_digest, None) is not None

    def lost_upstreams(self, request_digest: int) -> Sequence[UpstreamName]:
        """Return the distinct upstreams lost with the request, in order of their first loss."""
        losses = self._losses.get(request_digest, ())
        return list(dict.fromkeys(loss.upstream for loss in losses))

    def permits_another_upstream(self, request_digest: int, now_s: float) -> bool:
        """Return whether the request may be sent to one more upstream.

        Copies of a suspect request that are in flight count as losses: otherwise parallel retries
        would exceed the limit together.
        """
        self._evict(now_s)
        losses = self._losses.get(request_digest)
        if not losses:
            return True
        at_risk = len(self._in_flight.get(request_digest, ()))
        return len(losses) + at_risk < self.upstreams_per_request

    def record_start(self, request_digest: int, upstream: UpstreamName) -> None:
        """Count a copy of the request as in flight."""
        self._in_flight.setdefault(request_digest, Counter())[upstream] += 1

    def record_end(self, request_digest: int, upstream: UpstreamName) -> None:
        """Stop counting a copy of the request as in flight, whatever its outcome."""
        copies = self._in_flight.get(request_digest)
        if copies is None:
            return
        copies[upstream] -= 1
        if copies[upstream] <= 0:
            del copies[upstream]
        if not copies:
            del self._in_flight[request_digest]

    def losses(self, service: ServiceName) -> Sequence[RequestLoss]:
        """Return the losses that are kept, for a member that has just joined the group."""
        return [
            RequestLoss(service, digest, loss.upstream)
            for digest, losses in self._losses.items()
            for loss in losses
        ]

    def _evict(self, now_s: float) -> None:
        while self._losses:
            digest, oldest = next(iter(self._losses.items()))
            if len(self._losses) <= MAX_SUSPECTS and oldest[-1].at_s + RETENTION_S > now_s:
                return
            del self._losses[digest]
