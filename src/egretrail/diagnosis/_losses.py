"""Counts lost and late requests by cause, from the logs of any number of gateways."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.diagnosis._lines import LogLine

#: A change of an upstream's health and a failure on the same instance within this time belong
#: together.
_SAME_EVENT_S = 0.0015


class LossReason(enum.Enum):
    """Why a request was lost or late; the values are the texts that the command prints."""

    #: The failure that made this instance begin to suspect the upstream.
    FIRST_FAILURE = "failed: first failure of an upstream"
    #: The request was a trial of a suspected upstream.
    TRIAL = "failed: trial of a doubted upstream"
    #: The request was in flight when its upstream became suspect.
    IN_FLIGHT = "failed: on its way to an upstream that was being doubted"
    #: A failure of an upstream that was not suspect before or after.
    ISOLATED_FAILURE = "failed: single failure of a sound upstream"
    #: The connection was lost after the request was sent.
    CONNECTION_LOST = "broken: connection lost"
    #: No response within the time-out of the route or the client.
    TIMEOUT = "timeout"
    #: Refused by this gateway before any attempt.
    REFUSED = "refused: {reason}"
    #: Refused by this gateway after upstreams had rejected it without executing it.
    REFUSED_AFTER_ATTEMPTS = "refused: {reason} after {attempts} attempts"
    #: Served after its latency objective; the upstream had free slots, so the work took long.
    LATE_PROCESSING = "late: long work"
    #: Served after its latency objective; all slots of the upstream were in use when it was sent.
    LATE_UPSTREAM_QUEUE = "late: waited at the upstream"
    #: Served after its latency objective, by a retry.
    LATE_RETRY = "late: served by a second attempt"
    #: Served after its latency objective; most of the time passed at this instance before sending.
    LATE_INSTANCE_QUEUE = "late: waited for this instance"
    #: The client disconnected.
    CLIENT_LEFT = "client left"
    #: The log has no outcome of the request.
    UNANSWERED = "no answer logged"


@dataclass(frozen=True, slots=True)
class LostRequest:
    """One request that was not served, or served late."""

    #: The client attempt.
    attempt_id: str
    #: When its last event was logged.
    time_s: float
    #: Its route; empty if it was refused before a route was found.
    route: str
    #: The reason of the loss, as printed.
    reason: str
    #: The upstream of its last attempt; empty without an attempt.
    upstream: str


@dataclass(frozen=True, slots=True)
class LossReport:
    """Counts of all requests in the logs, and the lost or late ones."""

    #: All requests by route.
    requests: Mapping[str, int]
    #: The requests that were lost or late.
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
class _AttemptEvents:
    """The log events of one client attempt."""

    attempts: list[LogLine] = field(default_factory=list)
    failures: list[LogLine] = field(default_factory=list)
    refused: LogLine | None = None
    answered: LogLine | None = None

    @property
    def last(self) -> LogLine | None:
        """The final event of the request, or its last attempt if the log has no final event."""
        return self.answered or self.refused or (self.attempts[-1] if self.attempts else None)


def find_losses(lines: Iterable[LogLine]) -> LossReport:
    """Return counts of all requests in the log lines, and the lost or late ones."""
    attempts_by_id: dict[str, _AttemptEvents] = {}
    health_changes: dict[tuple[str, str], list[LogLine]] = {}
    for line in lines:
        if line.event == "upstream_standing":
            key = (line.instance, line.fields.get("upstream", ""))
            health_changes.setdefault(key, []).append(line)
        elif "id" in line.fields:
            _add_event(attempts_by_id.setdefault(line.fields["id"], _AttemptEvents()), line)
    requests: Counter[str] = Counter()
    lost = []
    for attempt_id, events in attempts_by_id.items():
        last = events.last
        if last is None:
            continue
        route = _find_route(events)
        requests[route] += 1
        reason = _loss_reason(events, health_changes)
        if reason is not None:
            upstream = events.attempts[-1].fields.get("upstream", "") if events.attempts else ""
            lost.append(LostRequest(attempt_id, last.time_s, route, reason, upstream))
    return LossReport(requests, lost)


def _add_event(events: _AttemptEvents, line: LogLine) -> None:
    match line.event:
        case "attempt":
            events.attempts.append(line)
        case "attempt_failed":
            events.failures.append(line)
        case "refused":
            events.refused = line
        case "answered":
            events.answered = line


def _find_route(events: _AttemptEvents) -> str:
    named = [*events.attempts, *([events.refused] if events.refused else [])]
    return next((line.fields["route"] for line in named if line.fields.get("route")), "")


def _loss_reason(
    events: _AttemptEvents, health_changes: Mapping[tuple[str, str], Sequence[LogLine]]
) -> str | None:
    """Return why a request was lost or late; None if it was served in time."""
    if events.refused is not None:
        fields = events.refused.fields
        attempts = fields.get("attempts", "0")
        kind = LossReason.REFUSED if attempts == "0" else LossReason.REFUSED_AFTER_ATTEMPTS
        return kind.value.format(reason=fields.get("reason", "unknown"), attempts=attempts)
    if events.answered is None:
        return LossReason.UNANSWERED.value
    match events.answered.fields.get("outcome"):
        case "served":
            return _late_reason(events)
        case "failed":
            return _failure_reason(events, health_changes).value
        case "broken":
            return LossReason.CONNECTION_LOST.value
        case "timeout":
            return LossReason.TIMEOUT.value
        case "client_left":
            return LossReason.CLIENT_LEFT.value
    return None


def _late_reason(events: _AttemptEvents) -> str | None:
    assert events.answered is not None
    duration_s = _numeric_field(events.answered, "duration_s")
    objective_s = _numeric_field(events.answered, "objective_s")
    if objective_s <= 0.0 or duration_s <= objective_s:
        return None
    if len(events.attempts) > 1:
        return LossReason.LATE_RETRY.value
    first = events.attempts[0] if events.attempts else None
    if first is None:
        return LossReason.LATE_PROCESSING.value
    if events.answered.time_s - first.time_s < duration_s / 2:
        return LossReason.LATE_INSTANCE_QUEUE.value
    slots_full = _numeric_field(first, "in_flight") >= max(_numeric_field(first, "slots"), 1.0)
    return LossReason.LATE_UPSTREAM_QUEUE.value if slots_full else LossReason.LATE_PROCESSING.value


def _failure_reason(
    events: _AttemptEvents, health_changes: Mapping[tuple[str, str], Sequence[LogLine]]
) -> LossReason:
    failure = events.failures[-1] if events.failures else None
    if failure is None:
        return LossReason.ISOLATED_FAILURE
    upstream = failure.fields.get("upstream", "")
    attempt = next((a for a in events.attempts if a.fields.get("upstream") == upstream), None)
    if attempt is not None and attempt.fields.get("trial") == "True":
        return LossReason.TRIAL
    changes = health_changes.get((failure.instance, upstream), ())
    if any(_starts_suspicion(change) and _is_same_event(change, failure) for change in changes):
        return LossReason.FIRST_FAILURE
    before = [change for change in changes if change.time_s < failure.time_s]
    was_suspect = bool(before) and before[-1].fields.get("after") in ("suspect", "probation")
    return LossReason.IN_FLIGHT if was_suspect else LossReason.ISOLATED_FAILURE


def _starts_suspicion(change: LogLine) -> bool:
    return change.fields.get("after") == "suspect" and change.fields.get("before") in (
        "good",
        "doubted",
        "unreached",
    )


def _is_same_event(change: LogLine, failure: LogLine) -> bool:
    return abs(change.time_s - failure.time_s) <= _SAME_EVENT_S


def _numeric_field(line: LogLine, name: str) -> float:
    """Return a field as a number; 0 if the line lacks it, as lines of earlier versions do."""
    try:
        return float(line.fields.get(name, "0"))
    except ValueError:
        return 0.0
