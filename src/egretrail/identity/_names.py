"""Typed names of the things the fleet talks about."""

from dataclasses import dataclass
from typing import NewType

InstanceName = NewType("InstanceName", str)
AvailabilityZone = NewType("AvailabilityZone", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
UpstreamName = NewType("UpstreamName", str)
TeamName = NewType("TeamName", str)

#: A digest of the credential a caller presented; the credential itself is never kept.
CallerId = NewType("CallerId", str)


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of an instance's process.

    State held in memory belongs to an incarnation: when the process ends, whatever named this
    incarnation can never be answered by a later process of the same instance.
    """

    #: The instance's configured name.
    instance: InstanceName
    #: Rises with each start of the process, with random low bits so that two starts differ.
    number: int

    def __str__(self) -> str:
        return f"{self.instance}~{self.number:x}"
