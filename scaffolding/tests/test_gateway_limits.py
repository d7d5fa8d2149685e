"""Tests of rate limits that upstreams state for all gateways together."""

import asyncio
from collections.abc import Sequence

from egretrail.testing import cases
from scaffolding.platform import StandInBackend
from scaffolding.tests.gateway_harness import FleetHarness, GatewayTest

#: A limit must be kept from this time on, counted from its first statement.
_KEPT_AFTER_S = 3.0
#: In any window of this length, an upstream gets at most this multiple of its limit, plus a slack.
_WINDOW_S, _FACTOR, _SLACK = 4.0, 1.5, 5
#: Gateways, clients of each, and seconds per request; together they need more slots than there are.
_GATEWAYS, _CLIENTS, _WORK_S = 6, 4, 0.2


def _max_in_window(times_s: Sequence[float]) -> int:
    return max(
        (sum(0 <= later_s - time_s < _WINDOW_S for later_s in times_s) for time_s in times_s),
        default=0,
    )


class RateLimitTest(GatewayTest):
    @cases({"one_of_three_states_a_limit": 1, "all_state_a_limit": 3})
    def test_an_upstream_gets_no_more_requests_than_its_limit(self, limited: int) -> None:
        """Guards against gateways that choose upstreams by load alone.

        An upstream that had stated a limit still got its typical share of the requests.
        """

        async def scenario(harness: FleetHarness) -> None:
            backends = [one for one in harness.fleet.backends if one.service == "orders"]
            for backend in backends:
                backend.work_s = _WORK_S
            for backend in backends[:limited]:
                backend.limit_per_s = 2.0
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            gateways = [n for n in range(_GATEWAYS) for _ in range(_CLIENTS)]
            client_tasks = [loop.create_task(_send_orders_forever(harness, n)) for n in gateways]
            await asyncio.sleep(_KEPT_AFTER_S + 6.0)
            for task in client_tasks:
                task.cancel()
            for backend in backends[:limited]:
                self.assertLessEqual(
                    _max_after_grace(backend, began_s), _FACTOR * _WINDOW_S * 2.0 + _SLACK
                )
                # Up to its limit the upstream must still be used.
                self.assertGreaterEqual(_max_after_grace(backend, began_s), 0.5 * _WINDOW_S * 2.0)

        self.run_scenario(scenario, count=_GATEWAYS)


async def _send_orders_forever(harness: FleetHarness, number: int) -> None:
    while True:
        await harness.send_order(number)
        await asyncio.sleep(0.1)


def _max_after_grace(backend: StandInBackend, began_s: float) -> int:
    return _max_in_window([at for at, _ in backend.arrivals if at > began_s + _KEPT_AFTER_S])
