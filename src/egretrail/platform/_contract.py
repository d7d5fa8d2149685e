"""The header names, statuses and paths that the platform prescribes."""

import json
import math
from collections.abc import Sequence
from urllib.parse import parse_qs

from result import Err, Ok, Result

from egretrail.gateway import (
    AnswerKind,
    CallerTerms,
    InvalidLimit,
    ReportedLoad,
    RequestContract,
)
from egretrail.http1 import Answer, ReceivedAnswer, Request, end_to_end, header_value

_ATTEMPT_ID = b"x-egretrail-attempt-id"
#: Milliseconds that are left, from the arrival of the message that carries it; not a moment.
_DEADLINE = b"x-egretrail-request-deadline"
#: Proves that a whole answer is an upstream's.
_SEAL = b"x-egretrail-response-seal"
_EXPECTED_INSTANCE = b"x-egretrail-expected-instance"
#: Running, waiting, slots.
_LOAD = b"x-egretrail-backend-load"
#: Requests a second that the upstream takes from all instances together, a decimal number.
_LIMIT = b"server-limit"
#: The API key, and nothing besides: no scheme stands before it.
_API_KEY = b"api-key"
#: The name of the client account, for upstreams; clients have no say in it.
_ACCOUNT = b"x-egretrail-tenant"
#: Longer keys are nobody's and are not hashed.
_API_KEY_BYTES_MAX = 512
#: Its presence says that the request was not run, whatever its value.
_NOT_EXECUTED = b"x-egretrail-not-executed"

#: Set by a gateway anew, or for the gateway alone.
_OWN_REQUEST_FIELDS = frozenset({_DEADLINE, _EXPECTED_INSTANCE, _API_KEY, _ACCOUNT, b"expect"})
_OWN_ANSWER_FIELDS = frozenset({_LOAD, b"content-length"})

#: Statuses that promise to the client that the request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})

_READY_PATH = b"/api/ready"
_DIRECTORY_PATH = b"/api/resolve"


class PlatformContract(RequestContract):
    """The contract between callers, gateways and upstreams on the platform."""

    def caller_terms(self, request: Request) -> CallerTerms:
        """Read what a client's request says."""
        stated = request.value(_DEADLINE)
        wait_s = None
        if stated is not None and stated.strip().isdigit():
            wait_s = int(stated) / 1000
        return CallerTerms(
            attempt_id=_text(request.value(_ATTEMPT_ID)),
            host=_text(request.value(b"host")),
            wait_s=wait_s,
            api_key=_api_key(request),
        )

    def upstream_headers(
        self, request: Request, upstream_name: str, left_s: float, account: str | None = None
    ) -> list[tuple[bytes, bytes]]:
        """Return the fields of the request as it is sent to an upstream."""
        fields = [
            (name, value)
            for name, value in end_to_end(request.headers)
            if name.lower() not in _OWN_REQUEST_FIELDS
        ]
        fields.append((_DEADLINE, b"%d" % max(int(left_s * 1000), 1)))
        fields.append((_EXPECTED_INSTANCE, upstream_name.encode()))
        if account is not None:
            fields.append((_ACCOUNT, account.encode()))
        return fields

    def belongs(self, answer: ReceivedAnswer, attempt_id: str) -> bool:
        """Return whether an answer belongs to a client attempt; one without an id may."""
        stated = answer.value(_ATTEMPT_ID)
        return stated is None or _text(stated) == attempt_id

    def kind(self, answer: ReceivedAnswer) -> AnswerKind:
        """Return what an upstream's answer says."""
        if answer.status == 421:
            return AnswerKind.WRONG_UPSTREAM
        if answer.value(_NOT_EXECUTED) is not None:
            return AnswerKind.NOT_RUN
        if answer.value(b"content-encoding") is not None:
            # Clients ask for no encoding, so that these are not the upstream's bytes.
            return AnswerKind.INVALID
        sealed = answer.value(_SEAL) is not None
        if answer.status == 504:
            # A backend stops work at the time that it was given.
            return AnswerKind.EXPIRED
        if answer.status >= 500:
            return AnswerKind.FAILED
        if answer.status < 300 and not sealed:
            return AnswerKind.INVALID
        if answer.status in _PROMISES:
            # Without the mark the request may have run.
            return AnswerKind.FAILED
        return AnswerKind.SERVED

    def reported_load(self, answer: ReceivedAnswer) -> ReportedLoad | None:
        """Return the load that an answer states."""
        parts = (answer.value(_LOAD) or b"").split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return None
        return ReportedLoad(running=int(parts[0]), waiting=int(parts[1]))

    def named_limit(self, answer: ReceivedAnswer) -> Result[float | None, InvalidLimit]:
        """Return how many requests a second its upstream takes from all instances together."""
        stated = answer.value(_LIMIT)
        if stated is None:
            return Ok(None)
        try:
            limit_per_s = float(stated)
        except ValueError:
            return Err(InvalidLimit(_text(stated)))
        if not 0.0 <= limit_per_s < math.inf:
            return Err(InvalidLimit(_text(stated)))
        return Ok(limit_per_s)

    def answer(self, received: ReceivedAnswer) -> Answer:
        """Return an upstream's answer as it is passed to the client.

        A status that would promise that the request has not run, from an upstream that does not
        say so, becomes a failure without the upstream's seal.
        """
        if received.status in _PROMISES:
            return Answer(502)
        fields = [
            (name, value)
            for name, value in end_to_end(received.headers)
            if name.lower() not in _OWN_ANSWER_FIELDS
        ]
        length = header_value(received.headers, b"content-length")
        if length is not None and not received.body:
            # Kept for answers without a body to HEAD; encoders drop it elsewhere.
            fields.append((b"content-length", length))
        return Answer(received.status, received.body, fields, received.reason)

    def not_run(self, retry_after_s: float, *, close: bool = False) -> Answer:
        """Return the answer that promises that a request has not run and never will."""
        return Answer(503, headers=[(b"Retry-After", b"%.2f" % retry_after_s)], close=close)

    def over_quota(self, retry_after_s: float) -> Answer:
        """Return the answer to a request that its quota has no room for; it never runs."""
        return Answer(429, headers=[(b"Retry-After", b"%.2f" % retry_after_s)])

    def directory_answer(self, addresses: Sequence[str], ttl_s: float) -> Answer:
        """Return the answer to a client that asks which addresses to use."""
        # ``ttl`` is how long the client keeps the answer, with its unit.
        document = {"addresses": list(addresses), "ttl": f"{round(ttl_s * 1000)}ms"}
        body = json.dumps(document, separators=(",", ":")).encode()
        return Answer(200, body, [(b"Content-Type", b"application/json")])

    def is_ready_question(self, request: Request) -> bool:
        """Return whether a request asks if the instance is ready."""
        return request.method == b"GET" and request.target.partition(b"?")[0] == _READY_PATH

    def directory_zone(self, request: Request) -> str | None:
        """Return the zone of a client that asks for addresses; None for another request."""
        path, _, query = request.target.partition(b"?")
        if request.method != b"GET" or path != _DIRECTORY_PATH:
            return None
        zones = parse_qs(query.decode("latin-1")).get("zone", [""])
        return zones[0]


def _api_key(request: Request) -> bytes | None:
    """Return the one API key of a request; two fields would leave it open whose request it is."""
    stated = [value for name, value in request.headers if name.lower() == _API_KEY]
    if len(stated) != 1:
        return None
    key = stated[0].strip(b" \t")
    return key if 0 < len(key) <= _API_KEY_BYTES_MAX else None


def _text(value: bytes | None) -> str:
    return "" if value is None else value.decode("latin-1").strip()
