"""What became of one request at one upstream, as instances tell each other."""

import enum
from dataclasses import dataclass


class Outcome(enum.IntEnum):
    """The numbers are part of the peers' protocol and are never given a new meaning."""

    #: A whole answer that does not speak against the upstream.
    SUCCESS = 0
    #: The upstream answered with a failure of its own, or with bytes that are no valid answer.
    FAILED = 1
    #: The connection ended after the request was sent and before its answer was whole.
    BROKEN = 2
    #: No answer after several times the usual duration; the request is still under way.
    OVERDUE = 3
    #: The upstream refused the request without running it.
    SHED = 4
    #: No connection could be opened from the observing instance.
    UNREACHABLE = 5
    #: The connection ended since nothing that was sent on it was acknowledged.
    SILENT = 6
    #: The request's time ended while the upstream ran it, which says nothing about the upstream.
    EXPIRED = 7


@dataclass(frozen=True, slots=True)
class Observation:
    """One outcome. The receiver adds the observer's name and its own time of receipt."""

    #: The lifetime of the upstream.
    upstream_id: str
    #: What became of the request.
    outcome: Outcome
    #: From sending the request to the outcome.
    duration_s: float
