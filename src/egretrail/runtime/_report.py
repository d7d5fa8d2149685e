"""Gathers what the fleet's instances have counted, over the peer streams alone."""

import asyncio
from collections.abc import Callable, Mapping

from result import Ok

from egretrail.fleet import FleetView, Member
from egretrail.identity import Incarnation, InstanceName, ServiceName
from egretrail.peer import PeerNetwork
from egretrail.report import (
    BurnRecorder,
    FleetReport,
    InstanceReport,
    Objective,
    ReportAsk,
    summarise,
)
from egretrail.wire import Message

#: An instance that does not answer in this time is named as silent; people wait for the report.
_ANSWER_S = 2.0
#: Questions under way at once. At 3,500 instances an unbounded round would open as many streams in
#: one moment; 50 at a time end within two seconds when all answer within 25 ms.
_AT_ONCE = 50


class ReportDriver:
    """Answers for this instance's counts, and asks the others for theirs when an operator does."""

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
        network.on(ReportAsk, self._answer)

    async def gather(self) -> FleetReport:
        """Ask every known instance; return what was counted, and who did not answer."""
        others = [member for member in self._view.members() if member.name != self._view.own.name]
        slots = asyncio.Semaphore(_AT_ONCE)
        answers = await asyncio.gather(*(self._ask(member, slots) for member in others))
        silent = [
            member.name for member, answer in zip(others, answers, strict=True) if answer is None
        ]
        reports = [self._own_report(), *(answer for answer in answers if answer is not None)]
        return summarise(reports, silent, self._objectives())

    async def _ask(self, member: Member, slots: asyncio.Semaphore) -> InstanceReport | None:
        async with slots:
            replied = await self._network.ask(
                InstanceName(member.name), ReportAsk(), InstanceReport, _ANSWER_S
            )
        return replied.ok_value if isinstance(replied, Ok) else None

    async def _answer(self, _sender: Incarnation, _ask: ReportAsk) -> Message:
        return self._own_report()

    def _own_report(self) -> InstanceReport:
        now_s = asyncio.get_running_loop().time()
        return self._recorder.report(self._view.own.name, self._settings_revision(), now_s)
