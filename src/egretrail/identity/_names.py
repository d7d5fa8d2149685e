"""Typed names of the entities that the fleet's messages refer to."""

from dataclasses import dataclass
from typing import NewType

InstanceName = NewType("InstanceName", str)
AvailabilityZone = NewType("AvailabilityZone", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
UpstreamName = NewType("UpstreamName", str)
TeamName = NewType("TeamName", str)

#: A digest of the credential that a caller presented; the credential itself is never stored.
CallerId = NewType("CallerId", str)


@dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """One run of an instance's process.

    In-memory state belongs to an incarnation. After the process ends, no later process of the same
    instance can respond for the ended incarnation.
    """

    #: The configured name of the instance.
    instance: InstanceName
    #: Increases with each start of the process; the low bits are random so that two starts differ.
    number: int

    def __str__(self) -> str:
        return f"{self.instance}~{self.number:x}"
