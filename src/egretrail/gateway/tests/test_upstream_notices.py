"""Requests to upstreams that said in a response that they are draining or want no requests."""

import asyncio
import itertools
from collections.abc import Sequence
from unittest import mock

from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._pool import UpstreamConnectionPool
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.executor import (
    FIRST_REVISION,
    ExecutorTestCase,
    listed_record,
    make_request,
)
from egretrail.http1 import ClientConnection, Response
from egretrail.testing import cases
from scaffolding.platform import Behaviour, StandInBackend

_READ = (b"GET", b"/read/1")
_ORDER = (b"POST", b"/order/1")
_ONCE = (b"POST", b"/once/1")
_KINDS = {"idempotent": _READ, "at most once": _ORDER, "single attempt": _ONCE}


async def _send_series(executor: RequestExecutor, count: int = 6) -> list[Response]:
    """Send requests of all kinds one after the other."""
    kinds = [_READ, _ORDER, _ONCE]
    return [await executor.serve(make_request(*kinds[n % 3])) for n in range(count)]


class DrainingUpstreamTest(ExecutorTestCase):
    """Guards against requests to an upstream that said in a response that it is draining.

    Only the store's list was trusted, and an unavailable store does not report any draining.
    """

    @cases(
        {
            "a success": Behaviour.HEALTHY,
            "a failure": Behaviour.FAILING,
            "a refusal": Behaviour.SHEDDING,
            "a response that is cut short": Behaviour.TRUNCATING,
            "a response without seal": Behaviour.UNSEALED,
            "a response before an additional one": Behaviour.EXTRA_RESPONSE,
            "a late response to another attempt": Behaviour.STALE_RESPONSE,
        }
    )
    def test_no_request_follows_a_response_that_states_draining(self, behaviour: Behaviour) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            leaving = backends[0]
            # The other one is chosen only if this one takes no requests.
            backends[1].zone = "zone-b"
            view.replace_upstreams([listed_record(leaving)], FIRST_REVISION + 1, "test")
            leaving.draining, leaving.behaviour = True, behaviour
            await executor.serve(make_request(*_ONCE))
            self.assertEqual(1, len(leaving.arrivals))
            view.replace_upstreams(
                [listed_record(one) for one in backends], FIRST_REVISION + 2, "test"
            )
            responses = await _send_series(executor)
            self.assertEqual([200] * 6, [response.status for response in responses])
            self.assertEqual(1, len(leaving.arrivals))

        self.run_with_backends(2, scenario)

    @cases(
        {
            "the store lists it again": [[0, 1]],
            "its entry vanishes and returns": [[1], [0, 1]],
            "all entries vanish and return": [[], [0, 1]],
        }
    )
    def test_a_draining_upstream_gets_no_requests_after_it_is_listed_again(
        self, lists: Sequence[Sequence[int]]
    ) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            backends[1].zone = "zone-b"
            view.replace_upstreams([listed_record(backends[0])], FIRST_REVISION + 1, "test")
            backends[0].draining = True
            await executor.serve(make_request(*_ONCE))
            for number, listed in enumerate(lists, start=FIRST_REVISION + 2):
                records = [listed_record(backends[n], revision=number) for n in listed]
                view.replace_upstreams(records, number, "test")
            await _send_series(executor)
            self.assertEqual(1, len(backends[0].arrivals))

        self.run_with_backends(2, scenario)

    def test_an_upstream_that_states_draining_while_it_is_not_listed_gets_no_requests_later(
        self,
    ) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            [backend] = backends
            backend.draining = True
            request = asyncio.create_task(executor.serve(make_request(*_ONCE)))
            while not backend.arrivals:
                await asyncio.sleep(0.001)
            view.replace_upstreams([], FIRST_REVISION + 1, "test")
            self.assertEqual(200, (await request).status)
            record = listed_record(backend, revision=FIRST_REVISION + 2)
            view.replace_upstreams([record], FIRST_REVISION + 2, "test")
            responses = await _send_series(executor)
            self.assertEqual([503] * 6, [response.status for response in responses])
            self.assertEqual(1, len(backend.arrivals))

        self.run_with_backends(1, scenario)

    def test_an_upstream_that_starts_again_under_its_name_gets_requests_at_once(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            [backend] = backends
            backend.draining = True
            await executor.serve(make_request(*_ONCE))
            backend.draining = False
            for started_ms, status in ((0, 503), (1_000, 200), (2_000, 200)):
                revision = view.upstreams.revision + 1
                record = listed_record(backend, revision=revision, started_ms=started_ms)
                view.replace_upstreams([record], revision, "test")
                responses = await _send_series(executor)
                self.assertEqual([status] * 6, [response.status for response in responses])

        self.run_with_backends(1, scenario)


class BackingOffUpstreamTest(ExecutorTestCase):
    """Guards against requests to an upstream that refused one and stated Retry-After.

    A refusal only raised the cost of the upstream for up to two seconds, whatever time it stated.
    """

    @cases(_KINDS)
    def test_no_request_follows_a_refusal_before_its_retry_after(
        self, kind: tuple[bytes, bytes]
    ) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            full = backends[0]
            # The other one is chosen only if this one takes no requests.
            backends[1].zone = "zone-b"
            view.replace_upstreams([listed_record(full)], FIRST_REVISION + 1, "test")
            full.retry_after, full.behaviour = "0.6", Behaviour.SHEDDING
            await executor.serve(make_request(*kind))
            view.replace_upstreams(
                [listed_record(one) for one in backends], FIRST_REVISION + 2, "test"
            )
            full.behaviour = Behaviour.HEALTHY
            [(refused_s, _, _)] = full.backoffs_stated
            while asyncio.get_running_loop().time() < refused_s + 0.8:
                await _send_series(executor, 3)
            early = [at_s for at_s, _ in full.arrivals if refused_s < at_s < refused_s + 0.6]
            self.assertEqual([], early)
            # Afterwards it takes part again.
            await asyncio.gather(*(executor.serve(make_request(*_READ)) for _ in range(12)))
            self.assertGreater(len(full.arrivals), 1)

        self.run_with_backends(2, scenario)

    def test_a_concurrent_refusal_does_not_shorten_the_backoff(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            [backend] = backends
            backend.behaviour, backend.retry_after = Behaviour.SHEDDING, "5"
            requests = [asyncio.create_task(executor.serve(make_request(*_ONCE))) for _ in range(3)]
            while not backend.arrivals:
                await asyncio.sleep(0)
            backend.retry_after = "0.01"
            await asyncio.gather(*requests)
            sent = len(backend.arrivals)
            await asyncio.sleep(0.1)
            await _send_series(executor)
            self.assertEqual(sent, len(backend.arrivals))

        self.run_with_backends(1, scenario)

    @cases(_KINDS)
    def test_requests_are_refused_at_once_while_all_upstreams_back_off(
        self, kind: tuple[bytes, bytes]
    ) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            backends[1].zone = "zone-b"
            for backend, retry_after in zip(backends, ("5", "3"), strict=True):
                backend.behaviour, backend.retry_after = Behaviour.SHEDDING, retry_after
            loop = asyncio.get_running_loop()
            while not all(backend.arrivals for backend in backends):
                last_refusal = await executor.serve(make_request(*kind))
            start_s = loop.time()
            response = await executor.serve(make_request(*kind))
            self.assertLess(loop.time() - start_s, 0.1)
            for refusal in (last_refusal, response):
                self.assertEqual(503, refusal.status)
                self.assertAlmostEqual(3.0, float(dict(refusal.headers)[b"Retry-After"]), delta=0.3)
            self.assertEqual([1, 1], [len(backend.arrivals) for backend in backends])

        self.run_with_backends(2, scenario)

    def test_an_upstream_that_returns_to_the_list_still_backs_off(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            [backend] = backends
            backend.behaviour, backend.retry_after = Behaviour.SHEDDING, "5"
            await executor.serve(make_request(*_ONCE))
            for revision, records in ((1, []), (2, [listed_record(backend, revision=7)])):
                view.replace_upstreams(records, FIRST_REVISION + revision, "test")
            await _send_series(executor)
            self.assertEqual(1, len(backend.arrivals))

        self.run_with_backends(1, scenario)

    def test_a_request_is_not_sent_to_an_upstream_that_backed_off_while_connecting(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            [backend] = backends
            backend.behaviour, backend.retry_after = Behaviour.SHEDDING, "5"
            acquire = UpstreamConnectionPool.acquire
            first_refused = asyncio.Event()
            acquired = itertools.count(1)

            async def acquire_late(
                pool: UpstreamConnectionPool, name: str, address: str
            ) -> ClientConnection:
                is_second = next(acquired) == 2
                connection = await acquire(pool, name, address)
                if is_second:
                    await first_refused.wait()
                return connection

            with mock.patch.object(UpstreamConnectionPool, "acquire", acquire_late):
                # Both are chosen before the first response arrives.
                first = asyncio.create_task(executor.serve(make_request(*_ONCE)))
                second = asyncio.create_task(executor.serve(make_request(*_ONCE)))
                await first
                first_refused.set()
                self.assertEqual(503, (await second).status)
            self.assertEqual(1, len(backend.arrivals))
            self.assertEqual(3, next(acquired), "the second request did not get a connection")

        self.run_with_backends(1, scenario)
