"""Counts of responses by route and minute, kept for the length of the longest window."""

import enum
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.identity import InstanceName, RouteName, ServiceName, UpstreamName
from egretrail.report._burn import WINDOWS_S
from egretrail.report._messages import EjectionReport, InstanceReport, RouteCounts

#: Counts are kept for each minute; the shortest window covers five.
_BUCKET_S = 60.0
_BUCKET_COUNT = int(max(WINDOWS_S) / _BUCKET_S)
#: Ended ejections kept for the report. A flapping service of 31 upstreams fills this in minutes;
#: the newest are kept because operators look for those.
_MAX_ENDED_EJECTIONS = 200


class AnswerKind(enum.Enum):
    """How one request counts against the error budget of its service."""

    #: Successful response within the objective's latency.
    GOOD = "good"
    #: Successful response after the objective's latency.
    LATE = "late"
    #: The upstream returned a failure.
    FAILED = "failed"
    #: Refused; the request was not run.
    REFUSED = "refused"
    #: The outcome is unknown, or the request ran and its response is not available.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class _Ejection:
    service: ServiceName
    upstream: UpstreamName
    cause: str
    detected_after_s: float
    #: Start of the ejection on the instance's clock.
    started_s: float

    def to_report(self, now_s: float, ended_s: float | None) -> EjectionReport:
        return EjectionReport(
            service=self.service,
            upstream=self.upstream,
            cause=self.cause,
            ago_s=now_s - self.started_s,
            duration_s=(now_s if ended_s is None else ended_s) - self.started_s,
            detected_after_s=self.detected_after_s,
            over=ended_s is not None,
        )


@dataclass(slots=True)
class _Bucket:
    #: Index of the minute on the instance's clock.
    number: int
    #: Requests by kind of answer.
    counts: dict[AnswerKind, int] = field(default_factory=dict)


class BurnRecorder:
    """Records the responses and ejections of one instance."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[ServiceName, RouteName], deque[_Bucket]] = {}
        self._ended: deque[tuple[_Ejection, float]] = deque(maxlen=_MAX_ENDED_EJECTIONS)
        self._ongoing: dict[tuple[ServiceName, UpstreamName], _Ejection] = {}

    def count(self, service: ServiceName, route: RouteName, kind: AnswerKind, now_s: float) -> None:
        """Count one finished request."""
        buckets = self._buckets.setdefault((service, route), deque(maxlen=_BUCKET_COUNT))
        number = int(now_s / _BUCKET_S)
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
        counts = buckets[-1].counts
        counts[kind] = counts.get(kind, 0) + 1

    def record_ejection(
        self,
        service: ServiceName,
        upstream: UpstreamName,
        cause: str,
        detected_after_s: float,
        now_s: float,
    ) -> None:
        """Record the start of an ejection.

        ``detected_after_s`` is how long the upstream had been failing before.
        """
        ejection = _Ejection(service, upstream, cause, detected_after_s, now_s)
        self._ongoing.setdefault((service, upstream), ejection)

    def record_return(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Record that an ejected upstream gets requests again."""
        ejection = self._ongoing.pop((service, upstream), None)
        if ejection is not None:
            self._ended.append((ejection, now_s))

    def report(
        self, instance: InstanceName, settings_revision: int, now_s: float
    ) -> InstanceReport:
        """Return all recorded counts and ejections as a message."""
        ended = [ejection.to_report(now_s, ended_s) for ejection, ended_s in self._ended]
        ongoing = [ejection.to_report(now_s, None) for _, ejection in sorted(self._ongoing.items())]
        return InstanceReport(
            instance=instance,
            settings_revision=settings_revision,
            routes=tuple(
                RouteCounts(service, route, window_s, tuple(self._counts(buckets, window_s, now_s)))
                for (service, route), buckets in sorted(self._buckets.items())
                for window_s in WINDOWS_S
            ),
            ejections=(*ended, *ongoing),
        )

    def _counts(
        self, buckets: Sequence[_Bucket], window_s: float, now_s: float
    ) -> list[tuple[str, int]]:
        first = int((now_s - window_s) / _BUCKET_S)
        totals: dict[AnswerKind, int] = {}
        for bucket in buckets:
            if bucket.number > first:
                for kind, count in bucket.counts.items():
                    totals[kind] = totals.get(kind, 0) + count
        return [(kind.value, totals[kind]) for kind in AnswerKind if kind in totals]
