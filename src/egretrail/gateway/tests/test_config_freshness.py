"""Until when each instance takes its configuration as confirmed as current."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from egretrail.cluster import run_to_completion, split_config
from egretrail.gateway.tests.fleet import Fleet
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import ClientAccount, ClientLimits, FleetConfig, key_digest

_REVOCATION_S = 5.0
_ACCOUNT = ClientAccount("acme", (key_digest(b"k1"),), None, 0.0, 0.0)
_KEYED = run_to_completion(split_config(FleetConfig(7, [], {}, ClientLimits(), [_ACCOUNT])))


class _Store:
    """Answers the hubs of some zones each second, and records when it last did."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.reading_zones = {0, 1}
        self.last_answer_s = float("-inf")

    async def run(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            for address, links in self.fleet.links.items():
                if links.is_hub and int(address.split(".")[2]) in self.reading_zones:
                    self.last_answer_s = now_s
                    view = self.fleet.views[address]
                    view.set_store_contact(True)
                    view.confirm_config_current(now_s)
            await asyncio.sleep(1.0)


async def _no_failure(fleet: Fleet, store: _Store) -> None:
    await asyncio.sleep(2.0)


async def _one_reader(fleet: Fleet, store: _Store) -> None:
    store.reading_zones = {0}


async def _kill_hubs(fleet: Fleet, store: _Store) -> None:
    fleet.kill(fleet.hub(0))
    fleet.kill(fleet.hub(2))


async def _lose_datagrams(fleet: Fleet, store: _Store) -> None:
    fleet.network.loss = 0.1


async def _restart_some(fleet: Fleet, store: _Store) -> None:
    for address in fleet.addresses[::3]:
        fleet.kill(address)
        fleet.start(address, fleet.addresses[-3:])
        fleet.views[address].apply_config(_KEYED, "test")


async def _suspend_some(fleet: Fleet, store: _Store) -> None:
    """Messages sent before and during the suspension are read seconds later."""
    suspended = [fleet.hub(0), fleet.hub(1), *fleet.addresses[5::7]]
    for address in dict.fromkeys(suspended):
        fleet.network.undelivered[address] = []
    await asyncio.sleep(4.0)
    for address in list(fleet.network.undelivered):
        fleet.network.deliver_pending(address)


Failure = Callable[[Fleet, _Store], Coroutine[Any, Any, None]]


class ConfigFreshnessTest(EgretrailTestCase):
    def _run(self, check: Callable[[Fleet, _Store], Awaitable[None]]) -> None:
        async def run() -> None:
            fleet = Fleet([8, 8, 8])
            fleet.revocation_s = _REVOCATION_S
            store = _Store(fleet)
            for address in fleet.addresses:
                fleet.start(address, fleet.addresses[-3:])
                fleet.views[address].apply_config(_KEYED, "test")
            reading = asyncio.create_task(store.run())
            try:
                await asyncio.sleep(4.0)
                await check(fleet, store)
            finally:
                reading.cancel()
                fleet.stop()

        self.run_paused(run())

    def _check_not_newer(self, fleet: Fleet, store: _Store) -> None:
        now_s = asyncio.get_running_loop().time()
        for address, view in fleet.views.items():
            newest_s = now_s - view.config_freshness.age_s
            self.assertLessEqual(newest_s, store.last_answer_s + 1e-6, address)

    @cases(
        {
            "calm": _no_failure,
            "one zone reads": _one_reader,
            "hubs are killed": _kill_hubs,
            "a tenth of the datagrams is lost": _lose_datagrams,
            "some are restarted": _restart_some,
            "some are suspended and read old datagrams": _suspend_some,
        }
    )
    def test_confirmations_are_never_newer_than_the_stores_answers_and_keys_are_accepted_again(
        self, failure: Failure
    ) -> None:
        async def check(fleet: Fleet, store: _Store) -> None:
            failing = asyncio.create_task(failure(fleet, store))
            for _ in range(100):
                await asyncio.sleep(0.05)
                self._check_not_newer(fleet, store)
            await failing
            for _ in range(60):
                await asyncio.sleep(0.05)
                self._check_not_newer(fleet, store)
            self.assertTrue(all(view.accepts_keys for view in fleet.views.values()))

        self._run(check)

    def test_an_isolated_instance_refuses_keys_in_time(self) -> None:
        async def check(fleet: Fleet, store: _Store) -> None:
            last_zone = [a for a in fleet.addresses if a.startswith("10.0.2.")]
            alone = next(a for a in last_zone if not fleet.links[a].is_hub)
            others = [a for a in fleet.addresses if a != alone]
            fleet.network.cut |= {frozenset({alone, other}) for other in others}
            cut_s = asyncio.get_running_loop().time()
            await asyncio.sleep(_REVOCATION_S - 3.0)
            self.assertTrue(fleet.views[alone].accepts_keys)
            await asyncio.sleep(cut_s + _REVOCATION_S - asyncio.get_running_loop().time())
            self.assertFalse(fleet.views[alone].accepts_keys)
            self.assertTrue(all(fleet.views[a].accepts_keys for a in others))
            fleet.network.cut.clear()
            await asyncio.sleep(2.0)
            self.assertTrue(fleet.views[alone].accepts_keys)

        self._run(check)

    def test_all_refuse_keys_in_time_in_a_store_outage(self) -> None:
        async def check(fleet: Fleet, store: _Store) -> None:
            store.reading_zones = set()
            await asyncio.sleep(_REVOCATION_S)
            self.assertFalse(any(view.accepts_keys for view in fleet.views.values()))
            for view in fleet.views.values():
                view.apply_config(
                    run_to_completion(split_config(FleetConfig(8, [], {}, ClientLimits()))), "t"
                )
            self.assertTrue(all(view.accepts_keys for view in fleet.views.values()))

        self._run(check)

    def test_an_instance_that_lacks_a_version_does_not_apply_its_confirmation(self) -> None:
        async def check(fleet: Fleet, store: _Store) -> None:
            newer = run_to_completion(
                split_config(FleetConfig(8, [], {}, ClientLimits(), [_ACCOUNT]))
            )
            behind = next(a for a in fleet.addresses if not fleet.links[a].is_hub)
            for address, view in fleet.views.items():
                if address != behind:
                    view.apply_config(newer, "test")
            await asyncio.sleep(_REVOCATION_S + 0.5)
            self.assertFalse(fleet.views[behind].accepts_keys)
            fleet.views[behind].apply_config(newer, "test")
            await asyncio.sleep(1.0)
            self.assertTrue(fleet.views[behind].accepts_keys)

        self._run(check)
