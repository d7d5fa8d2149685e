"""Upstreams advertise limits for the whole fleet while instances and their hubs fail."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from egretrail.dispatch import Choice, PlacementQuery
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import UpstreamRecord, UpstreamState

#: Limits are enforced from this long after they were first advertised.
_ENFORCED_AFTER_S = 3.0
#: In any window of this length, an upstream gets at most this multiple of its limit plus this many
#: requests.
_WINDOW_S, _FACTOR, _SLACK = 4.0, 1.5, 5
_UPSTREAMS, _SLOTS, _WORK_S = 14, 3, 0.24
#: Requests a second to the service, at which the upstreams without a limit are nearly full.
_SERVICE_PER_S = 50.0
_SETTLED_S, _DURATION_S = 4.0, 12.0


@dataclass(slots=True)
class _Scenario:
    """A fleet with upstreams of which some advertise limits."""

    fleet: Fleet
    #: The limits of the first upstreams; the others have none.
    limits_per_s: Sequence[float]
    #: When requests arrived at each upstream.
    arrivals_s: dict[str, list[float]] = field(default_factory=dict)
    #: The period in which limits are advertised.
    advertised_from_s: float = float("inf")
    advertised_until_s: float = float("inf")
    refused: int = 0
    _rng: random.Random = field(default_factory=lambda: random.Random(1))

    @property
    def now_s(self) -> float:
        """The time of the paused clock."""
        return asyncio.get_running_loop().time()

    def limit_per_s(self, number: int) -> float | None:
        """Return the limit that an upstream advertises now."""
        is_advertised = self.advertised_from_s <= self.now_s < self.advertised_until_s
        return (
            self.limits_per_s[number] if is_advertised and number < len(self.limits_per_s) else None
        )

    def list_upstreams(self) -> None:
        """List the same upstreams on all instances."""
        zones = sorted({f"z{address.split('.')[2]}" for address in self.fleet.addresses})
        records = [
            UpstreamRecord(
                f"u{n}", "s", "10.9.0.1:1", zones[n % len(zones)], _SLOTS, UpstreamState.READY
            )
            for n in range(_UPSTREAMS)
        ]
        for view in self.fleet.views.values():
            view.replace_upstreams(records, 6, "test")

    async def call_forever(self, address: str) -> None:
        """Send one instance its share of the requests."""
        rate_per_s = _SERVICE_PER_S / len(self.fleet.addresses)
        while True:
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            if address in self.fleet.views and address not in self.fleet.network.paused:
                self._send(address)

    def _send(self, address: str) -> None:
        view = self.fleet.views[address]
        query = PlacementQuery("s", remaining_s=3.0, objective_remaining_s=3.0, is_retryable=False)
        choice = view.placement.choose(query, view.upstreams.ready("s"), self.now_s)
        if not isinstance(choice, Choice):
            self.refused += 1
            return
        name = choice.upstream.id
        view.record_request_start(name, trial=choice.is_trial)
        self.arrivals_s.setdefault(name, []).append(self.now_s)

        def answered() -> None:
            if self.fleet.views.get(address) is view:
                view.record_request_end(name)
                view.record_advertised_limit(name, self.limit_per_s(int(name[1:])))

        work_s = self._rng.uniform(0.5, 1.5) * _WORK_S
        asyncio.get_running_loop().call_later(work_s, answered)

    def excess(self) -> Sequence[str]:
        """Return the upstreams that got too many requests in some window."""
        enforced_from_s = self.advertised_from_s + _ENFORCED_AFTER_S
        violations = []
        for number, limit_per_s in enumerate(self.limits_per_s):
            times_s = [
                at_s
                for at_s in self.arrivals_s.get(f"u{number}", [])
                if enforced_from_s <= at_s < self.advertised_until_s
            ]
            most = max((sum(0 <= b - a < _WINDOW_S for b in times_s) for a in times_s), default=0)
            allowed = _FACTOR * _WINDOW_S * limit_per_s + _SLACK
            if most > allowed:
                violations.append(f"u{number} got {most} of {allowed}")
        return violations


Failure = Callable[[_Scenario], Awaitable[None]]


async def _no_failure(scenario: _Scenario) -> None:
    """Check only the limits."""


async def _kill_hubs(scenario: _Scenario) -> None:
    for zone in (0, 1):
        scenario.fleet.kill(scenario.fleet.hub(zone))


async def _partition_zone(scenario: _Scenario) -> None:
    far = [one for one in scenario.fleet.addresses if one.startswith("10.0.0.")]
    others = [one for one in scenario.fleet.addresses if one not in far]
    pairs = {frozenset({one, other}) for one in far for other in others}
    scenario.fleet.network.cut |= pairs
    await asyncio.sleep(4.0)
    scenario.fleet.network.cut -= pairs


async def _cut_outbound_from_hub(scenario: _Scenario) -> None:
    hub = scenario.fleet.hub(0)
    members = [one for one in scenario.fleet.addresses if one.startswith("10.0.0.") and one != hub]
    scenario.fleet.network.cut_one_way |= {(hub, one) for one in members[:4]}


async def _restart_some(scenario: _Scenario) -> None:
    for address in scenario.fleet.addresses[::4]:
        scenario.fleet.kill(address)
        await asyncio.sleep(0.3)
        scenario.fleet.start(address, scenario.fleet.addresses[1:3])
        scenario.list_upstreams()


async def _lose_packets(scenario: _Scenario) -> None:
    scenario.fleet.network.loss = 0.1


_FAILURES: dict[str, Failure] = {
    "nothing_fails": _no_failure,
    "the_hubs_of_two_zones_are_killed": _kill_hubs,
    "a_zone_is_cut_off": _partition_zone,
    "some_receive_nothing_from_their_hub": _cut_outbound_from_hub,
    "some_are_started_again": _restart_some,
    "a_tenth_of_the_packets_is_lost": _lose_packets,
}
_LIMITS_PER_S = (0.2, 1.1, 1.8, 8.0)


class LimitExchangeTest(EgretrailTestCase):
    def _run(
        self, sizes: Sequence[int], limits_per_s: Sequence[float], failure: Failure
    ) -> _Scenario:
        async def run() -> _Scenario:
            scenario = _Scenario(Fleet(sizes), limits_per_s)
            fleet = scenario.fleet
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[:1])
            await asyncio.sleep(_SETTLED_S)
            scenario.list_upstreams()
            loop = asyncio.get_running_loop()
            calling = [loop.create_task(scenario.call_forever(one)) for one in fleet.addresses]
            await asyncio.sleep(2.0)
            scenario.advertised_from_s = scenario.now_s
            await asyncio.sleep(_ENFORCED_AFTER_S)
            await failure(scenario)
            await asyncio.sleep(_DURATION_S - _ENFORCED_AFTER_S)
            for task in calling:
                task.cancel()
            fleet.stop()
            return scenario

        return self.run_paused(run())

    @cases(_FAILURES)
    def test_no_upstream_gets_more_than_its_limit(self, failure: Failure) -> None:
        self.assertEqual([], self._run([11, 11, 10], _LIMITS_PER_S, failure).excess())

    @cases({"20_instances": [7, 7, 6], "99_instances": [33, 33, 33]})
    def test_no_upstream_gets_more_than_its_limit_in_fleets_of(self, sizes: Sequence[int]) -> None:
        self.assertEqual([], self._run(sizes, _LIMITS_PER_S, _no_failure).excess())

    def test_limits_of_a_whole_service_are_used(self) -> None:
        """Requests beyond the limits are refused, and the upstreams are used up to their limits."""
        limits_per_s = [2.0] * _UPSTREAMS
        scenario = self._run([11, 11, 10], limits_per_s, _no_failure)
        self.assertEqual([], scenario.excess())
        self.assertGreater(scenario.refused, 0)
        enforced_s = _DURATION_S - _ENFORCED_AFTER_S
        served = sum(
            at_s >= scenario.advertised_from_s + _ENFORCED_AFTER_S
            for times_s in scenario.arrivals_s.values()
            for at_s in times_s
        )
        self.assertGreater(served / enforced_s, 0.6 * sum(limits_per_s))

    def test_a_withdrawn_limit_no_longer_applies(self) -> None:
        async def end(scenario: _Scenario) -> None:
            scenario.advertised_until_s = scenario.now_s

        scenario = self._run([11, 11, 10], [1.8] * 4, end)
        for view in scenario.fleet.views.values():
            self.assertEqual(0, view.limit_exchange.limits.count())
