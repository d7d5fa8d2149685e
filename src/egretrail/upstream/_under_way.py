"""Attempts under way, and those of them that take longer than answers do.

An upstream that hangs ends no attempt before its deadline; without looking at attempts that are
still under way, nothing would speak against it until then.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.upstream._recorder import Recorder
from egretrail.upstream._tracked import TrackedUpstream

#: An attempt is overdue from this log latency ratio on (about five times the median); younger ones
#: say nothing yet. It counts as no slower than that, whatever its age.
_OVERDUE_LOG = 1.6


@dataclass(frozen=True, slots=True)
class _UnderWay:
    """An attempt that has not ended."""

    #: The upstream that works on it.
    upstream: UpstreamName
    #: The kind its latency is compared within.
    request_kind: str
    #: When it was sent.
    started_s: float


class AttemptsUnderWay:
    """This instance's attempts under way at one service's upstreams."""

    def __init__(self) -> None:
        self._attempts: dict[int, _UnderWay] = {}
        self._last_ticket = 0

    def begin(self, upstream: UpstreamName, request_kind: str, now_s: float) -> int:
        """Note an attempt that begins; return its ticket."""
        self._last_ticket += 1
        self._attempts[self._last_ticket] = _UnderWay(upstream, request_kind, now_s)
        return self._last_ticket

    def end(self, ticket: int) -> UpstreamName | None:
        """Note that an attempt has ended; return its upstream, None when it had ended before."""
        attempt = self._attempts.pop(ticket, None)
        return attempt.upstream if attempt is not None else None

    def find_overdue(
        self,
        upstreams: Mapping[UpstreamName, TrackedUpstream],
        recorder: Recorder,
        now_s: float,
    ) -> None:
        """Set each upstream's number of overdue attempts."""
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
