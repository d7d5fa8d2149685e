"""The description of an instance that all instances share."""

import enum
from dataclasses import dataclass

#: Mask of the 32 bits that incarnations have on the wire. They are milliseconds, which wrap around
#: after 49 days: far longer than the interval over which incarnations of an instance are compared.
_INCARNATION_BITS = 0xFFFFFFFF


class InstanceState(enum.IntEnum):
    """Whether callers may be directed to an instance."""

    #: The instance does not have a configuration yet.
    STARTING = 0
    #: The instance serves requests.
    READY = 1
    #: The instance is stopping; it still serves the requests that arrive.
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of an instance, as listed in rosters."""

    #: The address of the instance.
    address: str
    #: The availability zone of the instance.
    availability_zone: str
    #: Increases with each start of the process; in the form of ``short_incarnation``.
    incarnation: int
    #: Whether callers may be directed to the instance.
    state: InstanceState
    #: The instance's share of a CPU core multiplied by the speed of the core.
    capacity: float


def short_incarnation(incarnation: int) -> int:
    """Return an incarnation in the 32-bit form that rosters hold."""
    return incarnation & _INCARNATION_BITS
