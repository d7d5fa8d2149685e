"""The digest of one member's observations that the members of a group exchange."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from egretrail.identity import ServiceName, UpstreamName
from egretrail.upstream._drift import Drifts
from egretrail.upstream._window import Counts
from egretrail.wire import Message, message

#: Window counts travel as integers, in this many parts of one attempt. An eighth of an attempt is
#: far below what any decision turns on, and most counts then fit in two bytes.
_PARTS = 8.0

#: Numbers in a row of the columns that hold several.
_COUNTS = 8
_DRIFTS = 3


def upstream_id(name: UpstreamName) -> int:
    """Return the 32-bit digest that stands for an upstream's name within one service."""
    return xxhash.xxh32_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class UpstreamObservation:
    """What one member saw of one upstream: one row of an ``Evidence``."""

    #: Digest of the upstream's name.
    upstream: int
    #: Ejections of the upstream that the member knows of.
    generation: int
    #: How much longer the member's own ejection lasts; 0: not ejected.
    ejected_s: float
    #: Attempts that the member has under way.
    in_flight: int
    #: The member's short and long windows.
    short: Counts
    long: Counts
    #: The member's sequential tests.
    drifts: Drifts


@message("evidence")
@dataclass(frozen=True, slots=True)
class Evidence(Message):
    """What one member saw of some upstreams of one service, in columns.

    The columns have one entry for each upstream named. An entry replaces the sender's earlier
    entry for that upstream, so that lost, doubled and reordered messages do no harm. Columns
    instead of a list of records: the field names then cost their bytes once.
    """

    #: The service the upstreams belong to.
    service: ServiceName
    #: Rises with each message of the sender about this service.
    sequence: int
    #: Digests of the upstreams' names.
    upstreams: Sequence[int]
    #: Ejections of the upstream that the sender knows of; orders evidence before and after one.
    generations: Sequence[int]
    #: Tenths of a second that the sender's own ejection still lasts; 0: not ejected.
    ejected_tenths: Sequence[int]
    #: Attempts that the sender has under way.
    in_flight: Sequence[int]
    #: Eight numbers for each upstream, in parts of an attempt: attempts, failures, timed answers
    #: and slowness of the short window, then of the long one.
    counts: Sequence[int]
    #: Three numbers for each upstream, in the same parts: its sequential tests.
    drifts: Sequence[int]

    def __post_init__(self) -> None:
        """Refuse columns of different lengths."""
        columns = (self.generations, self.ejected_tenths, self.in_flight)
        if any(len(column) != len(self.upstreams) for column in columns):
            raise ValueError("columns of different lengths")
        if len(self.counts) != _COUNTS * len(self.upstreams):
            raise ValueError("counts do not fit the upstreams")
        if len(self.drifts) != _DRIFTS * len(self.upstreams):
            raise ValueError("drifts do not fit the upstreams")

    def rows(self) -> Iterable[UpstreamObservation]:
        """Return the rows that the columns hold."""
        for index, upstream in enumerate(self.upstreams):
            numbers = [part / _PARTS for part in _row(self.counts, index, _COUNTS)]
            drifts = [part / _PARTS for part in _row(self.drifts, index, _DRIFTS)]
            yield UpstreamObservation(
                upstream,
                self.generations[index],
                self.ejected_tenths[index] / 10.0,
                self.in_flight[index],
                Counts(*numbers[:4]),
                Counts(*numbers[4:]),
                Drifts(*drifts),
            )


def evidence_of(
    service: ServiceName, sequence: int, rows: Sequence[UpstreamObservation]
) -> Evidence:
    """Return the message that carries these rows."""
    return Evidence(
        service,
        sequence,
        [row.upstream for row in rows],
        [row.generation for row in rows],
        [round(row.ejected_s * 10.0) for row in rows],
        [row.in_flight for row in rows],
        [part for row in rows for part in (*_count_parts(row.short), *_count_parts(row.long))],
        [part for row in rows for part in _drift_parts(row.drifts)],
    )


def _row(column: Sequence[int], index: int, width: int) -> Sequence[int]:
    return column[width * index : width * (index + 1)]


def _count_parts(counts: Counts) -> Sequence[int]:
    numbers = (counts.attempts, counts.failures, counts.timed, counts.slowness)
    return [round(number * _PARTS) for number in numbers]


def _drift_parts(drifts: Drifts) -> Sequence[int]:
    return [round(number * _PARTS) for number in (drifts.frequent, drifts.rare, drifts.slow)]
