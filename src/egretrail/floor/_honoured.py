"""The ejections by other instances that one instance honours for one service."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.floor._messages import Ejection
from egretrail.floor._timing import RightsTiming
from egretrail.identity import InstanceName, UpstreamName


@dataclass(slots=True)
class _Reply:
    #: Time at which this instance sent the request.
    requested_s: float
    #: The holder's ejections.
    ejections: Sequence[Ejection]


class HonouredEjections:
    """Honours holders' replies for a limited time from when the request was sent.

    A pushed message could only be timed from its receipt, however long it was queued in a socket; a
    reply cannot be older than its request. Validity is checked at each placement, so that a process
    that was paused does not honour replies that expired in the meantime.
    """

    def __init__(self, timing: RightsTiming) -> None:
        self._timing = timing
        self._replies: dict[InstanceName, _Reply] = {}

    def record_reply(
        self, holder: InstanceName, ejections: Sequence[Ejection], requested_s: float
    ) -> None:
        """Record the reply to a request sent at ``requested_s``; older replies are ignored."""
        known = self._replies.get(holder)
        if known is not None and known.requested_s >= requested_s:
            return
        self._replies[holder] = _Reply(requested_s, ejections)

    def is_ejected(self, upstream: UpstreamName, allowance: int, now_s: float) -> bool:
        """Return whether a holder's valid ejection covers the upstream now."""
        return any(
            ejection.upstream == upstream and ejection.number < allowance
            for reply in self._replies.values()
            if self._is_valid(reply, now_s)
            for ejection in reply.ejections
        )

    def ejections(self, now_s: float) -> Mapping[UpstreamName, InstanceName]:
        """Return the upstreams with valid ejections, and their holders."""
        return {
            ejection.upstream: holder
            for holder, reply in self._replies.items()
            if self._is_valid(reply, now_s)
            for ejection in reply.ejections
        }

    def remove_expired(self, now_s: float) -> None:
        """Remove expired replies."""
        for name, reply in list(self._replies.items()):
            if not self._is_valid(reply, now_s):
                del self._replies[name]

    def _is_valid(self, reply: _Reply, now_s: float) -> bool:
        return now_s - reply.requested_s <= self._timing.validity_s
