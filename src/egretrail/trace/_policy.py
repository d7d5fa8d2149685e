"""The interface between the player and the decisions of an instance."""

import abc
from collections.abc import Sequence

from egretrail.identity import UpstreamName
from egretrail.service import Action, Work, WorkId
from egretrail.trace._records import TraceHeader
from egretrail.upstream import Attempt, AttemptOutcome


class Peers(abc.ABC):
    """Sends messages to the group's other members."""

    @abc.abstractmethod
    def broadcast(self, message: object) -> None:
        """Send a message to every other member, which arrives after the link's latency."""


class Policy(abc.ABC):
    """The decisions of one instance for the traced service."""

    @abc.abstractmethod
    def submit(self, work: Work, now_s: float) -> Sequence[Action]:
        """Submit a request that has just arrived; return the actions to carry out."""

    @abc.abstractmethod
    def record_attempt_end(
        self, work_id: WorkId, attempt: Attempt, now_s: float
    ) -> Sequence[Action]:
        """Record the outcome of an attempt; return the actions to carry out."""

    @abc.abstractmethod
    def set_upstreams(self, upstreams: Sequence[UpstreamName], now_s: float) -> None:
        """Replace the listed upstreams."""

    def record_attempt_start(self, upstream: UpstreamName, work: Work, now_s: float) -> None:
        """Record that an attempt was sent."""

    def handle_message(self, sender: int, message: object, now_s: float) -> Sequence[Action]:
        """Handle a message from another member, given by its index."""
        return ()

    def tick(self, now_s: float) -> Sequence[Action]:
        """Advance to a time; called at ``next_wakeup_s`` and several times a second."""
        return ()

    def next_wakeup_s(self) -> float | None:
        """Return when ``tick`` is due; None if no time is set."""
        return None

    def ejected(self, now_s: float) -> frozenset[UpstreamName]:
        """Return the upstreams that get no requests because of their failures."""
        return frozenset()


class PolicyFactory(abc.ABC):
    """Creates the policies of a trace's instances."""

    #: The policy's name in tables.
    name: str

    @abc.abstractmethod
    def make(self, header: TraceHeader, member: int, peers: Peers, seed: int) -> Policy:
        """Create the policy of one instance."""


def is_failure(outcome: AttemptOutcome) -> bool:
    """Return whether an outcome commonly indicates a failing upstream."""
    return outcome in (
        AttemptOutcome.FAILED,
        AttemptOutcome.LOST,
        AttemptOutcome.REFUSED,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.TRUNCATED,
    )
