"""Membership of the fleet, and the group of instances that serves each service."""

from egretrail.fleet._group import GroupIndex, group_size
from egretrail.fleet._messages import (
    IndirectPing,
    IndirectPong,
    Ping,
    Pong,
    Rumour,
    RumourState,
    SyncReply,
    SyncRequest,
)
from egretrail.fleet._probing import ProbePlan
from egretrail.fleet._slowness import Slowness
from egretrail.fleet._table import UNKNOWN_INCARNATION, MembershipTable
from egretrail.fleet._tuning import MembershipTuning
from egretrail.fleet._upstreams import (
    DrainSign,
    DrainSigns,
    FetchDrainSigns,
    FetchListedUpstreams,
    ListedUpstreams,
    UpstreamDirectory,
    UpstreamListing,
    UpstreamRow,
)
from egretrail.fleet._view import FleetView, Member, MemberState

__all__ = [
    "UNKNOWN_INCARNATION",
    "DrainSign",
    "DrainSigns",
    "FetchDrainSigns",
    "FetchListedUpstreams",
    "FleetView",
    "GroupIndex",
    "IndirectPing",
    "IndirectPong",
    "ListedUpstreams",
    "Member",
    "MemberState",
    "MembershipTable",
    "MembershipTuning",
    "Ping",
    "Pong",
    "ProbePlan",
    "Rumour",
    "RumourState",
    "Slowness",
    "SyncReply",
    "SyncRequest",
    "UpstreamDirectory",
    "UpstreamListing",
    "UpstreamRow",
    "group_size",
]
