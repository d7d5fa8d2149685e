"""Interface through which the rest of an instance reads the membership of the fleet."""

import abc
import enum
from collections.abc import Sequence
from dataclasses import dataclass

from egretrail.identity import AvailabilityZone, Incarnation, InstanceName, ServiceName


class MemberState(enum.Enum):
    """State of a member from the point of view of this instance."""

    #: It responds to this instance or to others.
    ALIVE = "alive"
    #: It cannot be reached, and there is no proof that it has ended.
    UNREACHABLE = "unreachable"
    #: It announced that it is stopping, or the platform lists it as leaving.
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """One instance of the fleet from the point of view of this instance."""

    #: The newest known process of the instance.
    incarnation: Incarnation
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Address for clients: IP address and port.
    caller_host: str
    caller_port: int
    #: Address for other instances: IP address and port.
    peer_host: str
    peer_port: int
    #: Its state from the point of view of this instance.
    state: MemberState = MemberState.ALIVE
    #: Whether it holds the settings and may be announced to clients.
    ready: bool = True

    @property
    def name(self) -> InstanceName:
        """Return the instance's name."""
        return self.incarnation.instance


class FleetView(abc.ABC):
    """The current view of one instance on the fleet; views of two instances may differ."""

    @property
    @abc.abstractmethod
    def own(self) -> Member:
        """Return this instance itself."""

    @abc.abstractmethod
    def members(self) -> Sequence[Member]:
        """Return every known member, this instance included, ordered by name."""

    @abc.abstractmethod
    def member(self, name: InstanceName) -> Member | None:
        """Return a member by name, None if it is unknown."""

    @abc.abstractmethod
    def group(self, service: ServiceName) -> Sequence[Member]:
        """Return the members that serve a service, most preferred first, without leaving ones."""
