"""The upstreams that may receive requests, according to health and the instance list."""

import abc
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, UpstreamName
from egretrail.service._shares import GroupPosition


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream that may receive requests now."""

    #: The upstream.
    name: UpstreamName
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Its share of requests, 1.0 for a healthy upstream; lower during warm-up or suspicion.
    weight: float
    #: Whether it is on trial: it receives single idempotent requests that test its recovery.
    is_on_trial: bool
    #: Number of requests that it processes concurrently, as declared.
    slots: int
    #: Requests running on it from other members of the group, as they last reported.
    peer_in_flight: int = 0


class UpstreamWeights(abc.ABC):
    """Source of the scheduler's information on upstream health and on the group of members."""

    @abc.abstractmethod
    def usable(self, now_s: float) -> Sequence[Candidate]:
        """Return the upstreams that may receive requests now, in a stable order."""

    def group_position(self) -> GroupPosition:
        """Return the position of this member in the group that serves the service."""
        return GroupPosition()

    def peer_demands(self, now_s: float) -> Sequence[float]:
        """Return the demand, in slots, that each other member of the group last reported."""
        return ()

    def permits_another_upstream(self, digest: bytes, now_s: float) -> bool:
        """Return whether the request may be sent to a further upstream.

        A request that is suspected of crashing upstreams may not.
        """
        return True
