"""Accounts that exceed their quota on whole fleets over a simulated network."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from egretrail.cluster import run_to_completion, split_config
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import ClientAccount, ClientLimits, FleetConfig, key_digest

#: The published bound: requests admitted in any window of this length on all instances.
_WINDOW_S, _TOLERANCE_RATIO, _TOLERANCE_REQUESTS = 5.0, 0.1, 20.0


def _account(rate_per_s: float, burst: float) -> ClientAccount:
    return ClientAccount("acme", (key_digest(b"k1"),), None, rate_per_s, burst)


def _most_in_a_window(admitted_s: Sequence[float]) -> int:
    most = first = 0
    for last, at_s in enumerate(admitted_s):
        while admitted_s[first] <= at_s - _WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclass(slots=True)
class Demand:
    """Requests of one account to instances of a fleet, and which of them were admitted."""

    fleet: Fleet
    account: ClientAccount
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    #: When requests arrived, and when requests were admitted.
    received_s: list[float] = field(default_factory=list)
    admitted_s: list[float] = field(default_factory=list)

    async def send(self, per_s: float, for_s: float, at: Callable[[], str]) -> None:
        """Send requests at a rate, each to the instance that ``at`` returns."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            view = self.fleet.views.get(at())
            if view is None:
                continue
            now_s = loop.time()
            self.received_s.append(now_s)
            if view.admit_to_quota(self.account) is None:
                view.quotas.record_send(self.account, now_s)
                self.admitted_s.append(now_s)

    def most_admitted(self) -> int:
        """Return the most requests that were admitted in a window."""
        return _most_in_a_window(self.admitted_s)

    def allowed(self) -> float:
        """Return the number of requests that may be admitted in a window."""
        allowed = self.account.rate_per_s * _WINDOW_S + self.account.burst
        return allowed * (1 + _TOLERANCE_RATIO) + _TOLERANCE_REQUESTS


Spread = Callable[[Fleet, random.Random], Callable[[], str]]


def _everywhere(fleet: Fleet, rng: random.Random) -> Callable[[], str]:
    return lambda: rng.choice(fleet.addresses)


def _one_instance(fleet: Fleet, rng: random.Random) -> Callable[[], str]:
    one = rng.choice(fleet.addresses)
    return lambda: one


def _one_zone(fleet: Fleet, rng: random.Random) -> Callable[[], str]:
    zone = [address for address in fleet.addresses if address.startswith("10.0.1.")]
    return lambda: rng.choice(zone)


class QuotaTest(EgretrailTestCase):
    def _run(
        self, sizes: Sequence[int], account: ClientAccount, act: Callable[[Demand], object]
    ) -> Demand:
        async def run() -> Demand:
            fleet = Fleet(sizes)
            config = run_to_completion(
                split_config(FleetConfig(7, [], {}, ClientLimits(), [account]))
            )
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[-3:])
                fleet.views[address].apply_config(config, "test")
            await asyncio.sleep(5.0)
            demand = Demand(fleet, account)
            await act(demand)  # type: ignore[misc]
            fleet.stop()
            return demand

        return self.run_paused(run())

    @cases(
        {
            "everywhere": (_everywhere, 89.0, 60.0),
            "one zone": (_one_zone, 89.0, 60.0),
            "one instance": (_one_instance, 89.0, 60.0),
            "a small account everywhere": (_everywhere, 6.0, 4.0),
        }
    )
    def test_a_hot_account_gets_its_quota_and_no_more(
        self, case: tuple[Spread, float, float]
    ) -> None:
        spread, rate_per_s, normal_per_s = case

        async def act(demand: Demand) -> None:
            at = spread(demand.fleet, demand.rng)
            await demand.send(normal_per_s, 5.0, at)
            # No request is refused within the quota.
            self.assertEqual(len(demand.received_s), len(demand.admitted_s))
            await demand.send(normal_per_s * 7.5, 8.0, at)

        demand = self._run([12, 12, 12], _account(rate_per_s, rate_per_s), act)
        self.assertLessEqual(demand.most_admitted(), demand.allowed())
        hot = [at_s for at_s in demand.admitted_s if at_s > demand.received_s[-1] - 5.0]
        self.assertGreaterEqual(len(hot), 0.9 * rate_per_s * 5.0)

    def test_a_hub_that_is_killed_while_an_account_is_hot(self) -> None:
        async def act(demand: Demand) -> None:
            at = _everywhere(demand.fleet, demand.rng)
            await demand.send(300.0, 3.0, at)
            demand.fleet.kill(demand.fleet.hub(0))
            await demand.send(300.0, 5.0, at)

        demand = self._run([12, 12, 12], _account(60.0, 60.0), act)
        self.assertLessEqual(demand.most_admitted(), demand.allowed())

    def test_instances_that_are_cut_off_while_an_account_is_hot(self) -> None:
        async def act(demand: Demand) -> None:
            fleet = demand.fleet
            at = _everywhere(fleet, demand.rng)
            await demand.send(300.0, 3.0, at)
            cut = fleet.addresses[::3]
            fleet.network.cut |= {frozenset({a, b}) for a in cut for b in fleet.addresses}
            await demand.send(300.0, 8.0, at)

        demand = self._run([12, 12, 12], _account(60.0, 60.0), act)
        self.assertLessEqual(demand.most_admitted(), demand.allowed())
