"""Reports to the members of each service's group how many slots this instance could use."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from egretrail.fleet import FleetView
from egretrail.identity import Incarnation, ServiceName
from egretrail.peer import PeerNetwork
from egretrail.service import (
    REPORT_INTERVAL_S,
    DemandReport,
    DemandReporter,
    GroupPosition,
    PeerDemands,
)
from egretrail.wire import Message

#: Reads how many slots this instance could use for each service that it serves.
DemandSource = Callable[[], Mapping[ServiceName, float]]


class DemandDriver:
    """Exchanges demand reports, so that all members of a group compute the same slot shares."""

    def __init__(self, network: PeerNetwork, view: FleetView, demands: DemandSource) -> None:
        self._network = network
        self._view = view
        self._own_demands = demands
        self._reporters: dict[ServiceName, DemandReporter] = {}
        self._peers: dict[ServiceName, PeerDemands] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start exchanging demand reports."""
        self._network.on(DemandReport, self._on_demand_report)
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop reporting; the demand that peers hold for this instance expires."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def position(self, service: ServiceName) -> GroupPosition:
        """Return this instance's index in the service's group, ordered by name."""
        names = sorted(member.name for member in self._view.group(service))
        own = self._view.own.name
        if own not in names:
            return GroupPosition()
        return GroupPosition(names.index(own), len(names))

    def peer_demands(self, service: ServiceName, now_s: float) -> Sequence[float]:
        """Return the last demand that each other member of the group reported."""
        peer_demands = self._peers.get(service)
        return peer_demands.demands(now_s) if peer_demands is not None else ()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._report_demands(asyncio.get_running_loop().time())

    def _report_demands(self, now_s: float) -> None:
        demands = self._own_demands()
        for service in self._reporters.keys() - demands.keys():
            del self._reporters[service]
            self._peers.pop(service, None)
        for service, demand in demands.items():
            reporter = self._reporters.setdefault(service, DemandReporter(service))
            report = reporter.next_report(demand, now_s)
            if report is not None:
                self._send(report)

    def _send(self, report: DemandReport) -> None:
        own = self._view.own.name
        for member in self._view.group(report.service):
            if member.name != own:
                self._network.send(member.name, report)

    async def _on_demand_report(self, sender: Incarnation, report: DemandReport) -> Message | None:
        now_s = asyncio.get_running_loop().time()
        peer_demands = self._peers.setdefault(report.service, PeerDemands())
        peer_demands.record_report(sender.instance, report, now_s)
        return None
