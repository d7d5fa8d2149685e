"""Determines why a request was lost or late from its log events."""

import enum
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from egretrail.diagnosis._lines import LogLine
from egretrail.diagnosis._requests import RequestEvents, number

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


class Loss(NamedTuple):
    """Why a request was lost or late."""

    #: The kind of loss.
    reason: LossReason
    #: The reason as printed.
    text: str


def find_loss(
    events: RequestEvents, health_changes: Mapping[tuple[str, str], Sequence[LogLine]]
) -> Loss | None:
    """Return why a request was lost or late; None if it was served in time."""
    if events.refused is not None:
        fields = events.refused.fields
        attempts = fields.get("attempts", "0")
        kind = LossReason.REFUSED if attempts == "0" else LossReason.REFUSED_AFTER_ATTEMPTS
        reason = fields.get("reason", "unknown")
        return Loss(kind, kind.value.format(reason=reason, attempts=attempts))
    found = LossReason.UNANSWERED
    if events.answered is not None:
        match events.answered.fields.get("outcome"):
            case "served":
                late = _late_reason(events, events.answered)
                if late is None:
                    return None
                found = late
            case "failed":
                found = _failure_reason(events, health_changes)
            case "broken":
                found = LossReason.CONNECTION_LOST
            case "timeout":
                found = LossReason.TIMEOUT
            case "client_left":
                found = LossReason.CLIENT_LEFT
    return Loss(found, found.value)


def _late_reason(events: RequestEvents, answered: LogLine) -> LossReason | None:
    duration_s = number(answered, "duration_s")
    objective_s = number(answered, "objective_s")
    if objective_s <= 0.0 or duration_s <= objective_s:
        return None
    if len(events.attempts) > 1:
        return LossReason.LATE_RETRY
    first = events.attempts[0] if events.attempts else None
    if first is None:
        return LossReason.LATE_PROCESSING
    if answered.time_s - first.time_s < duration_s / 2:
        return LossReason.LATE_INSTANCE_QUEUE
    slots_full = number(first, "in_flight") >= max(number(first, "slots"), 1.0)
    return LossReason.LATE_UPSTREAM_QUEUE if slots_full else LossReason.LATE_PROCESSING


def _failure_reason(
    events: RequestEvents, health_changes: Mapping[tuple[str, str], Sequence[LogLine]]
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
