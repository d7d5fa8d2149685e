"""Sends requests through another instance that reaches upstreams, and serves such requests."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import replace

from result import Err

from egretrail.cluster import Instance, choose_relay
from egretrail.dispatch import PlacementQuery, Refusal, RefusalReason
from egretrail.gateway._attempts import AttemptRunner, attempt_fields
from egretrail.gateway._interfaces import StartupSettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._pending_request import AttemptRequest, AttemptResult, Disposition
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._relay_codec import (
    RelayedAttempt,
    decode_attempt,
    decode_result,
    encode_attempt,
    encode_result,
)
from egretrail.gateway._upstream_paths import UpstreamPaths
from egretrail.gateway._view import FleetView
from egretrail.http1 import (
    ClientConnection,
    ConnectFailed,
    ExchangeFailed,
    ReceivedResponse,
    Request,
    Response,
    ResponseOwner,
    ServerLimits,
    encode_request,
    header_values,
)

#: The limits of connections between instances. A body holds a client's request, whose size is
#: limited where the client sent it, and its headers.
RELAY_LIMITS = ServerLimits(
    header_bytes=1_024, body_bytes=64 * 1024 * 1024, header_timeout_s=2.0, idle_timeout_s=10.0
)
#: The header that numbers a relayed attempt. Its response repeats it, so that the response to
#: another attempt on the same connection is not taken for it.
RELAY_ID_FIELD = b"exchange-id"
#: The status with which an instance says that it did not take an attempt: it reaches no upstream of
#: the service itself, or lacks memory for the request (``BodyBudget``). Results of attempts have
#: status 200.
_NOT_TAKEN = 503
#: After this many instances that could not take an attempt, it is refused.
_RELAYS_MAX = 3
#: Retry-After while no instance reaches an upstream: when the next probes have ended.
_ISOLATED_RETRY_S = 0.5


def _owner(head: ReceivedResponse, exchange_id: bytes, *, is_first: bool) -> ResponseOwner:
    """Return whose response a head begins.

    An instance of an earlier version repeats no id. Its response is certain only on a connection
    that carried no other attempt.
    """
    stated = set(header_values(head.headers, RELAY_ID_FIELD))
    if stated == {exchange_id} or (not stated and is_first):
        return ResponseOwner.THIS_REQUEST
    return ResponseOwner.ANOTHER_REQUEST if len(stated) == 1 else ResponseOwner.UNKNOWN


class RelayClient:
    """Sends single attempts through instances that reach upstreams.

    This instance keeps the request: it decides on retries and counts them. The other instance
    chooses the upstream, counts the load and reports the outcome, as for its own clients.
    """

    def __init__(
        self, settings: StartupSettings, view: FleetView, log: EventLog, rng: random.Random
    ) -> None:
        self._port = settings.relay_port
        self._zone = settings.availability_zone
        self._view = view
        self._log = log
        self._rng = rng
        self._pool = UpstreamConnectionPool(keepalive=True)
        self._in_flight: Counter[str] = Counter()
        self._exchange_ids = itertools.count(1)

    async def run(self, attempt: AttemptRequest, query: PlacementQuery) -> AttemptResult:
        """Run one attempt; cancel to abandon it."""
        failed: set[str] = set()
        data = encode_attempt(RelayedAttempt(attempt, query))
        while len(failed) < _RELAYS_MAX:
            relay = self._choose(failed)
            if relay is None:
                break
            result = await self._run_through(relay, attempt, data)
            if result is not None:
                return result
            failed.add(relay.address)
        refusal = Refusal(RefusalReason.ISOLATED, _ISOLATED_RETRY_S)
        return AttemptResult(Disposition.REFUSED, cause="no upstream reached", refusal=refusal)

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        self._pool.close_expired()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()

    def _choose(self, failed: set[str]) -> Instance | None:
        membership = self._view.membership
        instances = [one for one in membership.instances() if one.address not in failed]
        return choose_relay(
            instances, membership.isolated(), self._zone, self._in_flight, self._rng
        )

    async def _run_through(
        self, relay: Instance, attempt: AttemptRequest, data: bytes
    ) -> AttemptResult | None:
        """Run an attempt through an instance; return None if it did not take the attempt."""
        address = relay.address
        self._log.event("relayed", id=attempt.attempt_id, peer=address)
        self._in_flight[address] += 1
        try:
            connection = await self._pool.acquire(address, f"{address}:{self._port}")
            received = await self._exchange(connection, data)
        except ConnectFailed as error:
            self._log.event("relay_failed", peer=address, cause=str(error))
            return None
        except ExchangeFailed as error:
            self._log.event("relay_failed", peer=address, cause=str(error))
            return AttemptResult(Disposition.FAILED, cause=f"lost by instance {address}: {error}")
        finally:
            self._in_flight[address] -= 1
        self._pool.release(address, connection)
        if received.status == _NOT_TAKEN:
            return None
        result = decode_result(received.body)
        if received.status != 200 or isinstance(result, Err):
            cause = f"status {received.status}" if received.status != 200 else str(result.err())
            self._log.event("relay_failed", peer=address, cause=cause)
            return AttemptResult(Disposition.FAILED, cause=f"lost by instance {address}: {cause}")
        return replace(result.ok_value, is_relayed=True)

    async def _exchange(self, connection: ClientConnection, data: bytes) -> ReceivedResponse:
        """Send an attempt and return its own response.

        A connection to an instance that repeats no id is not kept.
        """
        is_first = connection.exchange_count == 0
        exchange_id = b"%d" % next(self._exchange_ids)
        request = encode_request(b"POST", b"/", [(RELAY_ID_FIELD, exchange_id)], data)
        received = await connection.exchange(
            request, lambda head: _owner(head, exchange_id, is_first=is_first)
        )
        if received.header(RELAY_ID_FIELD) is None:
            connection.abort()
        return received


class RelayServer:
    """Sends the attempts of instances that reach no upstream, of any or of one service."""

    def __init__(
        self,
        view: FleetView,
        attempt_runner: AttemptRunner,
        pool: UpstreamConnectionPool,
        log: EventLog,
        paths: UpstreamPaths,
    ) -> None:
        self._view = view
        self._paths = paths
        self._attempt_runner = attempt_runner
        self._pool = pool
        self._log = log
        self._loop = asyncio.get_running_loop()

    async def handle(self, request: Request) -> Response:
        """Run an attempt and return its result; cancelled when the other instance disconnects."""
        if self._view.is_isolated:
            return Response(_NOT_TAKEN)
        decoded = decode_attempt(request.body, request.received_s)
        if isinstance(decoded, Err):
            self._log.event("relay_refused", cause=str(decoded.err_value))
            return Response(400)
        attempt, query = decoded.ok_value.attempt, decoded.ok_value.query
        if self._paths.reaches_none(attempt.service):
            return Response(_NOT_TAKEN)
        result = await self.run_here(attempt, query, is_relayed=True)
        return Response(_NOT_TAKEN) if result is None else Response(200, encode_result(result))

    async def run_here(
        self, attempt: AttemptRequest, query: PlacementQuery, *, is_relayed: bool
    ) -> AttemptResult | None:
        """Send an attempt from this instance.

        Returns None for a relayed attempt if paths from here failed to all upstreams that may be
        chosen: another instance, or the one that has the request, may reach them.
        """
        ready = self._view.upstreams.ready(attempt.service)
        query = replace(query, connected=self._pool.idle_upstreams())
        choice = self._view.placement.choose(query, ready, self._loop.time())
        if isinstance(choice, Refusal):
            return AttemptResult(Disposition.REFUSED, cause=choice.reason.value, refusal=choice)
        if is_relayed and choice.is_last_resort:
            return None
        upstream_id = choice.upstream.id
        self._log.event(
            "attempt",
            id=attempt.attempt_id,
            relayed=is_relayed,
            priority="",
            account=attempt.account or "",
            **attempt_fields(choice, query, self._view.upstreams.revision),
        )
        self._view.record_request_start(upstream_id, trial=choice.is_trial)
        try:
            result = await self._attempt_runner.run(attempt, choice.upstream)
        finally:
            self._view.record_request_end(upstream_id)
        if is_relayed:
            self._log.event(
                "relay_answered",
                id=attempt.attempt_id,
                upstream=upstream_id,
                fate=result.disposition.value,
                status=result.received.status if result.received is not None else 0,
                **result.exchange_fields(),
            )
        return result
