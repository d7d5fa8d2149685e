"""A configuration of thousands of routes is on its way while instances and links fail."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from unittest import mock

from result import Ok

from egretrail.cluster import PartedConfig, at_once, part_config
from egretrail.gateway._log import EventLog
from egretrail.gateway.tests.fleet import Fleet
from egretrail.gateway.tests.streams import SimulatedStreams
from egretrail.platform import PlatformLayout
from egretrail.testing import EgretrailTestCase, cases
from scaffolding.platform.fleet import config, route

#: A configuration is in force on an instance within this time after the readers of the store took
#: it, or after the instance's own trouble ended.
_IN_FORCE_S = 2.5
#: Weak instances have links of 10 Mbit/s, strong ones of 200 Mbit/s.
_WEAK_BYTES_PER_S, _STRONG_BYTES_PER_S = 1.25e6, 25e6
_SLOW_BYTES_PER_S = 0.625e6
_ROUTES, _FIRST_ROUTES = 3_600, 18
#: What an instance is sent of a configuration with so many routes more.
_CONFIG_BYTES = 60_000
#: The zone that hears configurations from the others only, and the ones that read the store.
_FAR, _READING = 2, (0, 1)
#: An instance that has just started leaves the store to others for this long.
_START_WAIT_S = 0.15
_LOOK_S = 0.02


def _routes(count: int, timeout_ms: int = 3000) -> Sequence[dict[str, object]]:
    rows = [
        route(f"r-{n:06x}", f"/p{n * 7919 % 1_000_003:x}/q{n % 97}/", f"s{n % 3}")
        for n in range(count)
    ]
    rows[0]["timeout"] = f"{timeout_ms}ms"
    return rows


@dataclass(frozen=True, slots=True)
class _Published:
    """A version that the operators put in the store."""

    #: The configuration.
    parted: PartedConfig
    #: When the first reader took it.
    at_s: float


@dataclass(slots=True)
class _Play:
    """A fleet whose operators change the configuration, and what each instance has of it."""

    fleet: Fleet
    #: The newest configuration in the store.
    stored: PartedConfig | None = None
    published: dict[int, _Published] = field(default_factory=dict)
    #: Since when instances are without a trouble of their own.
    clear_s: dict[str, float] = field(default_factory=dict)
    #: Instances that are not owed anything now.
    excused: set[str] = field(default_factory=set)
    #: What was seen that must not be.
    faults: list[str] = field(default_factory=list)
    _versions: dict[tuple[str, int], int] = field(default_factory=dict)

    @property
    def now_s(self) -> float:
        """The paused clock."""
        return asyncio.get_running_loop().time()

    def change(self, routes: Sequence[dict[str, object]]) -> None:
        """Put a next version in the store; its readers look for it."""
        version = 1 if self.stored is None else self.stored.config.version + 1
        value = json.dumps(config(version, routes)).encode()
        decoded = PlatformLayout().decode_config(value)
        assert isinstance(decoded, Ok)
        self.stored = at_once(part_config(decoded.ok_value, self.stored))

    def start(self, address: str) -> None:
        """Start an instance that knows those that the store lists."""
        self.fleet.start(address, self.fleet.addresses[:1] + self.fleet.addresses[-2:])
        self.clear_s[address] = self.now_s

    def zone(self, zone: int) -> Sequence[str]:
        """Return the addresses of a zone."""
        return [one for one in self.fleet.addresses if one.startswith(f"10.0.{zone}.")]

    def order(self, zone: int) -> Sequence[str]:
        """Return the hub of a zone, and who takes over from it."""
        some = next(one for one in self.zone(zone) if one in self.fleet.views)
        return list(self.fleet.views[some].membership.order(f"z{zone}"))

    async def midway(self) -> None:
        """Wait until a third of what the far zone lacks has moved."""
        streamed_bytes = self.fleet.network.traffic.bytes_streamed
        while self.fleet.network.traffic.bytes_streamed < streamed_bytes + self.midway_bytes():
            await asyncio.sleep(0.002)
        lacking = [one for one in self.zone(_FAR) if not self.has_stored(one)]
        assert len(lacking) > len(self.zone(_FAR)) // 4, "too late to be midway"

    def midway_bytes(self) -> int:
        """Return a third of what the far zone has to be told of the configuration."""
        return _CONFIG_BYTES * len(self.zone(_FAR)) // 3

    def has_stored(self, address: str) -> bool:
        """Return whether the stored version is in force on an instance."""
        assert self.stored is not None
        return self.fleet.views[address].config_version == self.stored.config.version

    async def read_forever(self) -> None:
        """Let the hubs of the reading zones take what is stored, as readers of the store do."""
        while True:
            await asyncio.sleep(_LOOK_S)
            stored = self.stored
            if stored is None:
                continue
            for address, view in list(self.fleet.views.items()):
                zone = int(address.split(".")[2])
                reads = zone in _READING and view.membership.own_rank() == 0 and not view.leaving
                started = self.now_s - self.clear_s[address] > _START_WAIT_S
                if reads and started and address not in self.fleet.network.frozen:
                    version = stored.config.version
                    self.published.setdefault(version, _Published(stored, self.now_s))
                    view.take_config(stored, "store")

    async def watch_forever(self) -> None:
        """Note what is in force too late, after a newer one, or though nobody published it."""
        while True:
            await asyncio.sleep(_LOOK_S)
            for address, view in self.fleet.views.items():
                self._look_at(address, view.incarnation, view.configs.parted)

    def _look_at(self, address: str, incarnation: int, held: PartedConfig | None) -> None:
        version = 0 if held is None else held.config.version
        known = self.published.get(version)
        if held is not None and (known is None or held.digest != known.parted.digest):
            self.faults.append(f"{self.now_s:.2f} {address} {version} was not published")
        before = self._versions.get((address, incarnation), 0)
        if version < before:
            self.faults.append(f"{self.now_s:.2f} {address} {version} after {before}")
        self._versions[address, incarnation] = version
        if address in self.excused or address in self.fleet.network.frozen:
            return
        if self.now_s - self.clear_s[address] < _IN_FORCE_S:
            return
        due = [n for n, one in self.published.items() if one.at_s <= self.now_s - _IN_FORCE_S]
        if version < max(due, default=0):
            self.faults.append(f"{self.now_s:.2f} {address} has {version} of {max(due)}")


Trouble = Callable[[_Play], Awaitable[None]]


async def _none(play: _Play) -> None:
    """Only the bound of time is looked at."""


async def _kill_hub(play: _Play) -> None:
    await play.midway()
    play.fleet.kill(play.order(_FAR)[0])


async def _kill_hub_and_next(play: _Play) -> None:
    await play.midway()
    for address in play.order(_FAR)[:2]:
        play.fleet.kill(address)


async def _kill_hub_then_next(play: _Play) -> None:
    """The second is killed as soon as it acts."""
    await play.midway()
    order = play.order(_FAR)
    play.fleet.kill(order[0])
    await asyncio.sleep(0.45)
    play.fleet.kill(order[1])


async def _kill_all_hubs(play: _Play) -> None:
    await play.midway()
    for zone in (*_READING, _FAR):
        play.fleet.kill(play.order(zone)[0])


async def _freeze_hub(play: _Play) -> None:
    await play.midway()
    hub = play.order(_FAR)[0]
    play.fleet.freeze(hub)
    await asyncio.sleep(3.0)
    play.fleet.thaw(hub)
    play.clear_s[hub] = play.now_s


async def _freeze_hub_again_and_again(play: _Play) -> None:
    """Short freezes are too short for another one to take over, or just long enough."""
    await play.midway()
    hub = play.order(_FAR)[0]
    for _ in range(4):
        play.fleet.freeze(hub)
        await asyncio.sleep(0.4)
        play.fleet.thaw(hub)
        await asyncio.sleep(0.2)
    play.clear_s[hub] = play.now_s


async def _cut_from_hub(play: _Play) -> None:
    await play.midway()
    hub = play.order(_FAR)[0]
    play.fleet.network.cut |= {frozenset({hub, one}) for one in play.order(_FAR)[-8:]}


async def _deaf_hub(play: _Play) -> None:
    await play.midway()
    hub = play.order(_FAR)[0]
    play.fleet.network.cut_one_way |= {(one, hub) for one in play.order(_FAR)[-8:]}


async def _mute_hub(play: _Play) -> None:
    await play.midway()
    hub = play.order(_FAR)[0]
    play.fleet.network.cut_one_way |= {(hub, one) for one in play.order(_FAR)[-8:]}


async def _mute_hub_before(play: _Play) -> None:
    """Members have heard the hub by others for seconds when the change comes."""
    hub = play.order(_FAR)[0]
    play.fleet.network.cut_one_way |= {(hub, one) for one in play.order(_FAR)[-8:]}
    await asyncio.sleep(3.0)
    play.change(_routes(_ROUTES, 2_500))


async def _streams_of_the_hub_stand_still(play: _Play) -> None:
    _let_streams_stand_still(play, [_FAR])


async def _streams_of_two_hubs_stand_still(play: _Play) -> None:
    _let_streams_stand_still(play, [_READING[0], _FAR])


def _let_streams_stand_still(play: _Play, zones: Sequence[int]) -> None:
    """Let the zones' hubs take connections and say nothing there; their datagrams arrive."""
    assert play.fleet.streams is not None
    play.fleet.streams.silent_s |= {play.order(zone)[0]: 0.6 for zone in zones}


async def _slow_members(play: _Play) -> None:
    slow = play.order(_FAR)[-8:]
    for address in slow:
        play.fleet.network.limits_bytes_per_s[address] = _SLOW_BYTES_PER_S
    busy = asyncio.create_task(_occupy(play, slow, 0.75 * _SLOW_BYTES_PER_S))
    await play.midway()
    await asyncio.sleep(4.0)
    busy.cancel()


async def _full_members(play: _Play) -> None:
    """Some members' links carry more than they can for a second."""
    full = play.order(_FAR)[-8:]
    busy = asyncio.create_task(_occupy(play, full, 1.02 * _WEAK_BYTES_PER_S))
    await asyncio.sleep(1.0)
    busy.cancel()
    for address in full:
        play.clear_s[address] = play.now_s


async def _occupy(play: _Play, addresses: Sequence[str], bytes_per_s: float) -> None:
    """Carry callers' and upstreams' bytes over some links, in and out."""
    step_s = 0.01
    network = play.fleet.network
    while True:
        for address in addresses:
            network.occupy(address, round(bytes_per_s * step_s))
        await asyncio.sleep(step_s)


async def _lossy(play: _Play) -> None:
    play.fleet.network.loss = 0.1
    await play.midway()


async def _restart_all(play: _Play) -> None:
    await asyncio.sleep(0.2)
    for address in play.fleet.addresses:
        play.fleet.kill(address)
    await asyncio.sleep(0.5)
    for address in play.fleet.addresses:
        play.start(address)


async def _restart_zone(play: _Play) -> None:
    await play.midway()
    for address in play.zone(_FAR):
        play.fleet.kill(address)
    await asyncio.sleep(0.5)
    for address in play.zone(_FAR):
        play.start(address)


async def _stop_in_turn_while_versions_follow(play: _Play) -> None:
    await play.midway()
    turn = play.order(_FAR)
    for number, address in enumerate(turn[:12]):
        play.change(_routes(_ROUTES, 2_000 + number))
        play.fleet.views[address].leaving = True
        play.fleet.links[address].leave()
        await asyncio.sleep(0.1)
        play.fleet.kill(address)
        await asyncio.sleep(0.3)
        play.start(address)


async def _cut_zone_off(play: _Play) -> None:
    fleet = play.fleet
    far = play.zone(_FAR)
    others = [one for one in fleet.addresses if one not in far]
    pairs = {frozenset({one, other}) for one in far for other in others}
    await play.midway()
    fleet.network.cut |= pairs
    play.excused |= set(far)
    await asyncio.sleep(1.0)
    play.change(_routes(_ROUTES + 100, 2_500))
    await asyncio.sleep(5.0)
    fleet.network.cut -= pairs
    play.excused.clear()
    for address in far:
        play.clear_s[address] = play.now_s


_TROUBLES: dict[str, Trouble] = {
    "nothing_fails": _none,
    "the_hub_is_killed": _kill_hub,
    "the_hub_and_the_next_one_are_killed": _kill_hub_and_next,
    "the_hub_is_killed_and_then_the_next_one": _kill_hub_then_next,
    "the_hubs_of_all_zones_are_killed": _kill_all_hubs,
    "the_hub_freezes_and_wakes": _freeze_hub,
    "the_hub_freezes_again_and_again": _freeze_hub_again_and_again,
    "some_are_cut_off_from_the_hub": _cut_from_hub,
    "the_hub_does_not_hear_some": _deaf_hub,
    "some_do_not_hear_the_hub": _mute_hub,
    "some_have_not_heard_the_hub_for_long": _mute_hub_before,
    "the_hubs_streams_stand_still": _streams_of_the_hub_stand_still,
    "the_streams_of_two_hubs_stand_still": _streams_of_two_hubs_stand_still,
    "some_have_slow_and_busy_links": _slow_members,
    "some_have_full_links_for_a_second": _full_members,
    "a_tenth_of_the_datagrams_is_lost": _lossy,
    "all_are_started_again": _restart_all,
    "a_zone_is_started_again": _restart_zone,
    "versions_follow_while_one_after_the_other_is_stopped": _stop_in_turn_while_versions_follow,
    "a_zone_is_cut_off_and_joins_again": _cut_zone_off,
}

#: What is played with strong hubs too: they tell a zone in a fifth of a second.
_WITH_STRONG = (
    "nothing_fails",
    "the_hub_is_killed",
    "the_hubs_of_all_zones_are_killed",
    "a_tenth_of_the_datagrams_is_lost",
    "all_are_started_again",
)


class ConfigInTroubleTest(EgretrailTestCase):
    def _play(self, sizes: Sequence[int], strong: int, trouble: Trouble) -> None:
        async def run() -> _Play:
            async with _running(sizes, strong) as play:
                play.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                play.change(_routes(_ROUTES))
                await trouble(play)
                await asyncio.sleep(_IN_FORCE_S + 0.5)
                lacking = [one for one in play.fleet.views if not play.has_stored(one)]
                self.assertEqual([], lacking)
            return play

        play = self.run_paused(run())
        self.assertEqual([], play.faults[:5])

    @cases(_TROUBLES)
    def test_all_have_it_in_time(self, trouble: Trouble) -> None:
        """All instances are weak, also those that tell a zone of 36."""
        self._play([3, 3, 36], 0, trouble)

    @cases({name: _TROUBLES[name] for name in _WITH_STRONG})
    def test_all_have_it_in_time_from_strong_hubs(self, trouble: Trouble) -> None:
        self._play([3, 3, 36], 2, trouble)

    @cases({"one_zone": [36], "a_zone_of_70": [3, 3, 70], "four_zones": [24, 24, 24, 24]})
    def test_all_weak_ones_have_it_in_time(self, sizes: Sequence[int]) -> None:
        self._play(sizes, 0, _none)

    @cases({"one_zone": [36], "a_zone_of_70": [3, 3, 70], "four_zones": [24, 24, 24, 24]})
    def test_all_weak_ones_have_it_in_time_after_a_cold_start(self, sizes: Sequence[int]) -> None:
        self._play(sizes, 0, _restart_all)


class ConfigOnItsWayTest(EgretrailTestCase):
    @cases({"strong_hubs": 2, "weak_hubs": 0})
    def test_nobody_is_sent_on_to_an_instance_that_has_nothing_newer(self, strong: int) -> None:
        """Instances were sent on to others that had completed only the version before."""

        async def run() -> Sequence[str]:
            sent_on = []

            def note(log: EventLog, name: str, **fields: object) -> None:
                if name == "config_not_newer" and fields["peer"] != fields["offered_by"]:
                    sent_on.append(str(fields["peer"]))

            async with _running([12, 12, 36], strong) as play:
                play.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                with mock.patch.object(EventLog, "event", note):
                    play.change(_routes(_ROUTES))
                    await asyncio.sleep(_IN_FORCE_S)
            return sent_on

        self.assertEqual([], self.run_paused(run()))

    @cases({"strong_hubs": 2, "weak_hubs": 0})
    def test_few_ask_other_zones(self, strong: int) -> None:
        """What crosses between zones grows with the zones, not with their instances."""

        async def run() -> None:
            async with _running([12, 12, 36, 36], strong) as play:
                play.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                before = play.fleet.network.traffic.bytes_streamed_across
                play.change(_routes(_ROUTES))
                await asyncio.sleep(_IN_FORCE_S)
                moved_bytes = play.fleet.network.traffic.bytes_streamed_across - before
            self.assertLess(moved_bytes, 4 * _CONFIG_BYTES)

        self.run_paused(run())

    def test_a_weak_hub_is_heard_while_it_tells_its_zone(self) -> None:
        """Otherwise nobody hears of loads and failures, and another one takes over."""

        async def run() -> None:
            async with _running([3, 3, 36], 0) as play:
                play.change(_routes(_FIRST_ROUTES))
                await asyncio.sleep(1.5)
                play.change(_routes(_ROUTES))
                for _ in range(100):
                    await asyncio.sleep(_LOOK_S)
                    hubs = sorted(one for one, links in play.fleet.links.items() if links.is_hub)
                    self.assertEqual(3, len(hubs), str(hubs))

        self.run_paused(run())


@contextlib.asynccontextmanager
async def _running(sizes: Sequence[int], strong: int) -> AsyncIterator[_Play]:
    """Run a fleet; the first of each zone are strong."""
    fleet = Fleet(sizes)
    play = _Play(fleet)
    streams = fleet.streams = SimulatedStreams(fleet.network)
    for address in fleet.addresses:
        is_strong = int(address.split(".")[3]) < strong
        fleet.capacities[address] = 2.15 if is_strong else 0.43
        rate = _STRONG_BYTES_PER_S if is_strong else _WEAK_BYTES_PER_S
        fleet.network.limits_bytes_per_s[address] = rate
    with streams.in_place_of_sockets():
        for address in fleet.addresses:
            play.start(address)
        await asyncio.sleep(3.0)
        tasks = [
            asyncio.create_task(play.read_forever()),
            asyncio.create_task(play.watch_forever()),
        ]
        yield play
        for task in tasks:
            task.cancel()
            if task.done() and not task.cancelled():
                await task
        fleet.stop()
