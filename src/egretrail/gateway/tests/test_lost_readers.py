"""Changes of the store reach the survivors in time after hubs and readers of the store are lost."""

import asyncio
import os
import random
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.cluster import CHANGE_IN_FORCE_S, TAKEOVER_STEPS_S
from egretrail.gateway.tests.store_fleet import StoreFleet
from egretrail.testing import EgretrailTestCase, cases

#: After this time, a change that is not in force yet is given up.
_LIMIT_S = 6.0


@dataclass(frozen=True, slots=True)
class _Loss:
    """What is lost, and in which conditions."""

    #: The instances of each zone.
    sizes: Sequence[int]
    #: The share that is lost; 1.0 stands for all but one.
    share: float
    #: Whether the first instances of the hub orders are lost, instead of random ones.
    hubs_first: bool = True
    #: How they are lost: ``killed``, ``frozen``, ``mute`` if only what they send is lost, or
    #: ``deaf`` if only what others send to them is lost.
    kind: str = "killed"
    #: The share of lost datagrams.
    datagram_loss: float = 0.0
    #: The delay of each call to the store.
    store_delay_s: float = 0.0
    #: The share of the survivors that the store refuses.
    refused: float = 0.0
    seed: int = 1

    def choose(self, fleet: StoreFleet) -> Sequence[str]:
        """Choose the lost instances."""
        rng = random.Random(self.seed)
        orders = [
            list(fleet.views[f"10.0.{zone}.0"].membership.hub_order(f"z{zone}"))
            for zone in range(len(self.sizes))
        ]
        if not self.hubs_first:
            for order in orders:
                rng.shuffle(order)
        if self.share == 1.0:
            survivor = rng.choice(orders)[-1]
            return [address for address in fleet.addresses if address != survivor]
        return [address for order in orders for address in order[: int(len(order) * self.share)]]

    def apply(self, fleet: StoreFleet, lost: Sequence[str]) -> None:
        """Lose the instances."""
        for address in lost:
            if self.kind == "killed":
                fleet.kill(address)
            elif self.kind == "frozen":
                fleet.pause(address)
            elif self.kind == "deaf":
                fleet.deaf.add(address)
                fleet.network.cut_one_way |= {(other, address) for other in fleet.addresses}
            else:
                fleet.network.cut_one_way |= {(address, other) for other in fleet.addresses}


#: Three hubs, and a few instances that took over at the same moment.
_READERS_MAX = 9
#: A reader catches up, watches the configuration and the upstreams, and follows two changes.
_CALLS_EACH_MAX = 8

_SMALL, _MEDIUM = (4, 4, 4), (15, 15, 14)
_LARGE, _HUGE = (34, 33, 33, 33), (75, 75, 75, 75)

_LOSSES = {
    "the hubs and their successors of a small fleet": _Loss(_SMALL, 0.5),
    "half of a small fleet, at random": _Loss(_SMALL, 0.5, hubs_first=False, seed=3),
    "all but one of a small fleet": _Loss(_SMALL, 1.0),
    "a quarter of a fleet": _Loss(_MEDIUM, 0.25),
    "half of a fleet": _Loss(_MEDIUM, 0.5),
    "nine tenths of a fleet": _Loss(_MEDIUM, 0.9),
    "all but one of a fleet": _Loss(_MEDIUM, 1.0),
    "half of a fleet freezes": _Loss(_MEDIUM, 0.5, kind="frozen"),
    "half of a fleet falls silent": _Loss(_MEDIUM, 0.5, kind="mute"),
    "half of a fleet hears nothing": _Loss(_MEDIUM, 0.5, kind="deaf"),
    "the hubs of a fleet hear nothing": _Loss(_MEDIUM, 0.1, kind="deaf"),
    "some of a small fleet hear nothing": _Loss(_SMALL, 0.5, hubs_first=False, kind="deaf", seed=6),
    "half of a fleet, while datagrams are lost": _Loss(_MEDIUM, 0.5, datagram_loss=0.1),
    "half of a fleet, while the store is slow": _Loss(_MEDIUM, 0.5, store_delay_s=0.2),
    "half of a fleet, while the store refuses some": _Loss(_MEDIUM, 0.5, refused=0.3),
}
_LARGE_LOSSES = {
    f"{share} of {sum(sizes)}, {kind}, {'hubs first' if hubs_first else 'at random'}, {seed}": (
        _Loss(sizes, share, hubs_first, kind, seed=seed)
    )
    for sizes in (_LARGE, _HUGE)
    for share in (0.25, 0.5, 0.9, 1.0)
    for kind, hubs_first, seed in [
        ("killed", True, 1),
        ("killed", False, 2),
        ("frozen", True, 3),
        ("mute", True, 4),
    ]
}


class LostReadersTest(EgretrailTestCase):
    def _run(self, loss: _Loss) -> None:
        async def run() -> None:
            fleet = StoreFleet(loss.sizes)
            fleet.store.delay_s = 0.004
            async with fleet.running():
                lost = loss.choose(fleet)
                survivors = [address for address in fleet.addresses if address not in lost]
                rng = random.Random(loss.seed)
                fleet.refused |= set(rng.sample(survivors, int(len(survivors) * loss.refused)))
                fleet.network.datagram_loss = loss.datagram_loss
                fleet.store.delay_s += loss.store_delay_s
                loss.apply(fleet, lost)
                fleet.configure(2, "t")
                fleet.list("u", "draining")
                times_s = await fleet.time_until(
                    lambda address: (
                        fleet.views[address].config_version == 2
                        and not fleet.views[address].upstreams.is_ready("u")
                    ),
                    survivors,
                    _LIMIT_S,
                )
                self.assertLess(max(times_s.values()), CHANGE_IN_FORCE_S, times_s)

        self.run_paused(run())

    # Guards against lost hubs and readers that count as present until their last reports expire.
    @cases(_LOSSES)
    def test_a_change_is_in_force_in_time_after_a_loss_of_readers(self, loss: _Loss) -> None:
        self._run(loss)

    if os.environ.get("EGRETRAIL_PROVE"):

        @cases(_LARGE_LOSSES)
        def test_a_change_is_in_force_in_time_in_a_large_fleet(self, loss: _Loss) -> None:
            self._run(loss)

    # Guards against survivors that all read the store, or go on to do so.
    @cases({"hubs first": True, "at random": False})
    def test_few_survivors_read_the_store_after_a_loss(self, hubs_first: bool) -> None:
        async def run() -> None:
            fleet = StoreFleet(_MEDIUM)
            async with fleet.running():
                loss = _Loss(_MEDIUM, 0.5, hubs_first)
                loss.apply(fleet, loss.choose(fleet))
                fleet.configure(2, "t")
                fleet.calls.clear()
                fleet.callers.clear()
                await asyncio.sleep(5.0)
                self.assertLessEqual(len(fleet.callers), _READERS_MAX)
                del fleet.calls["stale snapshot"]
                self.assertLessEqual(sum(fleet.calls.values()), _CALLS_EACH_MAX * _READERS_MAX)
                await asyncio.sleep(10.0)
                self.assertEqual(2, len(fleet.readers()))

        self.run_paused(run())

    # Guards against successors of refused hubs that wait for their turn by rank.
    @cases({f"the first {count} of each zone": count for count in (1, 2, 4, 8)})
    def test_a_change_is_in_force_in_time_while_the_store_refuses_the_hubs(
        self, count: int
    ) -> None:
        async def run() -> None:
            fleet = StoreFleet(_MEDIUM)
            async with fleet.running():
                for zone in range(len(_MEDIUM)):
                    order = fleet.views[f"10.0.{zone}.0"].membership.hub_order(f"z{zone}")
                    fleet.refused |= set(order[:count])
                fleet.configure(2, "t")
                times_s = await fleet.time_until(
                    lambda address: fleet.views[address].config_version == 2,
                    fleet.addresses,
                    _LIMIT_S,
                )
                self.assertLess(max(times_s.values()), CHANGE_IN_FORCE_S)

        self.run_paused(run())

    # Guards against a herd at a store that is down for all, and at its return.
    def test_an_outage_of_the_store_costs_few_calls(self) -> None:
        async def run() -> None:
            fleet = StoreFleet(_MEDIUM)
            async with fleet.running():
                fleet.calls.clear()
                fleet.store.set_out(True)
                await asyncio.sleep(10.0)
                # Each zone's hub makes two calls a second, and an instance in each time slot two.
                self.assertLess(sum(fleet.calls.values()), 10.0 * 3 * (2 + 2 * 4) + 3 * 8)
                fleet.callers.clear()
                fleet.store.set_out(False)
                await asyncio.sleep(2.0)
                self.assertLessEqual(len(fleet.callers), _READERS_MAX)
                await asyncio.sleep(10.0)
                self.assertEqual(2, len(fleet.readers()))

        self.run_paused(run())

    def test_the_steps_of_a_takeover_leave_room_in_the_time_of_a_change(self) -> None:
        """A step was lengthened without regard to the others."""
        self.assertLessEqual(sum(TAKEOVER_STEPS_S.values()), 0.8 * CHANGE_IN_FORCE_S)
