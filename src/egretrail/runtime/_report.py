"""Collects the counts of all instances over the peer streams."""

import asyncio
from collections.abc import Callable, Mapping

from result import Ok

from egretrail.fleet import FleetView, Member
from egretrail.identity import Incarnation, InstanceName, ServiceName
from egretrail.peer import PeerNetwork
from egretrail.report import (
    BurnRecorder,
    FetchReport,
    FleetReport,
    InstanceReport,
    Objective,
    summarise,
)
from egretrail.wire import Message

#: An instance that does not reply within this time is reported as silent. Short, because
#: an operator waits for the report.
_REPLY_TIMEOUT_S = 2.0
#: Concurrent requests. Without a limit, 3,500 instances would mean as many new streams at one
#: moment. With 50 at a time a round takes two seconds if all reply within 25 ms.
_CONCURRENCY = 50


class ReportDriver:
    """Replies with this instance's counts, and collects those of all others for an operator."""

    def __init__(
        self,
        recorder: BurnRecorder,
        network: PeerNetwork,
        view: FleetView,
        settings_revision: Callable[[], int],
        objectives: Callable[[], Mapping[ServiceName, Objective]],
    ) -> None:
        self._recorder = recorder
        self._network = network
        self._view = view
        self._settings_revision = settings_revision
        self._objectives = objectives
        network.on(FetchReport, self._on_fetch_report)

    async def gather(self) -> FleetReport:
        """Ask every known instance; return all counts, and the instances that did not reply."""
        others = [member for member in self._view.members() if member.name != self._view.own.name]
        slots = asyncio.Semaphore(_CONCURRENCY)
        answers = await asyncio.gather(*(self._ask(member, slots) for member in others))
        silent = [
            member.name for member, answer in zip(others, answers, strict=True) if answer is None
        ]
        reports = [self._own_report(), *(answer for answer in answers if answer is not None)]
        return summarise(reports, silent, self._objectives())

    async def _ask(self, member: Member, slots: asyncio.Semaphore) -> InstanceReport | None:
        async with slots:
            reply = await self._network.ask(
                InstanceName(member.name), FetchReport(), InstanceReport, _REPLY_TIMEOUT_S
            )
        return reply.ok_value if isinstance(reply, Ok) else None

    async def _on_fetch_report(self, _sender: Incarnation, _request: FetchReport) -> Message:
        return self._own_report()

    def _own_report(self) -> InstanceReport:
        now_s = asyncio.get_running_loop().time()
        return self._recorder.report(self._view.own.name, self._settings_revision(), now_s)
