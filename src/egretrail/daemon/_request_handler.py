"""Handles a client's request: route, then the key's home or the group, then an upstream."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok

from egretrail.daemon._accounting import Accounting
from egretrail.daemon._interfaces import LocalExecution, Routing
from egretrail.fleet import FleetView, Member
from egretrail.identity import CallerId, Incarnation
from egretrail.peer import PeerNetwork
from egretrail.request import (
    Answer,
    ForwardReply,
    ForwardRequest,
    Outcome,
    Refusal,
    RefusalCause,
    RequestEnvelope,
)
from egretrail.runtime import KeyedExecutor, Problem
from egretrail.settings import RouteSettings
from egretrail.wire import Message

_NO_ROUTE = Problem("no-route", 404, "No route matches the request")
_KEY_REQUIRED = Problem(
    "key-needed", 428, "A request that is not idempotent needs an Idempotency-Key"
)
#: After a pause of its process an instance may hold settings that have been replaced. Serving
#: requests by them would put a replaced configuration back into force here.
_NOT_READY = Refusal(Outcome.NOT_RUN, RefusalCause.NOT_READY, retry_after_s=1.0)
#: The route of a forwarded request is not known to this instance yet.
_UNKNOWN_ROUTE = Refusal(Outcome.NOT_RUN, RefusalCause.NO_UPSTREAM, retry_after_s=1.0)
#: Number of group members that an idempotent request is forwarded to in turn. A second attempt
#: covers a member that has just gone; a third would only add load while the group is unreachable.
_MAX_FORWARD_ATTEMPTS = 2


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A complete request from a client."""

    method: str
    #: Path and query, percent-encoded as received.
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Digest of the client's credential.
    caller_id: CallerId
    #: The client's timeout in seconds; None if the route's applies.
    timeout_s: float | None
    #: The Idempotency-Key; None if the request has none.
    key: str | None


class RequestHandler:
    """Dispatches each request by its route and its idempotency key."""

    def __init__(
        self,
        routing: Routing,
        view: FleetView,
        network: PeerNetwork,
        keyed: KeyedExecutor,
        local: LocalExecution,
        accounting: Accounting,
    ) -> None:
        self._routing = routing
        self._view = view
        self._peers = network
        self._keyed = keyed
        self._local = local
        self._accounting = accounting
        network.on(ForwardRequest, self._handle_forwarded)

    async def handle(self, incoming: IncomingRequest) -> Answer | Problem:
        """Return the response to one request of a client, or the problem that prevents it."""
        if not self._routing.caught_up:
            return _NOT_READY
        path = incoming.target.partition("?")[0]
        lookup = self._routing.match(incoming.host, path, incoming.method)
        if isinstance(lookup, Err):
            return Problem("unsafe-path", 400, "The path is not safe", detail=str(lookup.err_value))
        matched = lookup.ok_value
        if matched is None:
            return _NO_ROUTE
        settings = matched.settings
        envelope = RequestEnvelope(
            method=incoming.method,
            target=incoming.target,
            headers=incoming.headers,
            body=incoming.body,
            caller_id=incoming.caller_id,
            service=matched.service,
            route=matched.route,
            deadline_s=min(incoming.timeout_s or settings.deadline_s, settings.deadline_s),
            key=incoming.key,
        )
        if incoming.key is None and not matched.idempotent:
            return _KEY_REQUIRED
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        if matched.idempotent:
            response = await self._handle_idempotent(envelope, settings)
        else:
            response = await self._keyed.run(envelope)
        service = self._routing.service(matched.service)
        duration_s = loop.time() - started_s
        self._accounting.record_response(
            matched.service, matched.route, service, response, duration_s
        )
        return response

    async def execute(self, envelope: RequestEnvelope) -> Answer:
        """Execute a request on this instance, by the settings of its route in force here."""
        if not self._routing.caught_up:
            return _NOT_READY
        settings = self._routing.route(envelope.route)
        if settings is None:
            return _UNKNOWN_ROUTE
        return await self._local.execute(envelope, settings)

    async def _handle_idempotent(
        self, envelope: RequestEnvelope, settings: RouteSettings
    ) -> Answer:
        """Execute here if this instance is in the service's group, else forward to a member.

        A client that kept an old resolve response, or that resolved another route, sends requests
        to instances outside the group. If they served them, they would open connections to every
        upstream without learning the upstreams' health. When the group cannot be reached, this
        instance serves the request all the same: availability is worth more than the grouping.
        """
        group = self._view.group(envelope.service)
        if not group or any(member.name == self._view.own.name for member in group):
            return await self._local.execute(envelope, settings)
        for member in group[:_MAX_FORWARD_ATTEMPTS]:
            response = await self._forward(member, envelope)
            if response is not None:
                return response
        return await self._local.execute(envelope, settings)

    async def _forward(self, member: Member, envelope: RequestEnvelope) -> Answer | None:
        result = await self._peers.ask(
            member.name, ForwardRequest(envelope), ForwardReply, envelope.deadline_s
        )
        match result:
            case Ok(reply):
                return reply.answer
            case Err():
                return None

    async def _handle_forwarded(self, _sender: Incarnation, message: ForwardRequest) -> Message:
        return ForwardReply(await self.execute(message.request))
