"""What the executor leaves behind when requests end in unusual ways."""

import asyncio
import json
import os
import random
from collections.abc import Awaitable, Callable, Sequence

from result import Ok

from egretrail.dispatch import Standing
from egretrail.gateway._executor import Executor
from egretrail.gateway._log import EventLog
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._pool import UpstreamPool
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.http1 import Accepts, ClientConnection, ReceivedAnswer, Request
from egretrail.platform import PlatformContract, PlatformLayout
from egretrail.platform.tests.requests import client_request
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState
from scaffolding.platform import Behaviour, StandInBackend
from scaffolding.platform.fleet import HOST, config, order_route, route

_ROUTES = [
    route("read", "/read/", "s", timeout="1500ms"),
    order_route("order", "/order/", "s", timeout="1500ms"),
]

Act = Callable[[Executor, FleetView, StandInBackend], Awaitable[None]]


def _request(method: bytes, target: bytes) -> Request:
    return client_request(HOST, method, target)


class ExecutorTest(EgretrailTestCase):
    def _play(self, act: Act) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            log = EventLog("test", descriptor=_null())
            rng = random.Random(1)
            view = FleetView(gateway_settings(), 1, loop.time, log, rng)
            document = json.dumps(config(1, _ROUTES)).encode()
            decoded = PlatformLayout().decode_config(document)
            assert isinstance(decoded, Ok)
            view.take_config(document, decoded.ok_value, "test")
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


class _SilentConnection(ClientConnection):
    """A connection over which no answer comes."""

    async def exchange(
        self, data: bytes, accepts: Accepts | None = None, *, without_body: bool = False
    ) -> ReceivedAnswer:
        await asyncio.sleep(3600)
        raise AssertionError("no answer comes")


class _SilentPool(UpstreamPool):
    async def acquire(self, upstream_id: str, address: str) -> ClientConnection:
        return _SilentConnection()


class QuietUpstreamTest(EgretrailTestCase):
    """Work is expected to take 0.3 s, as before anything was measured."""

    @cases(
        {
            "nobody is answered": ("zone-a", (), Standing.UNREACHED),
            "others are answered": ("zone-a", (0.2, 0.4, 0.6), Standing.GOOD),
            "the last answer was before": ("zone-a", (-0.1,), Standing.UNREACHED),
            "another zone, whose answers are not told here": ("zone-b", (), Standing.GOOD),
        }
    )
    def test_one_that_answers_nobody_is_left_alone_before_its_requests_time_out(
        self, case: tuple[str, Sequence[float], Standing]
    ) -> None:
        zone, answers_s, expected = case

        async def run() -> None:
            loop = asyncio.get_running_loop()
            log, rng = EventLog("test", descriptor=_null()), random.Random(1)
            view = FleetView(gateway_settings(), 1, loop.time, log, rng)
            document = json.dumps(config(1, _ROUTES)).encode()
            view.take_config(document, PlatformLayout().decode_config(document).unwrap(), "test")
            record = UpstreamRecord("u", "s", "10.0.0.1:1", zone, 4, UpstreamState.READY)
            view.take_upstreams([record], 5, "test")
            executor = Executor(view, PlatformContract(), _SilentPool(), log, GatewayMetrics(), rng)
            await asyncio.sleep(0.2)
            begin_s = loop.time()
            for answer_s in answers_s:
                at_s = begin_s + answer_s
                loop.call_at(at_s, view.load.answered, "u", at_s)
            task = loop.create_task(executor.serve(_request(b"POST", b"/order/1")))
            await asyncio.sleep(0.76)
            self.assertIs(expected, view.suspicion.standing("u", loop.time()))
            task.cancel()

        self.run_paused(run())


def _null() -> int:
    return os.open(os.devnull, os.O_WRONLY)
