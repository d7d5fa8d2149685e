"""Fleet membership, the zone hubs, and the messages that instances exchange.

No module of this package performs I/O: datagrams are values, and the time is an argument.
"""

from egretrail.cluster._config_chunks import (
    ChunkCollection,
    ChunkedConfig,
    ConfigManifest,
    ManifestHistory,
    run_to_completion,
    split_config,
)
from egretrail.cluster._config_freshness import ConfigFreshness, SectionEcho, SendTimes
from egretrail.cluster._datagrams import (
    Datagram,
    HeartbeatsDatagram,
    Introduction,
    SectionsDatagram,
    decode_datagram,
    encode_heartbeats,
    encode_introduction,
    encode_relayed,
    encode_sections,
)
from egretrail.cluster._fetch_codec import (
    FetchChunks,
    FetchManifest,
    FetchMessage,
    FetchUpstreams,
    Referral,
    UpstreamsReply,
    decode_chunks,
    decode_fetch,
    decode_manifest,
    decode_upstreams,
    encode_chunks,
    encode_fetch,
    encode_manifest,
    encode_referral,
    encode_upstreams,
)
from egretrail.cluster._fields import decode_bytes, decode_count, decode_ratio, decode_text
from egretrail.cluster._heartbeat import (
    DropReport,
    Heartbeat,
    LimitReport,
    LossReport,
    OutcomeReport,
)
from egretrail.cluster._hub import URGENT_OUTCOMES, Hub, HubState
from egretrail.cluster._hub_election import FALLBACK_TARGETS, HubElection
from egretrail.cluster._hub_terms import HubTerm, HubTerms
from egretrail.cluster._instance import Instance, InstanceState, short_incarnation
from egretrail.cluster._malformed import MALFORMED, MalformedMessage
from egretrail.cluster._membership import HEARTBEAT_INTERVAL_S, Membership, roster_slice_index
from egretrail.cluster._outgoing_reports import OutgoingReports
from egretrail.cluster._relay_choice import choose_relay
from egretrail.cluster._section import (
    ChangedRows,
    LoadRows,
    LoadSlice,
    RosterSlice,
    Scope,
    Section,
)
from egretrail.cluster._store_outage import StoreOutage
from egretrail.cluster._takeover import (
    CHANGE_IN_FORCE_S,
    HUB_TIMEOUT_S,
    READER_CHECK_S,
    TAKEOVER_STEPS_S,
    ZONE_REPORT_INTERVAL_S,
    ZONE_SECTION_INTERVAL_MAX_S,
    ZONE_TIMEOUT_S,
)
from egretrail.cluster._zone_peers import ZonePeers, replace_slice

__all__ = [
    "CHANGE_IN_FORCE_S",
    "FALLBACK_TARGETS",
    "HEARTBEAT_INTERVAL_S",
    "HUB_TIMEOUT_S",
    "MALFORMED",
    "READER_CHECK_S",
    "TAKEOVER_STEPS_S",
    "URGENT_OUTCOMES",
    "ZONE_REPORT_INTERVAL_S",
    "ZONE_SECTION_INTERVAL_MAX_S",
    "ZONE_TIMEOUT_S",
    "ChangedRows",
    "ChunkCollection",
    "ChunkedConfig",
    "ConfigFreshness",
    "ConfigManifest",
    "Datagram",
    "DropReport",
    "FetchChunks",
    "FetchManifest",
    "FetchMessage",
    "FetchUpstreams",
    "Heartbeat",
    "HeartbeatsDatagram",
    "Hub",
    "HubElection",
    "HubState",
    "HubTerm",
    "HubTerms",
    "Instance",
    "InstanceState",
    "Introduction",
    "LimitReport",
    "LoadRows",
    "LoadSlice",
    "LossReport",
    "MalformedMessage",
    "ManifestHistory",
    "Membership",
    "OutcomeReport",
    "OutgoingReports",
    "Referral",
    "RosterSlice",
    "Scope",
    "Section",
    "SectionEcho",
    "SectionsDatagram",
    "SendTimes",
    "StoreOutage",
    "UpstreamsReply",
    "ZonePeers",
    "choose_relay",
    "decode_bytes",
    "decode_chunks",
    "decode_count",
    "decode_datagram",
    "decode_fetch",
    "decode_manifest",
    "decode_ratio",
    "decode_text",
    "decode_upstreams",
    "encode_chunks",
    "encode_fetch",
    "encode_heartbeats",
    "encode_introduction",
    "encode_manifest",
    "encode_referral",
    "encode_relayed",
    "encode_sections",
    "encode_upstreams",
    "replace_slice",
    "roster_slice_index",
    "run_to_completion",
    "short_incarnation",
    "split_config",
]
