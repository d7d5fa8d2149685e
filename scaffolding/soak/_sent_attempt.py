"""A client attempt of a soak run."""

from dataclasses import dataclass

from scaffolding.platform import AttemptResult


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """One client attempt and its result."""

    #: Send time by the event loop's clock.
    at_s: float
    #: The gateway that it was sent to.
    gateway: int
    #: The number of that gateway's process, counted from the first one.
    process_number: int
    #: Whether the request must run at most once.
    is_at_most_once: bool
    #: The service that all configurations route it to; empty if they differ.
    service: str
    #: Method and target.
    request_line: str
    #: What the client received.
    result: AttemptResult
    #: The priority of its route; 0 is the most urgent.
    priority: int = 1
    #: The number of the burst that it belongs to, from 1; 0 for other requests.
    burst: int = 0
