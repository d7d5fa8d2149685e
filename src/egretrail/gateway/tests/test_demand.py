"""What instances know of the fleet's demand, compared with the requests that arrived."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from unittest import mock

from egretrail.cluster import HeartbeatsDatagram, SectionsDatagram, decode_datagram
from egretrail.gateway.tests.demand import DemandFleet, ranked_config
from egretrail.overload import Arrival
from egretrail.testing import EgretrailTestCase, cases

_SIZES = (15, 15, 14)
_RATE_PER_S = 4.0
#: A service of one kind of request more urgent than the other.
_RANKED = {"s": (0, 1)}
#: Deviation of what an instance knows from what arrived at most this long before.
_AGE_S, _TOLERANCE = 0.3, 0.05
_LOST_TOLERANCE = 0.1

Trouble = Callable[[DemandFleet], Awaitable[None]]


def _arrival(rng: random.Random) -> Arrival:
    return Arrival("s", rng.choice((0, 1)), "r", 0.8, 3.0)


async def _start(fleet: DemandFleet) -> None:
    """Start all instances, each at another moment of the interval in which they sample demand."""
    for address in fleet.addresses:
        fleet.start(address, fleet.addresses[-3:])
        await asyncio.sleep(0.0123)


async def _no_trouble(fleet: DemandFleet) -> None:
    pass


async def _kill_hub(fleet: DemandFleet) -> None:
    fleet.kill(fleet.hub(0))


async def _split_zone(fleet: DemandFleet) -> None:
    zone = [address for address in fleet.addresses if address.startswith("10.0.0.")]
    fleet.network.cut |= {frozenset({one, other}) for one in zone[:7] for other in zone[7:]}


async def _lose_datagrams(fleet: DemandFleet) -> None:
    fleet.network.loss = 0.1


async def _pause_instance(fleet: DemandFleet) -> None:
    paused = next(a for a in fleet.addresses if a.startswith("10.0.1.") and a != fleet.hub(1))
    fleet.pause(paused)
    await asyncio.sleep(4.0)
    fleet.resume(paused)


async def _restart_third(fleet: DemandFleet) -> None:
    for address in fleet.addresses[::3]:
        fleet.kill(address)
    await asyncio.sleep(0.5)
    for address in fleet.addresses[::3]:
        fleet.start(address, fleet.addresses[-3:])


_TROUBLES: dict[str, tuple[Trouble, float]] = {
    "nothing happens": (_no_trouble, _TOLERANCE),
    "a hub is killed": (_kill_hub, _TOLERANCE),
    "a zone is split": (_split_zone, _TOLERANCE),
    "a tenth of the datagrams is lost": (_lose_datagrams, _LOST_TOLERANCE),
    "an instance is paused and resumes": (_pause_instance, _TOLERANCE),
    "a third restarts": (_restart_third, _TOLERANCE),
}


class FleetTotalsTest(EgretrailTestCase):
    @cases(_TROUBLES)
    def test_every_instance_knows_the_total_within_300_ms(
        self, case: tuple[Trouble, float]
    ) -> None:
        """Guards against instances that rank callers by an old or partial sum.

        A second after the trouble, the demand doubles, and later it ends. All the time, what an
        instance knows lies between the least and the most that arrived in any second that ended in
        the last 0.3 s.
        """
        trouble, tolerance = case

        async def run() -> None:
            loop = asyncio.get_running_loop()
            fleet = DemandFleet(_SIZES, ranked_config(_RANKED))
            await _start(fleet)
            work = loop.create_task(fleet.run_load(_arrival))
            await asyncio.sleep(4.0)
            fleet.rate_per_s = _RATE_PER_S
            await self._check(fleet, 2.0, _TOLERANCE)
            await trouble(fleet)
            await asyncio.sleep(1.0)
            await self._check(fleet, 1.0, tolerance)
            fleet.rate_per_s = 2 * _RATE_PER_S
            await self._check(fleet, 2.0, tolerance)
            fleet.rate_per_s = 0.0
            await self._check(fleet, 2.0, tolerance)
            for address in fleet.views:
                self.assertEqual(0, fleet.known(address, "s"))
            work.cancel()
            fleet.stop()

        self.run_paused(run())

    async def _check(self, fleet: DemandFleet, duration_s: float, tolerance: float) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        full = 2 * _RATE_PER_S * len(fleet.addresses)
        while loop.time() < end_s:
            await asyncio.sleep(0.05)
            ends_s = [loop.time() - _AGE_S + n * _AGE_S / 10 for n in range(11)]
            totals = [fleet.offered(one_s) for one_s in ends_s]
            for address in fleet.views:
                known = fleet.known(address, "s")
                self.assertGreaterEqual(known, min(totals) - tolerance * full, address)
                self.assertLessEqual(known, max(totals) + tolerance * full, address)

    def test_the_known_total_is_right_on_average(self) -> None:
        """Guards against samples taken at the moments of arrivals, which count one too many."""

        async def run() -> None:
            loop = asyncio.get_running_loop()
            fleet = DemandFleet(_SIZES, ranked_config(_RANKED))
            await _start(fleet)
            work = loop.create_task(fleet.run_load(_arrival))
            fleet.rate_per_s = _RATE_PER_S
            await asyncio.sleep(4.0)
            known, offered = 0.0, 0
            for _ in range(160):
                await asyncio.sleep(0.05)
                known += fleet.known("10.0.0.3", "s")
                offered += fleet.offered(loop.time())
            self.assertLess(abs(known / offered - 1.0), 0.04)
            work.cancel()
            fleet.stop()

        self.run_paused(run())


class WireTest(EgretrailTestCase):
    def test_without_terms_no_message_differs(self) -> None:
        """Guards against bytes of overload control in fleets that do not use it.

        One kind of request goes to each service, so nobody is ranked. The messages of the fleet are
        those of the same fleet without any configuration of overload control.
        """

        def messages(*, is_configured: bool) -> list[tuple[bytes, str, str]]:
            sent: list[tuple[bytes, str, str]] = []

            async def run() -> None:
                loop = asyncio.get_running_loop()
                fleet = DemandFleet((4, 3), ranked_config({"s": (1,), "t": (0,)}))
                send = fleet.network.send

                def record(data: bytes, sender: str, target: str) -> None:
                    sent.append((data, sender, target))
                    send(data, sender, target)

                with mock.patch.object(fleet.network, "send", record):
                    for address in fleet.addresses:
                        fleet.start(address, fleet.addresses[-2:])
                    work = loop.create_task(fleet.run_load(_arrival))
                    fleet.rate_per_s = _RATE_PER_S
                    await asyncio.sleep(3.0)
                work.cancel()
                fleet.stop()

            overload = "egretrail.gateway._overload_control.OverloadControl"
            patches = [] if is_configured else [mock.patch(f"{overload}.configure")]
            for patch in patches:
                patch.start()
            try:
                self.run_paused(run())
            finally:
                for patch in patches:
                    patch.stop()
            return sent

        configured = messages(is_configured=True)
        self.assertGreater(len(configured), 200)
        self.assertEqual(messages(is_configured=False), configured)
        for data, _, _ in configured:
            datagram = decode_datagram(data).unwrap()
            if isinstance(datagram, HeartbeatsDatagram):
                self.assertTrue(all(one.demand.is_empty for one in datagram.heartbeats))
            elif isinstance(datagram, SectionsDatagram):
                self.assertEqual({None}, {one.demand for one in datagram.sections})
