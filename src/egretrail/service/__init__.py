"""Decisions under load for one service: admitting, queueing, refusing, placing, retrying."""

from egretrail.service._actions import Abandon, Action, Dispatch, Finish, Hedge, Refuse
from egretrail.service._candidates import Candidate, UpstreamWeights
from egretrail.service._order import EarliestDeadline, FairQueueing, Fifo, QueueOrder
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
from egretrail.service._work import AttemptResult, CostClass, Work, WorkId

__all__ = [
    "Abandon",
    "Action",
    "AttemptResult",
    "Candidate",
    "CostClass",
    "Dispatch",
    "EarliestDeadline",
    "FairQueueing",
    "Fifo",
    "Finish",
    "Hedge",
    "MayCrashUpstreams",
    "NoUsableUpstream",
    "OverFairShare",
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
