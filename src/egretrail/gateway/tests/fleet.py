"""Fleets of instances over a simulated network, for tests on a paused clock."""

import asyncio
import contextvars
import os
import random
from collections.abc import Sequence
from dataclasses import replace

from egretrail.dispatch import QuotaTerms
from egretrail.gateway import GatewaySettings
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.network import SimulatedLinks, SimulatedNetwork
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.gateway.tests.streams import OWN_ADDRESS, SimulatedStreams
from egretrail.traffic import UpstreamRecord, UpstreamState


class Fleet:
    """Instances ``10.0.Z.N`` of zones ``z0``, ``z1``, ..., which all list the same upstreams."""

    def __init__(self, sizes: Sequence[int]) -> None:
        self.network = SimulatedNetwork()
        #: The streams over which instances fetch state; None if they do not fetch.
        self.streams: SimulatedStreams | None = None
        self.views: dict[str, FleetView] = {}
        self.addresses = [f"10.0.{z}.{n}" for z, size in enumerate(sizes) for n in range(size)]
        self.links: dict[str, SimulatedLinks] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self._incarnations: dict[str, int] = {}
        #: The capacities of single instances; 1 for all others.
        self.capacities: dict[str, float] = {}
        #: The maximum age of a configuration's confirmation for accepting keys; None for no limit.
        self.revocation_s: float | None = None
        #: Whether client accounts share the capacity of services.
        self.shares_capacity = False

    def start(self, address: str, contacts: Sequence[str]) -> asyncio.Task[None]:
        """Start an instance that knows some addresses."""
        loop = asyncio.get_running_loop()
        rng = random.Random(address)
        log = EventLog(address, descriptor=os.open(os.devnull, os.O_WRONLY))
        zone = f"z{address.split('.')[2]}"
        settings = self.settings(address)
        view = FleetView(settings, self._next_incarnation(address), loop.time, log, rng)
        view.replace_upstreams(
            [
                UpstreamRecord(name, "s", "10.9.0.1:1", zone, 4, UpstreamState.READY)
                for name in "uv"
            ],
            5,
            "test",
        )
        links = SimulatedLinks(settings, view, log, rng)
        links.join(self.network, address)
        links.add_seeds(list(contacts))
        self.views[address] = view
        self.links[address] = links
        context = contextvars.copy_context()
        context.run(OWN_ADDRESS.set, address)
        self.network.contexts[address] = context
        self.tasks[address] = loop.create_task(self._run(links), context=context)
        return self.tasks[address]

    def settings(self, address: str) -> GatewaySettings:
        """Return the settings of an instance."""
        return replace(
            gateway_settings(address, f"z{address.split('.')[2]}"),
            capacity=self.capacities.get(address, 1.0),
            revocation_s=self.revocation_s,
            quota_terms=QuotaTerms(5.0, 0.1, 20.0),
            shares_capacity=self.shares_capacity,
        )

    async def _run(self, links: SimulatedLinks) -> None:
        if self.streams is not None:
            await links.open_streams()
        await links.run()

    def kill(self, address: str) -> None:
        """Crash an instance."""
        self.tasks.pop(address).cancel()
        links = self.network.links.pop(address)
        del self.links[address], self.views[address]
        links.stop()
        links.state_exchange.stop()
        if self.streams is not None:
            self.streams.drop_host(address)

    def pause(self, address: str) -> None:
        """Pause a process: it neither sends nor receives, and what its timers send is lost."""
        self.network.paused.add(address)

    def resume(self, address: str) -> None:
        """Resume a paused process."""
        self.network.paused.discard(address)

    def hub(self, zone: int) -> str:
        """Return the hub of a zone; the first one if there are several."""
        hubs = [
            a for a, links in self.links.items() if links.is_hub and a.startswith(f"10.0.{zone}.")
        ]
        return hubs[0]

    def stop(self) -> None:
        """Stop all instances."""
        for task in self.tasks.values():
            task.cancel()

    def _next_incarnation(self, address: str) -> int:
        self._incarnations[address] = self._incarnations.get(address, 0) + 1_000
        return self._incarnations[address]

    def known_instances(self, address: str) -> set[str]:
        """Return the instances that an instance takes as alive, including itself."""
        return {one.address for one in self.views[address].membership.instances()} | {address}
