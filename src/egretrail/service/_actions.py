"""What the scheduler asks its driver to do."""

from dataclasses import dataclass

from egretrail.identity import UpstreamName
from egretrail.service._refusals import Refusal
from egretrail.service._work import WorkId


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the work to the upstream; report the end of the attempt exactly once."""

    #: The work to send.
    work_id: WorkId
    #: Where to send it.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Hedge:
    """Send the work to a second upstream while the first attempt goes on."""

    #: The work to send again.
    work_id: WorkId
    #: Where to send it.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Finish:
    """Pass the end of this attempt on to the caller: it is the final answer."""

    #: The work that ends.
    work_id: WorkId
    #: The upstream whose answer or failure is final.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Abandon:
    """Cancel a running attempt; it is still reported, as ``ABANDONED`` or as it ended."""

    #: The work whose attempt is cancelled.
    work_id: WorkId
    #: Where it runs.
    upstream: UpstreamName


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that the work was not run, and when to come back."""

    #: The work that is refused.
    work_id: WorkId
    #: Why, and when to come back.
    refusal: Refusal


Action = Dispatch | Hedge | Finish | Abandon | Refuse
