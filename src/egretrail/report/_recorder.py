"""Counts what callers were told, by route and minute, for as long as the longest window."""

import enum
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretrail.identity import InstanceName, RouteName, ServiceName, UpstreamName
from egretrail.report._burn import WINDOWS_S
from egretrail.report._messages import EjectionReport, InstanceReport, RouteCounts

#: Counts are kept by the minute: the shortest window is five of them.
_BUCKET_S = 60.0
_BUCKETS = int(max(WINDOWS_S) / _BUCKET_S)
#: Ejections kept for the report. A flapping service of 31 upstreams fills it in minutes; the newest
#: are the ones asked for.
_EJECTIONS_KEPT = 200


class AnswerKind(enum.Enum):
    """What one request burnt of its service's error budget."""

    #: Answered within the objective's latency.
    GOOD = "good"
    #: Answered well, but later than the objective.
    LATE = "late"
    #: The upstream's answer was a failure.
    FAILED = "failed"
    #: Refused without having been run.
    REFUSED = "refused"
    #: Told as unknown, or as run without its answer.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class _Ejection:
    #: What was ejected, why, and how long it had failed before.
    service: ServiceName
    upstream: UpstreamName
    cause: str
    detected_after_s: float
    #: On the instance's clock.
    started_s: float

    def report(self, now_s: float, ended_s: float | None) -> EjectionReport:
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
    #: Number of the minute on the instance's clock.
    number: int
    #: Requests by kind.
    counts: dict[AnswerKind, int] = field(default_factory=dict)


class BurnRecorder:
    """What one instance's callers were told."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[ServiceName, RouteName], deque[_Bucket]] = {}
        self._ended: deque[tuple[_Ejection, float]] = deque(maxlen=_EJECTIONS_KEPT)
        self._running: dict[tuple[ServiceName, UpstreamName], _Ejection] = {}

    def count(self, service: ServiceName, route: RouteName, kind: AnswerKind, now_s: float) -> None:
        """Count one request that has been answered."""
        buckets = self._buckets.setdefault((service, route), deque(maxlen=_BUCKETS))
        number = int(now_s / _BUCKET_S)
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
        counts = buckets[-1].counts
        counts[kind] = counts.get(kind, 0) + 1

    def ejected(
        self,
        service: ServiceName,
        upstream: UpstreamName,
        cause: str,
        detected_after_s: float,
        now_s: float,
    ) -> None:
        """Note an ejection that begins, and how long the upstream had been failing before it."""
        ejection = _Ejection(service, upstream, cause, detected_after_s, now_s)
        self._running.setdefault((service, upstream), ejection)

    def returned(self, service: ServiceName, upstream: UpstreamName, now_s: float) -> None:
        """Note that an ejected upstream gets work again."""
        ejection = self._running.pop((service, upstream), None)
        if ejection is not None:
            self._ended.append((ejection, now_s))

    def report(
        self, instance: InstanceName, settings_revision: int, now_s: float
    ) -> InstanceReport:
        """Return everything that is kept, in the form that instances exchange."""
        ended = [ejection.report(now_s, ended_s) for ejection, ended_s in self._ended]
        running = [ejection.report(now_s, None) for _, ejection in sorted(self._running.items())]
        return InstanceReport(
            instance=instance,
            settings_revision=settings_revision,
            routes=tuple(
                RouteCounts(service, route, window_s, tuple(self._counts(buckets, window_s, now_s)))
                for (service, route), buckets in sorted(self._buckets.items())
                for window_s in WINDOWS_S
            ),
            ejections=(*ended, *running),
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
