"""One instance's discovery that an address belongs to another upstream reaches the fleet."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from egretrail.gateway._executor import RequestExecutor
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.executor import (
    FIRST_REVISION,
    ExecutorTestCase,
    listed_record,
    make_request,
)
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform import StandInBackend

_Finder = Callable[[Fleet], str]


def _member(fleet: Fleet) -> str:
    return next(one for one in fleet.addresses[:8] if one != fleet.hub(0))


class ReplacedUpstreamTest(EgretrailTestCase):
    """Guards against a wasted retry of each instance for each address that another one has.

    After a release, 132 instances spent 120 retries in 2 s on such addresses.
    """

    @cases(
        {
            "a member of a zone": (_member, 0.0, False, 0.7),
            "the hub of a zone": (lambda fleet: fleet.hub(0), 0.0, False, 0.7),
            "a member, with datagrams lost": (_member, 0.2, False, 1.5),
            "a member whose hub fails at once": (_member, 0.0, True, 2.0),
        }
    )
    def test_all_instances_stop_after_one_discovery(
        self, case: tuple[_Finder, float, bool, float]
    ) -> None:
        finder, loss, is_hub_killed, bound_s = case

        async def run() -> Sequence[str]:
            fleet = Fleet([8, 8, 8])
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:2])
            await asyncio.sleep(4.0)
            fleet.network.loss = loss
            fleet.views[finder(fleet)].record_replaced("u")
            if is_hub_killed:
                # The hub of the zone has received the report, and other zones have not.
                hub = fleet.hub(0)
                while fleet.views[hub].upstreams.is_ready("u"):
                    await asyncio.sleep(0.001)
                fleet.kill(hub)
            await asyncio.sleep(bound_s)
            sending = [
                address
                for address, view in fleet.views.items()
                if view.upstreams.is_ready("u") or not view.upstreams.is_ready("v")
            ]
            fleet.stop()
            return sending

        self.assertEqual([], self.run_paused(run()))

    def test_reports_end(self) -> None:
        """Guards against reports that hubs and members send to each other forever."""

        async def run() -> Sequence[object]:
            fleet = Fleet([4, 4])
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:2])
            await asyncio.sleep(4.0)
            fleet.views[fleet.addresses[1]].record_replaced("u")
            await asyncio.sleep(4.0)
            views = fleet.views.values()
            left = [*(view.recently_draining() for view in views)]
            left += [view.next_heartbeat().replaced for view in views]
            fleet.stop()
            return [one for one in left if one]

        self.assertEqual([], self.run_paused(run()))


class DiscoveryTest(ExecutorTestCase):
    def test_a_response_of_another_upstream_is_reported(self) -> None:
        async def scenario(
            executor: RequestExecutor, view: FleetView, backends: Sequence[StandInBackend]
        ) -> None:
            [backend] = backends
            record = replace(listed_record(backend), name="former")
            view.replace_upstreams([record], FIRST_REVISION + 1, "test")
            await executor.serve(make_request(b"GET", b"/read/x"))
            self.assertEqual(1, len(backend.arrivals))
            self.assertEqual([record.id], list(view.next_heartbeat().replaced))
            self.assertEqual([record.id], list(view.recently_draining(cross_zone=True)))

        self.run_with_backends(1, scenario)
