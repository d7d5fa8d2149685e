"""Requests as the platform's clients send them, for tests of other packages."""

import asyncio
from collections.abc import Mapping

from egretrail.http1 import Request


def client_request(
    host: str, method: bytes, target: bytes, attempt: str = "a1", *, api_key: bytes | None = None
) -> Request:
    """Return the request of a client attempt with a deadline of two seconds."""
    headers = [
        (b"Host", host.encode()),
        (b"X-Egretrail-Attempt-Id", attempt.encode()),
        (b"X-Egretrail-Request-Deadline", b"2000"),
    ]
    if api_key is not None:
        headers.append((b"Api-Key", api_key))
    return Request(method, target, headers, b"", asyncio.get_running_loop().time())


def forwarded_account(headers: Mapping[str, str]) -> str | None:
    """Return the client account in headers sent to an upstream; header names are in lower case."""
    return headers.get("x-egretrail-tenant")


def has_api_key(headers: Mapping[str, str]) -> bool:
    """Return whether headers sent to an upstream contain an API key."""
    return "api-key" in headers
