"""Who is in the fleet, and what its instances tell each other.

No module here does input or output: datagrams are values, and the time is an argument.
"""

from egretrail.cluster._beat import Beat, DropReport, InstanceState, LossReport
from egretrail.cluster._codec import (
    Datagram,
    FetchReply,
    FetchRequest,
    MalformedDatagram,
    Path,
    decode_datagram,
    decode_reply,
    decode_request,
    encode_datagrams,
    encode_reply,
    encode_request,
)
from egretrail.cluster._membership import (
    BEAT_INTERVAL_S,
    Membership,
    Peer,
)
from egretrail.cluster._relay import Relay

__all__ = [
    "BEAT_INTERVAL_S",
    "Beat",
    "Datagram",
    "DropReport",
    "FetchReply",
    "FetchRequest",
    "InstanceState",
    "LossReport",
    "MalformedDatagram",
    "Membership",
    "Path",
    "Peer",
    "Relay",
    "decode_datagram",
    "decode_reply",
    "decode_request",
    "encode_datagrams",
    "encode_reply",
    "encode_request",
]
