"""When an instance may answer that no route matches a request."""

import asyncio
import os
import random
from collections.abc import Awaitable, Callable

from egretrail.cluster import (
    Instance,
    InstanceState,
    Scope,
    Section,
    run_to_completion,
    split_config,
)
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.testing import EgretrailTestCase, cases
from egretrail.traffic import ClientLimits, FleetConfig

#: How often a peer reports its version.
_REPORT_INTERVAL_S = 0.25

Act = Callable[[FleetView], Awaitable[None]]


async def _report_version(view: FleetView, version: int, for_s: float) -> None:
    for _ in range(int(for_s / _REPORT_INTERVAL_S)):
        view.configs.record_peer_version(version)
        await asyncio.sleep(_REPORT_INTERVAL_S)


def _receive_section(view: FleetView, *, reads_store: bool) -> None:
    """Apply a section of another zone's hub."""
    now_s = asyncio.get_running_loop().time()
    instance = Instance("10.0.1.1", "z1", 1, InstanceState.READY, 1.0)
    view.membership.record_introduction(instance, now_s)
    section = Section(Scope.CROSS_ZONE, "z1", "10.0.1.1", 1, round(now_s * 100) + 1, 1, 5, 0, 4)
    if reads_store:
        section = Section(Scope.CROSS_ZONE, "z1", "10.0.1.1", 1, round(now_s * 100) + 1, 1, 5, 1, 4)
    view.apply_section(section, followed=True)


async def _isolated_zone(view: FleetView) -> None:
    _receive_section(view, reads_store=False)
    await _report_version(view, 1, 10.0)


async def _store_outage(view: FleetView) -> None:
    for _ in range(20):
        _receive_section(view, reads_store=False)
        await _report_version(view, 1, 0.5)


async def _another_zone_reads(view: FleetView) -> None:
    for _ in range(20):
        _receive_section(view, reads_store=True)
        await _report_version(view, 1, 0.5)


async def _newer_version_reported(view: FleetView) -> None:
    view.configs.reaches_store = True
    await _report_version(view, 2, 1.0)


async def _odd_version_reported_once(view: FleetView) -> None:
    view.configs.reaches_store = True
    view.configs.record_peer_version(2**40)
    await _report_version(view, 1, 30.0)


async def _starting_peers(view: FleetView) -> None:
    await _report_version(view, 0, 10.0)


class CurrentTest(EgretrailTestCase):
    """Clients take a 404 as final, so an instance that may be behind must not answer it."""

    @cases(
        {
            "another zone reaches the store": (_another_zone_reads, True),
            "no zone reaches the store": (_store_outage, True),
            "a zone that is cut off from the others and the store": (_isolated_zone, False),
            "a newer version is known": (_newer_version_reported, False),
            "a version that was reported once and has not arrived": (
                _odd_version_reported_once,
                True,
            ),
            "only starting peers report": (_starting_peers, False),
        }
    )
    def test_is_config_current(self, case: tuple[Act, bool]) -> None:
        act, expected = case

        async def run() -> None:
            loop = asyncio.get_running_loop()
            log = EventLog("test", descriptor=os.open(os.devnull, os.O_WRONLY))
            view = FleetView(gateway_settings(zone="z0"), 1, loop.time, log, random.Random(1))
            chunked = run_to_completion(split_config(FleetConfig(1, [], {}, ClientLimits())))
            view.apply_config(chunked, "test")
            await act(view)
            view.expire()
            self.assertIs(expected, view.is_config_current)

        self.run_paused(run())
