"""Reasons for refusing a request that was not run; each tells the client when to retry."""

import abc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refusal(abc.ABC):
    """Base class of refusals: the request has not been run and will not be."""

    #: Seconds after which the same request would probably be admitted.
    retry_after_s: float

    @abc.abstractmethod
    def __str__(self) -> str:
        """Return one line for the client and the log."""


@dataclass(frozen=True, slots=True)
class NoUsableUpstream(Refusal):
    """The service has no upstream that may receive this request."""

    def __str__(self) -> str:
        return "no usable upstream"


@dataclass(frozen=True, slots=True)
class WouldWaitTooLong(Refusal):
    """The expected wait exceeds the time that the request can wait; it was refused on arrival."""

    #: The expected wait.
    expected_wait_s: float
    #: The wait that the route and the deadline allow.
    allowed_wait_s: float

    def __str__(self) -> str:
        return f"expected to wait {self.expected_wait_s:.3f} s of {self.allowed_wait_s:.3f} s"


@dataclass(frozen=True, slots=True)
class WaitedTooLong(Refusal):
    """The request reached its latest start before an upstream became free."""

    #: How long the request waited.
    waited_s: float

    def __str__(self) -> str:
        return f"no upstream became free in {self.waited_s:.3f} s"


@dataclass(frozen=True, slots=True)
class OverFairShare(Refusal):
    """The client exceeded its fair share of the queue when requests of other clients arrived."""

    #: How many requests of the client were waiting.
    waiting: int

    def __str__(self) -> str:
        return f"the caller has {self.waiting} requests waiting, more than its share"


@dataclass(frozen=True, slots=True)
class MayCrashUpstreams(Refusal):
    """Earlier attempts of this request were lost with their upstreams; it gets no further one."""

    def __str__(self) -> str:
        return "upstreams were lost with this request before"


@dataclass(frozen=True, slots=True)
class UpstreamsDeclined(Refusal):
    """Every attempt ended before an upstream began processing, and no further one is allowed."""

    #: Number of upstreams tried.
    attempts: int

    def __str__(self) -> str:
        return f"declined by {self.attempts} upstream(s) before the work began"
