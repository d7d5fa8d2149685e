"""Sends one request to one upstream and classifies the outcome.

A response is forwarded only if it is known to be complete and to belong to this request. It must
be delimited by its length or by chunks, and either its connection carried no earlier request or the
upstream echoes the request's id.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from types import SimpleNamespace

import aiohttp
import yarl
from multidict import CIMultiDict

from egretrail.client_http import ResponseRunTogetherError, never_resend, reject_run_together
from egretrail.store import Endpoint
from egretrail.upstream import AttemptOutcome

#: Connection-specific header fields (RFC 9110, section 7.6.1), which are never forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
#: Response header in which an upstream states that it did not run a request: ``shed`` or
#: ``draining``.
STATE_HEADER = "X-Upstream-State"
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "Egretrail-Timeout-S"

_AUTOMATIC = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_STATE_OUTCOMES: Mapping[str, AttemptOutcome] = {
    "shed": AttemptOutcome.SHED,
    "draining": AttemptOutcome.DRAINING,
}


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream."""

    #: The method and the raw target (path and query) as the client sent them.
    method: str
    target: str
    #: The client's header fields.
    headers: Sequence[tuple[str, str]]
    #: The whole body.
    body: bytes
    #: Sent to the upstream, which may echo it.
    request_id: str
    #: A response header that must echo the request id; empty if this is not checked.
    echo_header: str
    #: Whether the connection may have carried earlier requests.
    may_reuse_connection: bool


@dataclass(frozen=True, slots=True)
class UpstreamResult:
    """The outcome of one attempt."""

    #: The outcome. The other fields describe the response; they are empty unless it was read.
    outcome: AttemptOutcome
    #: The response's status; 0 if there is no response.
    status: int = 0
    #: The response's header fields, without connection-specific ones.
    headers: tuple[tuple[str, str], ...] = ()
    #: The response's whole body.
    body: bytes = b""
    #: Whether the response exceeded the size limit and was not read; the upstream ran the request.
    too_large: bool = False

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the upstream certainly did not run the request."""
        return self.outcome in (
            AttemptOutcome.REFUSED,
            AttemptOutcome.SHED,
            AttemptOutcome.DRAINING,
        )


_TOO_LARGE = UpstreamResult(AttemptOutcome.ANSWERED, too_large=True)


class _SendState:
    """Records whether the request's first byte may have been sent."""

    __slots__ = ("sent",)

    def __init__(self) -> None:
        self.sent = False


class UpstreamClient:
    """HTTP client for upstreams that follows no redirects, uses no proxies or cookies, and does not
    decompress responses.
    """

    def __init__(self, answer_limit_bytes: int, connect_timeout_s: float = 1.0) -> None:
        self._answer_limit_bytes = answer_limit_bytes
        self._connect_timeout_s = connect_timeout_s
        self._unpooled = self._session(force_close=True)
        self._pooled = self._session(force_close=False)

    async def stop(self) -> None:
        """Close every connection."""
        await self._unpooled.close()
        await self._pooled.close()

    async def attempt(
        self, endpoint: Endpoint, request: UpstreamRequest, timeout_s: float
    ) -> UpstreamResult:
        """Send a request once. Cancelling closes the connection, which cancels the upstream's work.

        A connection is reused only if the upstream echoes request ids. Otherwise surplus bytes of
        an earlier response could be taken for this request's response.
        """
        reuse = request.may_reuse_connection and bool(request.echo_header)
        session = self._pooled if reuse else self._unpooled
        sent = _SendState()
        timeout = aiohttp.ClientTimeout(
            total=timeout_s,
            sock_connect=min(timeout_s, self._connect_timeout_s),
            ceil_threshold=1e9,
        )
        url = yarl.URL(f"http://{endpoint.host}:{endpoint.port}{request.target}", encoded=True)
        try:
            async with session.request(
                request.method,
                url,
                data=request.body if request.body else None,
                headers=_outgoing_headers(request, timeout_s),
                allow_redirects=False,
                timeout=timeout,
                trace_request_ctx=sent,
            ) as response:
                return await self._read(request, response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return UpstreamResult(AttemptOutcome.REFUSED)
        except TimeoutError:
            outcome = AttemptOutcome.TIMED_OUT if sent.sent else AttemptOutcome.REFUSED
            return UpstreamResult(outcome)
        except ResponseRunTogetherError:
            return UpstreamResult(AttemptOutcome.CROSSED)
        except aiohttp.ClientPayloadError:
            return UpstreamResult(AttemptOutcome.TRUNCATED)
        except (aiohttp.ClientError, OSError, ValueError):
            outcome = AttemptOutcome.LOST if sent.sent else AttemptOutcome.REFUSED
            return UpstreamResult(outcome)

    async def _read(
        self, request: UpstreamRequest, response: aiohttp.ClientResponse
    ) -> UpstreamResult:
        if not _is_delimited(request, response):
            response.close()
            return UpstreamResult(AttemptOutcome.TRUNCATED)
        if (response.content_length or 0) > self._answer_limit_bytes and request.method != "HEAD":
            response.close()
            return _TOO_LARGE
        body = bytearray()
        async for chunk in response.content.iter_any():
            body += chunk
            if len(body) > self._answer_limit_bytes:
                response.close()
                return _TOO_LARGE
        if request.echo_header and response.headers.get(request.echo_header) != request.request_id:
            response.close()
            return UpstreamResult(AttemptOutcome.CROSSED)
        state = response.headers.get(STATE_HEADER, "") if response.status == 503 else ""
        outcome = _STATE_OUTCOMES.get(state)
        if outcome is None:
            outcome = AttemptOutcome.FAILED if response.status >= 500 else AttemptOutcome.ANSWERED
        headers = end_to_end_headers(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.raw_headers
        )
        return UpstreamResult(outcome, response.status, tuple(headers), bytes(body))

    def _session(self, force_close: bool) -> aiohttp.ClientSession:
        tracing = aiohttp.TraceConfig()
        tracing.on_request_headers_sent.append(_record_sent)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_AUTOMATIC,
            trace_configs=[tracing],
            middlewares=(never_resend, reject_run_together),
        )


async def _record_sent(
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _params: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    context.trace_request_ctx.sent = True


def end_to_end_headers(pairs: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the header fields without connection-specific ones, which are not forwarded."""
    fields = list(pairs)
    connection_options = {
        option.strip().lower()
        for name, value in fields
        if name.lower() == "connection"
        for option in value.split(",")
    }
    return [
        (name, value)
        for name, value in fields
        if name.lower() not in HOP_BY_HOP and name.lower() not in connection_options
    ]


def _outgoing_headers(request: UpstreamRequest, timeout_s: float) -> CIMultiDict[str]:
    headers: CIMultiDict[str] = CIMultiDict()
    for name, value in end_to_end_headers(request.headers):
        if name.lower() not in ("content-length", REQUEST_ID_HEADER.lower()):
            headers.add(name, value)
    headers[DEADLINE_HEADER] = f"{timeout_s:.3f}"
    headers[REQUEST_ID_HEADER] = request.request_id
    return headers


def _is_delimited(request: UpstreamRequest, response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncated response can be distinguished from a complete one.

    A response that is delimited by the end of its connection is refused, because a truncation of it
    cannot be detected.
    """
    if request.method == "HEAD" or response.status in (204, 304):
        return True
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers
