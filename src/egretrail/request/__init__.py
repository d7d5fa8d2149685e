"""A client's request and its answer, in the form that instances send to each other."""

from egretrail.request._answer import Answer, Outcome, RecordedAnswer, Refusal, RefusalCause
from egretrail.request._envelope import RequestEnvelope, request_digest
from egretrail.request._messages import ForwardReply, ForwardRequest

__all__ = [
    "Answer",
    "ForwardReply",
    "ForwardRequest",
    "Outcome",
    "RecordedAnswer",
    "Refusal",
    "RefusalCause",
    "RequestEnvelope",
    "request_digest",
]
