"""The datagrams of the peers, and their msgpack form."""

import enum
import zlib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from egretrail.cluster._beat import Beat, DropReport, Finding, LossReport
from egretrail.cluster._instance import Instance, InstanceState
from egretrail.cluster._malformed import MALFORMED, MalformedMessage
from egretrail.cluster._section import Section
from egretrail.cluster._section_codec import (
    address_number,
    decode_accounts,
    decode_echo,
    decode_instances,
    decode_key,
    decode_limits,
    decode_proof_age,
    decode_section,
    encode_accounts,
    encode_echo,
    encode_instances,
    encode_limits,
    encode_proof_age,
    encode_section,
)
from egretrail.dispatch import Outcome, RepeatCounts, RequestDigest

#: Raised when the form changes; datagrams of another version are dropped.
_VERSION = 6
#: Datagrams stay below the usual packet size, so that the loss of one packet loses one datagram.
DATAGRAM_BYTES_MAX = 1_300
#: What a compressed datagram may hold at most; the rest of a longer one is not unpacked.
_UNPACKED_BYTES_MAX = 64 * 1024
#: How compressed datagrams begin; others begin with the head of a list.
_COMPRESSED = b"\x78"
#: The largest digest of a request.
_DIGEST_MAX = 2**64 - 1
#: Rows of an introduction that one datagram holds: 12 bytes each.
_INTRODUCED_MAX = 90


class _Kind(enum.IntEnum):
    """What a datagram holds; the numbers are never given a new meaning."""

    #: Beats on their way to the hub of a zone.
    BEATS = 0
    #: What a hub tells its zone.
    ZONE = 1
    #: What a hub tells the hub of another zone.
    ACROSS = 2
    #: Whom an instance knows, for one that may not.
    INTRODUCTION = 3


@dataclass(frozen=True, slots=True)
class BeatsDatagram:
    """Beats on their way to the hub of a zone, or to an instance that may know it."""

    #: How many instances passed them on.
    hops: int
    #: The beats.
    beats: Sequence[Beat]


@dataclass(frozen=True, slots=True)
class SectionsDatagram:
    """Sections of hubs."""

    #: Whether they go to the hub of another zone, in place of the instances of a zone.
    across: bool
    #: How many instances passed them on.
    hops: int
    #: The sections in their encoded form, by which they are passed on.
    encoded: Sequence[bytes]
    #: The sections.
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
    #: Instances that it knows.
    instances: Sequence[Instance]


Datagram = BeatsDatagram | SectionsDatagram | Introduction


def encode_beats(datagram: BeatsDatagram) -> bytes:
    """Return the form of beats that travel together; few, as each takes some hundred bytes."""
    rows = [_beat_row(beat) for beat in datagram.beats]
    packed: bytes = msgpack.packb([_VERSION, int(_Kind.BEATS), datagram.hops, rows])
    return packed


def encode_sections(
    sections: Sequence[Section], passed_on: Sequence[bytes] = (), *, across: bool
) -> Iterator[bytes]:
    """Yield datagrams that hold sections, and some of other hubs in their encoded form.

    What goes to another zone is compressed, since its bytes cost money.
    """
    batch: list[bytes] = []
    size_bytes = 0
    for encoded in [*map(encode_section, sections), *passed_on]:
        if batch and size_bytes + len(encoded) > DATAGRAM_BYTES_MAX:
            yield _sections_datagram(batch, across=across, hops=0)
            batch, size_bytes = [], 0
        batch.append(encoded)
        size_bytes += len(encoded)
    if batch:
        yield _sections_datagram(batch, across=across, hops=0)


def encode_passed_on(datagram: SectionsDatagram) -> bytes:
    """Return the form in which an instance passes a datagram of sections on."""
    return _sections_datagram(datagram.encoded, across=datagram.across, hops=datagram.hops + 1)


def _sections_datagram(encoded: Sequence[bytes], *, across: bool, hops: int) -> bytes:
    kind = _Kind.ACROSS if across else _Kind.ZONE
    data: bytes = msgpack.packb([_VERSION, int(kind), hops, list(encoded)])
    return zlib.compress(data) if across else data


def encode_introduction(introduction: Introduction) -> Iterator[bytes]:
    """Yield datagrams that introduce all instances."""
    instances = introduction.instances
    for start in range(0, max(len(instances), 1), _INTRODUCED_MAX):
        payload = [
            introduction.sender.availability_zone,
            encode_instances([introduction.sender]),
            introduction.config_version,
            introduction.upstreams_revision,
            _by_zone(instances[start : start + _INTRODUCED_MAX]),
        ]
        yield msgpack.packb([_VERSION, int(_Kind.INTRODUCTION), 0, payload])


def _by_zone(instances: Sequence[Instance]) -> dict[str, bytes]:
    zones: dict[str, list[Instance]] = {}
    for instance in instances:
        zones.setdefault(instance.availability_zone, []).append(instance)
    return {zone: encode_instances(members) for zone, members in zones.items()}


def decode_datagram(data: bytes) -> Result[Datagram, MalformedMessage]:
    """Read a datagram."""
    try:
        version, number, hops, payload = msgpack.unpackb(_unpacked(data), strict_map_key=False)
        if version != _VERSION:
            return Err(MalformedMessage(f"version {version!r}"))
        return Ok(_decoded(_Kind(number), int(hops), payload))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def _decoded(kind: _Kind, hops: int, payload: Any) -> Datagram:
    if kind is _Kind.BEATS:
        return BeatsDatagram(hops, [_beat(row) for row in payload])
    if kind is _Kind.INTRODUCTION:
        return _introduction(payload)
    sections = [decode_section(encoded) for encoded in payload]
    return SectionsDatagram(kind is _Kind.ACROSS, hops, payload, sections)


def _introduction(payload: Any) -> Introduction:
    own_zone, own_row, config_version, upstreams_revision, zones = payload
    [(sender, _)] = decode_instances(own_row, str(own_zone))
    instances = [
        instance
        for zone, rows in zones.items()
        for instance, _ in decode_instances(rows, str(zone))
    ]
    return Introduction(sender, int(config_version), int(upstreams_revision), instances)


def _unpacked(data: bytes) -> bytes:
    if not data.startswith(_COMPRESSED):
        return data
    stream = zlib.decompressobj()
    unpacked = stream.decompress(data, _UNPACKED_BYTES_MAX)
    if not stream.eof:
        raise ValueError("compressed data without its end")
    return unpacked


def _beat_row(beat: Beat) -> list[Any]:
    return [
        beat.origin,
        beat.availability_zone,
        beat.incarnation,
        beat.sequence,
        int(beat.state),
        beat.capacity,
        beat.config_version,
        beat.upstreams_revision,
        beat.store_contact,
        dict(beat.loads),
        beat.first_finding,
        [_finding_row(seen) for seen in beat.findings],
        [[loss.digest, loss.upstream_key] for loss in beat.losses],
        _counts_row(beat.repeats),
        [_finding_row(seen) for seen in beat.routine],
        [[drop.upstream_id, drop.revision] for drop in beat.dropped],
        _counts_row(beat.told_repeats),
        encode_limits(beat.limits),
        encode_proof_age(beat.config_proof_age_s),
        None if beat.heard is None else encode_echo(beat.heard),
        encode_accounts(beat.accounts),
    ]


def _counts_row(counts: Mapping[str, RepeatCounts]) -> dict[str, list[int]]:
    return {service: [one.requests, one.repeats] for service, one in counts.items()}


def _counts(row: Mapping[Any, Sequence[int]]) -> dict[str, RepeatCounts]:
    return {str(service): RepeatCounts(int(a), int(b)) for service, (a, b) in row.items()}


def _finding_row(seen: Finding) -> list[int]:
    """Return a finding without its observer, who is the beat's origin."""
    return [seen.upstream_key, int(seen.outcome), round(seen.duration_s * 1000)]


def _finding(row: Sequence[Any], observer: str) -> Finding:
    upstream_key, outcome, duration_ms = row
    return Finding(decode_key(upstream_key), Outcome(outcome), duration_ms / 1000, observer)


def _digest(value: Any) -> RequestDigest:
    digest = int(value)
    if not 0 <= digest <= _DIGEST_MAX:
        raise ValueError(f"request digest {digest}")
    return RequestDigest(digest)


def _capacity(value: Any) -> float:
    capacity = float(value)
    if not 0.0 <= capacity < float("inf"):
        raise ValueError(f"capacity {capacity}")
    return capacity


def _beat(row: Sequence[Any]) -> Beat:
    origin = str(row[0])
    # What a hub packs must fit, or one odd beat would silence it.
    address_number(origin)
    return Beat(
        origin=origin,
        availability_zone=str(row[1]),
        incarnation=int(row[2]),
        sequence=int(row[3]),
        state=InstanceState(row[4]),
        capacity=_capacity(row[5]),
        config_version=int(row[6]),
        upstreams_revision=int(row[7]),
        store_contact=bool(row[8]),
        loads={decode_key(key): max(int(count), 0) for key, count in row[9].items()},
        first_finding=int(row[10]),
        findings=[_finding(entry, origin) for entry in row[11]],
        losses=[LossReport(_digest(digest), decode_key(key)) for digest, key in row[12]],
        repeats=_counts(row[13]),
        routine=[_finding(entry, origin) for entry in row[14]],
        dropped=[DropReport(str(name), int(revision)) for name, revision in row[15]],
        told_repeats=_counts(row[16]),
        limits=decode_limits(row[17]),
        config_proof_age_s=decode_proof_age(row[18]),
        heard=None if row[19] is None else decode_echo(row[19]),
        accounts=decode_accounts(row[20]),
    )
