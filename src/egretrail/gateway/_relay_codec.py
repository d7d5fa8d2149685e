"""Messages between an instance that reaches no upstream and one that sends its requests on."""

import math
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from egretrail.cluster import (
    MALFORMED,
    MalformedMessage,
    decode_bytes,
    decode_count,
    decode_ratio,
    decode_text,
)
from egretrail.dispatch import PlacementQuery, Refusal, RefusalReason, RequestDigest
from egretrail.gateway._pending_request import AttemptRequest, AttemptResult, Disposition
from egretrail.http1 import ReceivedResponse, Request

#: Version of both messages; each side rejects others.
_VERSION = 1
#: Bounds of what a message states.
_TIME_MAX_S, _RESPONSE_BYTES_MAX, _DIGEST_MAX = 86_400.0, 1e12, 2**64 - 1
#: The id of a client's attempt is as long as the client's header.
_ID_MAX = 2**20


@dataclass(frozen=True, slots=True)
class RelayedAttempt:
    """One attempt of a request, for the instance that chooses the upstream and sends it."""

    #: The request.
    attempt: AttemptRequest
    #: What the choice of the upstream depends on.
    query: PlacementQuery


def encode_attempt(relayed: RelayedAttempt) -> bytes:
    """Encode an attempt; its times are relative to now."""
    attempt, query = relayed.attempt, relayed.query
    request = attempt.request
    row = [
        _VERSION,
        attempt.attempt_id,
        attempt.service,
        attempt.account,
        attempt.digest,
        request.method,
        request.target,
        [[name, value] for name, value in request.headers],
        request.body,
        query.remaining_s,
        query.objective_remaining_s,
        query.is_retryable,
        query.urgent_objective_s,
        query.response_bytes,
        query.spare_only,
        list(query.excluded),
    ]
    packed: bytes = msgpack.packb(row)
    return packed


def decode_attempt(data: bytes, received_s: float) -> Result[RelayedAttempt, MalformedMessage]:
    """Decode an attempt whose first byte was received at a time of the event loop's clock."""
    try:
        return Ok(_decode_attempt(msgpack.unpackb(data), received_s))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def _seconds(value: Any) -> float:
    """Return a time that may have passed already, from what can be no more than a day."""
    if not isinstance(value, int | float) or math.isnan(value):
        raise ValueError("no time")
    return min(max(float(value), -_TIME_MAX_S), _TIME_MAX_S)


def _decode_attempt(row: list[Any], received_s: float) -> RelayedAttempt:
    _check_version(row)
    headers = [(decode_bytes(name), decode_bytes(value)) for name, value in row[7]]
    request = Request(
        decode_bytes(row[5]), decode_bytes(row[6]), headers, decode_bytes(row[8]), received_s
    )
    query = PlacementQuery(
        service=decode_text(row[2]),
        remaining_s=_seconds(row[9]),
        objective_remaining_s=_seconds(row[10]),
        is_retryable=bool(row[11]),
        urgent_objective_s=None if row[12] is None else _seconds(row[12]),
        response_bytes=decode_ratio(row[13], _RESPONSE_BYTES_MAX),
        spare_only=bool(row[14]),
        excluded=[decode_text(upstream_id) for upstream_id in row[15]],
    )
    attempt = AttemptRequest(
        request=request,
        attempt_id=decode_text(row[1], _ID_MAX),
        service=query.service,
        account=None if row[3] is None else decode_text(row[3]),
        digest=RequestDigest(decode_count(row[4], _DIGEST_MAX)),
        deadline_s=received_s + query.remaining_s,
    )
    return RelayedAttempt(attempt, query)


def encode_result(result: AttemptResult) -> bytes:
    """Encode the result of an attempt."""
    refusal, received = result.refusal, result.received
    row = [
        _VERSION,
        result.disposition.value,
        result.cause,
        result.upstream_id,
        None if refusal is None else [refusal.reason.value, refusal.retry_after_s, refusal.wait_s],
        (
            None
            if received is None
            else [
                received.status,
                received.reason,
                [[name, value] for name, value in received.headers],
                received.body,
            ]
        ),
    ]
    packed: bytes = msgpack.packb(row)
    return packed


def decode_result(data: bytes) -> Result[AttemptResult, MalformedMessage]:
    """Decode the result of an attempt."""
    try:
        return Ok(_decode_result(msgpack.unpackb(data)))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def _decode_result(row: list[Any]) -> AttemptResult:
    _check_version(row)
    refusal = received = None
    if row[4] is not None:
        reason, retry_after_s, wait_s = row[4]
        refusal = Refusal(RefusalReason(reason), _seconds(retry_after_s), _seconds(wait_s))
    if row[5] is not None:
        status, reason, headers, body = row[5]
        fields = [(decode_bytes(name), decode_bytes(value)) for name, value in headers]
        received = ReceivedResponse(
            decode_count(status, 999), decode_bytes(reason), fields, decode_bytes(body)
        )
    return AttemptResult(Disposition(row[1]), received, str(row[2]), str(row[3]), refusal)


def _check_version(row: list[Any]) -> None:
    if row[0] != _VERSION:
        raise ValueError(f"unsupported version {row[0]!r}")
