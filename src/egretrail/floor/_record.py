"""The record of a service's registered rights in the platform's store."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.floor._messages import Right
from egretrail.identity import Incarnation, InstanceName, ServiceName


@dataclass(frozen=True, slots=True)
class RecordedRight:
    """The latest registration of one right."""

    #: The process that registered the right. It may have transferred the right to an heir since.
    owner: Incarnation
    #: The right as it was registered.
    right: Right


@dataclass(frozen=True, slots=True)
class FloorRecord:
    """The latest registrations of all of a service's rights."""

    #: The registrations, at most one for each number.
    rights: Sequence[RecordedRight] = ()

    def find(self, number: int) -> RecordedRight | None:
        """Return the registration of one right, None when it was never registered."""
        for recorded in self.rights:
            if recorded.right.number == number:
                return recorded
        return None

    def with_registration(
        self, number: int, owner: Incarnation, heirs: Sequence[InstanceName]
    ) -> "FloorRecord":
        """Return the record with a new registration of a right, for a compare-and-swap."""
        known = self.find(number)
        epoch = known.right.epoch + 1 if known is not None else 1
        fresh = RecordedRight(owner, Right(number, epoch, tuple(heirs)))
        others = [recorded for recorded in self.rights if recorded.right.number != number]
        return replace(
            self, rights=sorted([*others, fresh], key=lambda recorded: recorded.right.number)
        )


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """The stored value is not a valid record of rights; no right can be registered."""

    #: The service whose record is invalid.
    service: ServiceName

    def __str__(self) -> str:
        return f"the record of ejection rights of {self.service} cannot be read"


_ADAPTER = TypeAdapter(FloorRecord)


def record_path(service: ServiceName) -> str:
    """Return the store path of a service's record."""
    return f"floors/{service}"


def dump_record(record: FloorRecord) -> str:
    """Return the JSON form of a record."""
    return _ADAPTER.dump_json(record).decode()


def parse_record(service: ServiceName, text: str) -> Result[FloorRecord, UnreadableRecord]:
    """Parse the JSON form of a record."""
    try:
        return Ok(_ADAPTER.validate_json(text))
    except ValidationError:
        return Err(UnreadableRecord(service))


def ejection_allowance(capacity_count: int, floor: int) -> int:
    """Return how many upstreams may be ejected.

    Only upstreams that are listed as live and are neither draining nor gone count as capacity, so
    that departures reduce the allowance.
    """
    return max(0, capacity_count - floor)
