"""Who is in the fleet, and what its instances tell each other.

No module here does input or output: datagrams are values, and the time is an argument.
"""

from egretrail.cluster._beat import Beat, DropReport, Finding, LossReport
from egretrail.cluster._datagrams import (
    BeatsDatagram,
    Datagram,
    Introduction,
    SectionsDatagram,
    decode_datagram,
    encode_beats,
    encode_introduction,
    encode_passed_on,
    encode_sections,
)
from egretrail.cluster._fetch_codec import (
    FetchReply,
    FetchRequest,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from egretrail.cluster._following import HUB_SILENCE_S, Following
from egretrail.cluster._hub import URGENT_OUTCOMES, Hub, HubState
from egretrail.cluster._instance import Instance, InstanceState, short_incarnation
from egretrail.cluster._malformed import MalformedMessage
from egretrail.cluster._membership import BEAT_INTERVAL_S, Membership
from egretrail.cluster._news import OwnNews
from egretrail.cluster._section import (
    ChangedRows,
    LoadRows,
    LoadSlice,
    RosterSlice,
    Scope,
    Section,
)
from egretrail.cluster._zone_share import ZoneShare, replace_part

__all__ = [
    "BEAT_INTERVAL_S",
    "HUB_SILENCE_S",
    "URGENT_OUTCOMES",
    "Beat",
    "BeatsDatagram",
    "ChangedRows",
    "Datagram",
    "DropReport",
    "FetchReply",
    "FetchRequest",
    "Finding",
    "Following",
    "Hub",
    "HubState",
    "Instance",
    "InstanceState",
    "Introduction",
    "LoadRows",
    "LoadSlice",
    "LossReport",
    "MalformedMessage",
    "Membership",
    "OwnNews",
    "RosterSlice",
    "Scope",
    "Section",
    "SectionsDatagram",
    "ZoneShare",
    "decode_datagram",
    "decode_reply",
    "decode_request",
    "encode_beats",
    "encode_introduction",
    "encode_passed_on",
    "encode_reply",
    "encode_request",
    "encode_sections",
    "replace_part",
    "short_incarnation",
]
