"""Instances find each other, whatever of the fleet each of them knew at first."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import replace

from egretrail.dispatch import Observation, Outcome, Standing
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.fleet import Fleet
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase, cases


def _next_in_the_other_zone(addresses: Sequence[str], number: int) -> Sequence[str]:
    """Return the one contact of an instance of two equal zones: a ring that changes zones."""
    half = len(addresses) // 2
    position = number % half
    if number < half:
        return [addresses[half + position]]
    return [addresses[(position + 1) % half]]


class ConvergenceTest(EgretrailTestCase):
    @cases(
        {
            "a chain in one zone": ([12], lambda all_, n: [all_[(n + 1) % len(all_)]]),
            "one contact": ([12], lambda all_, n: [all_[0]]),
            "two zones, contacts in one": ([8, 8], lambda all_, n: all_[-3:]),
            "two_zones_each_contact_in_the_other": ([8, 8], _next_in_the_other_zone),
        }
    )
    def test_all_know_all_within_seconds(self, case: tuple[Sequence[int], object]) -> None:
        sizes, contacts = case

        async def run() -> None:
            fleet = Fleet(sizes)
            tasks = []
            for number, address in enumerate(fleet.addresses):
                tasks.append(fleet.start(address, contacts(fleet.addresses, number)))  # type: ignore
                await asyncio.sleep(0.05)
            await asyncio.sleep(6.0)
            for address in fleet.addresses:
                self.assertEqual(set(fleet.addresses), fleet.known(address))
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_contacts_that_start_last_are_found(self) -> None:
        async def run() -> None:
            fleet = Fleet([10])
            tasks = [fleet.start(a, fleet.addresses[-1:]) for a in fleet.addresses[:-1]]
            await asyncio.sleep(3.0)
            tasks.append(fleet.start(fleet.addresses[-1], []))
            await asyncio.sleep(4.0)
            for address in fleet.addresses:
                self.assertEqual(set(fleet.addresses), fleet.known(address))
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_changed_seeds_are_told_and_a_changed_capacity_is_known(self) -> None:
        async def run() -> None:
            fleet = Fleet([6, 6])
            tasks = [fleet.start(a, []) for a in fleet.addresses]
            await asyncio.sleep(3.0)
            self.assertEqual({fleet.addresses[0]}, fleet.known(fleet.addresses[0]))
            changed = fleet.addresses[4]
            for number, address in enumerate(fleet.addresses):
                settings = gateway_settings(address, f"z{number // 6}")
                capacity = 0.25 if address == changed else 1.0
                settings = replace(settings, seeds=fleet.addresses[:1], capacity=capacity)
                fleet.views[address].take_settings(settings)
                fleet.links[address].take_settings(settings)
            await asyncio.sleep(6.0)
            for address, view in fleet.views.items():
                self.assertEqual(set(fleet.addresses), fleet.known(address))
                if address.startswith("10.0.0."):
                    self.assertEqual(changed, view.membership.order("z0")[-1])
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_what_one_observes_all_know(self) -> None:
        async def run() -> None:
            fleet = Fleet([8, 8])
            tasks = [fleet.start(a, fleet.addresses[:1]) for a in fleet.addresses]
            await asyncio.sleep(5.0)
            fleet.views[fleet.addresses[3]].observe(Observation("u", Outcome.FAILED, 0.003))
            await asyncio.sleep(0.06)
            loop = asyncio.get_running_loop()
            standings = {view.suspicion.standing("u", loop.time()) for view in fleet.views.values()}
            self.assertEqual({Standing.SUSPECT}, standings)
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_a_quiet_fleet_sends_a_bounded_number_of_datagrams(self) -> None:
        async def run() -> None:
            fleet = Fleet([8, 8])
            tasks = [fleet.start(a, fleet.addresses[-3:]) for a in fleet.addresses]
            await asyncio.sleep(5.0)
            before = fleet.network.sent
            await asyncio.sleep(10.0)
            # Four beats a second to seven peers, and a few messages of relays and introductions.
            self.assertLess(fleet.network.sent - before, 10 * 16 * (4 * 7 + 8))
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_a_dead_instance_is_forgotten_by_all(self) -> None:
        async def run() -> None:
            fleet = Fleet([6, 6])
            tasks = [fleet.start(a, fleet.addresses[:1]) for a in fleet.addresses]
            await asyncio.sleep(5.0)
            dead = fleet.addresses[2]
            tasks[2].cancel()
            del fleet.network.links[dead]
            await asyncio.sleep(2.9)
            for address in fleet.addresses:
                if address != dead:
                    self.assertNotIn(dead, fleet.known(address))
                    hub = fleet.links[address]._hub
                    if hub is not None:
                        self.assertNotIn(dead, hub._hub._members)
            for task in tasks:
                task.cancel()

        self.run_paused(run())


class LargeFleetTest(EgretrailTestCase):
    """Zones of 31 instances whose links carry so many datagrams a second, and drop what is over."""

    def test_an_observation_reaches_all_while_every_instance_has_news(self) -> None:
        async def run() -> None:
            fleet = Fleet([31, 31, 31, 31])
            fleet.network.limit_bytes_per_s = 10e6 / 8
            tasks = [fleet.start(a, fleet.addresses[:1]) for a in fleet.addresses]
            await asyncio.sleep(6.0)
            work = asyncio.get_running_loop().create_task(self._work(fleet))
            await asyncio.sleep(2.0)
            # The loads of "v" make work look very short; this failure is quick beside it as well.
            fleet.views[fleet.addresses[40]].observe(Observation("u", Outcome.FAILED, 0.001))
            await asyncio.sleep(0.3)
            loop = asyncio.get_running_loop()
            standings = [view.suspicion.standing("u", loop.time()) for view in fleet.views.values()]
            self.assertGreaterEqual(standings.count(Standing.SUSPECT), 122)
            self.assertEqual(set(fleet.addresses), fleet.known(fleet.addresses[-1]))
            for task in [*tasks, work]:
                task.cancel()

        self.run_paused(run())

    async def _work(self, fleet: Fleet) -> None:
        """Begin four requests of 0.3 s each second at each instance; some fail."""
        rng = random.Random(5)
        loop = asyncio.get_running_loop()
        views = list(fleet.views.values())
        while True:
            view = rng.choice(views)
            view.begin("v", trial=False)
            loop.call_later(0.3, self._end, view, rng.random() < 0.1)
            await asyncio.sleep(1 / (4 * len(views)))

    def _end(self, view: FleetView, failed: bool) -> None:
        view.end("v")
        outcome = Outcome.FAILED if failed else Outcome.SUCCESS
        view.observe(Observation("v", outcome, 0.3))


class DroppedUpstreamTest(EgretrailTestCase):
    """A reader keeps an upstream for a while that vanished with the store, then drops it."""

    @cases({"unchanged since": (0, False), "listed again meanwhile": (9, True)})
    def test_what_one_reader_drops_all_drop(self, case: tuple[int, bool]) -> None:
        revision, stays = case

        async def run() -> None:
            fleet = Fleet([6, 6])
            tasks = [fleet.start(a, fleet.addresses[:1]) for a in fleet.addresses]
            await asyncio.sleep(5.0)
            views = [fleet.views[address] for address in fleet.addresses]
            last = views[-1]
            known = last.upstreams.records["u"]
            last.change_upstreams({"u": replace(known, revision=revision)}, revision, "test")
            # No revision of the store goes with this change.
            views[0].drop_upstreams(["u"])
            await asyncio.sleep(0.6)
            held = [view.upstreams.takes_work("u") for view in views]
            self.assertEqual([False] * 11 + [stays], held)
            for task in tasks:
                task.cancel()

        self.run_paused(run())
