"""Instances find each other, whichever peers each of them knows at first."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import replace

from egretrail.dispatch import Observation, Outcome, UpstreamHealth
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.fleet import Fleet
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase, cases


def _contact_in_the_other_zone(addresses: Sequence[str], number: int) -> Sequence[str]:
    """Return the contact of an instance in one of two equal zones: a ring that alternates zones."""
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
            "two_zones_each_contact_in_the_other": ([8, 8], _contact_in_the_other_zone),
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
                self.assertEqual(set(fleet.addresses), fleet.known_instances(address))
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
                self.assertEqual(set(fleet.addresses), fleet.known_instances(address))
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_changed_seeds_are_contacted_and_a_changed_capacity_is_learned(self) -> None:
        async def run() -> None:
            fleet = Fleet([6, 6])
            tasks = [fleet.start(a, []) for a in fleet.addresses]
            await asyncio.sleep(3.0)
            self.assertEqual({fleet.addresses[0]}, fleet.known_instances(fleet.addresses[0]))
            changed = fleet.addresses[4]
            for number, address in enumerate(fleet.addresses):
                settings = gateway_settings(address, f"z{number // 6}")
                capacity = 0.25 if address == changed else 1.0
                settings = replace(settings, seeds=fleet.addresses[:1], capacity=capacity)
                fleet.views[address].apply_settings(settings)
                fleet.links[address].apply_settings(settings)
            await asyncio.sleep(6.0)
            for address, view in fleet.views.items():
                self.assertEqual(set(fleet.addresses), fleet.known_instances(address))
                if address.startswith("10.0.0."):
                    self.assertEqual(changed, view.membership.hub_order("z0")[-1])
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_an_observed_failure_reaches_all(self) -> None:
        async def run() -> None:
            fleet = Fleet([8, 8])
            tasks = [fleet.start(a, fleet.addresses[:1]) for a in fleet.addresses]
            await asyncio.sleep(5.0)
            fleet.views[fleet.addresses[3]].record_outcome(Observation("u", Outcome.FAILED, 0.003))
            await asyncio.sleep(0.06)
            loop = asyncio.get_running_loop()
            healths = {view.suspicion.health("u", loop.time()) for view in fleet.views.values()}
            self.assertEqual({UpstreamHealth.SUSPECT}, healths)
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_an_idle_fleet_sends_a_bounded_number_of_datagrams(self) -> None:
        async def run() -> None:
            fleet = Fleet([8, 8])
            tasks = [fleet.start(a, fleet.addresses[-3:]) for a in fleet.addresses]
            await asyncio.sleep(5.0)
            before = fleet.network.sent
            await asyncio.sleep(10.0)
            # Four heartbeats a second to seven peers, and a few relayed messages and introductions.
            self.assertLess(fleet.network.sent - before, 10 * 16 * (4 * 7 + 8))
            for task in tasks:
                task.cancel()

        self.run_paused(run())

    def test_a_dead_instance_is_removed_by_all(self) -> None:
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
                    self.assertNotIn(dead, fleet.known_instances(address))
                    hub = fleet.links[address]._hub
                    if hub is not None:
                        self.assertNotIn(dead, hub._hub._members)
            for task in tasks:
                task.cancel()

        self.run_paused(run())


class LargeFleetTest(EgretrailTestCase):
    """Zones of 31 instances whose links have a limited rate and drop the excess."""

    def test_an_observed_failure_reaches_all_while_every_instance_sends_updates(self) -> None:
        async def run() -> None:
            fleet = Fleet([31, 31, 31, 31])
            fleet.network.limit_bytes_per_s = 10e6 / 8
            tasks = [fleet.start(a, fleet.addresses[:1]) for a in fleet.addresses]
            await asyncio.sleep(6.0)
            work = asyncio.get_running_loop().create_task(self._work(fleet))
            await asyncio.sleep(2.0)
            # The durations of "v" make typical work look very short; this failure is as quick.
            fleet.views[fleet.addresses[40]].record_outcome(Observation("u", Outcome.FAILED, 0.001))
            await asyncio.sleep(0.3)
            loop = asyncio.get_running_loop()
            healths = [view.suspicion.health("u", loop.time()) for view in fleet.views.values()]
            self.assertGreaterEqual(healths.count(UpstreamHealth.SUSPECT), 122)
            self.assertEqual(set(fleet.addresses), fleet.known_instances(fleet.addresses[-1]))
            for task in [*tasks, work]:
                task.cancel()

        self.run_paused(run())

    async def _work(self, fleet: Fleet) -> None:
        """Start four requests of 0.3 s each second at each instance; some fail."""
        rng = random.Random(5)
        loop = asyncio.get_running_loop()
        views = list(fleet.views.values())
        while True:
            view = rng.choice(views)
            view.record_request_start("v", trial=False)
            loop.call_later(0.3, self._end, view, rng.random() < 0.1)
            await asyncio.sleep(1 / (4 * len(views)))

    def _end(self, view: FleetView, failed: bool) -> None:
        view.record_request_end("v")
        outcome = Outcome.FAILED if failed else Outcome.SUCCESS
        view.record_outcome(Observation("v", outcome, 0.3))


class DroppedUpstreamTest(EgretrailTestCase):
    """A reader retains an upstream that vanished in a store outage for a time, then drops it."""

    @cases({"unchanged since": (0, False), "listed again meanwhile": (9, True)})
    def test_a_drop_by_one_reader_reaches_all(self, case: tuple[int, bool]) -> None:
        revision, stays = case

        async def run() -> None:
            fleet = Fleet([6, 6])
            tasks = [fleet.start(a, fleet.addresses[:1]) for a in fleet.addresses]
            await asyncio.sleep(5.0)
            views = [fleet.views[address] for address in fleet.addresses]
            last = views[-1]
            known = last.upstreams.records["u"]
            last.apply_upstream_changes({"u": replace(known, revision=revision)}, revision, "test")
            # This change has no revision of the store.
            views[0].drop_upstreams(["u"])
            await asyncio.sleep(0.6)
            held = [view.upstreams.is_ready("u") for view in views]
            self.assertEqual([False] * 11 + [stays], held)
            for task in tasks:
                task.cancel()

        self.run_paused(run())
