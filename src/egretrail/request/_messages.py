"""Messages that forward an idempotent request to an instance that serves its service."""

from dataclasses import dataclass

from egretrail.request._answer import RecordedAnswer, Refusal
from egretrail.request._envelope import RequestEnvelope
from egretrail.wire import Message, message


@message("request-forward")
@dataclass(frozen=True, slots=True)
class ForwardRequest(Message):
    """Asks a member of the service's group to send a request to an upstream."""

    #: The request.
    request: RequestEnvelope


@message("request-answer")
@dataclass(frozen=True, slots=True)
class ForwardReply(Message):
    """The reply to a forwarded request."""

    #: The upstream's response or the member's refusal.
    answer: RecordedAnswer | Refusal
