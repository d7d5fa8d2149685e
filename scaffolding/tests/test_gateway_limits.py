"""Upstreams name how many requests a second they take from all gateways together."""

import asyncio
from collections.abc import Sequence

from egretrail.testing import cases
from scaffolding.platform import StandInBackend
from scaffolding.tests.gateway_stage import GatewayTest, Stage

#: A limit is kept from this time after it was first named.
_KEPT_AFTER_S = 3.0
#: In any time of this length an upstream gets at most this multiple of its limit, and so many more.
_WINDOW_S, _FACTOR, _SLACK = 4.0, 1.5, 5
#: Callers of each gateway: together they need more slots than the upstreams have.
_GATEWAYS, _CALLERS, _WORK_S = 6, 4, 0.2


def _most_in_a_window(times_s: Sequence[float]) -> int:
    return max(
        (sum(0 <= later_s - time_s < _WINDOW_S for later_s in times_s) for time_s in times_s),
        default=0,
    )


class NamedLimitTest(GatewayTest):
    @cases({"one_of_three_names_a_limit": 1, "all_name_a_limit": 3})
    def test_an_upstream_gets_no_more_than_the_limit_that_it_named(self, limited: int) -> None:
        """Each gateway chose by load alone, and an upstream in need got its usual share."""

        async def act(stage: Stage) -> None:
            backends = [one for one in stage.fleet.backends if one.service == "orders"]
            for backend in backends:
                backend.work_s = _WORK_S
            for backend in backends[:limited]:
                backend.limit_per_s = 2.0
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            gateways = [n for n in range(_GATEWAYS) for _ in range(_CALLERS)]
            calling = [loop.create_task(_order_forever(stage, n)) for n in gateways]
            await asyncio.sleep(_KEPT_AFTER_S + 6.0)
            for task in calling:
                task.cancel()
            for backend in backends[:limited]:
                self.assertLessEqual(_most(backend, began_s), _FACTOR * _WINDOW_S * 2.0 + _SLACK)
                # A limit is what the upstream can take, and not a reason to leave it alone.
                self.assertGreaterEqual(_most(backend, began_s), 0.5 * _WINDOW_S * 2.0)

        self.play(act, count=_GATEWAYS)


async def _order_forever(stage: Stage, number: int) -> None:
    while True:
        await stage.order(number)
        await asyncio.sleep(0.1)


def _most(backend: StandInBackend, began_s: float) -> int:
    return _most_in_a_window([at for at, _ in backend.arrivals if at > began_s + _KEPT_AFTER_S])
