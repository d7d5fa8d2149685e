"""A service's registered rights, as the platform's store holds them."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from egretrail.floor._messages import Right
from egretrail.identity import Incarnation, InstanceName, ServiceName


@dataclass(frozen=True, slots=True)
class RecordedRight:
    """One right's last registration."""

    #: The process that registered it. It may since have passed it to an heir.
    owner: Incarnation
    #: The right as it was registered.
    right: Right


@dataclass(frozen=True, slots=True)
class FloorRecord:
    """All rights of a service that were ever registered, by number."""

    #: The registrations; each number at most once.
    rights: Sequence[RecordedRight] = ()

    def find(self, number: int) -> RecordedRight | None:
        """Return the registration of one right."""
        for recorded in self.rights:
            if recorded.right.number == number:
                return recorded
        return None

    def registered(
        self, number: int, owner: Incarnation, heirs: Sequence[InstanceName]
    ) -> "FloorRecord":
        """Return the record with a right registered anew, for a compare-and-swap."""
        known = self.find(number)
        epoch = known.right.epoch + 1 if known is not None else 1
        fresh = RecordedRight(owner, Right(number, epoch, tuple(heirs)))
        others = [recorded for recorded in self.rights if recorded.right.number != number]
        return replace(
            self, rights=sorted([*others, fresh], key=lambda recorded: recorded.right.number)
        )


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """The store holds something else than a record of rights; no right can be registered."""

    #: The service whose record it is.
    service: ServiceName

    def __str__(self) -> str:
        return f"the record of ejection rights of {self.service} cannot be read"


_ADAPTER = TypeAdapter(FloorRecord)


def record_path(service: ServiceName) -> str:
    """Return where the store keeps a service's record."""
    return f"floors/{service}"


def dump_record(record: FloorRecord) -> str:
    """Return the stored form of a record."""
    return _ADAPTER.dump_json(record).decode()


def parse_record(service: ServiceName, text: str) -> Result[FloorRecord, UnreadableRecord]:
    """Read the stored form of a record."""
    try:
        return Ok(_ADAPTER.validate_json(text))
    except ValidationError:
        return Err(UnreadableRecord(service))


def allowance(capacity_count: int, floor: int) -> int:
    """Return how many upstreams may be out of service.

    Only upstreams that are listed live and neither draining nor departed count as capacity: those
    that leave use up the allowance before any ejection does.
    """
    return max(0, capacity_count - floor)
