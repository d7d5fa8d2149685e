"""The msgpack form of the exchange that fetches state from a peer."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgpack
from result import Err, Ok, Result

from egretrail.cluster._malformed import MALFORMED, MalformedMessage
from egretrail.dispatch import DoubtRecord
from egretrail.traffic import UpstreamRecord, UpstreamState

#: Raised when the form changes; messages of another version are refused.
_VERSION = 4


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Asks a peer for what is newer than the asker's state."""

    #: The asker's version of the configuration.
    config_version: int
    #: The asker's revision of the upstreams.
    upstreams_revision: int


@dataclass(frozen=True, slots=True)
class FetchReply:
    """A peer's state, where it is newer."""

    #: The configuration as the operators wrote it; None where the asker's is not older.
    config: bytes | None
    #: The revision of ``upstreams``.
    upstreams_revision: int
    #: All listed upstreams; None where the asker's revision is not older, or changes are told.
    upstreams: Sequence[UpstreamRecord] | None
    #: The doubts about upstreams, for an asker that knows no configuration.
    doubts: Sequence[DoubtRecord] = ()
    #: What changed since the asker's revision, by name; None for an upstream that is not listed.
    changes: Mapping[str, UpstreamRecord | None] | None = None


def encode_request(request: FetchRequest) -> bytes:
    """Return the form of a question."""
    packed: bytes = msgpack.packb([_VERSION, request.config_version, request.upstreams_revision])
    return packed


def decode_request(data: bytes) -> Result[FetchRequest, MalformedMessage]:
    """Read a question."""
    try:
        version, config_version, upstreams_revision = msgpack.unpackb(data)
        if version != _VERSION:
            return Err(MalformedMessage(f"version {version!r}"))
        return Ok(FetchRequest(int(config_version), int(upstreams_revision)))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


def encode_reply(reply: FetchReply) -> bytes:
    """Return the form of a reply."""
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
    document = [_VERSION, reply.config, reply.upstreams_revision, rows, changes, doubts]
    packed: bytes = msgpack.packb(document)
    return packed


def decode_reply(data: bytes) -> Result[FetchReply, MalformedMessage]:
    """Read a reply."""
    try:
        version, config, upstreams_revision, rows, changed, doubts = msgpack.unpackb(data)
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
        return Ok(FetchReply(config, int(upstreams_revision), upstreams, told, changes))
    except MALFORMED as error:
        return Err(MalformedMessage(repr(error)))


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
