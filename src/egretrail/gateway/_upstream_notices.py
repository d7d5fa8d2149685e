"""Applies what upstreams say of themselves in their responses."""

from collections.abc import Callable

from egretrail.dispatch import BackoffTable
from egretrail.gateway._interfaces import UpstreamNotices
from egretrail.gateway._log import EventLog
from egretrail.traffic import UpstreamTable


class NoticeRecorder:
    """Records the notices of upstreams and logs them."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        backoffs: BackoffTable,
        clock: Callable[[], float],
        log: EventLog,
    ) -> None:
        self._upstreams = upstreams
        self._backoffs = backoffs
        self._clock = clock
        self._log = log

    def record(self, upstream_id: str, status: int, notices: UpstreamNotices) -> None:
        """Record the notices in the head of a response with a status."""
        for invalid in notices.invalid:
            self._log.event("notice_ignored", upstream=upstream_id, status=status, cause=invalid)
        if notices.is_draining and self._upstreams.mark_draining(upstream_id):
            self._log.event("upstream_draining", upstream=upstream_id, status=status)
        if notices.backoff_s:
            self._backoffs.record(upstream_id, notices.backoff_s, self._clock())
            self._log.event(
                "upstream_backoff",
                upstream=upstream_id,
                status=status,
                backoff_s=notices.backoff_s,
            )
