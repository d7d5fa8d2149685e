"""Responses of the fleet itself as RFC 9457 problem details with a machine-readable outcome."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from egretrail.request import Outcome, Refusal, RefusalCause

OUTCOME_HEADER = "Egretrail-Outcome"
PROBLEM_CONTENT_TYPE = "application/problem+json"


@dataclass(frozen=True, slots=True)
class Problem:
    """One error response of the fleet itself."""

    #: The problem type: the last part of its URN.
    name: str
    #: The HTTP status.
    status: int
    #: One sentence that is the same for all problems of the type.
    title: str
    #: What is known about whether the request ran.
    outcome: Outcome = Outcome.NOT_RUN
    #: An explanation specific to this occurrence.
    detail: str = ""
    #: Delay after which a retry makes sense; None if it does not.
    retry_after_s: float | None = None

    def document(self) -> dict[str, object]:
        """Return the problem's JSON document."""
        document: dict[str, object] = {
            "type": f"urn:egretrail:problem:{self.name}",
            "title": self.title,
            "status": self.status,
            "outcome": self.outcome.value,
        }
        if self.detail:
            document["detail"] = self.detail
        if self.retry_after_s is not None:
            document["retry_after_s"] = round(self.retry_after_s, 3)
        return document

    def headers(self) -> dict[str, str]:
        """Return the problem's header fields."""
        headers = {OUTCOME_HEADER: self.outcome.value}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, math.ceil(self.retry_after_s)))
        return headers


#: HTTP status and title for each refusal cause.
_REFUSALS: Mapping[RefusalCause, tuple[int, str]] = {
    RefusalCause.QUEUE_FULL: (503, "The service has more work than it can take"),
    RefusalCause.DEADLINE: (504, "The request cannot be answered within its deadline"),
    RefusalCause.NO_UPSTREAM: (503, "No upstream of the service takes work"),
    RefusalCause.UPSTREAMS_DECLINED: (503, "The upstreams that were tried took no work"),
    RefusalCause.UPSTREAM_LOST: (502, "The upstream was lost while it had the request"),
    RefusalCause.ANSWER_INVALID: (502, "The upstream's answer was not a whole answer"),
    RefusalCause.ANSWER_TOO_LARGE: (502, "The upstream's answer is larger than the limit"),
    RefusalCause.SUSPECT_REQUEST: (422, "Upstreams were lost with this request"),
    RefusalCause.NOT_READY: (503, "The instance has to catch up with the settings first"),
    RefusalCause.STOPPING: (503, "The instance is stopping"),
    RefusalCause.GROUP_UNREACHABLE: (503, "The instances that serve the service are unreachable"),
    RefusalCause.INSTANCE_FULL: (503, "The instance holds as many requests as it may"),
    RefusalCause.KEY_INVALID: (400, "The idempotency key is not one that this fleet issued"),
    RefusalCause.KEY_REUSED: (422, "The idempotency key belongs to another request"),
    RefusalCause.KEY_SEALED: (409, "The idempotency key was refused before, for good"),
    RefusalCause.KEY_EXPIRED: (410, "The idempotency key is no longer accepted"),
    RefusalCause.WITNESS_UNREACHABLE: (503, "The key's witness is unreachable"),
    RefusalCause.HOME_UNREACHABLE: (504, "The instance that may have run the key is unreachable"),
    RefusalCause.RECORD_LOST: (504, "The processes that knew the key have ended"),
    RefusalCause.ANSWER_DROPPED: (410, "The work was done; its answer is no longer held"),
}


def problem_from_refusal(refusal: Refusal) -> Problem:
    """Return the problem that reports a refusal to the client."""
    status, title = _REFUSALS[refusal.cause]
    return Problem(
        name=refusal.cause.value,
        status=status,
        title=title,
        outcome=refusal.outcome,
        retry_after_s=refusal.retry_after_s,
    )
