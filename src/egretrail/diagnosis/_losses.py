"""Counts lost and late requests by cause, from the logs of any number of gateways."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from egretrail.diagnosis._lines import LogLine
from egretrail.diagnosis._reasons import LossReason, find_loss
from egretrail.diagnosis._requests import RequestEvents, collect_requests
from egretrail.diagnosis._tables import LossTables, Outcome, TableBuilder

_OUTCOMES = {
    LossReason.REFUSED: Outcome.REFUSED,
    LossReason.REFUSED_AFTER_ATTEMPTS: Outcome.REFUSED,
    LossReason.LATE_PROCESSING: Outcome.LATE,
    LossReason.LATE_UPSTREAM_QUEUE: Outcome.LATE,
    LossReason.LATE_RETRY: Outcome.LATE,
    LossReason.LATE_INSTANCE_QUEUE: Outcome.LATE,
    LossReason.CLIENT_LEFT: Outcome.UNKNOWN,
    LossReason.UNANSWERED: Outcome.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class LostRequest:
    """One request that was not served, or served late."""

    #: The client attempt.
    attempt_id: str
    #: When its last event was logged.
    time_s: float
    #: Its route; empty if it was refused before a route was found.
    route: str
    #: The reason of the loss, as printed.
    reason: str
    #: The upstream of its last attempt; empty without an attempt.
    upstream: str


@dataclass(frozen=True, slots=True)
class LossReport:
    """Counts of all requests in the logs, and the lost or late ones."""

    #: All requests by route.
    requests: Mapping[str, int]
    #: The requests that were lost or late.
    lost: Sequence[LostRequest]
    #: Counts of all requests, refusals and attempts by their properties.
    tables: LossTables

    def by_reason(self) -> Mapping[tuple[str, str], int]:
        """Return counts by route and reason, largest first."""
        return dict(Counter((one.route, one.reason) for one in self.lost).most_common())

    def by_second(self) -> Mapping[int, Counter[str]]:
        """Return counts by reason for each second of the log."""
        seconds: dict[int, Counter[str]] = {}
        for one in sorted(self.lost, key=lambda one: one.time_s):
            seconds.setdefault(int(one.time_s), Counter())[one.reason] += 1
        return seconds

    def by_upstream(self) -> Mapping[str, int]:
        """Return counts by the upstream of the last attempt, largest first."""
        return dict(Counter(one.upstream for one in self.lost if one.upstream).most_common())


def find_losses(lines: Iterable[LogLine]) -> LossReport:
    """Return counts of all requests in the log lines, and the lost or late ones."""
    index = collect_requests(lines)
    requests: Counter[str] = Counter()
    lost = []
    tables = TableBuilder(index.zones)
    for attempt_id, events in index.requests.items():
        last = events.last
        if last is None:
            continue
        route = _find_route(events)
        requests[route] += 1
        loss = find_loss(events, index.health_changes)
        outcome = Outcome.SERVED
        if loss is not None:
            outcome = _OUTCOMES.get(loss.reason, Outcome.FAILED)
            upstream = events.attempts[-1].fields.get("upstream", "") if events.attempts else ""
            lost.append(LostRequest(attempt_id, last.time_s, route, loss.text, upstream))
        tables.add(events, last, outcome)
    return LossReport(requests, lost, tables.build())


def _find_route(events: RequestEvents) -> str:
    named = [*events.attempts, *([events.refused] if events.refused else [])]
    return next((line.fields["route"] for line in named if line.fields.get("route")), "")
