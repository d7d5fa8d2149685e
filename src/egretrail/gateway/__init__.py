"""The gateway: one process on each instance that forwards clients' requests to upstreams.

Unlike ``egretraild`` the gateway gets the ids of client attempts from the clients, and reads the
instances, the upstreams and the configuration from one key-value store.
"""

from egretrail.gateway._interfaces import (
    GatewaySettings,
    InvalidDocument,
    InvalidLimit,
    InvalidNotice,
    ReportedLoad,
    RequestContract,
    RequestMetadata,
    ResponseKind,
    StoreLayout,
    UpstreamNotices,
)
from egretrail.gateway._metrics import GatewayMetrics
from egretrail.gateway._process import Platform, run_gateway, settings_path
from egretrail.gateway._settings_file import SettingsFile

__all__ = [
    "GatewayMetrics",
    "GatewaySettings",
    "InvalidDocument",
    "InvalidLimit",
    "InvalidNotice",
    "Platform",
    "ReportedLoad",
    "RequestContract",
    "RequestMetadata",
    "ResponseKind",
    "SettingsFile",
    "StoreLayout",
    "UpstreamNotices",
    "run_gateway",
    "settings_path",
]
