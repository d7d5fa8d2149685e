"""HTTP/1.1 over asyncio: server connections with pipelining, and client connections.

Messages are parsed by ``httptools``, the parser of uvicorn. A whole ASGI server is not used: the
proxy has to distinguish reset from closed connections, skip responses that belong to other requests
and detect that a client disconnected. The parser alone takes 0.2 MB of memory; uvicorn and an HTTP
client library take 20 MB.
"""

from egretrail.http1._client import ClientConnection, ExchangeTrace, open_connection
from egretrail.http1._failures import (
    ConnectFailed,
    ExchangeBroken,
    ExchangeFailed,
    MalformedResponse,
)
from egretrail.http1._messages import (
    Headers,
    ReceivedResponse,
    Request,
    Response,
    encode_request,
    end_to_end_headers,
    header_value,
    header_values,
)
from egretrail.http1._response_reader import ResponseOwner
from egretrail.http1._server import BodyBudget, Handler, ServerConnection, ServerLimits

__all__ = [
    "BodyBudget",
    "ClientConnection",
    "ConnectFailed",
    "ExchangeBroken",
    "ExchangeFailed",
    "ExchangeTrace",
    "Handler",
    "Headers",
    "MalformedResponse",
    "ReceivedResponse",
    "Request",
    "Response",
    "ResponseOwner",
    "ServerConnection",
    "ServerLimits",
    "encode_request",
    "end_to_end_headers",
    "header_value",
    "header_values",
    "open_connection",
]
