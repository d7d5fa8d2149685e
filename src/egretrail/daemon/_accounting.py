"""Counts responses, attempts and ejections for the metrics and the error budget report."""

import asyncio
from collections.abc import Mapping

import structlog

from egretrail.daemon._metrics import Metrics
from egretrail.identity import RouteName, ServiceName, UpstreamName
from egretrail.report import AnswerKind, BurnRecorder
from egretrail.request import Answer, Outcome, RecordedAnswer
from egretrail.settings import ServiceSettings
from egretrail.upstream import AttemptOutcome, UpstreamState, Verdict

_MIN_FAILURE_STATUS = 500
_FAULT_OUTCOMES = frozenset(
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
    """The counts of one instance.

    A request is counted once, by the instance that received it from the client.
    """

    def __init__(self, metrics: Metrics, recorder: BurnRecorder) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._ejected: set[tuple[ServiceName, UpstreamName]] = set()
        self._first_failure_s: dict[tuple[ServiceName, UpstreamName], float] = {}

    def record_response(
        self,
        service: ServiceName,
        route: RouteName,
        settings: ServiceSettings | None,
        answer: Answer,
        duration_s: float,
    ) -> None:
        """Count the response to one request."""
        kind = _classify(answer, duration_s, settings)
        now_s = asyncio.get_running_loop().time()
        self._recorder.count(service, route, kind, now_s)
        result = _result_label(answer)
        self._metrics.requests.labels(service, route, result).inc()
        self._metrics.duration_s.labels(service).observe(duration_s)

    def record_attempt(
        self,
        service: ServiceName,
        upstream: UpstreamName,
        outcome: AttemptOutcome,
        started_s: float,
    ) -> None:
        """Count one attempt; keep the time of the first failure since the last healthy state."""
        self._metrics.attempts.labels(service, outcome.value).inc()
        if outcome in _FAULT_OUTCOMES:
            self._first_failure_s.setdefault((service, upstream), started_s)

    def record_verdicts(
        self, service: ServiceName, verdicts: Mapping[UpstreamName, Verdict], now_s: float
    ) -> None:
        """Record the ejections that began or ended since the previous call."""
        for upstream, verdict in verdicts.items():
            key = (service, upstream)
            if verdict.state is UpstreamState.EJECTED:
                if key not in self._ejected:
                    self._record_ejection(service, upstream, verdict, now_s)
            elif key in self._ejected:
                self._ejected.discard(key)
                self._recorder.record_return(service, upstream, now_s)
                _log.info("upstream_returned", service=service, upstream=upstream)
            if verdict.state is UpstreamState.HEALTHY:
                self._first_failure_s.pop(key, None)

    def _record_ejection(
        self, service: ServiceName, upstream: UpstreamName, verdict: Verdict, now_s: float
    ) -> None:
        self._ejected.add((service, upstream))
        detected_after_s = now_s - self._first_failure_s.get((service, upstream), now_s)
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


def _result_label(answer: Answer) -> str:
    if not isinstance(answer, RecordedAnswer):
        return answer.cause.value
    return "failed" if answer.status >= _MIN_FAILURE_STATUS else "answered"


def _classify(answer: Answer, duration_s: float, settings: ServiceSettings | None) -> AnswerKind:
    if not isinstance(answer, RecordedAnswer):
        return AnswerKind.REFUSED if answer.outcome is Outcome.NOT_RUN else AnswerKind.UNKNOWN
    if answer.status >= _MIN_FAILURE_STATUS:
        return AnswerKind.FAILED
    is_late = settings is not None and duration_s > settings.objective_latency_s
    return AnswerKind.LATE if is_late else AnswerKind.GOOD
