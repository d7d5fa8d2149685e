"""When an instance may say that no route takes a request."""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable

from egretrail.cluster import (
    Instance,
    InstanceState,
    Scope,
    Section,
    at_once,
    part_config,
)
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import ClientLimits, FleetConfig

#: How often a peer names its version.
_WORD_S = 0.25

Act = Callable[[FleetView], Awaitable[None]]


async def _peers_say(view: FleetView, version: int, for_s: float) -> None:
    for _ in range(int(for_s / _WORD_S)):
        view.configs.heard_of(version)
        await asyncio.sleep(_WORD_S)


def _other_zone(view: FleetView, *, reads_store: bool) -> None:
    """Let the hub of another zone tell what its zone knows."""
    now_s = asyncio.get_running_loop().time()
    instance = Instance("10.0.1.1", "z1", 1, InstanceState.READY, 1.0)
    view.membership.introduce(instance, now_s)
    told = Section(Scope.ACROSS, "z1", "10.0.1.1", 1, round(now_s * 100) + 1, 1, 5, 0, 4)
    if reads_store:
        told = Section(Scope.ACROSS, "z1", "10.0.1.1", 1, round(now_s * 100) + 1, 1, 5, 1, 4)
    view.take_section(told, followed=True)


async def _cut_off(view: FleetView) -> None:
    _other_zone(view, reads_store=False)
    await _peers_say(view, 1, 10.0)


async def _store_away_from_all(view: FleetView) -> None:
    for _ in range(20):
        _other_zone(view, reads_store=False)
        await _peers_say(view, 1, 0.5)


async def _another_zone_reads(view: FleetView) -> None:
    for _ in range(20):
        _other_zone(view, reads_store=True)
        await _peers_say(view, 1, 0.5)


async def _newer_heard(view: FleetView) -> None:
    view.configs.reaches_store = True
    await _peers_say(view, 2, 1.0)


async def _odd_version_heard_once(view: FleetView) -> None:
    view.configs.reaches_store = True
    view.configs.heard_of(2**40)
    await _peers_say(view, 1, 30.0)


async def _starting_peers(view: FleetView) -> None:
    await _peers_say(view, 0, 10.0)


class CurrentTest(EgretrailTestCase):
    """Callers take 404 for final; an instance that may be behind must not say it."""

    @cases(
        {
            "another zone reaches the store": (_another_zone_reads, True),
            "no zone reaches the store": (_store_away_from_all, True),
            "a zone that is cut off from the others and the store": (_cut_off, False),
            "a newer version is known of": (_newer_heard, False),
            "a version that was named once and has not come": (_odd_version_heard_once, True),
            "only starting peers are heard": (_starting_peers, False),
        }
    )
    def test_it_knows_what_is_in_force(self, case: tuple[Act, bool]) -> None:
        act, expected = case

        async def run() -> None:
            loop = asyncio.get_running_loop()
            log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
            view = FleetView(gateway_settings(zone="z0"), 1, loop.time, log, random.Random(1))
            parted = at_once(part_config(FleetConfig(1, [], {}, ClientLimits())))
            view.take_config(parted, "test")
            await act(view)
            view.expire()
            self.assertIs(expected, view.knows_config_is_current)

        self.run_paused(run())
