"""Counts requests, refusals and attempts by properties that the logs have of them."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import median

from egretrail.diagnosis._lines import LogLine
from egretrail.diagnosis._requests import NONE, UNKNOWN, RequestEvents, finite


class Outcome(enum.Enum):
    """What became of a request, as a column of a table."""

    #: Served within its latency objective, or without one.
    SERVED = "served"
    #: Served after its latency objective.
    LATE = "late"
    #: Refused by the fleet without having run.
    REFUSED = "refused"
    #: Failed, without a response in time, or without a connection.
    FAILED = "failed"
    #: The client left, or the logs have no outcome.
    UNKNOWN = "unknown"


class Dimension(enum.Enum):
    """A property by which requests are counted; the values are printed."""

    SECOND = "second"
    SERVICE = "service"
    ROUTE = "route"
    PRIORITY = "priority"
    ACCOUNT = "account"
    CLIENT_ZONE = "client zone"


class SlotState(enum.Enum):
    """What an instance knew of the slots of an upstream when it sent a request there."""

    FREE = "free"
    TAKEN = "taken"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class RequestCounts:
    """Requests with one value of a property.

    A second counts requests in ``offered`` when they arrived, in the outcomes when they ended and
    in ``attempts`` when these were sent.
    """

    #: Requests that arrived.
    offered: int = 0
    #: Requests by outcome.
    outcomes: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    #: Attempts that were sent to upstreams.
    attempts: int = 0

    def add(self, other: "RequestCounts") -> None:
        """Add other requests."""
        self.offered += other.offered
        self.attempts += other.attempts
        for outcome, count in other.outcomes.items():
            self.outcomes[outcome] += count


@dataclass(slots=True)
class RefusalCounts:
    """Refusals with one reason."""

    #: Times to wait that clients were told, in seconds; refusals without one are left out.
    retry_after_s: list[float] = field(default_factory=list)
    #: All refusals.
    refusals: int = 0

    def retry_after_summary_s(self) -> tuple[float, float, float] | None:
        """Return the shortest, the median and the longest wait told; None without any."""
        waits = self.retry_after_s
        return (min(waits), median(waits), max(waits)) if waits else None


@dataclass(slots=True)
class AttemptCounts:
    """Attempts at upstreams of one availability zone that looked alike when they were sent."""

    #: All attempts.
    attempts: int = 0
    #: Attempts sent by instances of another zone than the upstream's.
    from_other_zones: int = 0
    #: Attempts that the upstream refused without running them.
    shed: int = 0
    #: Attempts that ended in any other way without serving the request.
    failed: int = 0


@dataclass(frozen=True, slots=True)
class LossTables:
    """Counts of all requests, refusals and attempts of logs."""

    #: Requests by property and its value, in the order in which they are printed.
    requests: Mapping[Dimension, Mapping[str, RequestCounts]]
    #: Refusals by reason, the most frequent first.
    refusals: Mapping[str, RefusalCounts]
    #: Attempts by what was known of the upstream's slots, and its zone; the most frequent first.
    attempts: Mapping[tuple[SlotState, str], AttemptCounts]


#: The properties that a request has from its arrival to its end, unlike the second.
_FIXED = (
    Dimension.SERVICE,
    Dimension.ROUTE,
    Dimension.PRIORITY,
    Dimension.ACCOUNT,
    Dimension.CLIENT_ZONE,
)


class TableBuilder:
    """Adds up requests, one after the other.

    A log has many requests with the same properties, so these are counted together first and
    divided by property at the end.
    """

    def __init__(self, zones: Mapping[str, str]) -> None:
        self._zones = zones
        self._groups: dict[tuple[str, ...], RequestCounts] = {}
        self._seconds: dict[int, RequestCounts] = {}
        self._refusals: dict[str, RefusalCounts] = {}
        self._attempts: dict[tuple[SlotState, str], AttemptCounts] = {}

    def add(self, events: RequestEvents, last: LogLine, outcome: Outcome) -> None:
        """Count a request, whose final line and outcome are given."""
        values = (
            events.value("service"),
            events.value("route"),
            events.value("priority"),
            events.value("account"),
            self._zones.get(events.instance(), UNKNOWN),
        )
        counts = self._groups.get(values)
        if counts is None:
            counts = self._groups[values] = RequestCounts()
        counts.offered += 1
        counts.outcomes[outcome] += 1
        counts.attempts += len(events.attempts)
        self._second(events.arrival_s()).offered += 1
        self._second(last.time_s).outcomes[outcome] += 1
        for attempt in events.attempts:
            self._second(attempt.time_s).attempts += 1
        if events.attempts:
            self._add_attempts(events)
        if events.refused is not None:
            self._add_refusal(events.refused)

    def build(self) -> LossTables:
        """Return the tables of all requests added."""
        requests: dict[Dimension, dict[str, RequestCounts]] = {
            Dimension.SECOND: {
                str(second): self._seconds[second] for second in sorted(self._seconds)
            }
        }
        for position, dimension in enumerate(_FIXED):
            rows: dict[str, RequestCounts] = {}
            for values, counts in self._groups.items():
                rows.setdefault(values[position], RequestCounts()).add(counts)
            if dimension is Dimension.PRIORITY:
                order = sorted(rows, key=_numeric_order)
            else:
                order = sorted(rows, key=lambda value: (-rows[value].offered, value))
            requests[dimension] = {value: rows[value] for value in order}
        refusals = sorted(self._refusals.items(), key=lambda row: -row[1].refusals)
        attempts = sorted(self._attempts.items(), key=lambda row: -row[1].attempts)
        return LossTables(requests, dict(refusals), dict(attempts))

    def _second(self, time_s: float) -> RequestCounts:
        counts = self._seconds.get(int(time_s))
        if counts is None:
            counts = self._seconds[int(time_s)] = RequestCounts()
        return counts

    def _add_refusal(self, line: LogLine) -> None:
        counts = self._refusals.setdefault(line.fields.get("reason", UNKNOWN), RefusalCounts())
        counts.refusals += 1
        wait_s = finite(line, "retry_after_s")
        if wait_s is not None:
            counts.retry_after_s.append(wait_s)

    def _add_attempts(self, events: RequestEvents) -> None:
        fates = {line.fields.get("upstream"): line.fields.get("fate") for line in events.failures}
        for line in events.attempts:
            zone = line.fields.get("zone") or UNKNOWN
            key = (_slot_state(line), zone)
            counts = self._attempts.get(key)
            if counts is None:
                counts = self._attempts[key] = AttemptCounts()
            counts.attempts += 1
            sender_zone = self._zones.get(line.instance)
            if sender_zone is not None and zone not in (UNKNOWN, sender_zone):
                counts.from_other_zones += 1
            match fates.get(line.fields.get("upstream")):
                case None:
                    pass
                case "not_run":
                    counts.shed += 1
                case _:
                    counts.failed += 1


def _slot_state(attempt: LogLine) -> SlotState:
    in_flight, slots = finite(attempt, "in_flight"), finite(attempt, "slots")
    if in_flight is None or slots is None:
        return SlotState.UNKNOWN
    return SlotState.FREE if in_flight < slots else SlotState.TAKEN


def _numeric_order(value: str) -> tuple[int, int, str]:
    """Order numbers by value, and texts such as ``(unknown)`` after them."""
    if value in (UNKNOWN, NONE) or not value.lstrip("-").isdecimal():
        return (1, 0, value)
    return (0, int(value), value)
