"""Upstream lists: draining upstreams get no more work within seconds, even without readers."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from egretrail.identity import InstanceName, ServiceName, UpstreamName
from egretrail.runtime import UpstreamListDriver
from egretrail.runtime import _upstream_list as upstream_list
from egretrail.runtime.tests._fleet import FakeFleet
from egretrail.testing import EgretrailTestCase, listed

_SERVICE = ServiceName("katalogi")
_DRAINED = UpstreamName("u1")


class _ListedFleet(FakeFleet):
    """Every instance also runs the upstream list driver of one service."""

    def __init__(self, size: int) -> None:
        super().__init__(size)
        upstreams = [listed(f"u{index}", _SERVICE, "vantaa-a", index) for index in range(4)]
        others = [listed(f"v{index}", "varaus", "espoo-b", index) for index in range(4)]
        self.list = type(self.list)([*self.list.rows, *upstreams, *others])
        self.lists: dict[InstanceName, UpstreamListDriver] = {}
        self.serves: Callable[[ServiceName], bool] = lambda service: service == _SERVICE

    async def start_all(self, settle_s: float = 20.0) -> None:
        for name in self.names:
            membership = self.make(name)
            driver = UpstreamListDriver(
                membership,
                self.peers[name],
                lambda service: self.serves(service),
                lambda: [service for service in (_SERVICE,) if self.serves(service)],
                random.Random(f"lists{name}"),
            )
            self.lists[name] = driver
            await driver.start()
            await membership.start()
            await membership.announce_ready()
        await asyncio.sleep(settle_s)

    def members_offering(self, upstream: UpstreamName) -> set[InstanceName]:
        """Return the members of the group that would still send requests to the upstream."""
        group = self.drivers[self.names[0]].group(_SERVICE)
        return {
            member.name
            for member in group
            if upstream in [row.name for row in self.lists[member.name].upstreams(_SERVICE)]
        }


class UpstreamListTest(EgretrailTestCase):
    def _run(self, scenario: Callable[[_ListedFleet], Awaitable[None]]) -> None:
        async def run() -> None:
            fleet = _ListedFleet(9)
            await fleet.start_all()
            await scenario(fleet)

        self.run_paused(run())

    def test_every_instance_holds_the_upstreams_of_its_services_only(self) -> None:
        async def scenario(fleet: _ListedFleet) -> None:
            for driver in fleet.lists.values():
                self.assertEqual(4, len(driver.upstreams(_SERVICE)))
                self.assertEqual([], list(driver.upstreams(ServiceName("varaus"))))

        self._run(scenario)

    def test_a_drain_sign_reaches_the_group_while_the_list_lags(self) -> None:
        async def scenario(fleet: _ListedFleet) -> None:
            fleet.list.lag_s = 40.0
            fleet.network.loss_share = 0.3
            first = fleet.drivers[fleet.names[0]].group(_SERVICE)[0].name
            fleet.lists[first].record_drain(_SERVICE, _DRAINED)
            await asyncio.sleep(5.0)
            self.assertEqual(set(), fleet.members_offering(_DRAINED))
            fleet.list.remove(_DRAINED)
            for _ in range(40):
                await asyncio.sleep(2.0)
                self.assertEqual(set(), fleet.members_offering(_DRAINED))

        self._run(scenario)

    def test_a_removed_row_is_pushed_to_the_group_within_seconds(self) -> None:
        async def scenario(fleet: _ListedFleet) -> None:
            # A fleet of 3,500 instances polls every 350 s.
            self.patch(upstream_list, "_MIN_POLL_PERIOD_S", 350.0)
            await asyncio.sleep(5.0)
            fleet.list.remove(_DRAINED)
            await asyncio.sleep(5.0)
            self.assertEqual(set(), fleet.members_offering(_DRAINED))

        self._run(scenario)

    def test_a_change_arrives_while_every_reader_is_partitioned(self) -> None:
        async def scenario(fleet: _ListedFleet) -> None:
            for reader in fleet.drivers[fleet.names[0]].list_readers():
                for name in fleet.names:
                    fleet.network.cut_both(reader, name)
            fleet.list.remove(_DRAINED)
            await asyncio.sleep(45.0)
            offering = {
                name for name, driver in fleet.lists.items() if _DRAINED in driver.names(_SERVICE)
            }
            self.assertEqual(set(), offering)

        self._run(scenario)

    def test_services_that_start_together_have_their_upstreams_within_two_seconds(self) -> None:
        async def run() -> None:
            fleet = _ListedFleet(6)
            serving: list[ServiceName] = []
            fleet.serves = lambda service: service in serving
            await fleet.start_all(settle_s=0.5)
            serving.append(_SERVICE)
            for driver in fleet.lists.values():
                driver.request_rows_soon()
            await asyncio.sleep(2.0)
            counts = [len(driver.upstreams(_SERVICE)) for driver in fleet.lists.values()]
            self.assertEqual([4] * 6, counts)

        self.run_paused(run())

    def test_few_instances_read_the_list(self) -> None:
        async def scenario(fleet: _ListedFleet) -> None:
            before = fleet.list.reads
            await asyncio.sleep(100.0)
            per_second = (fleet.list.reads - before) / 100.0
            self.assertLess(per_second, 3 / 2.0 + 6 / 20.0 + 0.5)

        self._run(scenario)


class FetchTest(EgretrailTestCase):
    def test_fetch_gets_the_rows_of_a_service_with_unknown_rows(self) -> None:
        async def run() -> None:
            fleet = _ListedFleet(6)
            fleet.serves = lambda service: False
            await fleet.start_all(settle_s=5.0)
            fleet.serves = lambda service: service == _SERVICE
            for driver in fleet.lists.values():
                await driver.fetch(_SERVICE)
                self.assertEqual(4, len(driver.upstreams(_SERVICE)))

        self.run_paused(run())
