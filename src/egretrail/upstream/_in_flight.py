"""Attempts in flight, and those of them that are overdue.

At an upstream that hangs no attempt ends before its deadline. Unless attempts in flight are
examined, there would be no evidence against the upstream until then.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._recorder import Recorder
from egretrail.upstream._tracked import TrackedUpstream

#: An attempt is overdue from this log latency ratio on (about five times the median). An overdue
#: attempt counts with this ratio, whatever its age.
_OVERDUE_LOG = 1.6


@dataclass(frozen=True, slots=True)
class _InFlight:
    """An attempt that has not ended."""

    #: The upstream that the request was sent to.
    upstream: UpstreamName
    #: The request kind whose latencies it is compared with.
    request_kind: str
    #: Time of sending.
    started_s: float


class InFlightAttempts:
    """This instance's attempts in flight at one service's upstreams."""

    def __init__(self) -> None:
        self._attempts: dict[int, _InFlight] = {}
        self._last_ticket = 0

    def start(self, upstream: UpstreamName, request_kind: str, now_s: float) -> int:
        """Record the start of an attempt; return its ticket."""
        self._last_ticket += 1
        self._attempts[self._last_ticket] = _InFlight(upstream, request_kind, now_s)
        return self._last_ticket

    def finish(self, ticket: int) -> UpstreamName | None:
        """Record the end of an attempt; return its upstream, None for an unknown ticket."""
        attempt = self._attempts.pop(ticket, None)
        return attempt.upstream if attempt is not None else None

    def update_overdue(
        self,
        upstreams: Mapping[UpstreamName, TrackedUpstream],
        recorder: Recorder,
        now_s: float,
    ) -> None:
        """Update each upstream's number of overdue attempts."""
        for upstream in upstreams.values():
            upstream.observed.overdue = 0
        for attempt in self._attempts.values():
            slowness = recorder.reference.slowness(attempt.request_kind, now_s - attempt.started_s)
            upstream_of = upstreams.get(attempt.upstream)
            if upstream_of is None or slowness is None or slowness < _OVERDUE_LOG:
                continue
            upstream_of.observed.overdue += 1
            upstream_of.observed.overdue_slowness = _OVERDUE_LOG
            upstream_of.observed.overdue_ratio = recorder.overdue_ratio(upstream_of, _OVERDUE_LOG)
            upstream_of.urgent = True
