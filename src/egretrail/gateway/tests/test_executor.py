"""What the executor leaves behind when requests end in unusual ways."""

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from unittest import mock

from result import Ok

from egretrail.cluster import at_once, part_config
from egretrail.gateway._executor import Executor
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._peer_streams import StateOffer
from egretrail.gateway._pool import UpstreamPool
from egretrail.gateway._state_exchange import StateExchange
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.http1 import ClientConnection, Request
from egretrail.platform import PlatformContract, PlatformLayout
from egretrail.platform.tests.requests import client_request, has_api_key, told_account
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState
from scaffolding.platform import Behaviour, StandInBackend
from scaffolding.platform.fleet import (
    HOST,
    account,
    config,
    order_route,
    route,
    single_attempt_route,
)

_ROUTES = [
    route("read", "/read/", "s", timeout="1500ms"),
    route("open", "/open/", "s", public=True),
    order_route("order", "/order/", "s", timeout="1500ms"),
    single_attempt_route("once", "/once/", "s"),
]

Act = Callable[[Executor, FleetView, StandInBackend], Awaitable[None]]


def _request(method: bytes, target: bytes) -> Request:
    return client_request(HOST, method, target)


class ExecutorTest(EgretrailTestCase):
    def _play(self, act: Act, accounts: Sequence[dict[str, object]] | None = None) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            log = EventLog("test", descriptor=_null())
            rng = random.Random(1)
            view = FleetView(gateway_settings(), 1, loop.time, log, rng)
            document = json.dumps(config(1, _ROUTES, accounts)).encode()
            decoded = PlatformLayout().decode_config(document)
            assert isinstance(decoded, Ok)
            view.take_config(at_once(part_config(decoded.ok_value)), "test")
            backend = StandInBackend("s", "zone-a", work_s=0.05)
            await backend.start()
            record = UpstreamRecord(
                backend.id, "s", backend.address, "zone-a", 4, UpstreamState.READY
            )
            view.take_upstreams([record], 5, "test")
            executor = Executor(
                view, PlatformContract(), UpstreamPool(), log, GatewayMetrics(), rng
            )
            try:
                await act(executor, view, backend)
            finally:
                await backend.stop()

        self.run_real(run())

    def test_a_request_whose_client_leaves_at_once_is_not_counted_on(self) -> None:
        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            for steps in range(6):
                task = asyncio.create_task(executor.serve(_request(b"GET", b"/read/1")))
                for _ in range(steps):
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await asyncio.sleep(0)
            self.assertEqual({}, view.load.own_counts())

        self._play(act)

    def test_an_unknown_route_is_not_denied_by_a_configuration_that_is_known_to_be_old(
        self,
    ) -> None:
        """Callers took 404 for final, for routes that were added seconds before.

        The instance had been told that a newer version exists and was still fetching it; the newer
        version may have the route. Whoever is up to date denies, whoever is behind must not.
        """

        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            # Cut off from the store and from all peers it cannot know what is in force.
            self.assertEqual(503, (await executor.serve(_request(b"GET", b"/new/1"))).status)
            view.configs.reaches_store = True
            self.assertEqual(404, (await executor.serve(_request(b"GET", b"/new/1"))).status)
            log = EventLog("test", descriptor=_null())
            exchange = StateExchange(gateway_settings(), view, log, random.Random(1))
            exchange.fetch_if_newer(StateOffer("127.0.0.2", "zone-a", 2, 0))
            answer = await executor.serve(_request(b"GET", b"/new/1"))
            self.assertEqual(503, answer.status)
            self.assertLess(float(dict(answer.headers)[b"Retry-After"]), 1.0)
            # What the older version routes is still served.
            self.assertEqual(200, (await executor.serve(_request(b"GET", b"/read/1"))).status)

        self._play(act)

    @cases(
        {
            "its key": (b"k1", b"/read/1", 200, "acme"),
            "no key": (None, b"/read/1", 401, None),
            "an unknown key": (b"k9", b"/read/1", 401, None),
            "an unknown key on a public route": (b"k9", b"/open/1", 200, None),
            "no key on a public route": (None, b"/open/1", 200, None),
        }
    )
    def test_requests_need_the_key_of_an_account(
        self, case: tuple[bytes | None, bytes, int, str | None]
    ) -> None:
        api_key, target, expected, name = case

        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            request = client_request(HOST, b"GET", target, api_key=api_key)
            if expected == 401:
                # Only who knows that there is no newer version may give a final answer.
                self.assertEqual(503, (await executor.serve(request)).status)
                view.configs.reaches_store = True
            self.assertEqual(expected, (await executor.serve(request)).status)
            self.assertEqual([expected == 200], [bool(backend.headers)])
            for headers in backend.headers.values():
                self.assertEqual(name, told_account(headers))
                self.assertFalse(has_api_key(headers))

        self._play(act, [account("acme", "k1", "k2")])

    def test_keys_are_refused_while_they_may_have_ended_unheard(self) -> None:
        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            view.take_settings(replace(gateway_settings(), revocation_s=5.0))
            keyed = client_request(HOST, b"GET", b"/read/1", api_key=b"k1")
            now_s = asyncio.get_running_loop().time()
            view.prove_config(now_s - 4.9)
            answer = await executor.serve(keyed)
            self.assertEqual(503, answer.status)
            self.assertLess(float(dict(answer.headers)[b"Retry-After"]), 1.0)
            public = client_request(HOST, b"GET", b"/open/1", api_key=b"k1")
            self.assertEqual(200, (await executor.serve(public)).status)
            view.prove_config(asyncio.get_running_loop().time() - 4.0)
            self.assertEqual(200, (await executor.serve(keyed)).status)

        self._play(act, [account("acme", "k1")])

    def test_a_request_is_not_sent_to_an_upstream_that_began_to_leave_while_it_connected(
        self,
    ) -> None:
        """Requests were sent by a choice from before the upstream's word arrived."""

        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            acquire = UpstreamPool.acquire
            [record] = view.upstreams

            async def acquire_late(pool: UpstreamPool, name: str, address: str) -> ClientConnection:
                connection = await acquire(pool, name, address)
                leaving = replace(record, state=UpstreamState.DRAINING, revision=6)
                view.take_upstreams([leaving], 6, "test")
                return connection

            with mock.patch.object(UpstreamPool, "acquire", acquire_late):
                answer = await executor.serve(_request(b"POST", b"/order/1"))
            self.assertEqual(503, answer.status)
            self.assertEqual(0, sum(backend.runs.values()))

        self._play(act)

    def test_a_request_that_hangs_is_answered_when_its_routes_time_is_over(self) -> None:
        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            backend.behaviour = Behaviour.HANGING
            loop = asyncio.get_running_loop()
            begin_s = loop.time()
            answer = await executor.serve(_request(b"POST", b"/order/1"))
            self.assertEqual(504, answer.status)
            self.assertGreaterEqual(loop.time() - begin_s, 1.4)
            while view.load.own_counts():
                await asyncio.sleep(0)
            self.assertEqual({}, view.load.own_counts())

        self._play(act)

    def test_who_is_refused_by_all_comes_back_when_work_has_ended(self) -> None:
        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            backend.behaviour = Behaviour.SHEDDING
            answer = await executor.serve(_request(b"POST", b"/once/1"))
            self.assertEqual(503, answer.status)
            # The usual duration before anything was measured.
            self.assertEqual([(b"Retry-After", b"0.30")], list(answer.headers))

        self._play(act)

    def test_a_request_that_crashes_upstreams_is_refused_after_the_third(self) -> None:
        async def act(executor: Executor, view: FleetView, backend: StandInBackend) -> None:
            backend.behaviour = Behaviour.RESETTING
            statuses = []
            for number in range(6):
                name = f"{backend.id}-{number}"
                record = UpstreamRecord(
                    name, "s", backend.address, "zone-a", 4, UpstreamState.READY
                )
                backend.id = name
                view.take_upstreams([record], 6 + number, "test")
                statuses.append((await executor.serve(_request(b"POST", b"/order/1"))).status)
            self.assertEqual([502, 502, 502, 503, 503, 503], statuses)

        self._play(act)


def _null() -> int:
    return os.open(os.devnull, os.O_WRONLY)
