"""What every instance knows of another one."""

import enum
from dataclasses import dataclass

#: Incarnations are told as numbers of 32 bits: milliseconds that begin anew after 49 days, far
#: longer than two lifetimes of an instance are compared.
_INCARNATION_BITS = 0xFFFFFFFF


class InstanceState(enum.IntEnum):
    """Whether callers may be sent to an instance."""

    #: It does not know the configuration yet.
    STARTING = 0
    #: It serves.
    READY = 1
    #: It was told to stop; it serves those who still come.
    LEAVING = 2


@dataclass(frozen=True, slots=True)
class Instance:
    """One lifetime of an instance, as others list it."""

    #: Its address.
    address: str
    #: Its availability zone.
    availability_zone: str
    #: Rises with each start of its process.
    incarnation: int
    #: Whether callers may be sent to it.
    state: InstanceState
    #: Its share of a core times the core's speed.
    capacity: float


def short_incarnation(incarnation: int) -> int:
    """Return the form in which lists of instances hold an incarnation."""
    return incarnation & _INCARNATION_BITS
