"""Membership of the fleet, and the group of instances that serves each service."""

from egretrail.fleet._group import GroupIndex, group_size
from egretrail.fleet._messages import (
    IndirectPing,
    IndirectPong,
    Ping,
    Pong,
    Rumour,
    RumourState,
    SyncAsk,
    SyncReply,
)
from egretrail.fleet._probing import ProbePlan
from egretrail.fleet._slowness import Slowness
from egretrail.fleet._table import UNHEARD, MembershipTable
from egretrail.fleet._tuning import MembershipTuning
from egretrail.fleet._upstreams import (
    DrainsAsk,
    DrainSign,
    DrainSigns,
    ListedUpstreams,
    UpstreamDirectory,
    UpstreamListing,
    UpstreamRow,
    UpstreamsAsk,
)
from egretrail.fleet._view import FleetView, Member, MemberState

__all__ = [
    "UNHEARD",
    "DrainSign",
    "DrainSigns",
    "DrainsAsk",
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
    "SyncAsk",
    "SyncReply",
    "UpstreamDirectory",
    "UpstreamListing",
    "UpstreamRow",
    "UpstreamsAsk",
    "group_size",
]
