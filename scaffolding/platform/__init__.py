"""Stand-ins of the users' platform: its store, its backends, and instances on loopback."""

from scaffolding.platform.backend import Behaviour, StandInBackend
from scaffolding.platform.caller import Caller, Reply
from scaffolding.platform.fleet import GatewayFleet
from scaffolding.platform.link import LinkFault, LinkProxy
from scaffolding.platform.store import StandInStore

__all__ = [
    "Behaviour",
    "Caller",
    "GatewayFleet",
    "LinkFault",
    "LinkProxy",
    "Reply",
    "StandInBackend",
    "StandInStore",
]
