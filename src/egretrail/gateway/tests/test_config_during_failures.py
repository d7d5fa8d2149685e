"""Distribution of a configuration of thousands of routes while instances and links fail."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from unittest import mock

from result import Ok

from egretrail.cluster import ChunkedConfig, run_to_completion, split_config
from egretrail.gateway._log import EventLog
from egretrail.gateway.tests.fleet import Fleet
from egretrail.gateway.tests.streams import SimulatedStreams
from egretrail.platform import PlatformLayout
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform.fleet import config, route

#: The maximum time until a configuration is in force on an instance, after the readers of the store
#: applied it or after the instance's own failure ended.
_IN_FORCE_S = 2.5
#: Weak instances have links of 10 Mbit/s, strong ones of 200 Mbit/s.
_WEAK_BYTES_PER_S, _STRONG_BYTES_PER_S = 1.25e6, 25e6
_SLOW_BYTES_PER_S = 0.625e6
_ROUTES, _FIRST_ROUTES = 3_600, 18
#: The bytes that an instance receives of a configuration with this many more routes.
_CONFIG_BYTES = 60_000
#: The zone that receives configurations only from other zones, and the zones that read the store.
_REMOTE, _READING = 2, (0, 1)
#: An instance that has just started does not read the store for this long.
_START_WAIT_S = 0.15
_POLL_S = 0.02


def _routes(count: int, timeout_ms: int = 3000) -> Sequence[dict[str, object]]:
    rows = [
        route(f"r-{n:06x}", f"/p{n * 7919 % 1_000_003:x}/q{n % 97}/", f"s{n % 3}")
        for n in range(count)
    ]
    rows[0]["timeout"] = f"{timeout_ms}ms"
    return rows


@dataclass(frozen=True, slots=True)
class _Published:
    """A version that the operators wrote to the store."""

    #: The configuration.
    chunked: ChunkedConfig
    #: When the first reader applied it.
    at_s: float


@dataclass(slots=True)
class _Scenario:
    """A fleet whose operators change the configuration, and the versions on its instances."""

    fleet: Fleet
    #: The newest configuration in the store.
    stored: ChunkedConfig | None = None
    published: dict[int, _Published] = field(default_factory=dict)
    #: Since when each instance has had no failure of its own.
    healthy_since_s: dict[str, float] = field(default_factory=dict)
    #: Instances that need not have the newest version now.
    exempt: set[str] = field(default_factory=set)
    #: Violations of the invariants.
    violations: list[str] = field(default_factory=list)
    _versions: dict[tuple[str, int], int] = field(default_factory=dict)

    @property
    def now_s(self) -> float:
        """The time of the paused clock."""
        return asyncio.get_running_loop().time()

    def change(self, routes: Sequence[dict[str, object]]) -> None:
        """Write a next version to the store; its readers poll for it."""
        version = 1 if self.stored is None else self.stored.config.version + 1
        value = json.dumps(config(version, routes)).encode()
        decoded = PlatformLayout().decode_config(value)
        assert isinstance(decoded, Ok)
        self.stored = run_to_completion(split_config(decoded.ok_value, self.stored))

    def start(self, address: str) -> None:
        """Start an instance that knows the addresses listed in the store."""
        self.fleet.start(address, self.fleet.addresses[:1] + self.fleet.addresses[-2:])
        self.healthy_since_s[address] = self.now_s

    def zone(self, zone: int) -> Sequence[str]:
        """Return the addresses of a zone."""
        return [one for one in self.fleet.addresses if one.startswith(f"10.0.{zone}.")]

    def order(self, zone: int) -> Sequence[str]:
        """Return a zone's instances in the order of succession as its hub."""
        some = next(one for one in self.zone(zone) if one in self.fleet.views)
        return list(self.fleet.views[some].membership.hub_order(f"z{zone}"))

    async def midway(self) -> None:
        """Wait until a third of what the remote zone lacks has been transferred."""
        streamed_bytes = self.fleet.network.traffic.bytes_streamed
        while self.fleet.network.traffic.bytes_streamed < streamed_bytes + self.midway_bytes():
            await asyncio.sleep(0.002)
        lacking = [one for one in self.zone(_REMOTE) if not self.has_stored(one)]
        assert len(lacking) > len(self.zone(_REMOTE)) // 4, "too late to be midway"

    def midway_bytes(self) -> int:
        """Return a third of the configuration's bytes for the whole remote zone."""
        return _CONFIG_BYTES * len(self.zone(_REMOTE)) // 3

    def has_stored(self, address: str) -> bool:
        """Return whether the stored version is in force on an instance."""
        assert self.stored is not None
        return self.fleet.views[address].config_version == self.stored.config.version

    async def read_forever(self) -> None:
        """Let the hubs of the reading zones apply the stored version, as store readers do."""
        while True:
            await asyncio.sleep(_POLL_S)
            stored = self.stored
            if stored is None:
                continue
            for address, view in list(self.fleet.views.items()):
                zone = int(address.split(".")[2])
                reads = zone in _READING and view.membership.own_rank() == 0 and not view.leaving
                started = self.now_s - self.healthy_since_s[address] > _START_WAIT_S
                if reads and started and address not in self.fleet.network.paused:
                    version = stored.config.version
                    self.published.setdefault(version, _Published(stored, self.now_s))
                    view.apply_config(stored, "store")

    async def watch_forever(self) -> None:
        """Record versions that are late, that decrease, or that nobody published."""
        while True:
            await asyncio.sleep(_POLL_S)
            for address, view in self.fleet.views.items():
                self._check_instance(address, view.incarnation, view.configs.chunked)

    def _check_instance(self, address: str, incarnation: int, held: ChunkedConfig | None) -> None:
        version = 0 if held is None else held.config.version
        known = self.published.get(version)
        if held is not None and (known is None or held.digest != known.chunked.digest):
            self.violations.append(f"{self.now_s:.2f} {address} {version} was not published")
        before = self._versions.get((address, incarnation), 0)
        if version < before:
            self.violations.append(f"{self.now_s:.2f} {address} {version} after {before}")
        self._versions[address, incarnation] = version
        if address in self.exempt or address in self.fleet.network.paused:
            return
        if self.now_s - self.healthy_since_s[address] < _IN_FORCE_S:
            return
        due = [n for n, one in self.published.items() if one.at_s <= self.now_s - _IN_FORCE_S]
        if version < max(due, default=0):
            self.violations.append(f"{self.now_s:.2f} {address} has {version} of {max(due)}")


Failure = Callable[[_Scenario], Awaitable[None]]


async def _no_failure(scenario: _Scenario) -> None:
    """Check only the time limit."""


async def _kill_hub(scenario: _Scenario) -> None:
    await scenario.midway()
    scenario.fleet.kill(scenario.order(_REMOTE)[0])


async def _kill_hub_and_next(scenario: _Scenario) -> None:
    await scenario.midway()
    for address in scenario.order(_REMOTE)[:2]:
        scenario.fleet.kill(address)


async def _kill_hub_then_next(scenario: _Scenario) -> None:
    """Kill the second one as soon as it has become the hub."""
    await scenario.midway()
    order = scenario.order(_REMOTE)
    scenario.fleet.kill(order[0])
    await asyncio.sleep(0.45)
    scenario.fleet.kill(order[1])


async def _kill_all_hubs(scenario: _Scenario) -> None:
    await scenario.midway()
    for zone in (*_READING, _REMOTE):
        scenario.fleet.kill(scenario.order(zone)[0])


async def _pause_hub(scenario: _Scenario) -> None:
    await scenario.midway()
    hub = scenario.order(_REMOTE)[0]
    scenario.fleet.pause(hub)
    await asyncio.sleep(3.0)
    scenario.fleet.resume(hub)
    scenario.healthy_since_s[hub] = scenario.now_s


async def _pause_hub_repeatedly(scenario: _Scenario) -> None:
    """The pauses are too short, or just long enough, for another hub to take over."""
    await scenario.midway()
    hub = scenario.order(_REMOTE)[0]
    for _ in range(4):
        scenario.fleet.pause(hub)
        await asyncio.sleep(0.4)
        scenario.fleet.resume(hub)
        await asyncio.sleep(0.2)
    scenario.healthy_since_s[hub] = scenario.now_s


async def _cut_from_hub(scenario: _Scenario) -> None:
    await scenario.midway()
    hub = scenario.order(_REMOTE)[0]
    scenario.fleet.network.cut |= {frozenset({hub, one}) for one in scenario.order(_REMOTE)[-8:]}


async def _cut_inbound_to_hub(scenario: _Scenario) -> None:
    await scenario.midway()
    hub = scenario.order(_REMOTE)[0]
    scenario.fleet.network.cut_one_way |= {(one, hub) for one in scenario.order(_REMOTE)[-8:]}


async def _cut_outbound_from_hub(scenario: _Scenario) -> None:
    await scenario.midway()
    hub = scenario.order(_REMOTE)[0]
    scenario.fleet.network.cut_one_way |= {(hub, one) for one in scenario.order(_REMOTE)[-8:]}


async def _cut_outbound_before_change(scenario: _Scenario) -> None:
    """Members have received the hub's sections through relays for seconds when the change comes."""
    hub = scenario.order(_REMOTE)[0]
    scenario.fleet.network.cut_one_way |= {(hub, one) for one in scenario.order(_REMOTE)[-8:]}
    await asyncio.sleep(3.0)
    scenario.change(_routes(_ROUTES, 2_500))


async def _stall_hub_streams(scenario: _Scenario) -> None:
    _stall_streams(scenario, [_REMOTE])


async def _stall_streams_of_two_hubs(scenario: _Scenario) -> None:
    _stall_streams(scenario, [_READING[0], _REMOTE])


def _stall_streams(scenario: _Scenario, zones: Sequence[int]) -> None:
    """Let the zones' hubs accept connections without serving them; their datagrams arrive."""
    assert scenario.fleet.streams is not None
    scenario.fleet.streams.stalled_connect_s |= {scenario.order(zone)[0]: 0.6 for zone in zones}


async def _slow_members(scenario: _Scenario) -> None:
    slow = scenario.order(_REMOTE)[-8:]
    for address in slow:
        scenario.fleet.network.limits_bytes_per_s[address] = _SLOW_BYTES_PER_S
    busy = asyncio.create_task(_occupy_links(scenario, slow, 0.75 * _SLOW_BYTES_PER_S))
    await scenario.midway()
    await asyncio.sleep(4.0)
    busy.cancel()


async def _overload_members(scenario: _Scenario) -> None:
    """Overload some members' links for a second."""
    full = scenario.order(_REMOTE)[-8:]
    busy = asyncio.create_task(_occupy_links(scenario, full, 1.02 * _WEAK_BYTES_PER_S))
    await asyncio.sleep(1.0)
    busy.cancel()
    for address in full:
        scenario.healthy_since_s[address] = scenario.now_s


async def _occupy_links(scenario: _Scenario, addresses: Sequence[str], bytes_per_s: float) -> None:
    """Carry the bytes of clients and upstreams over some links, in both directions."""
    step_s = 0.01
    network = scenario.fleet.network
    while True:
        for address in addresses:
            network.occupy(address, round(bytes_per_s * step_s))
        await asyncio.sleep(step_s)


async def _lose_datagrams(scenario: _Scenario) -> None:
    scenario.fleet.network.loss = 0.1
    await scenario.midway()


async def _restart_all(scenario: _Scenario) -> None:
    await asyncio.sleep(0.2)
    for address in scenario.fleet.addresses:
        scenario.fleet.kill(address)
    await asyncio.sleep(0.5)
    for address in scenario.fleet.addresses:
        scenario.start(address)


async def _restart_zone(scenario: _Scenario) -> None:
    await scenario.midway()
    for address in scenario.zone(_REMOTE):
        scenario.fleet.kill(address)
    await asyncio.sleep(0.5)
    for address in scenario.zone(_REMOTE):
        scenario.start(address)


async def _rolling_restart_with_changes(scenario: _Scenario) -> None:
    await scenario.midway()
    order = scenario.order(_REMOTE)
    for number, address in enumerate(order[:12]):
        scenario.change(_routes(_ROUTES, 2_000 + number))
        scenario.fleet.views[address].leaving = True
        scenario.fleet.links[address].leave()
        await asyncio.sleep(0.1)
        scenario.fleet.kill(address)
        await asyncio.sleep(0.3)
        scenario.start(address)


async def _partition_zone(scenario: _Scenario) -> None:
    fleet = scenario.fleet
    far = scenario.zone(_REMOTE)
    others = [one for one in fleet.addresses if one not in far]
    pairs = {frozenset({one, other}) for one in far for other in others}
    await scenario.midway()
    fleet.network.cut |= pairs
    scenario.exempt |= set(far)
    await asyncio.sleep(1.0)
    scenario.change(_routes(_ROUTES + 100, 2_500))
    await asyncio.sleep(5.0)
    fleet.network.cut -= pairs
    scenario.exempt.clear()
    for address in far:
        scenario.healthy_since_s[address] = scenario.now_s


_FAILURES: dict[str, Failure] = {
    "nothing_fails": _no_failure,
    "the_hub_is_killed": _kill_hub,
    "the_hub_and_the_next_one_are_killed": _kill_hub_and_next,
    "the_hub_is_killed_and_then_the_next_one": _kill_hub_then_next,
    "the_hubs_of_all_zones_are_killed": _kill_all_hubs,
    "the_hub_is_paused_and_resumed": _pause_hub,
    "the_hub_is_paused_repeatedly": _pause_hub_repeatedly,
    "some_are_cut_off_from_the_hub": _cut_from_hub,
    "the_hub_receives_nothing_from_some": _cut_inbound_to_hub,
    "some_receive_nothing_from_the_hub": _cut_outbound_from_hub,
    "some_have_received_nothing_from_the_hub_for_long": _cut_outbound_before_change,
    "the_hubs_streams_stall": _stall_hub_streams,
    "the_streams_of_two_hubs_stall": _stall_streams_of_two_hubs,
    "some_have_slow_and_busy_links": _slow_members,
    "some_have_full_links_for_a_second": _overload_members,
    "a_tenth_of_the_datagrams_is_lost": _lose_datagrams,
    "all_are_started_again": _restart_all,
    "a_zone_is_started_again": _restart_zone,
    "versions_follow_while_one_after_the_other_is_stopped": _rolling_restart_with_changes,
    "a_zone_is_cut_off_and_joins_again": _partition_zone,
}

#: Scenarios that also run with strong hubs, which serve a zone within a fifth of a second.
_WITH_STRONG = (
    "nothing_fails",
    "the_hub_is_killed",
    "the_hubs_of_all_zones_are_killed",
    "a_tenth_of_the_datagrams_is_lost",
    "all_are_started_again",
)


class ConfigDuringFailuresTest(EgretrailTestCase):
    def _run(self, sizes: Sequence[int], strong: int, failure: Failure) -> None:
        async def run() -> _Scenario:
            async with _running(sizes, strong) as scenario:
                scenario.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                scenario.change(_routes(_ROUTES))
                await failure(scenario)
                await asyncio.sleep(_IN_FORCE_S + 0.5)
                lacking = [one for one in scenario.fleet.views if not scenario.has_stored(one)]
                self.assertEqual([], lacking)
            return scenario

        scenario = self.run_paused(run())
        self.assertEqual([], scenario.violations[:5])

    @cases(_FAILURES)
    def test_in_force_everywhere_in_time(self, failure: Failure) -> None:
        """All instances are weak, also the hubs that serve a zone of 36."""
        self._run([3, 3, 36], 0, failure)

    @cases({name: _FAILURES[name] for name in _WITH_STRONG})
    def test_in_force_everywhere_in_time_from_strong_hubs(self, failure: Failure) -> None:
        self._run([3, 3, 36], 2, failure)

    @cases({"one_zone": [36], "a_zone_of_70": [3, 3, 70], "four_zones": [24, 24, 24, 24]})
    def test_in_force_on_weak_instances_in_time(self, sizes: Sequence[int]) -> None:
        self._run(sizes, 0, _no_failure)

    @cases({"one_zone": [36], "a_zone_of_70": [3, 3, 70], "four_zones": [24, 24, 24, 24]})
    def test_in_force_on_weak_instances_in_time_after_a_cold_start(
        self, sizes: Sequence[int]
    ) -> None:
        self._run(sizes, 0, _restart_all)


class ConfigDistributionTest(EgretrailTestCase):
    @cases({"strong_hubs": 2, "weak_hubs": 0})
    def test_referrals_name_only_instances_with_the_newest_version(self, strong: int) -> None:
        """Referrals named instances that had completed only the previous version."""

        async def run() -> Sequence[str]:
            referred = []

            def record_event(log: EventLog, name: str, **fields: object) -> None:
                if name == "config_not_newer" and fields["peer"] != fields["offered_by"]:
                    referred.append(str(fields["peer"]))

            async with _running([12, 12, 36], strong) as scenario:
                scenario.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                with mock.patch.object(EventLog, "event", record_event):
                    scenario.change(_routes(_ROUTES))
                    await asyncio.sleep(_IN_FORCE_S)
            return referred

        self.assertEqual([], self.run_paused(run()))

    @cases({"strong_hubs": 2, "weak_hubs": 0})
    def test_few_fetches_cross_zones(self, strong: int) -> None:
        """Cross-zone traffic grows with the number of zones, not with the number of instances."""

        async def run() -> None:
            async with _running([12, 12, 36, 36], strong) as scenario:
                scenario.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                before = scenario.fleet.network.traffic.cross_zone_bytes_streamed
                scenario.change(_routes(_ROUTES))
                await asyncio.sleep(_IN_FORCE_S)
                moved_bytes = scenario.fleet.network.traffic.cross_zone_bytes_streamed - before
            self.assertLess(moved_bytes, 4 * _CONFIG_BYTES)

        self.run_paused(run())

    def test_a_weak_hub_stays_the_hub_while_it_serves_its_zone(self) -> None:
        """Otherwise loads and failures stay unknown, and another hub takes over."""

        async def run() -> None:
            async with _running([3, 3, 36], 0) as scenario:
                scenario.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                scenario.change(_routes(_ROUTES))
                for _ in range(100):
                    await asyncio.sleep(_POLL_S)
                    hubs = sorted(
                        one for one, links in scenario.fleet.links.items() if links.is_hub
                    )
                    self.assertEqual(3, len(hubs), str(hubs))

        self.run_paused(run())


@contextlib.asynccontextmanager
async def _running(sizes: Sequence[int], strong: int) -> AsyncIterator[_Scenario]:
    """Run a fleet whose first instances of each zone are strong."""
    fleet = Fleet(sizes)
    scenario = _Scenario(fleet)
    streams = fleet.streams = SimulatedStreams(fleet.network)
    for address in fleet.addresses:
        is_strong = int(address.split(".")[3]) < strong
        fleet.capacities[address] = 2.15 if is_strong else 0.43
        rate = _STRONG_BYTES_PER_S if is_strong else _WEAK_BYTES_PER_S
        fleet.network.limits_bytes_per_s[address] = rate
    with streams.in_place_of_sockets():
        for address in fleet.addresses:
            scenario.start(address)
        await asyncio.sleep(3.0)
        tasks = [
            asyncio.create_task(scenario.read_forever()),
            asyncio.create_task(scenario.watch_forever()),
        ]
        yield scenario
        for task in tasks:
            task.cancel()
            if task.done() and not task.cancelled():
                await task
        fleet.stop()
