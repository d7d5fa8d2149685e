"""Decides which upstream runs a request, which requests are refused, and which are retried.

No module here does input or output: the time is an argument, and the observations of other
instances are passed in as values.
"""

from egretrail.dispatch._backoff import BackoffTable
from egretrail.dispatch._crashing_requests import CrashingRequests, RequestDigest, request_digest
from egretrail.dispatch._durations import ServiceDurations
from egretrail.dispatch._limits import AdvertisedLimit, AdvertisedLimits, LimitPosition
from egretrail.dispatch._load import FleetLoad
from egretrail.dispatch._observation import RESPONSE_OUTCOMES, Observation, Outcome
from egretrail.dispatch._path_check import PATH_OUTCOMES, HeldFailure, PathCheck, choose_probes
from egretrail.dispatch._placement import Choice, Placement, PlacementQuery, Refusal, RefusalReason
from egretrail.dispatch._quotas import (
    COUNT_MODULUS,
    AccountCounter,
    AccountCounts,
    AccountQuotas,
    AccountReport,
    QuotaExceeded,
    QuotaTerms,
    account_key,
    new_counts,
)
from egretrail.dispatch._response_sizes import ResponseSizes
from egretrail.dispatch._retry_budget import (
    FleetRetryBudget,
    NewRetryCounts,
    RetryBudgetUsage,
    RetryCounter,
    RetryCounts,
    new_retry_counts,
)
from egretrail.dispatch._slot_shares import SlotShares
from egretrail.dispatch._suspicion import (
    FIRST_PAUSE_S,
    SuspicionRecord,
    SuspicionTable,
    UpstreamHealth,
)
from egretrail.dispatch._trials import TrialScheduler

__all__ = [
    "COUNT_MODULUS",
    "FIRST_PAUSE_S",
    "PATH_OUTCOMES",
    "RESPONSE_OUTCOMES",
    "AccountCounter",
    "AccountCounts",
    "AccountQuotas",
    "AccountReport",
    "AdvertisedLimit",
    "AdvertisedLimits",
    "BackoffTable",
    "Choice",
    "CrashingRequests",
    "FleetLoad",
    "FleetRetryBudget",
    "HeldFailure",
    "LimitPosition",
    "NewRetryCounts",
    "Observation",
    "Outcome",
    "PathCheck",
    "Placement",
    "PlacementQuery",
    "QuotaExceeded",
    "QuotaTerms",
    "Refusal",
    "RefusalReason",
    "RequestDigest",
    "ResponseSizes",
    "RetryBudgetUsage",
    "RetryCounter",
    "RetryCounts",
    "ServiceDurations",
    "SlotShares",
    "SuspicionRecord",
    "SuspicionTable",
    "TrialScheduler",
    "UpstreamHealth",
    "account_key",
    "choose_probes",
    "new_counts",
    "new_retry_counts",
    "request_digest",
]
