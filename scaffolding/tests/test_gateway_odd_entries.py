"""Tests of whole processes beside odd entries that another writer has left in the store.

All processes read the same entries, so one that a process can't bear is a fault of all of them, and
starting them again doesn't help.
"""

import asyncio
from collections.abc import Callable, Mapping

from egretrail.testing import cases
from scaffolding.platform import GatewayFleet
from scaffolding.platform.fleet import config
from scaffolding.platform.odd_entries import (
    HARMFUL_ENTRIES,
    ODD_ENTRIES,
    OddEntry,
    entry,
    odd_configs,
)
from scaffolding.tests.fleet_judge import CONFIG_APPLY_S, DRAIN_S, FleetJudge
from scaffolding.tests.gateway_harness import ROUTES, FleetHarness, GatewayTest

_GATEWAYS = 4
#: Orders are served as before, up to chance.
_SERVED_MIN = 0.97
#: Time after an odd entry until orders are judged, and between the entries of a series.
_SETTLE_S, _SERIES_S = 0.5, 0.08
#: Late requests at a draining upstream are looked for until this long after the bound.
_LINGER_S = 0.5

Write = Callable[[GatewayFleet], None]


def _write(fleet: GatewayFleet, odd: OddEntry) -> None:
    fleet.store.write_bytes(f"servers/{odd.name}", odd.value)


def _write_all(fleet: GatewayFleet, entries: Mapping[str, OddEntry]) -> None:
    for number, odd in enumerate(entries.values()):
        name = odd.name if odd.name != "odd" else f"odd-{number}"
        fleet.store.write_bytes(f"servers/{name}", odd.value)


def _some_of(entries: Mapping[str, OddEntry], count: int) -> Mapping[str, OddEntry]:
    """Return entries spread over a table."""
    names = list(entries)
    return {name: entries[name] for name in names[:: max(len(names) // count, 1)][:count]}


class _OddEntryTest(GatewayTest):
    """Each scenario ends with a new route, a drain and a restart beside the odd entry."""

    def judge_after(self, write: Write, *, before_start: bool = False) -> None:
        """Judge a fleet after something odd was written."""

        async def scenario(harness: FleetHarness) -> None:
            judge = FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                written_s = judge.now_s()
                write(harness.fleet)
                await asyncio.sleep(_SETTLE_S)
                await self.judge_the_rest(judge, written_s)

        if before_start:
            self.run_scenario(
                scenario, count=_GATEWAYS, prepare=lambda harness: write(harness.fleet)
            )
        else:
            self.run_scenario(scenario, count=_GATEWAYS)

    async def judge_the_rest(self, judge: FleetJudge, written_s: float) -> None:
        """Add a route, drain an upstream, restart a process, and judge all orders since a time."""
        judge.add_route()
        judge.drain(judge.harness.fleet.backends[-1])
        self.assertEqual([], judge.findings())
        await asyncio.gather(
            judge.kill_and_start(_GATEWAYS - 1),
            asyncio.sleep(max(CONFIG_APPLY_S, DRAIN_S) + _LINGER_S),
        )
        self.assertEqual([], judge.findings())
        times = " ".join(f"{version}:{s:.2f}" for version, s in judge.apply_times_s().items())
        print(f"known everywhere after, s: {times}; served {judge.served_share(written_s):.3f}")
        self.assertLessEqual(max(judge.apply_times_s().values()), CONFIG_APPLY_S)
        self.assertEqual(0, judge.unanswered(written_s))
        self.assertGreaterEqual(judge.served_share(written_s), _SERVED_MIN)
        self.assertGreaterEqual(judge.served_share_of_routes(), _SERVED_MIN)
        result = await judge.harness.send_order(_GATEWAYS - 1)
        self.assertEqual(200, result.status)


class HarmfulEntryTest(_OddEntryTest):
    # Guards against an entry that ends all processes or takes all of their processor time.
    @cases(HARMFUL_ENTRIES)
    def test_a_fleet_serves_beside_it(self, odd: OddEntry) -> None:
        self.judge_after(lambda fleet: _write(fleet, odd))

    # Guards against a process that can't start while the entry is there.
    @cases(
        {
            name: HARMFUL_ENTRIES[name]
            for name in ("port of 5,000 digits", "slots 2^31", "key with a surrogate")
        }
    )
    def test_a_fleet_starts_beside_it(self, odd: OddEntry) -> None:
        self.judge_after(lambda fleet: _write(fleet, odd), before_start=True)

    # Guards against one entry of a batch that takes the others with it.
    @cases({"in a change": False, "before the start": True})
    def test_a_fleet_serves_beside_fifty_at_once(self, before_start: bool) -> None:
        odd = {**_some_of(ODD_ENTRIES, 44), **HARMFUL_ENTRIES}
        self.judge_after(lambda fleet: _write_all(fleet, odd), before_start=before_start)

    # Guards against an odd entry that hides the valid ones of the same key.
    def test_a_valid_entry_replaces_one_between_two_valid_ones(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            judge = FleetJudge(harness, _GATEWAYS)
            backend = harness.fleet.backends[0]
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                written_s = judge.now_s()
                for odd in HARMFUL_ENTRIES.values():
                    harness.fleet.store.write(f"servers/{backend.id}", backend.store_entry())
                    harness.fleet.store.write_bytes(f"servers/{backend.id}", odd.value)
                    harness.fleet.store.write(f"servers/{backend.id}", backend.store_entry())
                    await asyncio.sleep(_SERIES_S)
                await asyncio.sleep(_SETTLE_S)
                count = len(backend.arrivals)
                await self.judge_the_rest(judge, written_s)
                self.assertGreater(len(backend.arrivals), count)

        self.run_scenario(scenario, count=_GATEWAYS)

    # Guards against an odd entry over the one of a draining upstream that brings it back.
    def test_draining_upstreams_stay_drained(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            judge, store = FleetJudge(harness, _GATEWAYS), harness.fleet.store
            over_them = [
                HARMFUL_ENTRIES["port of 5,000 digits"],
                HARMFUL_ENTRIES["slots 2^31"],
                ODD_ENTRIES["not JSON"],
            ]
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                for backend, odd in zip(harness.fleet.backends[::2], over_them, strict=True):
                    judge.drain(backend)
                    store.write_bytes(f"servers/{backend.id}", odd.value)
                await asyncio.sleep(DRAIN_S + _LINGER_S)
                self.assertEqual([], judge.findings())
                self.assertGreaterEqual(judge.served_share(), _SERVED_MIN)

        self.run_scenario(scenario, count=_GATEWAYS)


class OddEntrySeriesTest(_OddEntryTest):
    # Guards against an entry that ends a process, or costs orders, of all those in the table.
    @cases({"the first half": 0, "the second half": 1})
    def test_a_fleet_serves_beside_each_of_a_series(self, half: int) -> None:
        async def scenario(harness: FleetHarness) -> None:
            judge = FleetJudge(harness, _GATEWAYS)
            live = harness.fleet.backends[0]
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                written_s = judge.now_s()
                for number, (name, odd) in enumerate(list(ODD_ENTRIES.items())[half::2]):
                    _write(harness.fleet, odd)
                    # Over the entry of a live upstream as well, which is back afterwards.
                    if number % 3 == 0:
                        harness.fleet.store.write_bytes(f"servers/{live.id}", odd.value)
                    await asyncio.sleep(_SERIES_S)
                    self.assertEqual([], judge.findings(), name)
                    harness.fleet.store.remove(f"servers/{odd.name}")
                    harness.fleet.store.write(f"servers/{live.id}", live.store_entry())
                    if number % 20 == 0:
                        judge.add_route()
                await self.judge_the_rest(judge, written_s)

        self.run_scenario(scenario, count=_GATEWAYS)

    # Guards against an entry that names an address of the fleet, the store or another upstream.
    def test_a_fleet_serves_beside_entries_with_taken_addresses(self) -> None:
        def write(fleet: GatewayFleet) -> None:
            addresses = [
                fleet.traffic_address(0),
                fleet.readiness_address(1),
                fleet.store_address,
                fleet.backends[0].address,
                fleet.backends[0].address,
            ]
            for number, address in enumerate(addresses):
                value = entry(address=address, service="catalogue")
                fleet.store.write_bytes(f"servers/odd-{number}", value)
            # An entry of an absurd lifetime under the name of a live upstream.
            live = fleet.backends[0]
            fleet.store.write(f"servers/{live.id}", {**live.store_entry(), "born": 2**62})

        self.judge_after(write)


_ROUTES = [{**row, "timeout": "20000ms"} for row in ROUTES]
#: Configurations that end all processes or with which no order can be served.
_HARMFUL_CONFIGS = (
    "version of 30 digits",
    "version of 5,000 digits",
    "header limit -1",
    "weights 1e308",
    "a service's name of 1 MB",
    "a route's name of 1 MB",
)


class OddConfigurationTest(_OddEntryTest):
    # Guards against a configuration that ends all processes, or makes them answer nobody.
    def test_a_fleet_serves_with_the_one_before(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            judge = FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                first_s = judge.now_s()
                for name in _HARMFUL_CONFIGS:
                    written_s = judge.now_s()
                    document = odd_configs(judge.next_version(), _ROUTES)[name]
                    harness.fleet.store.write("op/config", document)
                    await asyncio.sleep(_SETTLE_S)
                    self.assertEqual([], judge.findings(), name)
                    self.assertGreaterEqual(judge.served_share(written_s), _SERVED_MIN, name)
                await self.judge_the_rest(judge, first_s)

        self.run_scenario(scenario, count=_GATEWAYS)

    # Guards against a proper configuration that is lost behind an odd one.
    def test_a_fleet_takes_the_proper_one_after_each_of_a_series(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            judge = FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                written_s = judge.now_s()
                for name in odd_configs(50, _ROUTES):
                    document = odd_configs(judge.next_version(), judge.routes)[name]
                    if isinstance(document, bytes):
                        harness.fleet.store.write_bytes("op/config", document)
                    else:
                        harness.fleet.store.write("op/config", document)
                    judge.add_route()
                    await asyncio.sleep(_SERIES_S)
                    self.assertEqual([], judge.findings(), name)
                await self.judge_the_rest(judge, written_s)

        self.run_scenario(scenario, count=_GATEWAYS)

    # Guards against a process that can't start beside an odd configuration, or serves by it.
    @cases({"version of 30 digits": "version of 30 digits", "header limit -1": "header limit -1"})
    def test_a_process_starts_beside_one(self, name: str) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, store = harness.fleet, harness.fleet.store
            judge = FleetJudge(harness, _GATEWAYS)
            async with judge.watching():
                await asyncio.sleep(_SETTLE_S)
                store.write("op/config", odd_configs(50, _ROUTES)[name])
                await judge.kill_and_start(0)
                self.assertEqual(200, (await harness.send_order(0)).status)
                store.write("op/config", config(51, ROUTES))
                await asyncio.sleep(_SETTLE_S)
                self.assertEqual([], judge.findings())
                for number in range(_GATEWAYS):
                    self.assertEqual(200, (await harness.send_order(number)).status)
                    self.assertTrue(fleet.is_running(number))

        self.run_scenario(scenario, count=_GATEWAYS)
