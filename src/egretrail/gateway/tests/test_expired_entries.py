"""Upstreams whose entries vanish from the store, in fleets that read it through outages."""

import asyncio
from collections.abc import Awaitable, Callable

from egretrail.cluster import CHANGE_IN_FORCE_S
from egretrail.gateway.tests.store_fleet import StoreFleet
from egretrail.testing import EgretrailTestCase, cases

_SIZES = (6, 6, 5)
#: An outage in which entries expire.
_OUTAGE_S = 6.0
#: Upstreams list themselves again within this time after an outage.
_RETURN_S = 2.0

Act = Callable[[StoreFleet], Awaitable[None]]


def _orders(fleet: StoreFleet) -> list[list[str]]:
    """Return the hub orders of the zones."""
    return [
        list(fleet.views[fleet.hub(zone)].membership.hub_order(f"z{zone}"))
        for zone in range(len(_SIZES))
    ]


async def _nothing(fleet: StoreFleet) -> None:
    """Leave the fleet as it is."""


async def _kill_hubs(fleet: StoreFleet) -> None:
    for order in _orders(fleet):
        fleet.kill(order[0])


async def _kill_first_half(fleet: StoreFleet) -> None:
    for order in _orders(fleet):
        for address in order[: len(order) // 2]:
            fleet.kill(address)


async def _refuse_all_but_last(fleet: StoreFleet) -> None:
    """Let instances read the store after the outage that did not call it before."""
    for order in _orders(fleet):
        fleet.refused |= set(order[:-1])


async def _lose_datagrams(fleet: StoreFleet) -> None:
    fleet.network.datagram_loss = 0.1


class ExpiredEntriesTest(EgretrailTestCase):
    def _run(self, act: Act) -> None:
        async def run() -> None:
            fleet = StoreFleet(_SIZES)
            fleet.store.delay_s = 0.004
            for name in "wx":
                fleet.list(name)
            async with fleet.running():
                await act(fleet)

        self.run_paused(run())

    def _listed(self, fleet: StoreFleet, address: str) -> set[str]:
        return {record.name for record in fleet.views[address].upstreams.ready("s")}

    async def _assert_removed(self, fleet: StoreFleet, names: str, limit_s: float) -> None:
        times_s = await fleet.time_until(
            lambda address: not self._listed(fleet, address) & set(names),
            list(fleet.views),
            2 * limit_s,
        )
        self.assertLess(max(times_s.values()), limit_s, times_s)

    # Guards against removed upstreams that stay in use as if the store had been away.
    @cases(
        {
            "two of four": ("uv", _nothing),
            "three of four": ("uvw", _nothing),
            "all": ("uvwx", _nothing),
            "three of four, while datagrams are lost": ("uvw", _lose_datagrams),
            "three of four, as the hubs are killed": ("uvw", _kill_hubs),
            "three of four, as half of the fleet is killed": ("uvw", _kill_first_half),
        }
    )
    def test_removed_upstreams_are_out_of_use_everywhere_in_time(
        self, case: tuple[str, Act]
    ) -> None:
        names, disturb = case

        async def act(fleet: StoreFleet) -> None:
            await disturb(fleet)
            for name in names:
                fleet.unlist(name)
            await self._assert_removed(fleet, names, CHANGE_IN_FORCE_S)

        self._run(act)

    # Guards against an outage that only some instances saw, and one without expired entries.
    @cases({"the readers are refused": True, "the store is away for a moment": False})
    def test_removed_upstreams_are_out_of_use_after_what_let_no_entry_expire(
        self, is_refusal: bool
    ) -> None:
        async def act(fleet: StoreFleet) -> None:
            if is_refusal:
                fleet.refused |= {order[0] for order in _orders(fleet)}
                await asyncio.sleep(_OUTAGE_S)
                fleet.refused.clear()
            else:
                fleet.store.set_out(True)
                await asyncio.sleep(0.5)
                fleet.store.set_out(False)
            await asyncio.sleep(1.0)
            for name in "uvw":
                fleet.unlist(name)
            await self._assert_removed(fleet, "uvw", CHANGE_IN_FORCE_S)

        self._run(act)

    # Guards against expired entries that are taken as removed by an instance that saw no outage,
    # and against those that stay in use for good as the instance that kept them is gone.
    @cases(
        {
            "the readers stay": (_nothing, _nothing),
            "the readers are killed in the outage": (_kill_hubs, _nothing),
            "half of the fleet is killed in the outage": (_kill_first_half, _nothing),
            "others read after the outage": (_refuse_all_but_last, _nothing),
            "datagrams are lost": (_lose_datagrams, _nothing),
            "the readers are killed after the outage": (_nothing, _kill_hubs),
        }
    )
    def test_upstreams_whose_entries_expired_in_an_outage_stay_in_use_until_they_are_back(
        self, case: tuple[Act, Act]
    ) -> None:
        during, after = case

        async def act(fleet: StoreFleet) -> None:
            fleet.store.set_out(True)
            await asyncio.sleep(_OUTAGE_S / 2)
            await during(fleet)
            await asyncio.sleep(_OUTAGE_S / 2)
            for name in "uvw":
                fleet.unlist(name)
            fleet.store.set_out(False)
            returns_s = asyncio.get_running_loop().time() + _RETURN_S
            await asyncio.sleep(0.5)
            await after(fleet)
            while asyncio.get_running_loop().time() < returns_s:
                for address in fleet.views:
                    self.assertEqual(set("uvwx"), self._listed(fleet, address), address)
                await asyncio.sleep(0.05)
            fleet.list("u")
            await asyncio.sleep(1.0)
            for address in fleet.views:
                self.assertLessEqual({"u", "x"}, self._listed(fleet, address), address)
            # The others did not return. The store is stable again, so that a removal counts.
            await self._assert_removed(fleet, "vw", CHANGE_IN_FORCE_S)
            for address in fleet.views:
                self.assertEqual({"u", "x"}, self._listed(fleet, address), address)

        self._run(act)
