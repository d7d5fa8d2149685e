"""The clients' ASGI application: limits, invalid requests, responses forwarded unchanged."""

import asyncio
import json
from collections.abc import Mapping, MutableMapping, Sequence
from dataclasses import dataclass
from typing import Any, cast

from egretrail.daemon._client_app import ClientApp
from egretrail.daemon._request_handler import IncomingRequest, RequestHandler
from egretrail.request import Answer, Outcome, RecordedAnswer, Refusal, RefusalCause
from egretrail.settings import InstanceSettings, parse_instance_settings
from egretrail.testing import EgretrailTestCase, cases

_SETTINGS = """
fleet_key_file = "key"
[instance]
name = "entry-1"
availability_zone = "zone-a"
[caller_face]
host = "127.0.0.1"
port = 0
[peer_face]
host = "127.0.0.1"
port = 0
[operator_face]
host = "127.0.0.1"
port = 0
[platform]
store_url = "http://127.0.0.1:1"
instance_list_url = "http://127.0.0.1:1/v1/instances"
[limits]
request_body_size_bytes = 10
requests_in_flight = 1
"""
_RESPONSE = RecordedAnswer(
    201,
    (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"), ("Egretrail-Outcome", "not-run")),
    b"made",
)


class _FakeRequestHandler:
    """Returns the same response to every request and records the requests."""

    def __init__(self, response: Answer) -> None:
        self.response = response
        self.received: list[IncomingRequest] = []

    async def handle(self, incoming: IncomingRequest) -> Answer:
        self.received.append(incoming)
        return self.response


@dataclass(frozen=True, slots=True)
class _SentResponse:
    status: int
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


def _settings() -> InstanceSettings:
    return parse_instance_settings(_SETTINGS, "test").unwrap()


def _client_app(requests: _FakeRequestHandler) -> ClientApp:
    return ClientApp(_settings(), cast(RequestHandler, requests), cast(Any, object()))


async def _call(
    app: ClientApp, headers: Mapping[str, str], chunks: Sequence[bytes] = (b"",)
) -> _SentResponse:
    events = [{"type": "http.request", "body": chunk, "more_body": True} for chunk in chunks]
    events[-1]["more_body"] = False
    sent: list[MutableMapping[str, Any]] = []

    async def receive() -> MutableMapping[str, Any]:
        if events:
            return events.pop(0)
        return await asyncio.Event().wait()  # type: ignore[return-value]

    async def send(event: MutableMapping[str, Any]) -> None:
        sent.append(event)

    scope = {
        "type": "http",
        "method": "POST",
        "path": "/a/b",
        "raw_path": b"/a%2Fb",
        "query_string": b"x=%20",
        "headers": [(name.lower().encode(), value.encode()) for name, value in headers.items()],
    }
    await app(scope, receive, send)
    return _SentResponse(sent[0]["status"], sent[0]["headers"], sent[1]["body"])


class ClientAppTest(EgretrailTestCase):
    def test_target_body_and_repeated_headers_are_forwarded_unchanged(self) -> None:
        requests = _FakeRequestHandler(_RESPONSE)
        sent = self.run_paused(_call(_client_app(requests), {"Host": "shop"}, (b"on", b"e")))
        received = requests.received[0]
        self.assertEqual(
            ("/a%2Fb?x=%20", b"one", "shop"), (received.target, received.body, received.host)
        )
        cookies = [value for name, value in sent.headers if name == b"set-cookie"]
        self.assertEqual((201, b"made", [b"a=1", b"b=2"]), (sent.status, sent.body, cookies))

    def test_outcome_header_of_an_upstream_is_removed(self) -> None:
        sent = self.run_paused(_call(_client_app(_FakeRequestHandler(_RESPONSE)), {}))
        self.assertNotIn(b"egretrail-outcome", [name for name, _ in sent.headers])

    @cases(
        {
            "body_too_large": ({}, (b"x" * 6, b"x" * 6), 413),
            "deadline_is_no_number": ({"Egretrail-Timeout-S": "soon"}, (b"",), 400),
            "deadline_is_negative": ({"Egretrail-Timeout-S": "-1"}, (b"",), 400),
            "deadline_is_infinite": ({"Egretrail-Timeout-S": "inf"}, (b"",), 400),
        }
    )
    def test_invalid_requests_are_refused_and_not_run(
        self, row: tuple[Mapping[str, str], Sequence[bytes], int]
    ) -> None:
        headers, chunks, status = row
        requests = _FakeRequestHandler(_RESPONSE)
        sent = self.run_paused(_call(_client_app(requests), headers, chunks))
        self.assertEqual((status, []), (sent.status, requests.received))
        self.assertEqual("not-run", json.loads(sent.body)["outcome"])

    def test_refusal_is_a_problem_with_outcome_and_retry_after(self) -> None:
        refusal = Refusal(Outcome.UNKNOWN, RefusalCause.UPSTREAM_LOST, 1.2)
        sent = self.run_paused(_call(_client_app(_FakeRequestHandler(refusal)), {}))
        fields = dict(sent.headers)
        self.assertEqual((502, b"unknown"), (sent.status, fields[b"egretrail-outcome"]))
        self.assertEqual(b"2", fields[b"retry-after"])
        self.assertEqual("urn:egretrail:problem:upstream-lost", json.loads(sent.body)["type"])
