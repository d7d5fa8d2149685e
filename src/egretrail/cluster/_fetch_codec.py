"""The msgpack form of the exchange that fetches state from a peer."""

import zlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from egretrail.cluster._config_parts import PART_COUNT, ConfigOutline, ConfigPart
from egretrail.cluster._malformed import MALFORMED, MalformedMessage
from egretrail.dispatch import DoubtRecord
from egretrail.traffic import UpstreamRecord, UpstreamState

#: Raised when the form changes; messages of another version are refused.
_VERSION = 6
#: Parts of a reply are packed to this size before compression, so that a reply takes a weak link
#: a few milliseconds and one after the other goes to many that ask.
_PARTS_REPLY_BYTES = 65_536
#: What a reply of parts may unpack to; one part alone may be larger than a reply.
_PARTS_BYTES_MAX = 16 * 1024 * 1024
#: Routes of one customer are alike: the fastest level makes a fifth of them.
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class UpstreamsQuestion:
    """Asks a peer for the upstreams that changed after a revision."""

    #: The asker's revision of the upstreams; 0 to be told all.
    revision: int
    #: Whether to tell the doubts about upstreams too, to an asker that has just started.
    with_doubts: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamsReply:
    """A peer's upstreams, where it knows a newer revision."""

    #: The peer's revision.
    revision: int
    #: All listed upstreams; None where the asker's revision is not older, or changes are told.
    upstreams: Sequence[UpstreamRecord] | None
    #: The doubts about upstreams, where they were asked for.
    doubts: Sequence[DoubtRecord] = ()
    #: What changed since the asker's revision, by name; None for an upstream that is not listed.
    changes: Mapping[str, UpstreamRecord | None] | None = None


@dataclass(frozen=True, slots=True)
class OutlineQuestion:
    """Asks a peer what its configuration consists of."""

    #: The digest of the asker's configuration; 0 for none.
    base: int
    #: The asker's address: others may be told to ask it once it has all.
    asker: str = ""
    #: Whether the asker is a hub, whose zone waits for it.
    is_hub: bool = False


@dataclass(frozen=True, slots=True)
class Referral:
    """Tells an asker to ask another instance, since many ask this one."""

    #: Its address; empty for the same one again.
    address: str


@dataclass(frozen=True, slots=True)
class PartsQuestion:
    """Asks a peer for parts of its configuration."""

    #: The digests of the wanted parts, by number.
    wanted: Mapping[int, int]


Question = UpstreamsQuestion | OutlineQuestion | PartsQuestion


def encode_question(question: Question) -> bytes:
    """Return the form of a question."""
    document: list[Any]
    match question:
        case UpstreamsQuestion(revision, with_doubts):
            document = [_VERSION, 0, revision, with_doubts]
        case OutlineQuestion(base, asker, is_hub):
            document = [_VERSION, 1, base, asker, is_hub]
        case PartsQuestion(wanted):
            document = [_VERSION, 2, dict(wanted)]
    packed: bytes = msgpack.packb(document)
    return packed


def decode_question(data: bytes) -> Result[Question, MalformedMessage]:
    """Read a question."""
    try:
        version, kind, *rest = msgpack.unpackb(data, strict_map_key=False)
        if version != _VERSION:
            return Err(MalformedMessage(f"version {version!r}"))
        match kind, rest:
            case 0, [revision, with_doubts]:
                return Ok(UpstreamsQuestion(int(revision), bool(with_doubts)))
            case 1, [base, asker, is_hub]:
                return Ok(OutlineQuestion(int(base), str(asker), bool(is_hub)))
            case 2, [wanted]:
                return Ok(PartsQuestion(_digests(wanted)))
            case _:
                return Err(MalformedMessage(f"kind {kind!r}"))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def encode_outline(outline: ConfigOutline) -> bytes:
    """Return the form of an outline."""
    document = [_VERSION, outline.head, outline.digest, outline.base, dict(outline.changed)]
    packed: bytes = msgpack.packb(document)
    return packed


def encode_referral(referral: Referral) -> bytes:
    """Return the form of a referral, which comes in place of an outline."""
    packed: bytes = msgpack.packb([_VERSION, referral.address])
    return packed


def decode_outline(data: bytes) -> Result[ConfigOutline | Referral, MalformedMessage]:
    """Read an outline, or what comes in its place."""
    try:
        version, *rest = msgpack.unpackb(data, strict_map_key=False)
        if version != _VERSION:
            return Err(MalformedMessage(f"version {version!r}"))
        if len(rest) == 1:
            return Ok(Referral(str(rest[0])))
        head, digest, base, changed = rest
        return Ok(ConfigOutline(bytes(head), int(digest), int(base), _digests(changed)))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def encode_parts(parts: Sequence[ConfigPart]) -> bytes:
    """Return the form of some parts, from the first on as many as a reply takes."""
    told: list[bytes] = []
    size_bytes = 0
    for part in parts:
        if told and size_bytes + len(part.packed) > _PARTS_REPLY_BYTES:
            break
        told.append(part.packed)
        size_bytes += len(part.packed)
    return zlib.compress(msgpack.packb([_VERSION, told]), _COMPRESSION_LEVEL)


def decode_parts(data: bytes) -> Result[Sequence[ConfigPart], MalformedMessage]:
    """Read parts."""
    try:
        inflating = zlib.decompressobj()
        unpacked = inflating.decompress(data, _PARTS_BYTES_MAX)
        if inflating.unconsumed_tail:
            return Err(MalformedMessage(f"parts of more than {_PARTS_BYTES_MAX} bytes"))
        version, told = msgpack.unpackb(unpacked)
        if version != _VERSION:
            return Err(MalformedMessage(f"version {version!r}"))
        return Ok([ConfigPart.read(packed) for packed in told])
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def encode_upstreams(reply: UpstreamsReply) -> bytes:
    """Return the form of upstreams."""
    rows = None
    if reply.upstreams is not None:
        rows = [_upstream_row(record) for record in reply.upstreams]
    doubts = [
        [doubt.upstream_id, doubt.age_s, doubt.pause_s, doubt.successes] for doubt in reply.doubts
    ]
    changes = None
    if reply.changes is not None:
        changes = {
            name: None if record is None else _upstream_row(record)
            for name, record in reply.changes.items()
        }
    packed: bytes = msgpack.packb([_VERSION, reply.revision, rows, changes, doubts])
    return packed


def decode_upstreams(data: bytes) -> Result[UpstreamsReply, MalformedMessage]:
    """Read upstreams."""
    try:
        version, revision, rows, changed, doubts = msgpack.unpackb(data)
        if version != _VERSION:
            return Err(MalformedMessage(f"version {version!r}"))
        upstreams = None if rows is None else [_upstream(row) for row in rows]
        told = [
            DoubtRecord(str(name), float(age_s), float(pause_s), int(successes))
            for name, age_s, pause_s, successes in doubts
        ]
        changes = None
        if changed is not None:
            changes = {
                str(name): None if row is None else _upstream(row) for name, row in changed.items()
            }
        return Ok(UpstreamsReply(int(revision), upstreams, told, changes))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def _digests(table: Mapping[Any, Any]) -> Mapping[int, int]:
    digests = {int(number): int(digest) for number, digest in table.items()}
    if any(not 0 <= number < PART_COUNT for number in digests):
        raise ValueError("a part beyond all parts")
    if any(not 0 <= digest < 2**64 for digest in digests.values()):
        raise ValueError("a digest beyond all digests")
    return digests


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


def _upstream(row: Sequence[Any]) -> UpstreamRecord:
    name, service, address, zone, slots, state, warmup_s, revision, started_ms = row
    return UpstreamRecord(
        name=str(name),
        service=str(service),
        address=str(address),
        availability_zone=str(zone),
        slots=int(slots),
        state=UpstreamState(state),
        warmup_s=float(warmup_s),
        revision=int(revision),
        started_ms=int(started_ms),
    )
