"""Admission, queueing, refusal, upstream selection and retries for the requests of one service."""

from egretrail.service._actions import Abandon, Action, Dispatch, Finish, Hedge, Refuse
from egretrail.service._candidates import Candidate, UpstreamWeights
from egretrail.service._demand import (
    REPORT_INTERVAL_S,
    DemandReport,
    DemandReporter,
    PeerDemands,
)
from egretrail.service._entry import Entry
from egretrail.service._order import EarliestDeadline, FairQueueing, Fifo, QueueOrder
from egretrail.service._outcomes import ATTEMPT_RESULTS
from egretrail.service._refusals import (
    MayCrashUpstreams,
    NoUsableUpstream,
    OverFairShare,
    Refusal,
    UpstreamsDeclined,
    WaitedTooLong,
    WouldWaitTooLong,
)
from egretrail.service._scheduler import Scheduler
from egretrail.service._shares import GroupPosition
from egretrail.service._work import AttemptResult, CostClass, Work, WorkId

__all__ = [
    "ATTEMPT_RESULTS",
    "REPORT_INTERVAL_S",
    "Abandon",
    "Action",
    "AttemptResult",
    "Candidate",
    "CostClass",
    "DemandReport",
    "DemandReporter",
    "Dispatch",
    "EarliestDeadline",
    "Entry",
    "FairQueueing",
    "Fifo",
    "Finish",
    "GroupPosition",
    "Hedge",
    "MayCrashUpstreams",
    "NoUsableUpstream",
    "OverFairShare",
    "PeerDemands",
    "QueueOrder",
    "Refusal",
    "Refuse",
    "Scheduler",
    "UpstreamWeights",
    "UpstreamsDeclined",
    "WaitedTooLong",
    "Work",
    "WorkId",
    "WouldWaitTooLong",
]
