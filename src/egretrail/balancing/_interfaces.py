"""The interfaces of balancing: shares of slots, and the flow of requests between zones."""

import abc
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from egretrail.traffic import UpstreamRecord


@dataclass(frozen=True, slots=True)
class SlotOwner:
    """An upstream in service whose slots are shared by the instances of a zone."""

    #: The upstream's id.
    upstream_id: str
    #: How many requests it runs concurrently.
    slots: int
    #: Its service and zone, say; the slots of each group are shared evenly.
    group: str = ""


class SlotAssignment(abc.ABC):
    """Assigns the slots of upstreams to the instances of a zone, alike at all of them."""

    @abc.abstractmethod
    def assign(self, upstreams: Sequence[SlotOwner], instances: Collection[str]) -> None:
        """Assign the slots anew; ``instances`` are the addresses of the zone's instances."""

    @abc.abstractmethod
    def slots_of(self, upstream_id: str, instance: str) -> int:
        """Return how many slots of an upstream are an instance's share."""


class ZoneBalancer(abc.ABC):
    """Decides to which zone's upstreams a request of this instance goes."""

    @abc.abstractmethod
    def choose_zone(self, service: str, upstreams: Sequence[UpstreamRecord], now_s: float) -> str:
        """Return the zone for the next request; ``upstreams`` are those that accept it."""
