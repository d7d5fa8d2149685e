"""Tests that gateways keep to what upstreams state in their responses."""

import asyncio
from collections.abc import Sequence

from egretrail.testing import cases
from scaffolding.platform import Behaviour, StandInBackend
from scaffolding.platform.store import StoreMode
from scaffolding.tests.gateway_harness import FleetHarness, GatewayTest

#: Gateways, clients of each, and seconds per request; together they need more slots than two of
#: three upstreams have.
_GATEWAYS, _CLIENTS, _WORK_S = 3, 4, 0.3
#: A gateway may send requests that clients sent until this long after it passed on the response.
_DRAIN_BOUND_S = 2.0
#: From this time after a refusal until its Retry-After, a gateway may send this many requests.
_BACKOFF_GRACE_S, _BACKOFF_REQUESTS_MAX = 0.5, 2
_BACKOFF_S = 3.0


class _Traffic:
    """Clients that send orders one after the other, and when each order was sent."""

    def __init__(self, harness: FleetHarness) -> None:
        self._harness = harness
        #: Gateway, send time and completion time by client attempt.
        self.orders: dict[str, tuple[int, float, float]] = {}

    async def run_for(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        numbers = [n for n in range(_GATEWAYS) for _ in range(_CLIENTS)]
        await asyncio.gather(*(self._send_until(end_s, number) for number in numbers))

    async def _send_until(self, end_s: float, number: int) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            sent_s = loop.time()
            result = await self._harness.send_order(number)
            self.orders[result.attempt] = (number, sent_s, loop.time())
            await asyncio.sleep(0.05)


def _orders_backends(harness: FleetHarness) -> Sequence[StandInBackend]:
    return [one for one in harness.fleet.backends if one.service == "orders"]


class DrainingStatedTest(GatewayTest):
    @cases({"unavailable": StoreMode.UNAVAILABLE, "unresponsive": StoreMode.UNRESPONSIVE})
    def test_no_gateway_sends_to_a_draining_upstream_while_the_store_is_away(
        self, mode: StoreMode
    ) -> None:
        async def scenario(harness: FleetHarness) -> None:
            leaving = _orders_backends(harness)[0]
            traffic = _Traffic(harness)
            await traffic.run_for(0.5)
            harness.fleet.store.mode = mode
            leaving.draining = True
            await traffic.run_for(_DRAIN_BOUND_S + 2.0)
            bounds_s: dict[int, float] = {}
            for _, attempt in leaving.draining_stated:
                number, _, passed_on_s = traffic.orders[attempt]
                bound_s = passed_on_s + _DRAIN_BOUND_S
                bounds_s[number] = min(bounds_s.get(number, bound_s), bound_s)
            self.assertNotEqual({}, bounds_s)
            late = []
            for _, attempt in leaving.arrivals:
                number, sent_s, _ = traffic.orders[attempt]
                if sent_s > bounds_s.get(number, sent_s):
                    late.append((number, sent_s - bounds_s[number] + _DRAIN_BOUND_S))
            self.assertEqual([], late)

        self.run_scenario(scenario, count=_GATEWAYS)


class BackoffStatedTest(GatewayTest):
    @cases({"one_of_three": 1, "all": 3})
    def test_no_gateway_sends_to_an_upstream_before_its_retry_after(self, refusing: int) -> None:
        async def scenario(harness: FleetHarness) -> None:
            for backend in _orders_backends(harness):
                backend.work_s = _WORK_S
            backends = _orders_backends(harness)[:refusing]
            traffic = _Traffic(harness)
            await traffic.run_for(0.5)
            for backend in backends:
                backend.behaviour, backend.retry_after = Behaviour.SHEDDING, f"{_BACKOFF_S:g}"
            await traffic.run_for(_BACKOFF_S + 1.0)
            for backend in backends:
                self.assertNotEqual([], backend.backoffs_stated)
                for stated_s, attempt, _ in backend.backoffs_stated:
                    number = traffic.orders[attempt][0]
                    begin_s, end_s = stated_s + _BACKOFF_GRACE_S, stated_s + _BACKOFF_S
                    count = sum(
                        begin_s < at_s < end_s and traffic.orders[one][0] == number
                        for at_s, one in backend.arrivals
                    )
                    self.assertLessEqual(count, _BACKOFF_REQUESTS_MAX)

        self.run_scenario(scenario, count=_GATEWAYS)
