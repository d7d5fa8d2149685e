"""Cuts gateways from backends."""

import asyncio
import random
from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from egretrail.diagnosis import parse_lines
from scaffolding.platform import BackendCut, GatewayFleet, LinkProxy
from scaffolding.platform.fleet import ZONES
from scaffolding.soak._disturbances import DisturbanceLog

_BACKEND_CUTS = (
    BackendCut.REFUSED,
    BackendCut.HANGING,
    BackendCut.RESET,
    BackendCut.SILENT,
)
#: A cut lasts this many times as long as other faults: gateways find it out within a second.
_CUT_FACTOR = 2.0
#: Shares of the gateways and of the backends of a cut between some of both.
_SOME_GATEWAYS, _SOME_BACKENDS = 0.4, 0.4


class PathCutter:
    """Cuts paths; of overlapping cuts of a gateway, the last one is in force until all end."""

    def __init__(
        self,
        fleet: GatewayFleet,
        links: Mapping[str, LinkProxy],
        disturbances: DisturbanceLog,
    ) -> None:
        self._fleet = fleet
        self._links = links
        self._disturbances = disturbances
        #: Number of cuts in force, by gateway.
        self._active_cuts: Counter[int] = Counter()

    async def cut_from_all(self, duration_s: float, rng: random.Random) -> None:
        """Cut one gateway, a few, half, a zone or all but one from all backends."""
        numbers = self._gateways_to_cut(rng)
        await self._cut(numbers, rng.choice(_BACKEND_CUTS), duration_s * _CUT_FACTOR, ())

    async def cut_from_some(self, duration_s: float, rng: random.Random) -> None:
        """Cut some gateways from some backends of all services."""
        numbers = [n for n in range(self._count) if rng.random() < _SOME_GATEWAYS]
        ids = [one.id for one in self._fleet.backends if rng.random() < _SOME_BACKENDS]
        ports = [int(self._links[one].address.rpartition(":")[2]) for one in ids]
        if numbers and ports:
            await self._cut(numbers, rng.choice(_BACKEND_CUTS), duration_s * _CUT_FACTOR, ports)

    def hubs(self) -> Sequence[int]:
        """Return the gateways that are the hub of their zone by their own logs."""
        found = []
        for number in range(self._count):
            is_hub = False
            for line in parse_lines(self._fleet.log(number).splitlines()):
                if line.event in ("start", "hub_started", "hub_stopped"):
                    is_hub = line.event == "hub_started"
            if is_hub and self._fleet.is_running(number):
                found.append(number)
        return found

    async def _cut(
        self, numbers: Sequence[int], cut: BackendCut, duration_s: float, ports: Collection[int]
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        for number in numbers:
            self._disturbances.add_span(f"gateway-{number}", now_s, now_s + duration_s)
            self._active_cuts[number] += 1
        self._fleet.cut_from_backends(numbers, cut, ports)
        await asyncio.sleep(duration_s)
        self._active_cuts.subtract(numbers)
        restored = [number for number in numbers if not self._active_cuts[number]]
        self._fleet.cut_from_backends(restored, BackendCut.NONE)

    def _gateways_to_cut(self, rng: random.Random) -> Sequence[int]:
        numbers = rng.sample(range(self._count), self._count)
        zone = rng.choice(ZONES)
        in_zone = [number for number in numbers if self._fleet.zone(number) == zone]
        half = numbers[: self._count // 2]
        return rng.choice([numbers[:1], numbers[:2], half, in_zone, numbers[1:]])

    @property
    def _count(self) -> int:
        return len(self._fleet.store_links)
