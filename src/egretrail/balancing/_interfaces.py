"""The interfaces of balancing: shares of slots, and the flow of requests between zones."""

import abc
from collections.abc import Collection, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotOwner:
    """An upstream of the own zone whose slots are shared by the zone's instances."""

    #: The upstream's id.
    upstream_id: str
    #: How many requests it runs concurrently.
    slots: int


class SlotAssignment(abc.ABC):
    """Assigns the slots of a zone's upstreams to the zone's instances, alike at all of them."""

    @abc.abstractmethod
    def assign(self, upstreams: Sequence[SlotOwner], instances: Collection[str]) -> None:
        """Assign the slots anew; ``instances`` are the addresses of the zone's instances."""

    @abc.abstractmethod
    def slots_of(self, upstream_id: str, instance: str) -> int:
        """Return how many slots of an upstream are an instance's share."""


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """The load of one service's upstreams in one availability zone."""

    #: The availability zone.
    zone: str
    #: Slots of the upstreams that are in service there.
    slots: int
    #: Requests in flight at these upstreams.
    in_flight: int


class ZoneBalancer(abc.ABC):
    """Decides which zone's upstreams a request of this instance goes to."""

    @abc.abstractmethod
    def choose_zone(self, service: str, loads: Sequence[ZoneLoad], now_s: float) -> str:
        """Return the zone for the next request; the own zone unless another evens the waits."""
