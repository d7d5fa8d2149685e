"""Requests that upstreams are lost with, and the limit on how many one request may touch.

Now and then one request crashes each upstream that runs it, and its caller sends it again. Such a
request is recognised by its digest, whatever key it is sent with. The limit is made for a caller
that resends without pause: without it one request takes a service down upstream by upstream.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.identity import ServiceName, UpstreamName
from egretrail.wire import Message, message

#: A loss is remembered for this long: longer than callers keep resending one request.
MEMORY_S = 600.0

#: Digests remembered for one service. A crash loses what its upstream had in flight (a few slots),
#: so that thousands of entries mean hundreds of crashes within the memory.
SUSPECTS = 4096


@message("request-loss")
@dataclass(frozen=True, slots=True)
class RequestLoss(Message):
    """Tells a member of the group that an upstream was lost with a request; acknowledged."""

    #: The service the upstream belongs to.
    service: ServiceName
    #: Digest of the request.
    request_digest: int
    #: The upstream that was lost.
    upstream: UpstreamName


@message("request-losses")
@dataclass(frozen=True, slots=True)
class RequestLosses(Message):
    """The losses a member remembers, for a member that has just joined the group."""

    #: The losses, latest last.
    losses: Sequence[RequestLoss]


@message("request-losses-wanted")
@dataclass(frozen=True, slots=True)
class RequestLossesWanted(Message):
    """Asks a member for the losses that it remembers for one service."""

    #: The service the losses belong to.
    service: ServiceName


@dataclass(slots=True)
class _Suspect:
    """What is remembered of one digest."""

    #: Upstreams lost with the request, and when.
    lost: dict[UpstreamName, float] = field(default_factory=dict)
    #: Attempts of the request under way at this instance.
    under_way: int = 0


class SuspectRequests:
    """The requests of one service that upstreams were lost with."""

    def __init__(self, upstreams_per_request: int) -> None:
        self.upstreams_per_request = upstreams_per_request
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def note_loss(self, request_digest: int, upstream: UpstreamName, now_s: float) -> None:
        """Remember that the upstream was lost with the request, here or at another member."""
        suspect = self._suspects.setdefault(request_digest, _Suspect())
        suspect.lost[upstream] = now_s
        self._suspects.move_to_end(request_digest)
        self._forget(now_s)

    def touched(self, request_digest: int) -> Mapping[UpstreamName, float]:
        """Return the upstreams lost with the request, and when."""
        suspect = self._suspects.get(request_digest)
        return suspect.lost if suspect is not None else {}

    def is_suspect(self, request_digest: int) -> bool:
        """Return whether any upstream was lost with the request."""
        return request_digest in self._suspects

    def may_touch_another(self, request_digest: int, now_s: float) -> bool:
        """Return whether the request may be sent to one more upstream.

        Attempts of a suspect that are under way count as losses to come: otherwise parallel
        resends would pass the limit together.
        """
        self._forget(now_s)
        suspect = self._suspects.get(request_digest)
        if suspect is None:
            return True
        return len(suspect.lost) + suspect.under_way < self.upstreams_per_request

    def begin(self, request_digest: int) -> None:
        """Count an attempt of a suspect as under way; others are not tracked."""
        suspect = self._suspects.get(request_digest)
        if suspect is not None:
            suspect.under_way += 1

    def end(self, request_digest: int) -> None:
        """Count an attempt of a suspect as ended, however it ended."""
        suspect = self._suspects.get(request_digest)
        if suspect is not None:
            suspect.under_way = max(0, suspect.under_way - 1)

    def losses(self, service: ServiceName) -> Sequence[RequestLoss]:
        """Return what is remembered, for a member that has just joined the group."""
        return [
            RequestLoss(service, digest, upstream)
            for digest, suspect in self._suspects.items()
            for upstream in suspect.lost
        ]

    def _forget(self, now_s: float) -> None:
        while self._suspects:
            digest, oldest = next(iter(self._suspects.items()))
            latest_s = max(oldest.lost.values())
            if len(self._suspects) <= SUSPECTS and latest_s + MEMORY_S > now_s:
                return
            del self._suspects[digest]
