"""The way of one request through an instance: route, then home or group, then an upstream."""

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
_KEY_NEEDED = Problem(
    "key-needed", 428, "A request that is not idempotent needs an Idempotency-Key"
)
#: After a pause an instance may hold settings that were replaced meanwhile; serving by them would
#: bring a replaced configuration back into force here.
_NOT_READY = Refusal(Outcome.NOT_RUN, RefusalCause.NOT_READY, retry_after_s=1.0)
#: A forwarded request whose route has not reached this instance yet.
_UNKNOWN_ROUTE = Refusal(Outcome.NOT_RUN, RefusalCause.NO_UPSTREAM, retry_after_s=1.0)
#: Instances of the group that one idempotent request is passed to before it is given up: a second
#: one covers a member that has just gone, a third would only add load while the group is cut off.
_FORWARD_TRIES = 2


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One request as its caller sent it, read to its end."""

    method: str
    #: Raw path and query.
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Digest of the caller's credential.
    caller_id: CallerId
    #: The caller's own deadline; None: the route's applies.
    timeout_s: float | None
    #: The Idempotency-Key; None when there is none.
    key: str | None


class RequestPath:
    """Takes each request the way that its route and its key ask for."""

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
        self._network = network
        self._keyed = keyed
        self._local = local
        self._accounting = accounting
        network.on(ForwardRequest, self._take_forwarded)

    async def handle(self, incoming: IncomingRequest) -> Answer | Problem:
        """Answer one request of a caller."""
        if not self._routing.caught_up:
            return _NOT_READY
        path = incoming.target.partition("?")[0]
        found = self._routing.match(incoming.host, path, incoming.method)
        if isinstance(found, Err):
            return Problem("unsafe-path", 400, "The path is not safe", detail=str(found.err_value))
        matched = found.ok_value
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
            return _KEY_NEEDED
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        if matched.idempotent:
            answer = await self._idempotent(envelope, settings)
        else:
            answer = await self._keyed.run(envelope)
        service = self._routing.service(matched.service)
        duration_s = loop.time() - started_s
        self._accounting.answered(matched.service, matched.route, service, answer, duration_s)
        return answer

    async def execute(self, envelope: RequestEnvelope) -> Answer:
        """Answer a request from here, by its route's settings in force here."""
        if not self._routing.caught_up:
            return _NOT_READY
        settings = self._routing.route(envelope.route)
        if settings is None:
            return _UNKNOWN_ROUTE
        return await self._local.execute(envelope, settings)

    async def _idempotent(self, envelope: RequestEnvelope, settings: RouteSettings) -> Answer:
        """Answer here if this instance serves the service, else pass the request to one that does.

        Load: a caller that kept an old resolve answer, or asked for another route. Harm prevented:
        instances outside the group would open connections to every upstream and learn nothing of
        their health. When the group cannot be reached this instance serves: capacity before order.
        """
        group = self._view.group(envelope.service)
        if not group or any(member.name == self._view.own.name for member in group):
            return await self._local.execute(envelope, settings)
        for member in group[:_FORWARD_TRIES]:
            answer = await self._forward(member, envelope)
            if answer is not None:
                return answer
        return await self._local.execute(envelope, settings)

    async def _forward(self, member: Member, envelope: RequestEnvelope) -> Answer | None:
        replied = await self._network.ask(
            member.name, ForwardRequest(envelope), ForwardReply, envelope.deadline_s
        )
        match replied:
            case Ok(reply):
                return reply.answer
            case Err():
                return None

    async def _take_forwarded(self, _sender: Incarnation, message: ForwardRequest) -> Message:
        return ForwardReply(await self.execute(message.request))
