"""What the player drives on each instance: egretrail's decisions or a baseline's."""

import abc
from collections.abc import Sequence

from egretrail.identity import UpstreamName
from egretrail.service import Action, Work, WorkId
from egretrail.trace._records import TraceHeader
from egretrail.upstream import Attempt, AttemptOutcome


class Peers(abc.ABC):
    """How an instance reaches the group's other members."""

    @abc.abstractmethod
    def tell(self, message: object) -> None:
        """Send a message to every other member; it arrives after the link's latency."""


class Policy(abc.ABC):
    """The decisions of one instance for the traced service."""

    @abc.abstractmethod
    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Take a request that has just come."""

    @abc.abstractmethod
    def finished(self, work_id: WorkId, attempt: Attempt, now_s: float) -> Sequence[Action]:
        """Take the end of an attempt."""

    @abc.abstractmethod
    def listed(self, upstreams: Sequence[UpstreamName], now_s: float) -> None:
        """Take a new state of the instance list."""

    def started(self, upstream: UpstreamName, work: Work, now_s: float) -> None:
        """Note that an attempt was sent."""

    def received(self, sender: int, message: object, now_s: float) -> Sequence[Action]:
        """Take a message from another member."""
        return ()

    def tick(self, now_s: float) -> Sequence[Action]:
        """Let time pass; called at ``next_wakeup_s`` and several times a second."""
        return ()

    def next_wakeup_s(self) -> float | None:
        """Return when ``tick`` is due."""
        return None

    def ejected(self, now_s: float) -> frozenset[UpstreamName]:
        """Return the upstreams that get no work because of their failures."""
        return frozenset()


class PolicyFactory(abc.ABC):
    """Makes the policies of a trace's instances."""

    #: Names the policy in tables.
    name: str

    @abc.abstractmethod
    def make(self, header: TraceHeader, member: int, peers: Peers, seed: int) -> Policy:
        """Return the policy of one instance."""


def is_failure(outcome: AttemptOutcome) -> bool:
    """Return whether an outcome is the usual sign of a failing upstream."""
    return outcome in (
        AttemptOutcome.FAILED,
        AttemptOutcome.LOST,
        AttemptOutcome.REFUSED,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.TRUNCATED,
    )
