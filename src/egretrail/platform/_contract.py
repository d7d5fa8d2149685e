"""HTTP header names, statuses and paths that the platform prescribes."""

import json
import math
import re
from collections.abc import Sequence
from urllib.parse import parse_qs

from result import Err, Ok, Result

from egretrail.gateway import (
    InvalidLimit,
    InvalidNotice,
    ReportedLoad,
    RequestContract,
    RequestMetadata,
    ResponseKind,
    UpstreamNotices,
)
from egretrail.http1 import (
    ReceivedResponse,
    Request,
    Response,
    ResponseOwner,
    end_to_end_headers,
    header_value,
    header_values,
)

_ATTEMPT_ID = b"x-egretrail-attempt-id"
#: The remaining time in milliseconds, counted from the arrival of the message; not a point in time.
_DEADLINE = b"x-egretrail-request-deadline"
#: Longer times that a client would wait count as this: routes end requests far sooner.
_WAIT_MAX_S = 86_400.0
#: The seal with which an upstream marks a complete response as its own.
_RESPONSE_SEAL = b"x-egretrail-response-seal"
_EXPECTED_INSTANCE = b"x-egretrail-expected-instance"
#: Comma-separated counts: running requests, queued requests, slots.
_BACKEND_LOAD = b"x-egretrail-backend-load"
#: Upstreams have no more requests than connections, whose ports have 16 bits.
_LOAD_MAX = 65_535
#: Numbers with more digits than any that a header may hold are not converted.
_DIGITS_MAX = 18
#: Requests per second, a decimal number, that the upstream accepts from all instances together.
_RATE_LIMIT = b"server-limit"
#: ``1`` in each response of an upstream that is draining.
_DRAINING = b"server-leaving"
_DRAINING_VALUE = b"1"
#: In a 503 of an upstream: seconds, a decimal number without sign or exponent.
_RETRY_AFTER = b"retry-after"
_SECONDS = re.compile(rb"[0-9]+(\.[0-9]+)?")
#: The value is the bare API key, without an authentication scheme.
_API_KEY = b"api-key"
#: The name of the client account, sent to upstreams; a value sent by a client is discarded.
_ACCOUNT = b"x-egretrail-tenant"
#: Longer keys belong to no account and are not hashed.
_API_KEY_BYTES_MAX = 512
#: Its presence, with any value, says that the request was not executed.
_NOT_EXECUTED = b"x-egretrail-not-executed"

#: Headers that the gateway sets anew, or that are meant for the gateway alone.
_REPLACED_REQUEST_HEADERS = frozenset(
    {_DEADLINE, _EXPECTED_INSTANCE, _API_KEY, _ACCOUNT, b"expect"}
)
_DROPPED_RESPONSE_HEADERS = frozenset({_BACKEND_LOAD, b"content-length"})

#: Statuses that guarantee to the client that the request was not executed and never will be.
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

_READY_PATH = b"/api/ready"
_DIRECTORY_PATH = b"/api/resolve"


class PlatformContract(RequestContract):
    """The HTTP contract between clients, gateways and upstreams on the platform."""

    def request_metadata(self, request: Request) -> RequestMetadata:
        """Return the attempt id, host, wait time and API key of a client's request."""
        stated = request.header(_DEADLINE)
        wait_ms = None if stated is None else _parse_count(stated)
        wait_s = None if wait_ms is None else min(wait_ms / 1000, _WAIT_MAX_S)
        return RequestMetadata(
            attempt_id=_decode_header(request.header(_ATTEMPT_ID)),
            host=_decode_header(request.header(b"host")),
            wait_s=wait_s,
            api_key=_api_key(request),
        )

    def upstream_headers(
        self, request: Request, upstream_name: str, left_s: float, account: str | None = None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request as it is sent to an upstream."""
        fields = [
            (name, value)
            for name, value in end_to_end_headers(request.headers)
            if name.lower() not in _REPLACED_REQUEST_HEADERS
        ]
        fields.append((_DEADLINE, b"%d" % max(int(left_s * 1000), 1)))
        fields.append((_EXPECTED_INSTANCE, upstream_name.encode()))
        if account is not None:
            fields.append((_ACCOUNT, account.encode()))
        return fields

    def response_owner(self, head: ReceivedResponse, attempt_id: str) -> ResponseOwner:
        """Return whether the head of a response belongs to a client attempt.

        Upstreams repeat the id, so a response without it, or with several that differ, does not
        tell whose it is. A request without an id gets a response without one.
        """
        stated = {_decode_header(value) for value in header_values(head.headers, _ATTEMPT_ID)}
        if len(stated) > 1 or (not stated and attempt_id):
            return ResponseOwner.UNKNOWN
        if not stated or attempt_id in stated:
            return ResponseOwner.THIS_REQUEST
        return ResponseOwner.ANOTHER_REQUEST

    def classify(self, response: ReceivedResponse) -> ResponseKind:
        """Classify an upstream's response."""
        if response.status == 421:
            return ResponseKind.WRONG_UPSTREAM
        if response.header(_NOT_EXECUTED) is not None:
            return ResponseKind.NOT_RUN
        if response.header(b"content-encoding") is not None:
            # Clients request no content encoding, so an encoded body is not the upstream's own.
            return ResponseKind.INVALID
        sealed = response.header(_RESPONSE_SEAL) is not None
        if response.status == 504:
            # An upstream stops work at the deadline that it was given.
            return ResponseKind.EXPIRED
        if response.status >= 500:
            return ResponseKind.FAILED
        if response.status < 300 and not sealed:
            return ResponseKind.INVALID
        if response.status in _NOT_EXECUTED_STATUSES:
            # Without the not-executed header the request may have been executed.
            return ResponseKind.FAILED
        return ResponseKind.SERVED

    def reported_load(self, response: ReceivedResponse) -> ReportedLoad | None:
        """Return the load that a response reports; None if it reports none or is malformed."""
        counts = [
            _parse_count(part) for part in (response.header(_BACKEND_LOAD) or b"").split(b",")
        ]
        match counts:
            case [int() as running, int() as waiting, int()] if max(running, waiting) <= _LOAD_MAX:
                return ReportedLoad(running, waiting)
            case _:
                return None

    def advertised_limit(self, response: ReceivedResponse) -> Result[float | None, InvalidLimit]:
        """Return the requests per second that the upstream accepts from all instances together.

        The result is None when the response states no limit.
        """
        stated = response.header(_RATE_LIMIT)
        if stated is None:
            return Ok(None)
        try:
            limit_per_s = float(stated)
        except ValueError:
            return Err(InvalidLimit(_decode_header(stated)))
        if not 0.0 <= limit_per_s < math.inf:
            return Err(InvalidLimit(_decode_header(stated)))
        return Ok(limit_per_s)

    def notices(self, head: ReceivedResponse) -> UpstreamNotices:
        """Return what the head of a response says about the upstream that sent it.

        A repeated header counts with its strongest value.
        """
        if head.status == 421:
            # Another upstream at the same address sent this response.
            return UpstreamNotices()
        draining = _list_values(head, _DRAINING)
        invalid = [
            _invalid_notice(_DRAINING, value) for value in draining if value != _DRAINING_VALUE
        ]
        backoffs_s: list[float] = []
        for value in _list_values(head, _RETRY_AFTER) if head.status == 503 else ():
            backoff_s = _parse_seconds(value)
            if backoff_s is None:
                invalid.append(_invalid_notice(_RETRY_AFTER, value))
            else:
                backoffs_s.append(backoff_s)
        return UpstreamNotices(_DRAINING_VALUE in draining, max(backoffs_s, default=None), invalid)

    def forwarded_response(self, received: ReceivedResponse) -> Response:
        """Return an upstream's response as it is passed to the client.

        Some statuses guarantee to the client that the request was not executed. Without the
        not-executed header the upstream does not guarantee this, so such a status becomes a 502
        without the upstream's seal.
        """
        if received.status in _NOT_EXECUTED_STATUSES:
            return Response(502)
        fields = [
            (name, value)
            for name, value in end_to_end_headers(received.headers)
            if name.lower() not in _DROPPED_RESPONSE_HEADERS
        ]
        length = header_value(received.headers, b"content-length")
        if length is not None and not received.body:
            # Kept for responses to HEAD, which have no body; the encoder drops it otherwise.
            fields.append((b"content-length", length))
        return Response(received.status, received.body, fields, received.reason)

    def not_run_response(self, retry_after_s: float, *, close: bool = False) -> Response:
        """Return the response that guarantees that a request was not executed and never will be."""
        return Response(503, headers=[(b"Retry-After", b"%.2f" % retry_after_s)], close=close)

    def over_quota_response(self, retry_after_s: float) -> Response:
        """Return the response to a request beyond the remaining quota; it is never executed."""
        return Response(429, headers=[(b"Retry-After", b"%.2f" % retry_after_s)])

    def directory_response(self, addresses: Sequence[str], ttl_s: float) -> Response:
        """Return the response to a client that asks which addresses to use."""
        # ``ttl`` is how long the client may cache the response; the value carries its unit.
        document = {"addresses": list(addresses), "ttl": f"{round(ttl_s * 1000)}ms"}
        body = json.dumps(document, separators=(",", ":")).encode()
        return Response(200, body, [(b"Content-Type", b"application/json")])

    def is_readiness_check(self, request: Request) -> bool:
        """Return whether a request is a readiness check."""
        return request.method == b"GET" and request.target.partition(b"?")[0] == _READY_PATH

    def directory_zone(self, request: Request) -> str | None:
        """Return the zone that a directory request names; None for any other request."""
        path, _, query = request.target.partition(b"?")
        if request.method != b"GET" or path != _DIRECTORY_PATH:
            return None
        zones = parse_qs(query.decode("latin-1")).get("zone", [""])
        return zones[0]


def _api_key(request: Request) -> bytes | None:
    """Return the API key of a request; None without a key or with several.

    With two keys it would be ambiguous which account the request belongs to.
    """
    stated = [value for name, value in request.headers if name.lower() == _API_KEY]
    if len(stated) != 1:
        return None
    key = stated[0].strip(b" \t")
    return key if 0 < len(key) <= _API_KEY_BYTES_MAX else None


def _list_values(head: ReceivedResponse, name: bytes) -> list[bytes]:
    """Return the values of a header that is repeated or contains a comma-separated list."""
    fields = header_values(head.headers, name)
    return [value.strip(b" \t") for field in fields for value in field.split(b",")]


def _parse_count(value: bytes) -> int | None:
    """Return a number of decimal digits, at most 10^18; None for anything else."""
    digits = value.strip()
    if not digits.isdigit():
        return None
    significant = digits.lstrip(b"0") or b"0"
    return int(significant) if len(significant) <= _DIGITS_MAX else 10**_DIGITS_MAX


def _parse_seconds(value: bytes) -> float | None:
    """Return a finite time from decimal digits; None for anything else."""
    seconds = float(value) if _SECONDS.fullmatch(value) else math.inf
    return seconds if seconds < math.inf else None


def _invalid_notice(name: bytes, value: bytes) -> InvalidNotice:
    return InvalidNotice(name.decode(), _decode_header(value))


def _decode_header(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()
