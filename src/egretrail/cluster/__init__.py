"""Fleet membership, the zone hubs, and the messages that instances exchange.

No module of this package performs I/O: datagrams are values, and the time is an argument.
"""

from egretrail.cluster._config_chunks import (
    ConfigOutline,
    KnownOutlines,
    PartedConfig,
    PartsCollection,
    at_once,
    part_config,
)
from egretrail.cluster._config_freshness import ConfigProof, SectionEcho, SendTimes
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
    OutlineQuestion,
    PartsQuestion,
    Question,
    Referral,
    UpstreamsQuestion,
    UpstreamsReply,
    decode_outline,
    decode_parts,
    decode_question,
    decode_upstreams,
    encode_outline,
    encode_parts,
    encode_question,
    encode_referral,
    encode_upstreams,
)
from egretrail.cluster._heartbeat import Beat, DropReport, Finding, LimitReport, LossReport
from egretrail.cluster._hub import URGENT_OUTCOMES, Hub, HubState
from egretrail.cluster._hub_election import HUB_SILENCE_S, Following
from egretrail.cluster._instance import Instance, InstanceState, short_incarnation
from egretrail.cluster._malformed import MalformedMessage
from egretrail.cluster._membership import BEAT_INTERVAL_S, Membership, address_part
from egretrail.cluster._outgoing_reports import OwnNews
from egretrail.cluster._section import (
    ChangedRows,
    LoadRows,
    LoadSlice,
    RosterSlice,
    Scope,
    Section,
)
from egretrail.cluster._zone_peers import ZoneShare, replace_part

__all__ = [
    "BEAT_INTERVAL_S",
    "HUB_SILENCE_S",
    "URGENT_OUTCOMES",
    "Beat",
    "BeatsDatagram",
    "ChangedRows",
    "ConfigOutline",
    "ConfigProof",
    "Datagram",
    "DropReport",
    "Finding",
    "Following",
    "Hub",
    "HubState",
    "Instance",
    "InstanceState",
    "Introduction",
    "KnownOutlines",
    "LimitReport",
    "LoadRows",
    "LoadSlice",
    "LossReport",
    "MalformedMessage",
    "Membership",
    "OutlineQuestion",
    "OwnNews",
    "PartedConfig",
    "PartsCollection",
    "PartsQuestion",
    "Question",
    "Referral",
    "RosterSlice",
    "Scope",
    "Section",
    "SectionEcho",
    "SectionsDatagram",
    "SendTimes",
    "UpstreamsQuestion",
    "UpstreamsReply",
    "ZoneShare",
    "address_part",
    "at_once",
    "decode_datagram",
    "decode_outline",
    "decode_parts",
    "decode_question",
    "decode_upstreams",
    "encode_beats",
    "encode_introduction",
    "encode_outline",
    "encode_parts",
    "encode_passed_on",
    "encode_question",
    "encode_referral",
    "encode_sections",
    "encode_upstreams",
    "part_config",
    "replace_part",
    "short_incarnation",
]
