"""The upstreams that may be given work, as health and the instance list show them."""

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, UpstreamName
from egretrail.service._shares import GroupPosition


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream that may be given work now."""

    #: The upstream.
    name: UpstreamName
    #: Where it runs.
    availability_zone: AvailabilityZone
    #: Its share of work against a healthy upstream's 1.0: lower while it ramps or is suspected.
    weight: float
    #: Whether it is on trial: given single idempotent requests to show that it has recovered.
    trial: bool
    #: Requests that it is said to work on at once.
    slots: int
    #: Requests that the group's other members last said they have running on it.
    peer_in_flight: int = 0


class UpstreamWeights(abc.ABC):
    """What health tells the scheduler about a service's upstreams."""

    @abc.abstractmethod
    def usable(self, now_s: float) -> Sequence[Candidate]:
        """Return the upstreams that may be given work now, in a stable order."""

    def position(self) -> GroupPosition:
        """Return this member's place among those that serve the service."""
        return GroupPosition()

    def peer_demands(self, now_s: float) -> Sequence[float]:
        """Return how many slots each other member of the group could use, as last reported."""
        return ()

    def may_run(self, digest: bytes, now_s: float) -> bool:
        """Return whether a request may be given to one more upstream; suspected ones may not."""
        return True
