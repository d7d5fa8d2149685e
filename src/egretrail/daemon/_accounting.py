"""Counts what callers were told and which upstreams lost their work, for metrics and report."""

import asyncio
from collections.abc import Mapping

import structlog

from egretrail.daemon._metrics import Metrics
from egretrail.identity import RouteName, ServiceName, UpstreamName
from egretrail.report import AnswerKind, BurnRecorder
from egretrail.request import Answer, Outcome, RecordedAnswer
from egretrail.settings import ServiceSettings
from egretrail.upstream import AttemptOutcome, UpstreamState, Verdict

_LEAST_FAILURE_STATUS = 500
_FAULTS = frozenset(
    {
        AttemptOutcome.FAILED,
        AttemptOutcome.LOST,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.TRUNCATED,
        AttemptOutcome.CROSSED,
        AttemptOutcome.REFUSED,
    }
)
_log = structlog.get_logger()


class Accounting:
    """One instance's counts. Each request is counted by the instance that its caller asked."""

    def __init__(self, metrics: Metrics, recorder: BurnRecorder) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._ejected: set[tuple[ServiceName, UpstreamName]] = set()
        self._first_fault_s: dict[tuple[ServiceName, UpstreamName], float] = {}

    def answered(
        self,
        service: ServiceName,
        route: RouteName,
        settings: ServiceSettings | None,
        answer: Answer,
        duration_s: float,
    ) -> None:
        """Count one request's answer."""
        kind = _kind(answer, duration_s, settings)
        now_s = asyncio.get_running_loop().time()
        self._recorder.count(service, route, kind, now_s)
        result = _result(answer)
        self._metrics.requests.labels(service, route, result).inc()
        self._metrics.duration_s.labels(service).observe(duration_s)

    def attempted(
        self,
        service: ServiceName,
        upstream: UpstreamName,
        outcome: AttemptOutcome,
        started_s: float,
    ) -> None:
        """Count one attempt, and remember when an upstream's present trouble began."""
        self._metrics.attempts.labels(service, outcome.value).inc()
        if outcome in _FAULTS:
            self._first_fault_s.setdefault((service, upstream), started_s)

    def judged(
        self, service: ServiceName, verdicts: Mapping[UpstreamName, Verdict], now_s: float
    ) -> None:
        """Note ejections that begin and end."""
        for upstream, verdict in verdicts.items():
            name = (service, upstream)
            if verdict.state is UpstreamState.EJECTED:
                if name not in self._ejected:
                    self._begin(service, upstream, verdict, now_s)
            elif name in self._ejected:
                self._ejected.discard(name)
                self._recorder.record_return(service, upstream, now_s)
                _log.info("upstream_returned", service=service, upstream=upstream)
            if verdict.state is UpstreamState.HEALTHY:
                self._first_fault_s.pop(name, None)

    def _begin(
        self, service: ServiceName, upstream: UpstreamName, verdict: Verdict, now_s: float
    ) -> None:
        self._ejected.add((service, upstream))
        detected_after_s = now_s - self._first_fault_s.get((service, upstream), now_s)
        cause = verdict.cause.value
        self._recorder.record_ejection(service, upstream, cause, detected_after_s, now_s)
        self._metrics.ejections.labels(service, cause).inc()
        _log.warning(
            "upstream_ejected",
            service=service,
            upstream=upstream,
            cause=cause,
            detected_after_s=round(detected_after_s, 3),
        )


def _result(answer: Answer) -> str:
    if not isinstance(answer, RecordedAnswer):
        return answer.cause.value
    return "failed" if answer.status >= _LEAST_FAILURE_STATUS else "answered"


def _kind(answer: Answer, duration_s: float, settings: ServiceSettings | None) -> AnswerKind:
    if not isinstance(answer, RecordedAnswer):
        return AnswerKind.REFUSED if answer.outcome is Outcome.NOT_RUN else AnswerKind.UNKNOWN
    if answer.status >= _LEAST_FAILURE_STATUS:
        return AnswerKind.FAILED
    late = settings is not None and duration_s > settings.objective_latency_s
    return AnswerKind.LATE if late else AnswerKind.GOOD
