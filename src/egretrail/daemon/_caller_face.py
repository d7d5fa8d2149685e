"""What callers speak to: the resolve question, and every other path as a proxied request.

Falcon answers the resolve question. Proxied requests are read and answered on the ASGI interface
itself: Falcon joins repeated header fields and adds a content type, and an upstream's answer has to
pass unchanged.
"""

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import falcon.asgi

from egretrail.daemon._requests import IncomingRequest, RequestPath
from egretrail.daemon._resolve import Resolver
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
_OWN_PREFIX = "/.well-known/egretrail/"
_KEY_HEADER = b"idempotency-key"
_CALLER_DIGEST_BYTES = 12

_BODY_TOO_LARGE = Problem("body-too-large", 413, "The request's body is larger than the limit")
_BAD_DEADLINE = Problem("bad-deadline", 400, f"{DEADLINE_HEADER} must be a positive number")
_REPEATED_KEY = Problem("key-invalid", 400, "A request has one Idempotency-Key")
_TOO_MANY = Problem("instance-full", 503, "The instance holds too many requests", retry_after_s=1)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class _CallerLeftError(Exception):
    """The caller closed its connection before its request was whole."""


class CallerFace:
    """The callers' ASGI application."""

    def __init__(
        self, settings: InstanceSettings, requests: RequestPath, resolver: Resolver
    ) -> None:
        self._requests = requests
        self._body_limit_bytes = settings.limits.request_body_size_bytes
        self._in_flight_limit = settings.limits.requests_in_flight
        self._identity_header = settings.callers.identity_header.lower().encode()
        #: What is in flight, for the log of a stop that has to cut it.
        self.in_flight: dict[int, str] = {}
        #: Set while the instance is leaving: answers ask callers to close their connection.
        self.leaving = False
        self._last_number = 0
        self._own: Any = falcon.asgi.App()
        self._own.add_route(RESOLVE_PATH, resolver)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["path"].startswith(_OWN_PREFIX):
            await self._own(scope, receive, send)
            return
        if len(self.in_flight) >= self._in_flight_limit:
            return await self._send_problem(send, _TOO_MANY)
        self._last_number += 1
        number = self._last_number
        self.in_flight[number] = f"{scope['method']} {scope['path']}"
        try:
            await self._serve(scope, receive, send)
        except _CallerLeftError:
            return
        finally:
            del self.in_flight[number]

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        fields: list[tuple[bytes, bytes]] = scope["headers"]
        body = await self._read_body(receive)
        deadline = _deadline_s(fields)
        keys = [value for name, value in fields if name == _KEY_HEADER]
        if body is None:
            return await self._send_problem(send, _BODY_TOO_LARGE, close=True)
        if isinstance(deadline, Problem):
            return await self._send_problem(send, deadline)
        if len(keys) > 1:
            return await self._send_problem(send, _REPEATED_KEY)
        incoming = IncomingRequest(
            method=scope["method"],
            target=_target(scope),
            host=_field(fields, b"host").decode("latin-1"),
            headers=tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in fields),
            body=body,
            caller_id=_caller_id(_field(fields, self._identity_header)),
            timeout_s=deadline,
            key=keys[0].decode("latin-1") if keys else None,
        )
        answer = await _until_disconnect(receive, self._requests.handle(incoming))
        if isinstance(answer, RecordedAnswer):
            return await self._pass_on(send, answer)
        problem = problem_from_refusal(answer) if isinstance(answer, Refusal) else answer
        await self._send_problem(send, problem)

    async def _read_body(self, receive: Receive) -> bytes | None:
        """Return the whole body, None when it is larger than the limit."""
        body = b""
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise _CallerLeftError
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

    async def _pass_on(self, send: Send, answer: RecordedAnswer) -> None:
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
        if close or self.leaving:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})


async def _until_disconnect(
    receive: Receive, handling: Awaitable[Answer | Problem]
) -> Answer | Problem:
    """Handle a request until it is answered or its caller has gone, which cancels it."""
    working = asyncio.ensure_future(handling)
    leaving = asyncio.ensure_future(_disconnected(receive))
    try:
        await asyncio.wait((working, leaving), return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            raise _CallerLeftError
        return working.result()
    finally:
        leaving.cancel()
        working.cancel()


async def _disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _deadline_s(fields: list[tuple[bytes, bytes]]) -> float | Problem | None:
    text = _field(fields, DEADLINE_HEADER.lower().encode())
    if not text:
        return None
    try:
        timeout_s = float(text)
    except ValueError:
        return _BAD_DEADLINE
    return timeout_s if 0 < timeout_s < float("inf") else _BAD_DEADLINE


def _field(fields: list[tuple[bytes, bytes]], wanted: bytes) -> bytes:
    return next((value for name, value in fields if name == wanted), b"")


def _target(scope: Scope) -> str:
    path: str = scope["raw_path"].decode("latin-1")
    query: str = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _caller_id(credential: bytes) -> CallerId:
    return CallerId(hashlib.blake2b(credential, digest_size=_CALLER_DIGEST_BYTES).hexdigest())
