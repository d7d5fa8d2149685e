"""What else was sent to a service when a request for it was refused."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from egretrail.diagnosis._lines import LogLine

#: Overload control counts the demand of one second, so that of the second before decided.
_WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class Contention:
    """What instances sent to a service in the second before one of its requests was refused."""

    #: First attempts by the priority of their request.
    first_attempts: Mapping[str, int]
    #: Retries by the priority of their request.
    retries: Mapping[str, int]
    #: The last retry before the refusal; it has the counts by which the budget permitted it.
    last_retry: LogLine | None
    #: The last change of the service's state that the refusing instance logged before it.
    state_change: LogLine | None

    @property
    def state(self) -> str:
        """The state of the service at the refusing instance; empty if no change of it is logged."""
        return self.state_change.fields.get("after", "") if self.state_change is not None else ""


def find_contention(refused: LogLine, lines: Sequence[LogLine]) -> Contention:
    """Return what was sent to the service of a refused request, from lines ordered by time."""
    first_attempts: Counter[str] = Counter()
    retries: Counter[str] = Counter()
    last_retry, state_change = None, None
    service = refused.fields.get("service")
    for line in lines:
        if line.time_s > refused.time_s:
            break
        if service is None or line.fields.get("service") != service:
            continue
        if line.event == "service_state" and line.instance == refused.instance:
            state_change = line
        elif line.event == "attempt" and line.time_s >= refused.time_s - _WINDOW_S:
            priority = line.fields.get("priority", "")
            if line.fields.get("number", "1") == "1":
                first_attempts[priority] += 1
            elif line.fields.get("id") != refused.fields.get("id"):
                retries[priority] += 1
                last_retry = line
    return Contention(first_attempts, retries, last_retry, state_change)
