"""Authenticated streams between the fleet's instances."""

from egretrail.peer._errors import PeerFailure, PeerUnreachable, PeerUnresponsive
from egretrail.peer._network import Handler, PeerNetwork
from egretrail.peer._tcp import TcpPeerNetwork

__all__ = [
    "Handler",
    "PeerFailure",
    "PeerNetwork",
    "PeerUnreachable",
    "PeerUnresponsive",
    "TcpPeerNetwork",
]
