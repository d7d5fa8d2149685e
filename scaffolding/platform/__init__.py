"""Stand-ins for the users' platform (store, backends, client) and a fleet of gateways."""

from scaffolding.platform.backend import Behaviour, StandInBackend
from scaffolding.platform.client import AttemptResult, GatewayClient
from scaffolding.platform.cut_gateway import BackendCut
from scaffolding.platform.fleet import GatewayFleet
from scaffolding.platform.link import LinkFault, LinkProxy
from scaffolding.platform.raw_server import RawExchange, RawServer
from scaffolding.platform.sent_answer import SentAnswer, answer_mismatch
from scaffolding.platform.store import StandInStore

__all__ = [
    "AttemptResult",
    "BackendCut",
    "Behaviour",
    "GatewayClient",
    "GatewayFleet",
    "LinkFault",
    "LinkProxy",
    "RawExchange",
    "RawServer",
    "SentAnswer",
    "StandInBackend",
    "StandInStore",
    "answer_mismatch",
]
