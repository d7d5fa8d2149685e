"""Middlewares of ``aiohttp``'s client."""

import re

import aiohttp

#: The beginning of a status line (RFC 9112, section 4).
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")


class _ConnectionLostError(aiohttp.ClientError):
    """The connection was lost after the request may have been sent."""


class ResponseRunTogetherError(aiohttp.ClientError):
    """A response was read together with an earlier one that broke off in its head.

    Its status or fields may be those of the earlier response.
    """


async def never_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from resending a request after a lost connection.

    aiohttp sends PUT and DELETE again on another connection after such a loss. A request that must
    run once would run twice, and a conditional write that was applied would conflict with itself.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _ConnectionLostError from error


async def reject_run_together(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Raise ResponseRunTogetherError for a head with a status line inside; close its connection.

    aiohttp parses what arrives on a kept connection as one head until an empty line. After an extra
    response that breaks off, this is the rest of the next response, which thus gets its status.
    """
    response = await handler(request)
    pieces = [(response.reason or "").encode("utf-8", "surrogateescape")]
    for field in response.raw_headers:
        pieces.extend(field)
    if any(_STATUS_LINE.search(piece) for piece in pieces):
        response.close()
        raise ResponseRunTogetherError("a status line inside the head of a response")
    return response
