"""Decides which upstream runs a request, which requests are refused, and which are retried.

No module here does input or output: the time is an argument, and the observations of other
instances are passed in as values.
"""

from egretrail.dispatch._crashing_requests import CrashingRequests, RequestDigest, request_digest
from egretrail.dispatch._durations import ServiceDurations
from egretrail.dispatch._limits import LimitPlace, StatedLimit, UpstreamLimits
from egretrail.dispatch._load import FleetLoad
from egretrail.dispatch._observation import Observation, Outcome
from egretrail.dispatch._placement import Choice, Placement, PlacementQuery, Refusal, RefusalReason
from egretrail.dispatch._quotas import (
    COUNT_MODULUS,
    AccountCounts,
    AccountQuotas,
    AccountReport,
    CountedAccount,
    OverQuota,
    QuotaTerms,
    account_key,
    news_of,
)
from egretrail.dispatch._response_sizes import AnswerSizes
from egretrail.dispatch._retry_budget import RepeatBudget, RepeatCounts
from egretrail.dispatch._slot_shares import SlotShares
from egretrail.dispatch._suspicion import FIRST_PAUSE_S, DoubtRecord, Standing, SuspicionBook
from egretrail.dispatch._trials import TrialPace

__all__ = [
    "COUNT_MODULUS",
    "FIRST_PAUSE_S",
    "AccountCounts",
    "AccountQuotas",
    "AccountReport",
    "AnswerSizes",
    "Choice",
    "CountedAccount",
    "CrashingRequests",
    "DoubtRecord",
    "FleetLoad",
    "LimitPlace",
    "Observation",
    "Outcome",
    "OverQuota",
    "Placement",
    "PlacementQuery",
    "QuotaTerms",
    "Refusal",
    "RefusalReason",
    "RepeatBudget",
    "RepeatCounts",
    "RequestDigest",
    "ServiceDurations",
    "SlotShares",
    "Standing",
    "StatedLimit",
    "SuspicionBook",
    "TrialPace",
    "UpstreamLimits",
    "account_key",
    "news_of",
    "request_digest",
]
