"""Actions that the scheduler returns for its driver to carry out."""

from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.service._refusals import Refusal
from egretrail.service._work import WorkId


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to the upstream; the driver reports the end of the attempt exactly once."""

    #: The request to send.
    work_id: WorkId
    #: The upstream that receives the request.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Hedge:
    """Send the request to a second upstream while the first attempt continues."""

    #: The request to send a second time.
    work_id: WorkId
    #: The second upstream.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Finish:
    """Forward the response or failure of this attempt to the client as the final result."""

    #: The request that ends.
    work_id: WorkId
    #: The upstream whose response or failure is final.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Abandon:
    """Cancel a running attempt.

    The driver still reports the end of the attempt, as ``ABANDONED`` or with its actual result.
    """

    #: The request whose attempt is cancelled.
    work_id: WorkId
    #: The upstream on which the attempt runs.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the client that the request was not executed, and when to retry."""

    #: The refused request.
    work_id: WorkId
    #: The reason for the refusal, with the time to wait before a retry.
    refusal: Refusal


Action = Dispatch | Hedge | Finish | Abandon | Refuse
