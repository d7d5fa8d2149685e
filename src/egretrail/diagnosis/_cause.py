"""Determines the cause of a request's outcome from its log events."""

import enum
from dataclasses import dataclass

from egretrail.diagnosis._lines import LogLine
from egretrail.diagnosis._refusals import FieldsOrUnknown, refusal_text
from egretrail.diagnosis._timeline import RequestTimeline


class CauseKind(enum.Enum):
    """The kinds of request outcome that the logs distinguish; the values are printed."""

    UNKNOWN = "unknown"
    SERVED = "served"
    UPSTREAM_FAILED = "upstream_failed"
    TRIAL_FAILED = "trial_failed"
    CONNECTION_LOST = "connection_lost"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    NO_ROUTE = "no_route"
    NO_ACCOUNT = "no_account"
    CLIENT_LEFT = "client_left"


@dataclass(frozen=True, slots=True)
class Cause:
    """Why a request had its outcome."""

    #: The kind of outcome.
    kind: CauseKind
    #: One sentence for the engineer on call.
    text: str


def find_cause(timeline: RequestTimeline) -> Cause:
    """Return the cause of the outcome of a timeline's request."""
    last = {line.event: line for line in timeline.events}
    if "refused" in last:
        text = refusal_text(last["refused"], timeline.contention)
        return Cause(CauseKind.REFUSED, f"refused without having run: {text}")
    if "no_route" in last:
        fields = last["no_route"].fields
        text = "no route of configuration {config_version} takes {path} on {host}"
        return Cause(CauseKind.NO_ROUTE, text.format_map(FieldsOrUnknown(fields)))
    if "key_refused" in last:
        return _key_refusal_cause(last["key_refused"])
    if "answered" in last:
        return _outcome_cause(timeline, last["answered"])
    if timeline.events:
        return Cause(CauseKind.UNKNOWN, "the logs end before its answer")
    return Cause(CauseKind.UNKNOWN, "no log line names it")


def _key_refusal_cause(line: LogLine) -> Cause:
    if line.fields.get("reason") == "missing":
        text = "it carries no API key, or more than one, and route {route} needs one"
    else:
        text = "no account of configuration {config_version} holds its API key"
    return Cause(CauseKind.NO_ACCOUNT, text.format_map(FieldsOrUnknown(line.fields)))


def _outcome_cause(timeline: RequestTimeline, line: LogLine) -> Cause:
    outcome = line.fields.get("outcome", "")
    failures = [event for event in timeline.events if event.event == "attempt_failed"]
    attempts = {e.fields.get("upstream"): e for e in timeline.events if e.event == "attempt"}
    upstream = failures[-1].fields.get("upstream", "") if failures else next(iter(attempts), "")
    match outcome:
        case "served":
            text = f"served after {line.fields.get('attempts')} attempts"
            return Cause(CauseKind.SERVED, text)
        case "failed":
            return _failure_cause(timeline, upstream or "", attempts.get(upstream))
        case "broken":
            text = f"the connection to upstream {upstream} was lost after the request was sent"
            return Cause(CauseKind.CONNECTION_LOST, f"{text}: {line.fields.get('cause')}")
        case "timeout":
            return Cause(
                CauseKind.TIMEOUT, f"upstream {upstream} gave no answer in the route's time"
            )
        case "client_left":
            return Cause(CauseKind.CLIENT_LEFT, "the client left before its answer")
    return Cause(CauseKind.UNKNOWN, f"outcome {outcome}")


def _failure_cause(timeline: RequestTimeline, upstream: str, attempt: LogLine | None) -> Cause:
    if attempt is not None and attempt.fields.get("trial") == "True":
        text = f"it was the trial of upstream {upstream}, which was doubted, and failed there"
        return Cause(CauseKind.TRIAL_FAILED, text)
    health_changes = [
        line for line in timeline.prior_health_events if line.fields.get("upstream") == upstream
    ]
    history = (
        f"; last word before: {health_changes[-1]}"
        if health_changes
        else "; nothing was held against it"
    )
    return Cause(CauseKind.UPSTREAM_FAILED, f"upstream {upstream} failed the request{history}")
