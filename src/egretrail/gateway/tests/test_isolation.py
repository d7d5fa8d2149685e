"""What a fleet knows of its isolated instances, over a simulated network."""

import asyncio
from collections.abc import Callable, Sequence

from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases

_SIZES = [8, 8, 8]
_KNOWN_S = 1.0
#: Isolated instances of the fleet's addresses, which are ordered by zone.
_CUTS: dict[str, Callable[[Sequence[str]], Sequence[str]]] = {
    "one": lambda addresses: addresses[3:4],
    "a few": lambda addresses: addresses[1::7],
    "half": lambda addresses: addresses[::2],
    "a zone": lambda addresses: addresses[:8],
    "all but one": lambda addresses: addresses[1:],
    "all": lambda addresses: addresses,
}


class IsolationTest(EgretrailTestCase):
    """Guards against tasks, and clients, of instances that reach no upstream."""

    def _assert_known(self, fleet: Fleet, isolated: Sequence[str]) -> None:
        for address, view in fleet.views.items():
            known = view.membership.isolated()
            self.assertEqual(set(isolated), set(known), address)

    def _assert_tasks_at_connected(self, fleet: Fleet, isolated: Sequence[str]) -> None:
        for number in range(20):
            task = f"trial u{number}"
            first = [
                address
                for address, view in fleet.views.items()
                if view.membership.task_rank(task, "z1") == 0 and address not in isolated
            ]
            self.assertEqual(1, len(first))

    @cases(_CUTS)
    def test_all_know_which_instances_are_isolated(
        self, cut: Callable[[Sequence[str]], Sequence[str]]
    ) -> None:
        async def run() -> None:
            fleet = Fleet(_SIZES)
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:2])
            await asyncio.sleep(4.0)
            isolated = cut(fleet.addresses)
            fleet.network.loss = 0.05
            for address in isolated:
                fleet.views[address].set_isolated(True)
            await asyncio.sleep(_KNOWN_S)
            self._assert_known(fleet, isolated)
            if len(isolated) < len(fleet.addresses):
                self._assert_tasks_at_connected(fleet, isolated)
            for address in isolated:
                fleet.views[address].set_isolated(False)
            await asyncio.sleep(_KNOWN_S)
            self._assert_known(fleet, [])
            fleet.stop()

        self.run_paused(run())

    def test_requests_that_hang_at_isolated_instances_take_no_slots(self) -> None:
        """Guards against slots that count as taken until the requests' deadlines.

        The upstreams have finished these requests; only their responses were lost.
        """

        async def run() -> None:
            fleet = Fleet(_SIZES)
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:2])
            await asyncio.sleep(4.0)
            isolated, others = fleet.addresses[:8], fleet.addresses[8:]
            loop = asyncio.get_running_loop()
            for address in isolated:
                fleet.views[address].record_request_start("u", trial=False)
            await asyncio.sleep(_KNOWN_S)
            for address in others:
                self.assertEqual(8, fleet.views[address].load.in_flight("u", loop.time()))
            for address in isolated:
                fleet.views[address].set_isolated(True)
            await asyncio.sleep(_KNOWN_S)
            for address in others:
                self.assertEqual(0, fleet.views[address].load.in_flight("u", loop.time()))
            for address in isolated:
                fleet.views[address].record_request_end("u")
                fleet.views[address].set_isolated(False)
            await asyncio.sleep(_KNOWN_S)
            for address in fleet.addresses:
                self.assertEqual(0, fleet.views[address].load.in_flight("u", loop.time()))
            fleet.stop()

        self.run_paused(run())

    def test_all_know_it_while_hubs_are_killed_and_instances_restart(self) -> None:
        async def run() -> None:
            fleet = Fleet(_SIZES)
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:2])
            await asyncio.sleep(4.0)
            hub = fleet.hub(0)
            isolated = [one for one in fleet.addresses[:8] if one != hub]
            for address in isolated:
                fleet.views[address].set_isolated(True)
            await asyncio.sleep(_KNOWN_S)
            fleet.kill(hub)
            restarted = next(one for one in isolated if one != hub)
            fleet.kill(restarted)
            await asyncio.sleep(0.5)
            fleet.start(restarted, fleet.addresses[8:10])
            await asyncio.sleep(5.0)
            self._assert_known(fleet, [one for one in isolated if one != restarted])
            fleet.stop()

        self.run_paused(run())
