"""Responses and counts of the request executor when requests are refused, fail or are cancelled."""

import asyncio
import random
from dataclasses import replace
from unittest import mock

from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._log import EventLog
from egretrail.gateway._peer_streams import StateOffer
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._state_exchange import StateExchange
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.executor import ExecutorTestCase, make_request, open_devnull
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.http1 import ClientConnection
from egretrail.platform.tests.requests import client_request, forwarded_account, has_api_key
from egretrail.testing import cases
from egretrail.traffic import UpstreamRecord, UpstreamState
from scaffolding.platform import Behaviour, StandInBackend
from scaffolding.platform.fleet import HOST, account


class ExecutorTest(ExecutorTestCase):
    def test_a_request_whose_client_disconnects_at_once_is_not_counted_as_running(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            for steps in range(6):
                task = asyncio.create_task(executor.serve(make_request(b"GET", b"/read/1")))
                for _ in range(steps):
                    await asyncio.sleep(0)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await asyncio.sleep(0)
            self.assertEqual({}, view.load.own_counts())

        self.run_with_backend(scenario)

    def test_an_unknown_route_is_not_final_while_a_newer_configuration_may_exist(
        self,
    ) -> None:
        """Guards against 404 responses, which clients treat as final, for routes added just before.

        An instance that is still fetching a newer version does not know whether that version has
        the route. It responds 503; only an instance with the newest version responds 404.
        """

        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            # Without contact to the store or peers the instance may have missed a newer version.
            self.assertEqual(503, (await executor.serve(make_request(b"GET", b"/new/1"))).status)
            view.configs.reaches_store = True
            self.assertEqual(404, (await executor.serve(make_request(b"GET", b"/new/1"))).status)
            log = EventLog("test", descriptor=open_devnull())
            exchange = StateExchange(gateway_settings(), view, log, random.Random(1))
            exchange.fetch_if_newer(StateOffer("127.0.0.2", "zone-a", 2, 0))
            response = await executor.serve(make_request(b"GET", b"/new/1"))
            self.assertEqual(503, response.status)
            self.assertLess(float(dict(response.headers)[b"Retry-After"]), 1.0)
            # Requests to routes of the older version are still served.
            self.assertEqual(200, (await executor.serve(make_request(b"GET", b"/read/1"))).status)

        self.run_with_backend(scenario)

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

        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            request = client_request(HOST, b"GET", target, api_key=api_key)
            if expected == 401:
                # Only an instance whose configuration is the newest may give a final response.
                self.assertEqual(503, (await executor.serve(request)).status)
                view.configs.reaches_store = True
            self.assertEqual(expected, (await executor.serve(request)).status)
            self.assertEqual([expected == 200], [bool(backend.headers)])
            for headers in backend.headers.values():
                self.assertEqual(name, forwarded_account(headers))
                self.assertFalse(has_api_key(headers))

        self.run_with_backend(scenario, [account("acme", "k1", "k2")])

    def test_api_keys_are_refused_while_a_revocation_may_have_been_missed(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            view.apply_settings(replace(gateway_settings(), revocation_s=5.0))
            keyed = client_request(HOST, b"GET", b"/read/1", api_key=b"k1")
            now_s = asyncio.get_running_loop().time()
            view.confirm_config_current(now_s - 4.9)
            response = await executor.serve(keyed)
            self.assertEqual(503, response.status)
            self.assertLess(float(dict(response.headers)[b"Retry-After"]), 1.0)
            public = client_request(HOST, b"GET", b"/open/1", api_key=b"k1")
            self.assertEqual(200, (await executor.serve(public)).status)
            view.confirm_config_current(asyncio.get_running_loop().time() - 4.0)
            self.assertEqual(200, (await executor.serve(keyed)).status)

        self.run_with_backend(scenario, [account("acme", "k1")])

    def test_a_request_is_not_sent_to_an_upstream_that_started_draining_while_connecting(
        self,
    ) -> None:
        """Guards against sending by a choice made before the upstream's draining was known."""

        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            acquire = UpstreamConnectionPool.acquire
            [record] = view.upstreams

            async def acquire_late(
                pool: UpstreamConnectionPool, name: str, address: str
            ) -> ClientConnection:
                connection = await acquire(pool, name, address)
                draining = replace(record, state=UpstreamState.DRAINING, revision=6)
                view.replace_upstreams([draining], 6, "test")
                return connection

            with mock.patch.object(UpstreamConnectionPool, "acquire", acquire_late):
                response = await executor.serve(make_request(b"POST", b"/order/1"))
            self.assertEqual(503, response.status)
            self.assertEqual(0, sum(backend.runs.values()))

        self.run_with_backend(scenario)

    def test_a_hanging_request_gets_a_response_at_its_routes_timeout(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            backend.behaviour = Behaviour.HANGING
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            response = await executor.serve(make_request(b"POST", b"/order/1"))
            self.assertEqual(504, response.status)
            self.assertGreaterEqual(loop.time() - start_s, 1.4)
            while view.load.own_counts():
                await asyncio.sleep(0)
            self.assertEqual({}, view.load.own_counts())

        self.run_with_backend(scenario)

    def test_a_request_refused_by_all_upstreams_gets_the_typical_duration_as_retry_after(
        self,
    ) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            backend.behaviour = Behaviour.SHEDDING
            response = await executor.serve(make_request(b"POST", b"/once/1"))
            self.assertEqual(503, response.status)
            # The typical duration that is assumed before any was measured.
            self.assertEqual([(b"Retry-After", b"0.30")], list(response.headers))

        self.run_with_backend(scenario)

    def test_a_request_that_crashes_upstreams_is_refused_after_the_third_crash(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backend: StandInBackend
        ) -> None:
            backend.behaviour = Behaviour.RESETTING
            statuses = []
            for number in range(6):
                name = f"{backend.id}-{number}"
                record = UpstreamRecord(
                    name, "s", backend.address, "zone-a", 4, UpstreamState.READY
                )
                backend.id = name
                view.replace_upstreams([record], 6 + number, "test")
                statuses.append((await executor.serve(make_request(b"POST", b"/order/1"))).status)
            self.assertEqual([502, 502, 502, 503, 503, 503], statuses)

        self.run_with_backend(scenario)
