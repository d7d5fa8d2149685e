"""The platform's list of live and leaving instances; it lags behind the real state."""

import abc
import enum
from collections.abc import Sequence
from dataclasses import dataclass, field

from result import Result

from egretrail.identity import AvailabilityZone
from egretrail.store._errors import StoreUnavailable


class ListedState(enum.Enum):
    """State of an instance as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to connect to."""

    #: An IP address.
    host: str
    #: A TCP port.
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the list: an upstream of a service, or an instance of the fleet."""

    #: The instance's name, unique in the list.
    name: str
    #: The service that it belongs to; ``egretrail`` for instances of the fleet.
    service: str
    #: The availability zone it runs in.
    availability_zone: AvailabilityZone
    #: Where it accepts requests.
    endpoint: Endpoint
    #: Whether the platform reports it as live or leaving.
    state: ListedState = ListedState.LIVE
    #: Where other instances connect; set only for instances of the fleet.
    peer_endpoint: Endpoint | None = field(default=None)


class InstanceList(abc.ABC):
    """Reads the platform's instance list."""

    @abc.abstractmethod
    async def read(self) -> Result[Sequence[ListedInstance], StoreUnavailable]:
        """Return all listed instances; their states may be out of date."""
