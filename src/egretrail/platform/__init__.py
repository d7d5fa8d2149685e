"""Adapter between the users' platform and the gateway; it is stateless and makes no decisions.

Every name that the platform uses on the wire is decoded in this package only.
"""

from egretrail.platform._contract import PlatformContract
from egretrail.platform._layout import PlatformLayout
from egretrail.platform._node_file import SETTINGS_VARIABLE, NodeFile, read_node_file
from egretrail.platform._store import PlatformStore

__all__ = [
    "SETTINGS_VARIABLE",
    "NodeFile",
    "PlatformContract",
    "PlatformLayout",
    "PlatformStore",
    "read_node_file",
]
