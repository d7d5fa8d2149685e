"""The digest of one member's observations that the members of a group exchange."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from egretrail.identity import ServiceName, UpstreamName
from egretrail.wire import Message, message

#: Window counts travel as integers in this many parts of one attempt.
COUNT_SCALE = 32


def upstream_id(name: UpstreamName) -> int:
    """Return the 32-bit digest that stands for an upstream's name within one service."""
    return xxhash.xxh32_intdigest(name.encode())


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
    #: Scaled attempts and failures in the short window.
    short_attempts: Sequence[int]
    short_failures: Sequence[int]
    #: Scaled count and sum of latency scores in the short window.
    short_timed: Sequence[int]
    short_slowness: Sequence[int]
    #: Scaled attempts and failures in the long window.
    long_attempts: Sequence[int]
    long_failures: Sequence[int]
    #: Scaled count and sum of latency scores in the long window.
    long_timed: Sequence[int]
    long_slowness: Sequence[int]

    def __post_init__(self) -> None:
        """Refuse columns of different lengths."""
        columns = (
            self.generations,
            self.ejected_tenths,
            self.in_flight,
            self.short_attempts,
            self.short_failures,
            self.short_timed,
            self.short_slowness,
            self.long_attempts,
            self.long_failures,
            self.long_timed,
            self.long_slowness,
        )
        if any(len(column) != len(self.upstreams) for column in columns):
            raise ValueError("columns of different lengths")
