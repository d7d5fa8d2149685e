"""Tests of gateways whose network paths to all backends are cut, while clients still reach them."""

import asyncio
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from egretrail.testing import cases
from scaffolding.platform import AttemptResult, BackendCut, Behaviour
from scaffolding.tests.gateway_harness import FleetHarness, GatewayTest

_GATEWAYS, _CLIENTS, _PAUSE_S, _WAIT_S = 6, 2, 0.05, 2.0
#: Clients of cut gateways are served as the others are from this time after the cut began.
_STABLE_S = 3.0
#: Statuses that guarantee that a request was not executed and never will be.
_NOT_RUN = frozenset({408, 421, 429, 503})
#: The part of requests that may fail for reasons other than the cut.
_TOLERANCE = 0.03
#: Gateways with an even number are in the first zone.
_SIZES: dict[str, Sequence[int]] = {
    "one": [4],
    "a few": [1, 4],
    "half": [0, 2, 3],
    "a zone": [1, 3, 5],
    "all but one": [0, 1, 2, 4, 5],
}


@dataclass(frozen=True, slots=True)
class _Sent:
    """A request of a client."""

    gateway: int
    is_order: bool
    result: AttemptResult


class _Traffic:
    """Clients that keep to one gateway each, and send reads and orders in turn."""

    def __init__(self, harness: FleetHarness) -> None:
        self._harness = harness
        self.sent: list[_Sent] = []

    async def run_for(self, duration_s: float) -> Sequence[_Sent]:
        """Return the requests of all clients in a time."""
        first = len(self.sent)
        end_s = asyncio.get_running_loop().time() + duration_s
        numbers = [n for n in range(_GATEWAYS) for _ in range(_CLIENTS)]
        await asyncio.gather(*(self._send_until(end_s, number) for number in numbers))
        return self.sent[first:]

    async def _send_until(self, end_s: float, number: int) -> None:
        is_order = False
        while asyncio.get_running_loop().time() < end_s:
            is_order = not is_order
            method, path = ("POST", "/order/1") if is_order else ("GET", "/read/1")
            address = self._harness.fleet.traffic_address(number)
            result = await self._harness.client.send(address, method, path, wait_s=_WAIT_S)
            self.sent.append(_Sent(number, is_order, result))
            await asyncio.sleep(_PAUSE_S)


def _served_share(sent: Sequence[_Sent], gateways: Collection[int]) -> float:
    statuses = [one.result.status for one in sent if one.gateway in gateways]
    return statuses.count(200) / len(statuses)


class CutFromBackendsTest(GatewayTest):
    """Guards against a gateway that counts as serving but reaches no backend.

    Its clients were refused, and its reports took backends out of service for the whole fleet.
    """

    @cases(
        {
            "refused, one": (BackendCut.REFUSED, "one"),
            "refused, a zone": (BackendCut.REFUSED, "a zone"),
            "hanging, one": (BackendCut.HANGING, "one"),
            "hanging, a few": (BackendCut.HANGING, "a few"),
            "hanging, half": (BackendCut.HANGING, "half"),
            "hanging, a zone": (BackendCut.HANGING, "a zone"),
            "hanging, all but one": (BackendCut.HANGING, "all but one"),
            "reset, one": (BackendCut.RESET, "one"),
            "reset, half": (BackendCut.RESET, "half"),
            "reset, a zone": (BackendCut.RESET, "a zone"),
            "reset, all but one": (BackendCut.RESET, "all but one"),
            "silent, a few": (BackendCut.SILENT, "a few"),
            "silent, a zone": (BackendCut.SILENT, "a zone"),
        }
    )
    def test_clients_are_served_by_cut_gateways_as_by_the_others(
        self, case: tuple[BackendCut, str]
    ) -> None:
        cut, size = case
        self._run_cut(cut, _SIZES[size])

    @cases({"hanging": BackendCut.HANGING, "reset": BackendCut.RESET})
    def test_clients_are_served_while_a_backend_of_each_service_fails(
        self, cut: BackendCut
    ) -> None:
        self._run_cut(cut, _SIZES["half"], has_failing_backends=True)

    def test_only_the_named_backends_are_cut(self) -> None:
        async def scenario(harness: FleetHarness) -> None:
            fleet, traffic = harness.fleet, _Traffic(harness)
            await traffic.run_for(0.5)
            cut, others = fleet.backends[::2], fleet.backends[1::2]
            ports = [int(one.address.rpartition(":")[2]) for one in cut]
            fleet.cut_from_backends(range(_GATEWAYS), BackendCut.RESET, ports)
            await traffic.run_for(0.5)
            before = [len(one.arrivals) for one in [*cut, *others]]
            await traffic.run_for(1.0)
            new = [len(one.arrivals) for one in [*cut, *others]]
            growth = [now - then for now, then in zip(new, before, strict=True)]
            self.assertEqual(0, sum(growth[: len(cut)]))
            self.assertGreater(sum(growth[len(cut) :]), 0)

        self.run_scenario(scenario, count=_GATEWAYS, backends=4, with_backend_cuts=True)

    def _run_cut(
        self, cut: BackendCut, numbers: Sequence[int], *, has_failing_backends: bool = False
    ) -> None:
        others = [number for number in range(_GATEWAYS) if number not in numbers]

        async def scenario(harness: FleetHarness) -> None:
            fleet, traffic = harness.fleet, _Traffic(harness)
            await traffic.run_for(1.0)
            if has_failing_backends:
                for service in ("catalogue", "orders"):
                    backend = next(one for one in fleet.backends if one.service == service)
                    backend.behaviour = Behaviour.FAILING
                # The fleet takes them out of service by what requests show.
                await traffic.run_for(1.0)
            tolerance = 2 * _TOLERANCE if has_failing_backends else _TOLERANCE
            fleet.cut_from_backends(numbers, cut)
            during = await traffic.run_for(_STABLE_S)
            self.assertGreaterEqual(_served_share(during, others), 1 - tolerance)
            during = await traffic.run_for(3.0)
            self.assertGreaterEqual(_served_share(during, others), 1 - tolerance)
            self.assertGreaterEqual(_served_share(during, numbers), 1 - tolerance)
            fleet.cut_from_backends(numbers, BackendCut.NONE)
            await traffic.run_for(2.0)
            after = await traffic.run_for(1.0)
            self.assertGreaterEqual(_served_share(after, range(_GATEWAYS)), 1 - tolerance)
            for one in traffic.sent:
                runs = harness.run_count(one.result)
                self.assertFalse(one.is_order and runs > 1)
                self.assertFalse(one.result.status in _NOT_RUN and one.is_order and runs)

        self.run_scenario(scenario, count=_GATEWAYS, backends=4, with_backend_cuts=True)
