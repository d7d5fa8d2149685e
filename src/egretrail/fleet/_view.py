"""What the rest of an instance asks about the fleet."""

import abc
import enum
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, Incarnation, InstanceName, ServiceName


class MemberState(enum.Enum):
    """What this instance believes of another."""

    #: Answers, or answers others.
    ALIVE = "alive"
    #: This instance cannot reach it, and nobody has confirmed that it is gone.
    UNREACHABLE = "unreachable"
    #: It said that it is stopping, or the platform lists it as leaving.
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """One instance of the fleet as this instance sees it."""

    #: The process that was last heard of.
    incarnation: Incarnation
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Where callers connect, an IP number and a port.
    caller_host: str
    caller_port: int
    #: Where other instances connect, an IP number and a port.
    peer_host: str
    peer_port: int
    #: What this instance believes of it.
    state: MemberState = MemberState.ALIVE
    #: Whether it holds the settings and may be named to callers.
    ready: bool = True

    @property
    def name(self) -> InstanceName:
        """Return the instance's name."""
        return self.incarnation.instance


class FleetView(abc.ABC):
    """The fleet as one instance sees it now; two instances may see it differently."""

    @property
    @abc.abstractmethod
    def own(self) -> Member:
        """Return the instance that asks."""

    @abc.abstractmethod
    def members(self) -> Sequence[Member]:
        """Return every known member, this instance included, ordered by name."""

    @abc.abstractmethod
    def member(self, name: InstanceName) -> Member | None:
        """Return one member by name."""

    @abc.abstractmethod
    def group(self, service: ServiceName) -> Sequence[Member]:
        """Return the members that serve a service, most preferred first; leaving ones are not."""
