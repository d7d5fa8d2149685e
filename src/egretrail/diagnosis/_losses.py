"""Where requests were lost or late, from the logs of any number of gateways."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.diagnosis._lines import LogLine

#: A change of an upstream's standing belongs to a failure on the same instance within this time.
_SAME_MOMENT_S = 0.0015


class Loss(enum.Enum):
    """Why a request was lost or late. The texts are what the command prints."""

    #: Its failure is the one by which the fleet found an upstream failing.
    FIRST_FAILURE = "failed: first failure of an upstream"
    #: It tried an upstream that was doubted.
    TRIAL = "failed: trial of a doubted upstream"
    #: It was on its way when its upstream came to be doubted.
    UNDER_WAY = "failed: on its way to an upstream that was being doubted"
    #: An upstream that nothing was held against, before or after.
    SINGLE = "failed: single failure of a sound upstream"
    #: The connection ended after the request was sent.
    BROKEN = "broken: connection lost"
    #: No answer in the time that the route or the client gives.
    TIMEOUT = "timeout"
    #: Refused by this gateway before any attempt.
    REFUSED = "refused: {reason}"
    #: Refused after upstreams refused it without work.
    REFUSED_AGAIN = "refused: {reason} after {attempts} attempts"
    #: Served after its objective, first sent to an upstream with free slots.
    LATE_WORK = "late: long work"
    #: Served after its objective, first sent to an upstream whose slots were taken.
    LATE_WAIT = "late: waited at the upstream"
    #: Served after its objective, by a second attempt.
    LATE_AGAIN = "late: served by a second attempt"
    #: Served after its objective, sent only after a wait at this instance.
    LATE_START = "late: waited for this instance"
    #: The client left.
    CLIENT_LEFT = "client left"
    #: The log ends before its answer.
    UNANSWERED = "no answer logged"


@dataclass(frozen=True, slots=True)
class LostRequest:
    """One request that was not served, or served late."""

    #: The client attempt.
    attempt_id: str
    #: When its last event was logged.
    time_s: float
    #: Its route; empty where it was refused before one was found.
    route: str
    #: Why, as printed.
    reason: str
    #: The upstream of its last attempt; empty for none.
    upstream: str


@dataclass(frozen=True, slots=True)
class LossReport:
    """What became of the requests of some logs."""

    #: All requests by route.
    requests: Mapping[str, int]
    #: Those that were lost or late.
    lost: Sequence[LostRequest]

    def by_reason(self) -> Mapping[tuple[str, str], int]:
        """Return counts by route and reason, largest first."""
        return dict(Counter((one.route, one.reason) for one in self.lost).most_common())

    def by_second(self) -> Mapping[int, Counter[str]]:
        """Return counts by reason for each second of the log."""
        seconds: dict[int, Counter[str]] = {}
        for one in sorted(self.lost, key=lambda one: one.time_s):
            seconds.setdefault(int(one.time_s), Counter())[one.reason] += 1
        return seconds

    def by_upstream(self) -> Mapping[str, int]:
        """Return counts by the upstream of the last attempt, largest first."""
        return dict(Counter(one.upstream for one in self.lost if one.upstream).most_common())


@dataclass(slots=True)
class _Trace:
    """The events of one client attempt."""

    attempts: list[LogLine] = field(default_factory=list)
    failures: list[LogLine] = field(default_factory=list)
    refused: LogLine | None = None
    answered: LogLine | None = None

    @property
    def last(self) -> LogLine | None:
        """The event that ended it, or the last one known."""
        return self.answered or self.refused or (self.attempts[-1] if self.attempts else None)


def find_losses(lines: Iterable[LogLine]) -> LossReport:
    """Return what became of all requests that the lines name."""
    traces: dict[str, _Trace] = {}
    doubts: dict[tuple[str, str], list[LogLine]] = {}
    for line in lines:
        if line.event == "upstream_standing":
            key = (line.instance, line.fields.get("upstream", ""))
            doubts.setdefault(key, []).append(line)
        elif "id" in line.fields:
            _add(traces.setdefault(line.fields["id"], _Trace()), line)
    requests: Counter[str] = Counter()
    lost = []
    for attempt_id, trace in traces.items():
        last = trace.last
        if last is None:
            continue
        route = _route(trace)
        requests[route] += 1
        reason = _reason(trace, doubts)
        if reason is not None:
            upstream = trace.attempts[-1].fields.get("upstream", "") if trace.attempts else ""
            lost.append(LostRequest(attempt_id, last.time_s, route, reason, upstream))
    return LossReport(requests, lost)


def _add(trace: _Trace, line: LogLine) -> None:
    match line.event:
        case "attempt":
            trace.attempts.append(line)
        case "attempt_failed":
            trace.failures.append(line)
        case "refused":
            trace.refused = line
        case "answered":
            trace.answered = line


def _route(trace: _Trace) -> str:
    named = [*trace.attempts, *([trace.refused] if trace.refused else [])]
    return next((line.fields["route"] for line in named if line.fields.get("route")), "")


def _reason(trace: _Trace, doubts: Mapping[tuple[str, str], Sequence[LogLine]]) -> str | None:
    """Return why a request was lost or late, None where it was served in time."""
    if trace.refused is not None:
        fields = trace.refused.fields
        attempts = fields.get("attempts", "0")
        kind = Loss.REFUSED if attempts == "0" else Loss.REFUSED_AGAIN
        return kind.value.format(reason=fields.get("reason", "unknown"), attempts=attempts)
    if trace.answered is None:
        return Loss.UNANSWERED.value
    match trace.answered.fields.get("outcome"):
        case "served":
            return _late(trace)
        case "failed":
            return _failed(trace, doubts).value
        case "broken":
            return Loss.BROKEN.value
        case "timeout":
            return Loss.TIMEOUT.value
        case "client_left":
            return Loss.CLIENT_LEFT.value
    return None


def _late(trace: _Trace) -> str | None:
    assert trace.answered is not None
    duration_s = _number(trace.answered, "duration_s")
    objective_s = _number(trace.answered, "objective_s")
    if objective_s <= 0.0 or duration_s <= objective_s:
        return None
    if len(trace.attempts) > 1:
        return Loss.LATE_AGAIN.value
    first = trace.attempts[0] if trace.attempts else None
    if first is None:
        return Loss.LATE_WORK.value
    if trace.answered.time_s - first.time_s < duration_s / 2:
        return Loss.LATE_START.value
    waits = _number(first, "in_flight") >= max(_number(first, "slots"), 1.0)
    return Loss.LATE_WAIT.value if waits else Loss.LATE_WORK.value


def _failed(trace: _Trace, doubts: Mapping[tuple[str, str], Sequence[LogLine]]) -> Loss:
    failure = trace.failures[-1] if trace.failures else None
    if failure is None:
        return Loss.SINGLE
    upstream = failure.fields.get("upstream", "")
    attempt = next((a for a in trace.attempts if a.fields.get("upstream") == upstream), None)
    if attempt is not None and attempt.fields.get("trial") == "True":
        return Loss.TRIAL
    changes = doubts.get((failure.instance, upstream), ())
    if any(_begins_doubt(change) and _at_once(change, failure) for change in changes):
        return Loss.FIRST_FAILURE
    before = [change for change in changes if change.time_s < failure.time_s]
    doubted = bool(before) and before[-1].fields.get("after") in ("suspect", "probation")
    return Loss.UNDER_WAY if doubted else Loss.SINGLE


def _begins_doubt(change: LogLine) -> bool:
    return change.fields.get("after") == "suspect" and change.fields.get("before") in (
        "good",
        "doubted",
        "unreached",
    )


def _at_once(change: LogLine, failure: LogLine) -> bool:
    return abs(change.time_s - failure.time_s) <= _SAME_MOMENT_S


def _number(line: LogLine, name: str) -> float:
    """Return a field's number; 0 where the line has none, as lines of earlier programs."""
    try:
        return float(line.fields.get(name, "0"))
    except ValueError:
        return 0.0
