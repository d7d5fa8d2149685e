"""Upstreams name limits for the whole fleet while instances and their hubs fail."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from egretrail.dispatch import Choice, PlacementQuery
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

#: A limit is kept from this time after it was first named.
_KEPT_AFTER_S = 3.0
#: In any time of this length an upstream gets at most this multiple of its limit, and so many more.
_WINDOW_S, _FACTOR, _SLACK = 4.0, 1.5, 5
_UPSTREAMS, _SLOTS, _WORK_S = 14, 3, 0.24
#: Requests a second of an instance: the upstreams without a limit are nearly full.
_SERVICE_PER_S = 50.0
_SETTLED_S, _PLAYED_S = 4.0, 12.0


@dataclass(slots=True)
class _Play:
    """A fleet before upstreams of which some name limits."""

    fleet: Fleet
    #: The limits of the first upstreams.
    limits_per_s: Sequence[float]
    #: When each upstream got requests.
    arrivals_s: dict[str, list[float]] = field(default_factory=dict)
    #: From when to when limits are named.
    named_from_s: float = float("inf")
    named_until_s: float = float("inf")
    refused: int = 0
    _rng: random.Random = field(default_factory=lambda: random.Random(1))

    @property
    def now_s(self) -> float:
        """The paused clock."""
        return asyncio.get_running_loop().time()

    def limit_per_s(self, number: int) -> float | None:
        """Return the limit that an upstream names now."""
        named = self.named_from_s <= self.now_s < self.named_until_s
        return self.limits_per_s[number] if named and number < len(self.limits_per_s) else None

    def list_upstreams(self) -> None:
        """List the same upstreams everywhere."""
        zones = sorted({f"z{address.split('.')[2]}" for address in self.fleet.addresses})
        records = [
            UpstreamRecord(
                f"u{n}", "s", "10.9.0.1:1", zones[n % len(zones)], _SLOTS, UpstreamState.READY
            )
            for n in range(_UPSTREAMS)
        ]
        for view in self.fleet.views.values():
            view.take_upstreams(records, 6, "test")

    async def call_forever(self, address: str) -> None:
        """Send one instance its part of the requests."""
        rate_per_s = _SERVICE_PER_S / len(self.fleet.addresses)
        while True:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            if address in self.fleet.views and address not in self.fleet.network.frozen:
                self._send(address)

    def _send(self, address: str) -> None:
        view = self.fleet.views[address]
        query = PlacementQuery("s", left_s=3.0, worth_s=3.0, repeatable=False)
        choice = view.placement.choose(query, view.upstreams.ready("s"), self.now_s)
        if not isinstance(choice, Choice):
            self.refused += 1
            return
        name = choice.upstream.id
        view.begin(name, trial=choice.trial)
        self.arrivals_s.setdefault(name, []).append(self.now_s)

        def answered() -> None:
            if self.fleet.views.get(address) is view:
                view.end(name)
                view.named_limit(name, self.limit_per_s(int(name[1:])))

        work_s = self._rng.uniform(0.5, 1.5) * _WORK_S
        asyncio.get_running_loop().call_later(work_s, answered)

    def excess(self) -> Sequence[str]:
        """Return which upstreams got too much in some window."""
        kept_from_s = self.named_from_s + _KEPT_AFTER_S
        faults = []
        for number, limit_per_s in enumerate(self.limits_per_s):
            times_s = [
                at_s
                for at_s in self.arrivals_s.get(f"u{number}", [])
                if kept_from_s <= at_s < self.named_until_s
            ]
            most = max((sum(0 <= b - a < _WINDOW_S for b in times_s) for a in times_s), default=0)
            allowed = _FACTOR * _WINDOW_S * limit_per_s + _SLACK
            if most > allowed:
                faults.append(f"u{number} got {most} of {allowed}")
        return faults


Trouble = Callable[[_Play], Awaitable[None]]


async def _none(play: _Play) -> None:
    """Only the bound is looked at."""


async def _kill_hubs(play: _Play) -> None:
    for zone in (0, 1):
        play.fleet.kill(play.fleet.hub(zone))


async def _cut_zone_off(play: _Play) -> None:
    far = [one for one in play.fleet.addresses if one.startswith("10.0.0.")]
    others = [one for one in play.fleet.addresses if one not in far]
    pairs = {frozenset({one, other}) for one in far for other in others}
    play.fleet.network.cut |= pairs
    await asyncio.sleep(4.0)
    play.fleet.network.cut -= pairs


async def _cut_members_from_their_hub_one_way(play: _Play) -> None:
    hub = play.fleet.hub(0)
    members = [one for one in play.fleet.addresses if one.startswith("10.0.0.") and one != hub]
    play.fleet.network.cut_one_way |= {(hub, one) for one in members[:4]}


async def _restart_some(play: _Play) -> None:
    for address in play.fleet.addresses[::4]:
        play.fleet.kill(address)
        await asyncio.sleep(0.3)
        play.fleet.start(address, play.fleet.addresses[1:3])
        play.list_upstreams()


async def _lose_packets(play: _Play) -> None:
    play.fleet.network.loss = 0.1


_TROUBLES: dict[str, Trouble] = {
    "nothing_fails": _none,
    "the_hubs_of_two_zones_are_killed": _kill_hubs,
    "a_zone_is_cut_off": _cut_zone_off,
    "some_do_not_hear_their_hub": _cut_members_from_their_hub_one_way,
    "some_are_started_again": _restart_some,
    "a_tenth_of_the_packets_is_lost": _lose_packets,
}
_LIMITS_PER_S = (0.2, 1.1, 1.8, 8.0)


class NamedLimitsTest(EgretrailTestCase):
    def _play(self, sizes: Sequence[int], limits_per_s: Sequence[float], trouble: Trouble) -> _Play:
        async def run() -> _Play:
            play = _Play(Fleet(sizes), limits_per_s)
            fleet = play.fleet
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:1])
            await asyncio.sleep(_SETTLED_S)
            play.list_upstreams()
            loop = asyncio.get_running_loop()
            calling = [loop.create_task(play.call_forever(one)) for one in fleet.addresses]
            await asyncio.sleep(2.0)
            play.named_from_s = play.now_s
            await asyncio.sleep(_KEPT_AFTER_S)
            await trouble(play)
            await asyncio.sleep(_PLAYED_S - _KEPT_AFTER_S)
            for task in calling:
                task.cancel()
            fleet.stop()
            return play

        return self.run_paused(run())

    @cases(_TROUBLES)
    def test_no_upstream_gets_more_than_its_limit(self, trouble: Trouble) -> None:
        self.assertEqual([], self._play([11, 11, 10], _LIMITS_PER_S, trouble).excess())

    @cases({"20_instances": [7, 7, 6], "99_instances": [33, 33, 33]})
    def test_no_upstream_gets_more_than_its_limit_in_fleets_of(self, sizes: Sequence[int]) -> None:
        self.assertEqual([], self._play(sizes, _LIMITS_PER_S, _none).excess())

    def test_limits_of_a_whole_service_are_used(self) -> None:
        """Requests beyond them are refused, and no upstream idles below its limit."""
        limits_per_s = [2.0] * _UPSTREAMS
        play = self._play([11, 11, 10], limits_per_s, _none)
        self.assertEqual([], play.excess())
        self.assertGreater(play.refused, 0)
        kept_s = _PLAYED_S - _KEPT_AFTER_S
        served = sum(
            at_s >= play.named_from_s + _KEPT_AFTER_S
            for times_s in play.arrivals_s.values()
            for at_s in times_s
        )
        self.assertGreater(served / kept_s, 0.6 * sum(limits_per_s))

    def test_a_limit_that_has_ended_binds_nobody(self) -> None:
        async def end(play: _Play) -> None:
            play.named_until_s = play.now_s

        play = self._play([11, 11, 10], [1.8] * 4, end)
        for view in play.fleet.views.values():
            self.assertEqual(0, view.limits.upstreams.count())
