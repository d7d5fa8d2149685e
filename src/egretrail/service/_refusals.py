"""Why work was refused. A refused request was not run, and the caller learns when to return."""

import abc
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refusal(abc.ABC):
    """Work that was not run and will not be."""

    #: When the same request would probably be admitted, from now.
    retry_after_s: float

    @abc.abstractmethod
    def __str__(self) -> str:
        """Return one line for the caller and the log."""


@dataclass(frozen=True, slots=True)
class NoUsableUpstream(Refusal):
    """The service has no upstream that may be given this work."""

    def __str__(self) -> str:
        return "no usable upstream"


@dataclass(frozen=True, slots=True)
class WouldWaitTooLong(Refusal):
    """The queue is longer than the work can wait; it was refused on arrival."""

    #: The wait that was expected.
    expected_wait_s: float
    #: The wait that the route and the deadline allow.
    allowed_wait_s: float

    def __str__(self) -> str:
        return f"expected to wait {self.expected_wait_s:.3f} s of {self.allowed_wait_s:.3f} s"


@dataclass(frozen=True, slots=True)
class WaitedTooLong(Refusal):
    """The work waited as long as it may, and no upstream became free."""

    #: How long it waited.
    waited_s: float

    def __str__(self) -> str:
        return f"no upstream became free in {self.waited_s:.3f} s"


@dataclass(frozen=True, slots=True)
class OverFairShare(Refusal):
    """Its caller had more waiting than its share when a caller with less came."""

    #: How many of the caller's requests were waiting.
    waiting: int

    def __str__(self) -> str:
        return f"the caller has {self.waiting} requests waiting, more than its share"


@dataclass(frozen=True, slots=True)
class MayCrashUpstreams(Refusal):
    """Upstreams were lost with this request before; it is given to no more of them."""

    def __str__(self) -> str:
        return "upstreams were lost with this request before"


@dataclass(frozen=True, slots=True)
class UpstreamsDeclined(Refusal):
    """Every attempt ended before an upstream began the work, and no further one is allowed."""

    #: How many upstreams were tried.
    attempts: int

    def __str__(self) -> str:
        return f"declined by {self.attempts} upstream(s) before the work began"
