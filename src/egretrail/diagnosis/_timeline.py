"""Collects the log events that concern one request."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from egretrail.diagnosis._contention import Contention, find_contention
from egretrail.diagnosis._lines import LogLine

#: Events about an upstream's health are searched this long before each attempt.
_HEALTH_LOOKBACK_S = 30.0
_HEALTH_EVENTS = frozenset({"upstream_standing", "upstream_listed", "upstream_replaced"})


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """The log events of one client attempt, with the upstream health that the instance knew."""

    #: The client attempt.
    attempt_id: str
    #: The events of the attempt, ordered by time.
    events: Sequence[LogLine]
    #: The last events about its upstreams' health before it, logged by the same instance.
    prior_health_events: Sequence[LogLine]
    #: What else its service was sent before it was refused; None if it was not refused.
    contention: Contention | None = None

    def merged_lines(self) -> Sequence[LogLine]:
        """Return all lines of the timeline, ordered by time."""
        lines = [*self.prior_health_events, *self.events]
        if self.contention is not None and self.contention.state_change is not None:
            lines.append(self.contention.state_change)
        return sorted(lines, key=lambda line: line.time_s)


def build_timeline(attempt_id: str, lines: Iterable[LogLine]) -> RequestTimeline:
    """Build the timeline of a client attempt from the logs of any number of instances."""
    all_lines = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in all_lines if line.fields.get("id") == attempt_id]
    health_events: list[LogLine] = []
    for event in own:
        if event.event == "attempt":
            health_events += _last_health_events(event, all_lines)
    refused = next((line for line in reversed(own) if line.event == "refused"), None)
    contention = find_contention(refused, all_lines) if refused is not None else None
    return RequestTimeline(attempt_id, own, health_events, contention)


def _last_health_events(attempt: LogLine, all_lines: Sequence[LogLine]) -> list[LogLine]:
    upstream = attempt.fields.get("upstream")
    matching = [
        line
        for line in all_lines
        if line.instance == attempt.instance
        and line.event in _HEALTH_EVENTS
        and line.fields.get("upstream") == upstream
        and attempt.time_s - _HEALTH_LOOKBACK_S <= line.time_s <= attempt.time_s
    ]
    return matching[-2:]
