"""What instances know of the fleet's requests and retries, compared with what was sent."""

import asyncio
import bisect
import random
import statistics
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases

_SERVICE = "s"
_ZONES, _ZONE_SIZE = 3, 8
#: The budget of the simulated fleet.
_RATIO, _WINDOW_S, _SLACK = 0.2, 10.0, 60.0
#: The part of it that instances use.
_USED_SHARE = 0.75
_REQUESTS_PER_S = 250
#: Upstreams begin to fail and the trouble starts this long after the first request.
_TROUBLE_AT_S = 12.0
_END_S = 30.0
_SAMPLE_S = 0.25
#: Part of its budget that a fleet has to know of in a trouble. The rest is lost with instances and
#: hubs that are gone.
_KNOWN_PART = 0.8

Trouble = Callable[[Fleet, random.Random], Coroutine[Any, Any, None]]


async def _restart(fleet: Fleet, address: str, *, announced: bool) -> None:
    if announced:
        fleet.views[address].leaving = True
        fleet.links[address].leave()
        await asyncio.sleep(0.2)
    fleet.kill(address)
    await asyncio.sleep(0.15)
    fleet.start(address, fleet.addresses[-3:])


async def _rolling_restart(fleet: Fleet, rng: random.Random) -> None:
    """Restart half of the instances one after the other, the hubs first."""
    hubs = [fleet.hub(zone) for zone in range(_ZONES)]
    others = [address for address in fleet.addresses if address not in hubs]
    for address in [*hubs, *rng.sample(others, len(fleet.addresses) // 2 - len(hubs))]:
        await _restart(fleet, address, announced=True)
        await asyncio.sleep(0.15)


async def _kill_hubs(fleet: Fleet, rng: random.Random) -> None:
    """Kill and restart a hub every second."""
    for number in range(12):
        await _restart(fleet, fleet.hub(number % _ZONES), announced=False)
        await asyncio.sleep(0.8)


async def _kill_all_hubs(fleet: Fleet, rng: random.Random) -> None:
    """Kill the hubs of all zones at once, several times."""
    for _ in range(4):
        hubs = [fleet.hub(zone) for zone in range(_ZONES)]
        for hub in hubs:
            fleet.kill(hub)
        await asyncio.sleep(1.0)
        for hub in hubs:
            fleet.start(hub, fleet.addresses[-3:])
        await asyncio.sleep(2.0)


async def _split_zone(fleet: Fleet, rng: random.Random) -> None:
    """Cut a zone into two parts, each with a hub that all other zones receive."""
    for _ in range(2):
        zone = [address for address in fleet.addresses if address.startswith("10.0.0.")]
        cut = {frozenset({one, other}) for one in zone[::2] for other in zone[1::2]}
        fleet.network.cut |= cut
        await asyncio.sleep(3.0)
        fleet.network.cut -= cut
        await asyncio.sleep(2.0)


async def _pause_hubs(fleet: Fleet, rng: random.Random) -> None:
    """Pause the hub of each zone for longer than its zone waits for it."""
    for number in range(6):
        hub = fleet.hub(number % _ZONES)
        fleet.pause(hub)
        await asyncio.sleep(1.5)
        fleet.resume(hub)
        await asyncio.sleep(0.5)


async def _lossy_rolling_restart(fleet: Fleet, rng: random.Random) -> None:
    fleet.network.loss = 0.1
    await _rolling_restart(fleet, rng)


_TROUBLES: dict[str, Trouble] = {
    "half of the instances are restarted": _rolling_restart,
    "hubs are killed one after the other": _kill_hubs,
    "all hubs are killed at once": _kill_all_hubs,
    "a zone is split": _split_zone,
    "hubs are paused": _pause_hubs,
    "restarts while a tenth of the datagrams is lost": _lossy_rolling_restart,
}


@dataclass(slots=True)
class _Sent:
    """When the fleet received requests and sent retries."""

    requests_s: list[float] = field(default_factory=list)
    retries_s: list[float] = field(default_factory=list)

    def left(self, now_s: float) -> float:
        """Return how many retries the budget of the last window has left."""
        return _RATIO * self._budgeted_requests(now_s) + _SLACK - self._count(self.retries_s, now_s)

    def budget(self, now_s: float) -> float:
        """Return how many retries the requests of the last window permit."""
        return _RATIO * self._count(self.requests_s, now_s) + _SLACK

    def _budgeted_requests(self, now_s: float) -> int:
        """Return the requests of the last window, or of the window before it if they are more."""
        ends_s = (now_s, now_s - _WINDOW_S / 2, now_s - _WINDOW_S)
        return max(self._count(self.requests_s, end_s) for end_s in ends_s)

    def _count(self, times_s: list[float], end_s: float) -> int:
        return bisect.bisect_right(times_s, end_s) - bisect.bisect_right(times_s, end_s - _WINDOW_S)


class RetryCountsTest(EgretrailTestCase):
    # Guards against counts that a hub made long ago, or had told before, and that count as made now
    # when the hub is followed again.
    @cases(
        {
            f"{name}, seed {seed}": (trouble, seed)
            for name, trouble in _TROUBLES.items()
            for seed in (1, 2)
        }
    )
    def test_no_instance_believes_that_more_of_the_budget_is_left_than_there_is(
        self, case: tuple[Trouble, int]
    ) -> None:
        trouble, seed = case

        async def run() -> None:
            fleet = Fleet([_ZONE_SIZE] * _ZONES)
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[-3:])
            await asyncio.sleep(2.0)
            loop = asyncio.get_running_loop()
            rng = random.Random(seed)
            sent = _Sent()
            begin_s = loop.time()
            work = loop.create_task(_send_requests(fleet, rng, sent, begin_s + _TROUBLE_AT_S))
            await asyncio.sleep(_TROUBLE_AT_S)
            troubled = loop.create_task(trouble(fleet, random.Random(seed)))
            known_parts: list[float] = []
            while loop.time() < begin_s + _END_S:
                await asyncio.sleep(_SAMPLE_S)
                known_parts += self._check_instances(fleet, sent)
            work.cancel()
            await troubled
            fleet.stop()
            self.assertGreater(statistics.median(known_parts), _KNOWN_PART)
            self.assertGreater(len(sent.retries_s), 300)

        self.run_paused(run())

    def _check_instances(self, fleet: Fleet, sent: _Sent) -> list[float]:
        """Check what all instances believe; return the part of the budget that each knows of."""
        now_s = asyncio.get_running_loop().time()
        left, budget = sent.left(now_s), sent.budget(now_s)
        self.assertGreaterEqual(left, 0, f"the budget is exceeded at {now_s} s")
        known_parts = []
        for address, view in fleet.views.items():
            usage = view.retry_budget.usage(now_s, view.known_share()).get(_SERVICE)
            if usage is None:
                continue
            believed_left = view.remaining_retries(_SERVICE)
            self.assertLessEqual(believed_left, left, f"{address} at {now_s} s: {usage}")
            known_parts.append(usage.allowed / (_USED_SHARE * budget))
        return known_parts


async def _send_requests(
    fleet: Fleet, rng: random.Random, sent: _Sent, failing_from_s: float
) -> None:
    """Send requests through random instances, which retry whenever they may.

    Few requests fail at first. Later most of them do, and each is tried up to three times.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(1 / _REQUESTS_PER_S)
        now_s = loop.time()
        view = rng.choice(list(fleet.views.values()))
        view.retry_budget.record_request(_SERVICE, now_s)
        sent.requests_s.append(now_s)
        fails, tries = (0.6, 2) if now_s >= failing_from_s else (0.02, 1)
        for _ in range(tries):
            if rng.random() < fails and view.permits_retry(_SERVICE):
                view.retry_budget.record_retry(_SERVICE, now_s)
                sent.retries_s.append(now_s)
