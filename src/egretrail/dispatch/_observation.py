"""Outcome of one request at one upstream, as instances report it to each other."""

import enum
from dataclasses import dataclass


class Outcome(enum.IntEnum):
    """Outcome of a request. The numbers are part of the peer protocol and are never reused."""

    #: A complete response that is no evidence against the upstream.
    SUCCESS = 0
    #: The upstream responded with an error of its own, or with an invalid response.
    FAILED = 1
    #: The connection closed after the request was sent and before the response was complete.
    BROKEN = 2
    #: No response after several times the typical duration; the request is still in flight.
    OVERDUE = 3
    #: The upstream refused the request without running it.
    SHED = 4
    #: The observing instance could not open a connection.
    UNREACHABLE = 5
    #: The connection was closed because the upstream acknowledged nothing that was sent on it.
    SILENT = 6
    #: The request's deadline passed while the upstream ran it, which is no evidence about the
    #: upstream.
    EXPIRED = 7


#: Outcomes that come with a response of the upstream.
RESPONSE_OUTCOMES = frozenset({Outcome.SUCCESS, Outcome.FAILED, Outcome.SHED, Outcome.EXPIRED})


@dataclass(frozen=True, slots=True)
class Observation:
    """An observed outcome. The receiver adds the observer's name and its own time of receipt."""

    #: Id of the upstream's lifetime.
    upstream_id: str
    #: Outcome of the request.
    outcome: Outcome
    #: Time from sending the request to the outcome; for ``UNREACHABLE`` and ``OVERDUE``, from the
    #: beginning of the attempt to its report.
    duration_s: float
