"""Passive health checking of upstreams by the outcomes of real requests.

Also limits how many upstreams a request that crashes upstreams may be sent to.
"""

from egretrail.upstream._attempt import Attempt, AttemptOutcome, request_digest
from egretrail.upstream._evidence import Evidence, upstream_id
from egretrail.upstream._health import ServiceHealth
from egretrail.upstream._rights import EjectionRights, NoRights, UnlimitedRights
from egretrail.upstream._suspect_requests import (
    FetchRequestLosses,
    RequestAnswered,
    RequestLoss,
    RequestLosses,
    SuspectRequests,
)
from egretrail.upstream._verdict import Cause, UpstreamState, Verdict

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "Cause",
    "EjectionRights",
    "Evidence",
    "FetchRequestLosses",
    "NoRights",
    "RequestAnswered",
    "RequestLoss",
    "RequestLosses",
    "ServiceHealth",
    "SuspectRequests",
    "UnlimitedRights",
    "UpstreamState",
    "Verdict",
    "request_digest",
    "upstream_id",
]
