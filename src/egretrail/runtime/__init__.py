"""Asynchronous drivers: they connect the decision packages to sockets, peers and the clock."""

from egretrail.runtime._evidence import EvidenceDriver
from egretrail.runtime._membership import MembershipDriver
from egretrail.runtime._problem import OUTCOME_HEADER, PROBLEM_CONTENT_TYPE, Problem, problem_of
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
    "EvidenceDriver",
    "MembershipDriver",
    "Problem",
    "UpstreamClient",
    "UpstreamListDriver",
    "UpstreamRequest",
    "UpstreamResult",
    "problem_of",
]
