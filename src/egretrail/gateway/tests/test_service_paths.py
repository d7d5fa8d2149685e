"""Requests of a service of which this instance reaches no upstream, while it reaches others."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from unittest import mock

from egretrail.dispatch import (
    PlacementQuery,
    Refusal,
    RefusalReason,
    UpstreamHealth,
    request_digest,
)
from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._pending_request import AttemptRequest, AttemptResult, Disposition
from egretrail.gateway._relay import RelayClient
from egretrail.gateway._relay_codec import RelayedAttempt, encode_attempt
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.executor import (
    FIRST_REVISION,
    SERVICE,
    ExecutorTestCase,
    listed_record,
    make_request,
)
from egretrail.http1 import ReceivedResponse, Request
from egretrail.platform import PlatformContract
from egretrail.testing import cases
from scaffolding.platform import StandInBackend

_WAIT_S = 5.0
_KINDS = {"may run twice": (b"GET", b"/read/x"), "at most once": (b"POST", b"/order/x")}
_Run = Callable[[AttemptRequest, PlacementQuery], Awaitable[AttemptResult]]


async def _serve_elsewhere(attempt: AttemptRequest, query: PlacementQuery) -> AttemptResult:
    return AttemptResult(Disposition.SERVED, ReceivedResponse(200, b"OK", [], b"relayed"))


async def _reach_nothing(attempt: AttemptRequest, query: PlacementQuery) -> AttemptResult:
    refusal = Refusal(RefusalReason.ISOLATED, 0.5)
    return AttemptResult(Disposition.REFUSED, cause="no upstream reached", refusal=refusal)


async def _stop_service(
    executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
) -> None:
    """Make all but the last backend unreachable, which is of another service."""
    other = replace(listed_record(backends[-1]), service="other")
    records = [listed_record(one) for one in backends[:-1]]
    view.replace_upstreams([*records, other], FIRST_REVISION + 1, "test")
    for backend in backends[:-1]:
        await backend.stop()
    async with asyncio.timeout(_WAIT_S):
        while not executor.paths.reaches_none(SERVICE):
            await executor.serve(make_request(b"GET", b"/read/x"))


def _patched_run(run: _Run) -> "mock._patch[mock.Mock]":
    return mock.patch.object(RelayClient, "run", side_effect=run)


class ServicePathsTest(ExecutorTestCase):
    """Guards against refusals of one service's requests by an instance that serves the others."""

    @cases(_KINDS)
    def test_requests_are_sent_through_another_instance(self, kind: tuple[bytes, bytes]) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            with _patched_run(_serve_elsewhere) as run:
                await _stop_service(executor, view, backends)
                run.reset_mock()
                response = await executor.serve(make_request(*kind))
                self.assertEqual((200, b"relayed"), (response.status, response.body))
                self.assertEqual(1, run.call_count)
                self.assertEqual(SERVICE, run.call_args.args[0].service)
            self.assertFalse(executor.paths.reaches_none("other"))
            self.assertFalse(executor.paths.is_isolated)
            self.assertFalse(view.next_heartbeat().is_isolated)

        self.run_with_backends(4, scenario)

    def test_requests_are_sent_from_here_once_an_upstream_is_reached(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            with _patched_run(_serve_elsewhere) as run:
                await _stop_service(executor, view, backends)
                await backends[0].start()
                view.replace_upstreams(
                    [listed_record(one) for one in backends[:1]], FIRST_REVISION + 2, "test"
                )
                async with asyncio.timeout(_WAIT_S):
                    while executor.paths.reaches_none(SERVICE):
                        await asyncio.sleep(0.05)
                run.reset_mock()
                response = await executor.serve(make_request(b"GET", b"/read/x"))
                self.assertEqual(200, response.status)
                self.assertEqual(0, run.call_count)
            self.assertEqual(1, len(backends[0].arrivals))

        self.run_with_backends(3, scenario)

    @cases(_KINDS)
    def test_the_last_resort_is_used_if_no_other_instance_reaches_the_service(
        self, kind: tuple[bytes, bytes]
    ) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            with _patched_run(_reach_nothing) as run:
                await _stop_service(executor, view, backends)
                await backends[0].start()
                view.replace_upstreams(
                    [listed_record(one) for one in backends[:1]], FIRST_REVISION + 2, "test"
                )
                # No probe has found yet that the path works again.
                with mock.patch.object(executor.paths, "reaches_none", return_value=True):
                    run.reset_mock()
                    response = await executor.serve(make_request(*kind))
            self.assertEqual((200, 1), (response.status, run.call_count))
            self.assertEqual(1, len(backends[0].arrivals))
            self.assertEqual({}, view.load.own_counts())

        self.run_with_backends(3, scenario)

    def test_an_instance_refuses_attempts_of_a_service_that_it_does_not_reach(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            request = make_request(b"GET", b"/read/x")
            query = PlacementQuery(SERVICE, 1.0, 1.0, is_retryable=True)
            attempt_id = PlatformContract().request_metadata(request).attempt_id
            now_s = asyncio.get_running_loop().time()
            attempt = AttemptRequest(
                request, attempt_id, SERVICE, None, request_digest((b"x",)), now_s + 1.0
            )
            body = encode_attempt(RelayedAttempt(attempt, query))
            relayed = Request(b"POST", b"/", [], body, now_s)
            for backend in backends:
                view.avoid_path(backend.id)
                health = view.suspicion.health(backend.id, now_s)
                self.assertIs(UpstreamHealth.UNREACHABLE_FROM_HERE, health)
            self.assertEqual(503, (await executor.relay_server.handle(relayed)).status)
            for backend in backends:
                view.suspicion.resume_path(backend.id)
            with mock.patch.object(executor.paths, "reaches_none", return_value=True):
                self.assertEqual(503, (await executor.relay_server.handle(relayed)).status)
            self.assertEqual([], [*backends[0].arrivals, *backends[1].arrivals])
            self.assertEqual(200, (await executor.relay_server.handle(relayed)).status)

        self.run_with_backends(2, scenario)
