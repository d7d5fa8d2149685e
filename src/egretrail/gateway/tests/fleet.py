"""Fleets of instances over a simulated network, for tests on a paused clock."""

import asyncio
import contextvars
import os
import random
from collections.abc import Sequence
from dataclasses import replace

from egretrail.dispatch import QuotaTerms
from egretrail.gateway._log import EventLog
from egretrail.gateway._view import FleetView
from egretrail.gateway.tests.network import SimulatedLinks, SimulatedNetwork
from egretrail.gateway.tests.settings import gateway_settings
from egretrail.gateway.tests.streams import OWN_ADDRESS, SimulatedStreams
from egretrail.traffic import UpstreamRecord, UpstreamState


class Fleet:
    """Instances ``10.0.Z.N`` of zones ``z0``, ``z1``, with upstreams that all have listed."""

    def __init__(self, sizes: Sequence[int]) -> None:
        self.network = SimulatedNetwork()
        #: How instances fetch state from each other; None where they do not.
        self.streams: SimulatedStreams | None = None
        self.views: dict[str, FleetView] = {}
        self.addresses = [f"10.0.{z}.{n}" for z, size in enumerate(sizes) for n in range(size)]
        self.links: dict[str, SimulatedLinks] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self._incarnations: dict[str, int] = {}
        #: The share of a core of single instances; 1 of all others.
        self.capacities: dict[str, float] = {}
        #: When keys are refused at the latest that have ended; None for no bound.
        self.revocation_s: float | None = None

    def start(self, address: str, contacts: Sequence[str]) -> asyncio.Task[None]:
        """Start an instance that knows some addresses."""
        loop = asyncio.get_running_loop()
        rng = random.Random(address)
        log = EventLog(address, descriptor=os.open(os.devnull, os.O_WRONLY))
        zone = f"z{address.split('.')[2]}"
        settings = replace(
            gateway_settings(address, zone),
            capacity=self.capacities.get(address, 1.0),
            revocation_s=self.revocation_s,
            quota_terms=QuotaTerms(5.0, 0.1, 20.0),
        )
        view = FleetView(settings, self._next_incarnation(address), loop.time, log, rng)
        view.take_upstreams(
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

    async def _run(self, links: SimulatedLinks) -> None:
        if self.streams is not None:
            await links.open_streams()
        await links.beat_forever()

    def kill(self, address: str) -> None:
        """End an instance without a word."""
        self.tasks.pop(address).cancel()
        links = self.network.links.pop(address)
        del self.links[address], self.views[address]
        links.end()
        links.state.stop()
        if self.streams is not None:
            self.streams.lose(address)

    def freeze(self, address: str) -> None:
        """Let an instance neither send nor take anything; its timers run on and are lost."""
        self.network.frozen.add(address)

    def thaw(self, address: str) -> None:
        """Let a frozen instance go on."""
        self.network.frozen.discard(address)

    def hub(self, zone: int) -> str:
        """Return the hub of a zone; the first where there are several."""
        hubs = [
            a for a, links in self.links.items() if links.is_hub and a.startswith(f"10.0.{zone}.")
        ]
        return hubs[0]

    def stop(self) -> None:
        """End all instances."""
        for task in self.tasks.values():
            task.cancel()

    def _next_incarnation(self, address: str) -> int:
        self._incarnations[address] = self._incarnations.get(address, 0) + 1_000
        return self._incarnations[address]

    def known(self, address: str) -> set[str]:
        """Return the instances that one holds for living, with itself."""
        return {one.address for one in self.views[address].membership.instances()} | {address}
