"""The gateway: one process on each instance that takes callers' requests and places them.

It differs from ``egretraild`` in what it rests on: client attempts carry their own ids, and
instances, upstreams and configuration are listed in one key-value store.
"""

from egretrail.gateway._interfaces import (
    AnswerKind,
    CallerTerms,
    GatewaySettings,
    InvalidDocument,
    InvalidLimit,
    ReportedLoad,
    RequestContract,
    StoreLayout,
)
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._process import Platform, run_gateway, settings_path
from egretrail.gateway._settings_file import SettingsFile

__all__ = [
    "AnswerKind",
    "CallerTerms",
    "GatewayMetrics",
    "GatewaySettings",
    "InvalidDocument",
    "InvalidLimit",
    "Platform",
    "ReportedLoad",
    "RequestContract",
    "SettingsFile",
    "StoreLayout",
    "run_gateway",
    "settings_path",
]
