"""The msgpack form of the messages that fetch state from a peer."""

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from egretrail.cluster._config_chunks import CHUNK_COUNT, ConfigChunk, ConfigManifest
from egretrail.cluster._fields import (
    decode_address,
    decode_bytes,
    decode_count,
    decode_seconds,
    decode_text,
)
from egretrail.cluster._malformed import MALFORMED, MalformedMessage
from egretrail.dispatch import SuspicionRecord
from egretrail.traffic import UpstreamRecord, UpstreamState

#: The version of the wire format, incremented with each change of it; messages of other versions
#: are rejected.
_VERSION = 6
#: The size of a reply of chunks before compression. A weak link then transfers a reply in a few
#: milliseconds, so that replies to many requesters are sent in turn.
_CHUNKS_REPLY_BYTES = 65_536
#: The maximum decompressed size of a reply of chunks; a single chunk may exceed the reply size
#: above.
_CHUNKS_BYTES_MAX = 16 * 1024 * 1024
#: Bounds of an upstream's fields: the store's keys have at most 200 bytes, an upstream has no more
#: slots than connections, and starts lie before the year 2248.
_NAME_MAX, _SLOTS_MAX, _STARTED_MAX_MS = 200, 65_535, 2**43
_DIGEST_MAX = 2**64 - 1
#: Routes of one customer are similar: the fastest level compresses them to a fifth.
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class FetchUpstreams:
    """Requests the upstreams that changed after a revision."""

    #: The requester's revision of the upstreams; 0 to request all upstreams.
    revision: int
    #: Whether to include the suspicions about upstreams, for a requester that has just started.
    with_suspicions: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamsReply:
    """A peer's upstreams, if it has a newer revision."""

    #: The peer's revision.
    revision: int
    #: All listed upstreams; None when the requester's revision is not older or when ``changes`` is
    #: set.
    upstreams: Sequence[UpstreamRecord] | None
    #: The suspicions about upstreams, if they were requested.
    suspicions: Sequence[SuspicionRecord] = ()
    #: The upstreams that changed since the requester's revision, by name; None for an upstream that
    #: is no longer listed.
    changes: Mapping[str, UpstreamRecord | None] | None = None


@dataclass(frozen=True, slots=True)
class FetchManifest:
    """Requests the manifest of a peer's configuration."""

    #: The digest of the requester's configuration; 0 for none.
    base_digest: int
    #: The requester's address: once it has the complete configuration, others may be referred to
    #: it.
    requester: str = ""
    #: Whether the requester is a hub, for which the instances of its zone wait.
    is_hub: bool = False


@dataclass(frozen=True, slots=True)
class Referral:
    """Refers a requester to another instance, since many instances fetch from this one."""

    #: The address of the other instance; empty to request again from the same instance.
    address: str


@dataclass(frozen=True, slots=True)
class FetchChunks:
    """Requests chunks of a peer's configuration."""

    #: The digests of the requested chunks, by chunk number.
    wanted: Mapping[int, int]


FetchMessage = FetchUpstreams | FetchManifest | FetchChunks


def encode_fetch(message: FetchMessage) -> bytes:
    """Return the packed form of a fetch message."""
    document: list[Any]
    match message:
        case FetchUpstreams(revision, with_suspicions):
            document = [_VERSION, 0, revision, with_suspicions]
        case FetchManifest(base_digest, requester, is_hub):
            document = [_VERSION, 1, base_digest, requester, is_hub]
        case FetchChunks(wanted):
            document = [_VERSION, 2, dict(wanted)]
    packed: bytes = msgpack.packb(document)
    return packed


def decode_fetch(data: bytes) -> Result[FetchMessage, MalformedMessage]:
    """Decode a fetch message."""
    try:
        version, kind, *rest = msgpack.unpackb(data, strict_map_key=False)
        if version != _VERSION:
            return Err(MalformedMessage(f"unsupported version {version!r}"))
        match kind, rest:
            case 0, [revision, with_suspicions]:
                return Ok(FetchUpstreams(decode_count(revision), bool(with_suspicions)))
            case 1, [base_digest, requester, is_hub]:
                return Ok(
                    FetchManifest(
                        decode_count(base_digest, _DIGEST_MAX), decode_text(requester), bool(is_hub)
                    )
                )
            case 2, [wanted]:
                return Ok(FetchChunks(_decode_digests(wanted)))
            case _:
                return Err(MalformedMessage(f"unknown message kind {kind!r}"))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def encode_manifest(manifest: ConfigManifest) -> bytes:
    """Return the packed form of a manifest."""
    document = [
        _VERSION,
        manifest.head,
        manifest.digest,
        manifest.base_digest,
        dict(manifest.changed_chunks),
    ]
    packed: bytes = msgpack.packb(document)
    return packed


def encode_referral(referral: Referral) -> bytes:
    """Return the packed form of a referral, which is sent instead of a manifest."""
    packed: bytes = msgpack.packb([_VERSION, referral.address])
    return packed


def decode_manifest(data: bytes) -> Result[ConfigManifest | Referral, MalformedMessage]:
    """Decode a manifest, or the referral that was sent instead."""
    try:
        version, *rest = msgpack.unpackb(data, strict_map_key=False)
        if version != _VERSION:
            return Err(MalformedMessage(f"unsupported version {version!r}"))
        if len(rest) == 1:
            return Ok(Referral(decode_text(rest[0])))
        head, digest, base_digest, changed = rest
        return Ok(
            ConfigManifest(
                decode_bytes(head),
                decode_count(digest, _DIGEST_MAX),
                decode_count(base_digest, _DIGEST_MAX),
                _decode_digests(changed),
            )
        )
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def encode_chunks(chunks: Sequence[ConfigChunk]) -> bytes:
    """Return the packed form of as many chunks as fit into a reply, starting with the first."""
    packed_chunks: list[bytes] = []
    size_bytes = 0
    for chunk in chunks:
        if packed_chunks and size_bytes + len(chunk.packed) > _CHUNKS_REPLY_BYTES:
            break
        packed_chunks.append(chunk.packed)
        size_bytes += len(chunk.packed)
    return zlib.compress(msgpack.packb([_VERSION, packed_chunks]), _COMPRESSION_LEVEL)


def decode_chunks(data: bytes) -> Result[Sequence[ConfigChunk], MalformedMessage]:
    """Decode chunks."""
    try:
        decompressor = zlib.decompressobj()
        unpacked = decompressor.decompress(data, _CHUNKS_BYTES_MAX)
        if decompressor.unconsumed_tail:
            return Err(MalformedMessage(f"decompressed chunks exceed {_CHUNKS_BYTES_MAX} bytes"))
        version, packed_chunks = msgpack.unpackb(unpacked)
        if version != _VERSION:
            return Err(MalformedMessage(f"unsupported version {version!r}"))
        return Ok([ConfigChunk.unpack(decode_bytes(packed)) for packed in packed_chunks])
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def encode_upstreams(reply: UpstreamsReply) -> bytes:
    """Return the packed form of upstreams."""
    rows = None
    if reply.upstreams is not None:
        rows = [_upstream_row(record) for record in reply.upstreams]
    suspicions = [
        [suspicion.upstream_id, suspicion.age_s, suspicion.pause_s, suspicion.successes]
        for suspicion in reply.suspicions
    ]
    changes = None
    if reply.changes is not None:
        changes = {
            name: None if record is None else _upstream_row(record)
            for name, record in reply.changes.items()
        }
    packed: bytes = msgpack.packb([_VERSION, reply.revision, rows, changes, suspicions])
    return packed


def decode_upstreams(data: bytes) -> Result[UpstreamsReply, MalformedMessage]:
    """Decode upstreams."""
    try:
        version, revision, rows, changed, suspicion_rows = msgpack.unpackb(data)
        if version != _VERSION:
            return Err(MalformedMessage(f"unsupported version {version!r}"))
        upstreams = None
        if rows is not None:
            # An upstream with an odd field is not listed; the others are.
            decoded = [_decode_upstream(row) for row in rows]
            upstreams = [record for record in decoded if record is not None]
        suspicions = [
            SuspicionRecord(
                decode_text(name),
                decode_seconds(age_s),
                decode_seconds(pause_s),
                decode_count(successes),
            )
            for name, age_s, pause_s, successes in suspicion_rows
        ]
        changes = None
        if changed is not None:
            changes = {
                decode_text(name): None if row is None else _decode_upstream(row)
                for name, row in changed.items()
            }
        return Ok(UpstreamsReply(decode_count(revision), upstreams, suspicions, changes))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def _decode_digests(table: Mapping[Any, Any]) -> Mapping[int, int]:
    return {
        decode_count(number, CHUNK_COUNT - 1): decode_count(digest, _DIGEST_MAX)
        for number, digest in table.items()
    }


def _decode_name(value: Any) -> str:
    name = decode_text(value, _NAME_MAX)
    if not name.isprintable():
        raise ValueError("a name that no header field can hold")
    return name


def _upstream_row(record: UpstreamRecord) -> list[Any]:
    return [
        record.name,
        record.service,
        record.address,
        record.availability_zone,
        record.slots,
        record.state.value,
        record.warmup_s,
        record.revision,
        record.started_ms,
    ]


def _decode_upstream(row: Sequence[Any]) -> UpstreamRecord | None:
    """Decode an upstream; None if a field is odd: the readers of the store refuse such entries."""
    name, service, address, zone, slots, state, warmup_s, revision, started_ms = row
    try:
        return UpstreamRecord(
            name=_decode_name(name),
            service=decode_text(service),
            address=decode_address(address),
            availability_zone=decode_text(zone),
            slots=decode_count(slots - 1, _SLOTS_MAX - 1) + 1,
            state=UpstreamState(state),
            warmup_s=decode_seconds(warmup_s),
            revision=decode_count(revision),
            started_ms=decode_count(started_ms, _STARTED_MAX_MS),
        )
    except MALFORMED:
        return None
