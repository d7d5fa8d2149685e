"""A configuration of thousands of routes and its changes reach all instances in time.

Instances answered 404 to valid requests for a route that had been added seconds before. All
instances of a zone fetched the whole configuration from its hub at the same moment and timed out
after 0.7 s whatever its size. Each retry started at the first byte, so that the hub's link was full
of bytes that were thrown away.
"""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Sequence

from result import Ok

from egretrail.cluster import run_to_completion, split_config
from egretrail.gateway.tests.fleet import Fleet
from egretrail.gateway.tests.streams import SimulatedStreams
from egretrail.platform import PlatformLayout
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform.fleet import config, route

#: The maximum time until a configuration is in force everywhere, after the readers applied it.
_IN_FORCE_S = 2.5
#: Weak instances have links of 10 Mbit/s, the two strong ones of each zone links of 200 Mbit/s.
_WEAK_BYTES_PER_S, _STRONG_BYTES_PER_S = 1.25e6, 25e6
_FIRST_ROUTES = 18
#: The maximum bytes of a change of one route for each instance: some routes, and finding them.
_CHANGE_BYTES = 16_384


def _routes(count: int, timeout_ms: int = 3000) -> Sequence[dict[str, object]]:
    rows = [
        route(f"r-{n:06x}", f"/p{n * 7919 % 1_000_003:x}/q{n % 97}/", f"s{n % 3}")
        for n in range(count)
    ]
    rows[0]["timeout"] = f"{timeout_ms}ms"
    return rows


class _Operators:
    """Changes the configuration at the instances that read the store."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.versions: list[tuple[float, int]] = []

    async def change(self, routes: Sequence[dict[str, object]]) -> None:
        """Put a next version in force at the readers: the hubs of two zones."""
        version = len(self.versions) + 1
        value = json.dumps(config(version, routes)).encode()
        self.versions.append((asyncio.get_running_loop().time(), version))
        for zone in (0, 1):
            hub = self._fleet.hub(zone)
            await _apply_config(self._fleet, hub, value)

    def required(self, now_s: float) -> int:
        """Return the version that must be in force everywhere by now."""
        due = [version for at_s, version in self.versions if at_s <= now_s - _IN_FORCE_S]
        return max(due, default=0)


async def _apply_config(fleet: Fleet, address: str, value: bytes) -> None:
    decoded = PlatformLayout().decode_config(value)
    assert isinstance(decoded, Ok)
    fleet.views[address].apply_config(run_to_completion(split_config(decoded.ok_value)), "store")


class LargeConfigTest(EgretrailTestCase):
    @cases(
        {
            "1800_routes_more": (1_800, 0),
            "3600_routes_more": (3_600, 0),
            "3600_routes_and_ten_changes_in_4_s": (3_600, 10),
        }
    )
    def test_each_version_is_in_force_everywhere_in_time(self, case: tuple[int, int]) -> None:
        more, changes = case
        late: list[str] = []

        async def watch(fleet: Fleet, operators: _Operators) -> None:
            loop = asyncio.get_running_loop()
            while True:
                await asyncio.sleep(0.1)
                required = operators.required(loop.time())
                for address, view in fleet.views.items():
                    if view.config_version < required:
                        late.append(
                            f"{loop.time():.1f} {address} {view.config_version} < {required}"
                        )

        async def run() -> None:
            async with _running_fleet() as fleet:
                operators = _Operators(fleet)
                watching = asyncio.get_running_loop().create_task(watch(fleet, operators))
                await operators.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(4.0)
                await operators.change(_routes(_FIRST_ROUTES + more))
                for number in range(changes):
                    await asyncio.sleep(0.4)
                    await operators.change(_routes(_FIRST_ROUTES + more, 2_000 + number))
                await asyncio.sleep(_IN_FORCE_S + 1.0)
                versions = {view.config_version for view in fleet.views.values()}
                watching.cancel()
            self.assertEqual({len(operators.versions)}, versions)

        self.run_paused(run())
        self.assertEqual([], late[:5])

    def test_a_change_of_one_route_moves_little(self) -> None:
        """The bytes grow with the change, not with the configuration of 0.7 MB."""

        async def run() -> None:
            async with _running_fleet() as fleet:
                operators = _Operators(fleet)
                await operators.change(_routes(3_600))
                await asyncio.sleep(8.0)
                before = fleet.network.traffic.bytes_streamed
                await operators.change(_routes(3_600, 2_500))
                await asyncio.sleep(_IN_FORCE_S)
                versions = {view.config_version for view in fleet.views.values()}
                moved_bytes = fleet.network.traffic.bytes_streamed - before
            self.assertEqual({2}, versions)
            self.assertLess(moved_bytes / len(fleet.addresses), _CHANGE_BYTES)

        self.run_paused(run())


@contextlib.asynccontextmanager
async def _running_fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet([6, 6, 36])
    streams = fleet.streams = SimulatedStreams(fleet.network)
    for address in fleet.addresses:
        strong = int(address.split(".")[3]) < 2
        fleet.capacities[address] = 2.15 if strong else 0.43
        rate = _STRONG_BYTES_PER_S if strong else _WEAK_BYTES_PER_S
        fleet.network.limits_bytes_per_s[address] = rate
    with streams.in_place_of_sockets():
        for address in fleet.addresses:
            fleet.start(address, fleet.addresses[:1])
        await asyncio.sleep(4.0)
        yield fleet
        fleet.stop()
