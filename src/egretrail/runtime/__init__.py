"""Asynchronous drivers that connect the decision logic to sockets, peers and the clock."""

from egretrail.runtime._demand import DemandDriver, DemandSource
from egretrail.runtime._evidence import EvidenceDriver
from egretrail.runtime._keyed import KeyedExecutor, KeyedState
from egretrail.runtime._keyed_home import DrainResult, Execute
from egretrail.runtime._membership import MembershipDriver
from egretrail.runtime._problem import (
    OUTCOME_HEADER,
    PROBLEM_CONTENT_TYPE,
    Problem,
    problem_from_refusal,
)
from egretrail.runtime._report import ReportDriver
from egretrail.runtime._rights import RightsDriver, RightsReport
from egretrail.runtime._rights_registrar import FloorSource
from egretrail.runtime._settings import SettingsDriver, SettingsStatus
from egretrail.runtime._settings_http import OperatorTokenMiddleware, add_settings_routes
from egretrail.runtime._settings_peers import InForceReport
from egretrail.runtime._settings_policy import SettingsPolicy
from egretrail.runtime._settings_writer import StoredSetting
from egretrail.runtime._upstream_client import (
    DEADLINE_HEADER,
    UpstreamClient,
    UpstreamRequest,
    UpstreamResult,
)
from egretrail.runtime._upstream_list import UpstreamListDriver

__all__ = [
    "DEADLINE_HEADER",
    "OUTCOME_HEADER",
    "PROBLEM_CONTENT_TYPE",
    "DemandDriver",
    "DemandSource",
    "DrainResult",
    "EvidenceDriver",
    "Execute",
    "FloorSource",
    "InForceReport",
    "KeyedExecutor",
    "KeyedState",
    "MembershipDriver",
    "OperatorTokenMiddleware",
    "Problem",
    "ReportDriver",
    "RightsDriver",
    "RightsReport",
    "SettingsDriver",
    "SettingsPolicy",
    "SettingsStatus",
    "StoredSetting",
    "UpstreamClient",
    "UpstreamListDriver",
    "UpstreamRequest",
    "UpstreamResult",
    "add_settings_routes",
    "problem_from_refusal",
]
