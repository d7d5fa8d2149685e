"""Collects the log events of each request, from the logs of any number of gateways."""

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.diagnosis._lines import LogLine

#: The value of a field that no line of a request has, as in logs of earlier versions.
UNKNOWN = "(unknown)"
#: The value of a field that is logged as empty.
NONE = "(none)"


@dataclass(slots=True)
class RequestEvents:
    """The log events of one client attempt."""

    #: The lines ``attempt``, in the order of the log.
    attempts: list[LogLine] = field(default_factory=list)
    #: The lines ``attempt_failed``, in the order of the log.
    failures: list[LogLine] = field(default_factory=list)
    #: The last line ``refused``.
    refused: LogLine | None = None
    #: The last line ``answered``.
    answered: LogLine | None = None

    @property
    def last(self) -> LogLine | None:
        """The final event of the request, or its last attempt if the log has no final event."""
        return self.answered or self.refused or (self.attempts[-1] if self.attempts else None)

    def value(self, name: str) -> str:
        """Return a field that the attempts or the refusal have, or ``UNKNOWN`` or ``NONE``."""
        found = None
        for line in self._descriptions():
            found = line.fields.get(name, found)
            if found:
                return found
        return UNKNOWN if found is None else NONE

    def arrival_s(self) -> float:
        """Return when the request arrived, to the millisecond of the log.

        Without a logged duration, this is the time of its first line.
        """
        if self.answered is not None and (duration_s := number(self.answered, "duration_s")):
            return round(self.answered.time_s - duration_s, 3)
        lines = [*self.attempts, *self.failures, self.refused, self.answered]
        return min(line.time_s for line in lines if line is not None)

    def instance(self) -> str:
        """Return the instance that took the request from its client."""
        final = self.answered or self.refused
        if final is not None:
            return final.instance
        own = (line for line in self.attempts if line.fields.get("relayed") != "True")
        return next((line.instance for line in own), "")

    def _descriptions(self) -> Iterator[LogLine]:
        yield from self.attempts
        if self.refused is not None:
            yield self.refused


@dataclass(frozen=True, slots=True)
class LogIndex:
    """The lines of logs that concern requests."""

    #: Events by client attempt, those with at least one ``attempt``, ``refused`` or ``answered``.
    requests: Mapping[str, RequestEvents]
    #: Changes of upstreams' health, by the instance that logged them and the upstream.
    health_changes: Mapping[tuple[str, str], Sequence[LogLine]]
    #: Availability zones by instance, of the instances whose start is in the logs.
    zones: Mapping[str, str]


def collect_requests(lines: Iterable[LogLine]) -> LogIndex:
    """Read each line once and return the events by request."""
    requests: dict[str, RequestEvents] = {}
    health_changes: dict[tuple[str, str], list[LogLine]] = {}
    zones: dict[str, str] = {}
    for line in lines:
        fields = line.fields
        attempt_id = fields.get("id")
        if attempt_id is not None:
            events = requests.get(attempt_id)
            if events is None:
                events = requests[attempt_id] = RequestEvents()
            _add_event(events, line)
        elif line.event == "upstream_standing":
            key = (line.instance, fields.get("upstream", ""))
            health_changes.setdefault(key, []).append(line)
        elif line.event == "start" and fields.get("zone"):
            zones[line.instance] = fields["zone"]
    known = {key: events for key, events in requests.items() if events.last is not None}
    return LogIndex(known, health_changes, zones)


def number(line: LogLine, name: str) -> float:
    """Return a field as a number; 0 if the line lacks it, as lines of earlier versions do."""
    value = finite(line, name)
    return 0.0 if value is None else value


def finite(line: LogLine, name: str) -> float | None:
    """Return a field as a finite number; None if the line has none."""
    try:
        value = float(line.fields[name])
    except (KeyError, ValueError):
        return None
    return value if math.isfinite(value) else None


def _add_event(events: RequestEvents, line: LogLine) -> None:
    match line.event:
        case "attempt":
            events.attempts.append(line)
        case "attempt_failed":
            events.failures.append(line)
        case "refused":
            events.refused = line
        case "answered":
            events.answered = line
