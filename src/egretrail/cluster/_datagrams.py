"""The datagrams that peers exchange, and their msgpack form."""

import enum
import zlib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from egretrail.cluster._demand_codec import decode_demand, encode_demand
from egretrail.cluster._fields import decode_count, decode_ratio, decode_seconds, decode_text
from egretrail.cluster._heartbeat import DropReport, Heartbeat, LossReport, OutcomeReport
from egretrail.cluster._instance import Instance, InstanceState
from egretrail.cluster._malformed import MALFORMED, MalformedMessage
from egretrail.cluster._section import Section
from egretrail.cluster._section_codec import (
    address_number,
    decode_accounts,
    decode_age,
    decode_echo,
    decode_instances,
    decode_key,
    decode_limits,
    decode_retries,
    decode_section,
    encode_accounts,
    encode_age,
    encode_echo,
    encode_instances,
    encode_limits,
    encode_section,
    optional_fields,
)
from egretrail.dispatch import Outcome, RequestDigest, RetryCounts
from egretrail.overload import DemandReport

#: The version of the wire format, incremented with each change of it; datagrams of other versions
#: are discarded.
_VERSION = 6
#: Datagrams stay below the typical packet size, so that the loss of one packet loses one datagram.
DATAGRAM_BYTES_MAX = 1_300
#: The maximum size of a decompressed datagram; decompression stops beyond it.
_DECOMPRESSED_BYTES_MAX = 64 * 1024
#: The first byte of compressed datagrams; uncompressed datagrams start with the header of a msgpack
#: array.
_COMPRESSED = b"\x78"
#: The largest digest of a request.
_DIGEST_MAX = 2**64 - 1
#: The largest capacity, as rosters hold it.
_CAPACITY_MAX = 12.75
#: Instances of an introduction in one datagram: 12 bytes each.
_INTRODUCTION_ROWS_MAX = 90


class _Kind(enum.IntEnum):
    """The kind of a datagram's contents; the values are never reused for another meaning."""

    #: Heartbeats that are sent to the hub of a zone.
    HEARTBEATS = 0
    #: Sections of a hub for the instances of its zone.
    ZONE = 1
    #: Sections of a hub for the hub of another zone.
    CROSS_ZONE = 2
    #: Whom an instance knows, for one that may not.
    INTRODUCTION = 3


@dataclass(frozen=True, slots=True)
class HeartbeatsDatagram:
    """Heartbeats that are sent to the hub of a zone, or to an instance that may know the hub."""

    #: How many instances passed them on.
    hops: int
    #: The heartbeats.
    heartbeats: Sequence[Heartbeat]


@dataclass(frozen=True, slots=True)
class SectionsDatagram:
    """Sections of one or more hubs."""

    #: Whether the sections go to the hub of another zone instead of the instances of a zone.
    is_cross_zone: bool
    #: How many instances passed them on.
    hops: int
    #: The sections in their packed form, which is relayed unchanged.
    encoded: Sequence[bytes]
    #: The decoded sections.
    sections: Sequence[Section]


@dataclass(frozen=True, slots=True)
class Introduction:
    """Whom an instance knows, for one that may not."""

    #: The sender.
    sender: Instance
    #: The version of the configuration that the sender has in force; 0 for none.
    config_version: int
    #: The store's revision up to which the sender knows the upstreams; 0 for none.
    upstreams_revision: int
    #: The instances that the sender knows.
    instances: Sequence[Instance]


Datagram = HeartbeatsDatagram | SectionsDatagram | Introduction


def encode_heartbeats(datagram: HeartbeatsDatagram) -> bytes:
    """Return the packed form of heartbeats; few at a time, since each takes some hundred bytes."""
    rows = [_heartbeat_row(heartbeat) for heartbeat in datagram.heartbeats]
    packed: bytes = msgpack.packb([_VERSION, int(_Kind.HEARTBEATS), datagram.hops, rows])
    return packed


def encode_sections(
    sections: Sequence[Section], passed_on: Sequence[bytes] = (), *, cross_zone: bool
) -> Iterator[bytes]:
    """Yield datagrams with sections, followed by sections of other hubs in their packed form.

    Datagrams to another zone are compressed, since traffic between zones is billed.
    """
    batch: list[bytes] = []
    size_bytes = 0
    for encoded in [*map(encode_section, sections), *passed_on]:
        if batch and size_bytes + len(encoded) > DATAGRAM_BYTES_MAX:
            yield _sections_datagram(batch, cross_zone=cross_zone, hops=0)
            batch, size_bytes = [], 0
        batch.append(encoded)
        size_bytes += len(encoded)
    if batch:
        yield _sections_datagram(batch, cross_zone=cross_zone, hops=0)


def encode_relayed(datagram: SectionsDatagram) -> bytes:
    """Return the form in which an instance relays a datagram of sections."""
    return _sections_datagram(
        datagram.encoded, cross_zone=datagram.is_cross_zone, hops=datagram.hops + 1
    )


def _sections_datagram(encoded: Sequence[bytes], *, cross_zone: bool, hops: int) -> bytes:
    kind = _Kind.CROSS_ZONE if cross_zone else _Kind.ZONE
    data: bytes = msgpack.packb([_VERSION, int(kind), hops, list(encoded)])
    return zlib.compress(data) if cross_zone else data


def encode_introduction(introduction: Introduction) -> Iterator[bytes]:
    """Yield datagrams that together introduce all instances."""
    instances = introduction.instances
    for start in range(0, max(len(instances), 1), _INTRODUCTION_ROWS_MAX):
        payload = [
            introduction.sender.availability_zone,
            encode_instances([introduction.sender]),
            introduction.config_version,
            introduction.upstreams_revision,
            _by_zone(instances[start : start + _INTRODUCTION_ROWS_MAX]),
        ]
        yield msgpack.packb([_VERSION, int(_Kind.INTRODUCTION), 0, payload])


def _by_zone(instances: Sequence[Instance]) -> dict[str, bytes]:
    zones: dict[str, list[Instance]] = {}
    for instance in instances:
        zones.setdefault(instance.availability_zone, []).append(instance)
    return {zone: encode_instances(members) for zone, members in zones.items()}


def decode_datagram(data: bytes) -> Result[Datagram, MalformedMessage]:
    """Decode a datagram."""
    try:
        version, kind, hops, payload = msgpack.unpackb(_decompressed(data), strict_map_key=False)
        if version != _VERSION:
            return Err(MalformedMessage(f"unsupported version {version!r}"))
        return Ok(_decode_payload(_Kind(kind), decode_count(hops), payload))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def _decode_payload(kind: _Kind, hops: int, payload: Any) -> Datagram:
    if kind is _Kind.HEARTBEATS:
        return HeartbeatsDatagram(hops, [_decode_heartbeat(row) for row in payload])
    if kind is _Kind.INTRODUCTION:
        return _decode_introduction(payload)
    sections = [decode_section(encoded) for encoded in payload]
    return SectionsDatagram(kind is _Kind.CROSS_ZONE, hops, payload, sections)


def _decode_introduction(payload: Any) -> Introduction:
    own_zone, own_row, config_version, upstreams_revision, zones = payload
    [(sender, _)] = decode_instances(own_row, decode_text(own_zone))
    instances = [
        instance
        for zone, rows in zones.items()
        for instance, _ in decode_instances(rows, decode_text(zone))
    ]
    return Introduction(
        sender, decode_count(config_version), decode_count(upstreams_revision), instances
    )


def _decompressed(data: bytes) -> bytes:
    if not data.startswith(_COMPRESSED):
        return data
    stream = zlib.decompressobj()
    decompressed = stream.decompress(data, _DECOMPRESSED_BYTES_MAX)
    if not stream.eof:
        raise ValueError("compressed data is truncated")
    return decompressed


def _heartbeat_row(heartbeat: Heartbeat) -> list[Any]:
    return [
        heartbeat.origin,
        heartbeat.availability_zone,
        heartbeat.incarnation,
        heartbeat.sequence,
        int(heartbeat.state),
        heartbeat.capacity,
        heartbeat.config_version,
        heartbeat.upstreams_revision,
        heartbeat.store_contact,
        dict(heartbeat.loads),
        heartbeat.first_outcome,
        [_outcome_row(report) for report in heartbeat.outcomes],
        [[loss.digest, loss.upstream_key] for loss in heartbeat.losses],
        _retry_counts_row(heartbeat.retries),
        [_outcome_row(report) for report in heartbeat.successes],
        [[drop.upstream_id, drop.revision] for drop in heartbeat.dropped],
        _retry_counts_row(heartbeat.known_retries),
        encode_limits(heartbeat.limits),
        encode_age(heartbeat.config_freshness_age_s),
        None if heartbeat.last_section is None else encode_echo(heartbeat.last_section),
        encode_accounts(heartbeat.accounts),
        heartbeat.is_isolated,
        *_optional_fields(heartbeat),
    ]


def _optional_fields(heartbeat: Heartbeat) -> list[Any]:
    """Return the last fields, which are left out where there is nothing to report."""
    return optional_fields(
        list(heartbeat.replaced) or None,
        None if heartbeat.demand.is_empty else encode_demand(heartbeat.demand),
        encode_age(heartbeat.store_away_s),
    )


def _retry_counts_row(counts: Mapping[str, RetryCounts]) -> dict[str, list[int]]:
    return {
        service: [retry_counts.requests, retry_counts.retries]
        for service, retry_counts in counts.items()
    }


def _outcome_row(report: OutcomeReport) -> list[int]:
    """Return the row of an outcome report, without the observer: the heartbeat's origin."""
    return [report.upstream_key, int(report.outcome), round(report.duration_s * 1000)]


def _decode_outcome(row: Sequence[Any], observer: str) -> OutcomeReport:
    upstream_key, outcome, duration_ms = row
    return OutcomeReport(
        decode_key(upstream_key), Outcome(outcome), decode_seconds(duration_ms, 0.001), observer
    )


def _decode_heartbeat(row: Sequence[Any]) -> Heartbeat:
    origin = decode_text(row[0])
    # The hub packs these values into fixed widths: an invalid value would fail its sections for the
    # whole zone.
    address_number(origin)
    return Heartbeat(
        origin=origin,
        availability_zone=decode_text(row[1]),
        incarnation=decode_count(row[2]),
        sequence=decode_count(row[3]),
        state=InstanceState(row[4]),
        capacity=decode_ratio(row[5], _CAPACITY_MAX),
        config_version=decode_count(row[6]),
        upstreams_revision=decode_count(row[7]),
        store_contact=bool(row[8]),
        loads={decode_key(key): decode_count(count) for key, count in row[9].items()},
        first_outcome=decode_count(row[10]),
        outcomes=[_decode_outcome(entry, origin) for entry in row[11]],
        losses=[
            LossReport(RequestDigest(decode_count(digest, _DIGEST_MAX)), decode_key(key))
            for digest, key in row[12]
        ],
        retries=decode_retries(row[13]),
        successes=[_decode_outcome(entry, origin) for entry in row[14]],
        dropped=[
            DropReport(decode_text(name), decode_count(revision)) for name, revision in row[15]
        ],
        known_retries=decode_retries(row[16]),
        limits=decode_limits(row[17]),
        config_freshness_age_s=decode_age(row[18]),
        last_section=None if row[19] is None else decode_echo(row[19]),
        accounts=decode_accounts(row[20]),
        # Earlier versions of the program do not send it.
        is_isolated=bool(row[21]) if len(row) > 21 else False,
        replaced=[decode_text(name) for name in row[22] or ()] if len(row) > 22 else (),
        demand=decode_demand(row[23]) if len(row) > 23 and row[23] is not None else DemandReport(),
        store_away_s=decode_age(row[24]) if len(row) > 24 else None,
    )
