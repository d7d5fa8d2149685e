"""Asynchronous drivers: they connect the decision packages to sockets, peers and the clock."""

from egretrail.runtime._evidence import EvidenceDriver
from egretrail.runtime._keyed import KeyedExecutor, KeyedState
from egretrail.runtime._keyed_home import Drained, Execute
from egretrail.runtime._membership import MembershipDriver
from egretrail.runtime._problem import OUTCOME_HEADER, PROBLEM_CONTENT_TYPE, Problem, problem_of
from egretrail.runtime._report import ReportDriver
from egretrail.runtime._settings import SettingsDriver
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
    "Drained",
    "EvidenceDriver",
    "Execute",
    "KeyedExecutor",
    "KeyedState",
    "MembershipDriver",
    "Problem",
    "ReportDriver",
    "SettingsDriver",
    "UpstreamClient",
    "UpstreamListDriver",
    "UpstreamRequest",
    "UpstreamResult",
    "problem_of",
]
