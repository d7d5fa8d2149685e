"""The message with which the members of a group exchange their observations of upstreams."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

from egretrail.identity import ServiceName, UpstreamName
from egretrail.upstream._cusum import CusumScores
from egretrail.upstream._window import Counts
from egretrail.wire import Message, message

#: Counts are sent as integers, in units of an eighth of an attempt. That is far below the
#: resolution that any decision needs, and most counts then fit in two bytes.
_UNITS_PER_ATTEMPT = 8.0

#: Numbers for each upstream in the ``counts`` and ``drifts`` columns.
_COUNTS = 8
_DRIFTS = 3


def upstream_id(name: UpstreamName) -> int:
    """Return the 32-bit digest that stands for an upstream's name within one service."""
    return xxhash.xxh32_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class UpstreamObservation:
    """One member's observations of one upstream: a row of ``Evidence``."""

    #: Digest of the upstream's name.
    upstream: int
    #: Number of ejections of the upstream that the member knows.
    generation: int
    #: Remaining time of the member's own ejection; 0: not ejected.
    ejected_s: float
    #: The member's attempts in flight.
    in_flight: int
    #: The member's short and long windows.
    short: Counts
    long: Counts
    #: The member's scores of the sequential tests.
    drifts: CusumScores


@message("evidence")
@dataclass(frozen=True, slots=True)
class Evidence(Message):
    """One member's observations of some upstreams of one service, in columns.

    Each column has one entry for each of ``upstreams``. An entry replaces the sender's earlier
    entry for that upstream, so that lost, duplicated and reordered messages do no harm. Columns are
    used instead of a list of records because the field names are then encoded only once.
    """

    #: The service the upstreams belong to.
    service: ServiceName
    #: Increases with each message of the sender about this service.
    sequence: int
    #: Digests of the upstreams' names.
    upstreams: Sequence[int]
    #: Number of ejections that the sender knows; tells evidence from before an ejection from
    #: evidence after it.
    generations: Sequence[int]
    #: Remaining time of the sender's own ejection, in tenths of a second; 0: not ejected.
    ejected_tenths: Sequence[int]
    #: The sender's attempts in flight.
    in_flight: Sequence[int]
    #: Eight numbers for each upstream, in eighths of an attempt: attempts, failures, timed
    #: responses and slowness of the short window, then of the long one.
    counts: Sequence[int]
    #: Three CUSUM scores for each upstream, in eighths: ``frequent``, ``rare`` and ``slow``.
    drifts: Sequence[int]

    def __post_init__(self) -> None:
        """Raise ``ValueError`` when the columns have different lengths."""
        columns = (self.generations, self.ejected_tenths, self.in_flight)
        if any(len(column) != len(self.upstreams) for column in columns):
            raise ValueError("columns of different lengths")
        if len(self.counts) != _COUNTS * len(self.upstreams):
            raise ValueError("counts do not fit the upstreams")
        if len(self.drifts) != _DRIFTS * len(self.upstreams):
            raise ValueError("drifts do not fit the upstreams")

    def rows(self) -> Iterable[UpstreamObservation]:
        """Yield the observations of each upstream."""
        for index, upstream in enumerate(self.upstreams):
            numbers = [part / _UNITS_PER_ATTEMPT for part in _row(self.counts, index, _COUNTS)]
            drifts = [part / _UNITS_PER_ATTEMPT for part in _row(self.drifts, index, _DRIFTS)]
            yield UpstreamObservation(
                upstream,
                self.generations[index],
                self.ejected_tenths[index] / 10.0,
                self.in_flight[index],
                Counts(*numbers[:4]),
                Counts(*numbers[4:]),
                CusumScores(*drifts),
            )


def evidence_of(
    service: ServiceName, sequence: int, rows: Sequence[UpstreamObservation]
) -> Evidence:
    """Return the message that encodes these rows."""
    return Evidence(
        service,
        sequence,
        [row.upstream for row in rows],
        [row.generation for row in rows],
        [round(row.ejected_s * 10.0) for row in rows],
        [row.in_flight for row in rows],
        [part for row in rows for part in (*_count_units(row.short), *_count_units(row.long))],
        [part for row in rows for part in _cusum_units(row.drifts)],
    )


def _row(column: Sequence[int], index: int, width: int) -> Sequence[int]:
    return column[width * index : width * (index + 1)]


def _count_units(counts: Counts) -> Sequence[int]:
    numbers = (counts.attempts, counts.failures, counts.timed, counts.slowness)
    return [round(number * _UNITS_PER_ATTEMPT) for number in numbers]


def _cusum_units(drifts: CusumScores) -> Sequence[int]:
    return [
        round(number * _UNITS_PER_ATTEMPT) for number in (drifts.frequent, drifts.rare, drifts.slow)
    ]
