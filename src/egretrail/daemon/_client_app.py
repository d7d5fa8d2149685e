"""The ASGI application for clients: the resolve endpoint; all other paths are proxied.

Falcon serves the resolve endpoint. Proxied requests use the ASGI interface directly, because Falcon
joins repeated header fields and adds a content type, while an upstream's response has to be
forwarded unchanged.
"""

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import falcon.asgi

from egretrail.daemon._request_handler import IncomingRequest, RequestHandler
from egretrail.daemon._resolver import Resolver
from egretrail.identity import CallerId
from egretrail.request import Answer, RecordedAnswer, Refusal
from egretrail.runtime import (
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    PROBLEM_CONTENT_TYPE,
    Problem,
    problem_from_refusal,
)
from egretrail.settings import InstanceSettings

RESOLVE_PATH = "/.well-known/egretrail/resolve"
_RESERVED_PREFIX = "/.well-known/egretrail/"
_IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
_CLIENT_DIGEST_BYTES = 12

_BODY_TOO_LARGE = Problem("body-too-large", 413, "The request's body is larger than the limit")
_BAD_DEADLINE = Problem("bad-deadline", 400, f"{DEADLINE_HEADER} must be a positive number")
_DUPLICATE_KEY = Problem("key-invalid", 400, "A request has one Idempotency-Key")
_TOO_MANY_IN_FLIGHT = Problem(
    "instance-full", 503, "The instance holds too many requests", retry_after_s=1
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class _ClientDisconnectedError(Exception):
    """The client closed its connection before its request was read or answered."""


class ClientApp:
    """The ASGI application that clients connect to."""

    def __init__(
        self, settings: InstanceSettings, requests: RequestHandler, resolver: Resolver
    ) -> None:
        self._requests = requests
        self._body_limit_bytes = settings.limits.request_body_size_bytes
        self._in_flight_limit = settings.limits.requests_in_flight
        self._identity_header = settings.callers.identity_header.lower().encode()
        #: Method and path of each request in flight, logged when a stop has to abort them.
        self.in_flight: dict[int, str] = {}
        #: Set while the instance shuts down: responses ask clients to close their connections.
        self.is_shutting_down = False
        self._last_request_number = 0
        self._reserved_app: Any = falcon.asgi.App()
        self._reserved_app.add_route(RESOLVE_PATH, resolver)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI request."""
        if scope["path"].startswith(_RESERVED_PREFIX):
            await self._reserved_app(scope, receive, send)
            return
        if len(self.in_flight) >= self._in_flight_limit:
            return await self._send_problem(send, _TOO_MANY_IN_FLIGHT)
        self._last_request_number += 1
        number = self._last_request_number
        self.in_flight[number] = f"{scope['method']} {scope['path']}"
        try:
            await self._serve(scope, receive, send)
        except _ClientDisconnectedError:
            return
        finally:
            del self.in_flight[number]

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers: list[tuple[bytes, bytes]] = scope["headers"]
        body = await self._read_body(receive)
        timeout_s = _parse_timeout(headers)
        keys = [value for name, value in headers if name == _IDEMPOTENCY_KEY_HEADER]
        if body is None:
            return await self._send_problem(send, _BODY_TOO_LARGE, close=True)
        if isinstance(timeout_s, Problem):
            return await self._send_problem(send, timeout_s)
        if len(keys) > 1:
            return await self._send_problem(send, _DUPLICATE_KEY)
        incoming = IncomingRequest(
            method=scope["method"],
            target=_target(scope),
            host=_header_value(headers, b"host").decode("latin-1"),
            headers=tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in headers),
            body=body,
            caller_id=_digest_credential(_header_value(headers, self._identity_header)),
            timeout_s=timeout_s,
            key=keys[0].decode("latin-1") if keys else None,
        )
        answer = await _until_disconnect(receive, self._requests.handle(incoming))
        if isinstance(answer, RecordedAnswer):
            return await self._forward_response(send, answer)
        problem = problem_from_refusal(answer) if isinstance(answer, Refusal) else answer
        await self._send_problem(send, problem)

    async def _read_body(self, receive: Receive) -> bytes | None:
        """Return the complete body, or None if it exceeds the limit."""
        body = b""
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise _ClientDisconnectedError
            body += bytes(event.get("body", b""))
            if len(body) > self._body_limit_bytes:
                return None
            if not event.get("more_body", False):
                return body

    async def _send_problem(self, send: Send, problem: Problem, close: bool = False) -> None:
        body = json.dumps(problem.document()).encode()
        headers = [(n.lower().encode(), v.encode()) for n, v in problem.headers().items()]
        headers.append((b"content-type", PROBLEM_CONTENT_TYPE.encode()))
        headers.append((b"content-length", str(len(body)).encode()))
        await self._send(send, problem.status, headers, body, close)

    async def _forward_response(self, send: Send, answer: RecordedAnswer) -> None:
        headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
            if name.lower() != OUTCOME_HEADER.lower()
        ]
        if all(name != b"content-length" for name, _ in headers) and answer.body:
            headers.append((b"content-length", str(len(answer.body)).encode()))
        await self._send(send, answer.status, headers, answer.body, close=False)

    async def _send(
        self,
        send: Send,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        close: bool,
    ) -> None:
        if close or self.is_shutting_down:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})


async def _until_disconnect(
    receive: Receive, handling: Awaitable[Answer | Problem]
) -> Answer | Problem:
    """Await the handling of a request; cancel it when the client disconnects."""
    handler = asyncio.ensure_future(handling)
    disconnect = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait((handler, disconnect), return_when=asyncio.FIRST_COMPLETED)
        if not handler.done():
            raise _ClientDisconnectedError
        return handler.result()
    finally:
        disconnect.cancel()
        handler.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _parse_timeout(headers: list[tuple[bytes, bytes]]) -> float | Problem | None:
    text = _header_value(headers, DEADLINE_HEADER.lower().encode())
    if not text:
        return None
    try:
        timeout_s = float(text)
    except ValueError:
        return _BAD_DEADLINE
    return timeout_s if 0 < timeout_s < float("inf") else _BAD_DEADLINE


def _header_value(headers: list[tuple[bytes, bytes]], wanted: bytes) -> bytes:
    return next((value for name, value in headers if name == wanted), b"")


def _target(scope: Scope) -> str:
    path: str = scope["raw_path"].decode("latin-1")
    query: str = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _digest_credential(credential: bytes) -> CallerId:
    return CallerId(hashlib.blake2b(credential, digest_size=_CLIENT_DIGEST_BYTES).hexdigest())
