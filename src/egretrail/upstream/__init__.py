"""Judges upstreams from real work, and limits requests that crash upstreams."""

from egretrail.upstream._attempt import Attempt, AttemptOutcome, request_digest
from egretrail.upstream._evidence import Evidence, upstream_id
from egretrail.upstream._health import ServiceHealth
from egretrail.upstream._rights import EjectionRights, NoRights, UnlimitedRights
from egretrail.upstream._suspects import (
    RequestAnswered,
    RequestLoss,
    RequestLosses,
    RequestLossesWanted,
    SuspectRequests,
)
from egretrail.upstream._verdict import Cause, UpstreamState, Verdict

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "Cause",
    "EjectionRights",
    "Evidence",
    "NoRights",
    "RequestAnswered",
    "RequestLoss",
    "RequestLosses",
    "RequestLossesWanted",
    "ServiceHealth",
    "SuspectRequests",
    "UnlimitedRights",
    "UpstreamState",
    "Verdict",
    "request_digest",
    "upstream_id",
]
