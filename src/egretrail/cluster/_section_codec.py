"""The packed form of sections: fixed-width numbers, decoded without an object for each row."""

import math
import struct
from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Any

import msgpack

from egretrail.cluster._config_freshness import SectionEcho
from egretrail.cluster._demand_codec import decode_demand, encode_demand
from egretrail.cluster._fields import (
    decode_bytes,
    decode_count,
    decode_ratio,
    decode_seconds,
    decode_text,
)
from egretrail.cluster._heartbeat import DropReport, LimitReport, LossReport, OutcomeReport
from egretrail.cluster._hub_terms import HubTerm
from egretrail.cluster._instance import Instance, InstanceState
from egretrail.cluster._section import (
    ChangedRows,
    LoadRows,
    LoadSlice,
    RosterSlice,
    Scope,
    Section,
)
from egretrail.dispatch import (
    AccountCounts,
    AccountReport,
    Outcome,
    RequestDigest,
    RetryCounts,
)

#: An instance: acknowledgement index, address, incarnation, state, capacity.
_INSTANCE = struct.Struct("<HIIBB")
#: An outcome report: upstream key, outcome, duration in milliseconds, observer.
_OUTCOME = struct.Struct("<IBHI")
#: An account: key, total requests received and sent, recent requests received and sent.
_ACCOUNT = struct.Struct("<IHHHH")
#: The unit of capacities on the wire, as a fraction of a core; the largest capacity on the wire is
#: 12.7 cores.
_CAPACITY_STEP = 0.05
_BYTE_MAX, _SHORT_MAX, _WORD_MAX = 0xFF, 0xFFFF, 0xFFFF_FFFF
#: The largest request digest, and the largest limit that an upstream can mean.
_DIGEST_MAX, _RATE_MAX_PER_S = 2**64 - 1, 1e9
#: Durations in one byte: from a millisecond to a minute, to within 2.2%.
_SHORTEST_S = 0.001
_STEPS_PER_DOUBLING = 16
#: Maximum addresses in the cache of each conversion.
_ADDRESSES_MAX = 2_048


@lru_cache(maxsize=_ADDRESSES_MAX)
def address_number(address: str) -> int:
    """Return an IPv4 address as a number; raises ValueError for other text."""
    return int(IPv4Address(address))


@lru_cache(maxsize=_ADDRESSES_MAX)
def _address(number: int) -> str:
    return str(IPv4Address(number))


def encode_instances(instances: Iterable[Instance], ack_indexes: Sequence[int] = ()) -> bytes:
    """Return the rows of one zone's instances, with their acknowledgement indexes if given."""
    return b"".join(
        _INSTANCE.pack(
            ack_indexes[number] if ack_indexes else 0,
            address_number(instance.address),
            instance.incarnation,
            instance.state,
            min(round(instance.capacity / _CAPACITY_STEP), _BYTE_MAX),
        )
        for number, instance in enumerate(instances)
    )


def decode_instances(data: bytes, availability_zone: str) -> list[tuple[Instance, int]]:
    """Return the instances of rows, each with its acknowledgement index."""
    return [
        (
            Instance(
                _address(number),
                availability_zone,
                incarnation,
                InstanceState(state),
                round(capacity * _CAPACITY_STEP, 2),
            ),
            ack_index,
        )
        for ack_index, number, incarnation, state, capacity in _INSTANCE.iter_unpack(data)
    ]


def encode_section(section: Section) -> bytes:
    """Return the packed form of a section."""
    packed: bytes = msgpack.packb(
        [
            int(section.scope),
            section.availability_zone,
            address_number(section.hub),
            section.incarnation,
            section.sequence,
            section.config_version,
            section.upstreams_revision,
            section.store_readers,
            section.instances,
            section.acknowledged,
            _encode_changed(section.changed),
            _encode_slice(section.loads),
            _pack_words(section.refusals),
            section.first_outcome,
            _encode_outcomes(section.outcomes),
            [[loss.digest, loss.upstream_key] for loss in section.losses],
            [[drop.upstream_id, drop.revision] for drop in section.dropped],
            _encode_retries(section.retries),
            _encode_roster(section.roster),
            encode_limits(section.limits),
            encode_age(section.config_freshness_age_s),
            [encode_echo(echo) for echo in section.received_sections],
            encode_accounts(section.accounts),
            _encode_retries(section.recent_retries),
            [_encode_term(term) for term in section.earlier_terms],
            list(section.draining),
            [address_number(address) for address in section.isolated],
            *optional_fields(
                None if section.demand is None else encode_demand(section.demand),
                encode_age(section.store_away_s),
            ),
        ]
    )
    return packed


def decode_section(data: bytes) -> Section:
    """Decode a section; raises one of ``MALFORMED`` for invalid bytes."""
    row = msgpack.unpackb(data)
    zone = decode_text(row[1])
    return Section(
        scope=Scope(row[0]),
        availability_zone=zone,
        hub=_address(row[2]),
        incarnation=decode_count(row[3]),
        sequence=decode_count(row[4]),
        config_version=decode_count(row[5]),
        upstreams_revision=decode_count(row[6]),
        store_readers=decode_count(row[7]),
        instances=decode_count(row[8]),
        acknowledged=decode_bytes(row[9]),
        changed=_decode_changed(row[10]),
        loads=_decode_slice(row[11]),
        refusals=_unpack_words(row[12]),
        first_outcome=decode_count(row[13]),
        outcomes=_decode_outcomes(row[14]),
        losses=[
            LossReport(RequestDigest(decode_count(digest, _DIGEST_MAX)), decode_key(key))
            for digest, key in row[15]
        ],
        dropped=[
            DropReport(decode_text(name), decode_count(revision)) for name, revision in row[16]
        ],
        retries=decode_retries(row[17]),
        roster=_decode_roster(row[18], zone),
        limits=decode_limits(row[19]),
        config_freshness_age_s=decode_age(row[20]),
        received_sections=[decode_echo(echo) for echo in row[21]],
        accounts=decode_accounts(row[22]),
        # Earlier versions of the program do not send these.
        recent_retries=decode_retries(row[23]) if len(row) > 23 else {},
        earlier_terms=[_decode_term(term) for term in row[24]] if len(row) > 24 else (),
        draining=[decode_text(name) for name in row[25]] if len(row) > 25 else (),
        isolated=[_address(number) for number in row[26]] if len(row) > 26 else (),
        demand=decode_demand(row[27]) if len(row) > 27 and row[27] is not None else None,
        store_away_s=decode_age(row[28]) if len(row) > 28 else None,
    )


def optional_fields(*fields: Any) -> list[Any]:
    """Return the last fields of a message without those at the end that have nothing to report."""
    kept = list(fields)
    while kept and kept[-1] is None:
        kept.pop()
    return kept


def _encode_retries(counts: Mapping[str, RetryCounts]) -> dict[str, list[int]]:
    return {name: [one.requests, one.retries] for name, one in counts.items()}


def decode_retries(row: Mapping[Any, Sequence[Any]]) -> dict[str, RetryCounts]:
    """Return the request and retry counts of services; raises one of ``MALFORMED`` if invalid."""
    return {
        decode_text(name): RetryCounts(decode_count(requests), decode_count(retries))
        for name, (requests, retries) in row.items()
    }


def _encode_term(term: HubTerm) -> list[Any]:
    return [
        address_number(term.hub),
        term.incarnation,
        _encode_retries(term.retries),
        _encode_retries(term.recent_retries),
    ]


def _decode_term(row: Sequence[Any]) -> HubTerm:
    hub, incarnation, retries, recent = row
    return HubTerm(
        _address(int(hub)),
        decode_count(incarnation),
        decode_retries(retries),
        decode_retries(recent),
    )


def encode_accounts(reports: Mapping[int, AccountReport]) -> bytes:
    """Return the rows of the request counts of accounts."""
    return b"".join(
        _ACCOUNT.pack(
            key,
            report.total.received,
            report.total.sent,
            min(report.recent.received, _SHORT_MAX),
            min(report.recent.sent, _SHORT_MAX),
        )
        for key, report in reports.items()
    )


def decode_accounts(data: bytes) -> Mapping[int, AccountReport]:
    """Return the request counts of accounts; raises one of ``MALFORMED`` for invalid rows."""
    return {
        key: AccountReport(AccountCounts(asked, sent), AccountCounts(recent_asked, recent_sent))
        for key, asked, sent, recent_asked, recent_sent in _ACCOUNT.iter_unpack(data)
    }


def encode_age(age_s: float | None) -> int | None:
    """Return an age in milliseconds, rounded up: it may look older, but never younger."""
    return None if age_s is None or math.isinf(age_s) else math.ceil(age_s * 1000)


def decode_age(value: Any) -> float | None:
    """Return an age in seconds; raises one of ``MALFORMED`` for an invalid value."""
    return None if value is None else decode_seconds(value, 0.001)


def encode_echo(echo: SectionEcho) -> list[int]:
    """Return the row of an echo."""
    return [address_number(echo.hub), echo.incarnation, echo.sequence]


def decode_echo(row: Sequence[Any]) -> SectionEcho:
    """Return the echo of a row; raises one of ``MALFORMED`` for invalid values."""
    hub, incarnation, sequence = row
    return SectionEcho(_address(int(hub)), decode_count(incarnation), decode_count(sequence))


def encode_limits(limits: Iterable[LimitReport]) -> list[list[Any]]:
    """Return the rows of limits: upstream key, requests a second or None, age in milliseconds."""
    return [[limit.upstream_key, limit.limit_per_s, round(limit.age_s * 1000)] for limit in limits]


def decode_limits(rows: Iterable[Sequence[Any]]) -> Sequence[LimitReport]:
    """Return the limits of rows; raises one of ``MALFORMED`` for invalid numbers."""
    return [
        LimitReport(
            decode_key(key),
            None if limit is None else decode_ratio(limit, _RATE_MAX_PER_S),
            decode_seconds(age_ms, 0.001),
        )
        for key, limit, age_ms in rows
    ]


def decode_key(value: Any) -> int:
    """Return an upstream's key, verified to fit into the 32 bits in which hubs pack it."""
    return decode_count(value, _WORD_MAX)


def _pack_words(numbers: Sequence[int]) -> bytes:
    return struct.pack(f"<{len(numbers)}I", *numbers)


def _unpack_words(data: bytes) -> Sequence[int]:
    return struct.unpack(f"<{len(data) // 4}I", data)


def _pack_capped(counts: Iterable[int]) -> bytes:
    return bytes(min(count, _BYTE_MAX) for count in counts)


def _encode_loads(rows: LoadRows) -> list[bytes]:
    return [_pack_words(rows.keys), _pack_capped(rows.counts)]


def _decode_loads(fields: Sequence[bytes]) -> LoadRows:
    keys, counts = _unpack_words(fields[0]), decode_bytes(fields[1])
    if len(keys) != len(counts):
        raise ValueError("loads have unequal numbers of keys and counts")
    return LoadRows(keys, counts)


def _encode_slice(loads: LoadSlice | None) -> list[Any] | None:
    return None if loads is None else [loads.index, loads.total, *_encode_loads(loads.rows)]


def _decode_slice(fields: Sequence[Any] | None) -> LoadSlice | None:
    if fields is None:
        return None
    index, total, *rows = fields
    _check_slice(index, total)
    return LoadSlice(index, total, _decode_loads(rows))


def _check_slice(index: int, total: int) -> None:
    if not 0 <= index < total <= _SHORT_MAX:
        raise ValueError(f"invalid slice {index} of {total}")


def _duration_byte(duration_s: float) -> int:
    """Return a duration as one byte, in steps of a sixteenth of a doubling; 0 for none."""
    if duration_s <= 0:
        return 0
    steps = round(math.log2(max(duration_s / _SHORTEST_S, 1.0)) * _STEPS_PER_DOUBLING)
    return min(steps + 1, _BYTE_MAX)


#: The durations in seconds by their byte.
_DURATIONS_S = [0.0] + [
    _SHORTEST_S * 2 ** (steps / _STEPS_PER_DOUBLING) for steps in range(_BYTE_MAX)
]


def _encode_changed(rows: ChangedRows) -> list[bytes]:
    durations = bytes(map(_duration_byte, rows.durations_s))
    return [_pack_words(rows.keys), _pack_capped(rows.counts), durations]


def _decode_changed(fields: Sequence[bytes]) -> ChangedRows:
    keys, counts = _unpack_words(fields[0]), decode_bytes(fields[1])
    durations_s = [_DURATIONS_S[byte] for byte in fields[2]]
    if not len(keys) == len(counts) == len(durations_s):
        raise ValueError("changed rows have columns of unequal length")
    return ChangedRows(keys, counts, durations_s)


def _encode_outcomes(reports: Iterable[OutcomeReport]) -> bytes:
    return b"".join(
        _OUTCOME.pack(
            report.upstream_key,
            report.outcome,
            min(max(round(report.duration_s * 1000), 0), _SHORT_MAX),
            address_number(report.observer),
        )
        for report in reports
    )


def _decode_outcomes(data: bytes) -> Sequence[OutcomeReport]:
    return [
        OutcomeReport(key, Outcome(outcome), duration_ms / 1000, _address(observer))
        for key, outcome, duration_ms, observer in _OUTCOME.iter_unpack(data)
    ]


def _encode_roster(roster: RosterSlice | None) -> list[Any] | None:
    if roster is None:
        return None
    rows = encode_instances(roster.instances, roster.ack_indexes)
    return [roster.index, roster.total, roster.complete, rows]


def _decode_roster(fields: Sequence[Any] | None, availability_zone: str) -> RosterSlice | None:
    if fields is None:
        return None
    index, total, complete, rows = fields
    _check_slice(index, total)
    decoded = decode_instances(rows, availability_zone)
    return RosterSlice(
        index,
        total,
        bool(complete),
        [instance for instance, _ in decoded],
        [ack_index for _, ack_index in decoded],
    )
