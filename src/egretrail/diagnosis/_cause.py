"""Says why a request ended as it did."""

import enum
from dataclasses import dataclass

from egretrail.diagnosis._lines import LogLine
from egretrail.diagnosis._story import Story


class Kind(enum.Enum):
    """The kinds of ends that can be told apart."""

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
    """Why a request ended as it did."""

    #: The kind of end.
    kind: Kind
    #: One sentence for the engineer on call.
    text: str


_REASONS = {
    "no_upstream": "no upstream of service {service} was listed as taking work",
    "all_suspect": "every upstream of service {service} was doubted or had been tried",
    "no_time": (
        "it would have waited {wait_s} s for a slot, work of service {service} usually takes "
        "{usual_s} s, and it had {left_s} s left"
    ),
    "not_run": (
        "the upstreams of service {service} refused it and no repeat was left ({attempts} sent)"
    ),
    "limited": (
        "every upstream of service {service} had named a limit, of which this instance had no token"
        " left"
    ),
    "crashes_upstreams": "three upstreams were lost while they ran it",
    "config_behind": (
        "no route of the configuration in force takes it, or no account holds its key, and the"
        " instance cannot know whether a newer one does"
    ),
    "key_unproved": (
        "the instance had not heard for {proof_age_s} s that its keys are still in force, longer"
        " than an ended key may be taken"
    ),
    "over_quota": (
        "the quota of account {account} had room for {room} requests, and it sent {demand_per_s} a"
        " second"
    ),
    "starting": "the instance did not know the configuration yet",
    "stopping": "the instance was about to stop",
}


def find_cause(story: Story) -> Cause:
    """Return why the request of a story ended as it did."""
    last = {line.event: line for line in story.events}
    if "refused" in last:
        return _refused(last["refused"])
    if "no_route" in last:
        fields = last["no_route"].fields
        text = "no route of configuration {config_version} takes {path} on {host}"
        return Cause(Kind.NO_ROUTE, text.format_map(_Known(fields)))
    if "key_refused" in last:
        return _without_account(last["key_refused"])
    if "answered" in last:
        return _answered(story, last["answered"])
    if story.events:
        return Cause(Kind.UNKNOWN, "the logs end before its answer")
    return Cause(Kind.UNKNOWN, "no log line names it")


def _refused(line: LogLine) -> Cause:
    reason = line.fields.get("reason", "")
    text = _REASONS.get(reason, reason).format_map(_Known(line.fields))
    return Cause(Kind.REFUSED, f"refused without having run: {text}")


def _without_account(line: LogLine) -> Cause:
    if line.fields.get("reason") == "missing":
        text = "it carries no API key, or more than one, and route {route} needs one"
    else:
        text = "no account of configuration {config_version} holds its API key"
    return Cause(Kind.NO_ACCOUNT, text.format_map(_Known(line.fields)))


def _answered(story: Story, line: LogLine) -> Cause:
    outcome = line.fields.get("outcome", "")
    failures = [event for event in story.events if event.event == "attempt_failed"]
    attempts = {e.fields.get("upstream"): e for e in story.events if e.event == "attempt"}
    upstream = failures[-1].fields.get("upstream", "") if failures else next(iter(attempts), "")
    match outcome:
        case "served":
            text = f"served after {line.fields.get('attempts')} attempts"
            return Cause(Kind.SERVED, text)
        case "failed":
            return _failed(story, upstream or "", attempts.get(upstream))
        case "broken":
            text = f"the connection to upstream {upstream} was lost after the request was sent"
            return Cause(Kind.CONNECTION_LOST, f"{text}: {line.fields.get('cause')}")
        case "timeout":
            return Cause(Kind.TIMEOUT, f"upstream {upstream} gave no answer in the route's time")
        case "client_left":
            return Cause(Kind.CLIENT_LEFT, "the client left before its answer")
    return Cause(Kind.UNKNOWN, f"outcome {outcome}")


def _failed(story: Story, upstream: str, attempt: LogLine | None) -> Cause:
    if attempt is not None and attempt.fields.get("trial") == "True":
        text = f"it was the trial of upstream {upstream}, which was doubted, and failed there"
        return Cause(Kind.TRIAL_FAILED, text)
    doubts = [line for line in story.background if line.fields.get("upstream") == upstream]
    known = f"; last word before: {doubts[-1]}" if doubts else "; nothing was held against it"
    return Cause(Kind.UPSTREAM_FAILED, f"upstream {upstream} failed the request{known}")


class _Known(dict[str, str]):
    """Fields for a sentence; one that the log does not have is shown as unknown."""

    def __missing__(self, key: str) -> str:
        return "unknown"
