"""The observations of one upstream by all members of a group."""

from dataclasses import dataclass

from egretrail.identity import InstanceName
from egretrail.upstream._cusum import CusumScores, SequentialTests
from egretrail.upstream._window import LONG, NOTHING, SHORT, Counts, Window

#: Observations are ignored when their sender has sent none for this long: it may be gone.
_STALE_S = 30.0

#: Observations are sent to the other members at once when the short window holds this many
#: failures, or a CUSUM score reaches this value.
_URGENT_FAILURES = 0.5
_URGENT_CUSUM = 1.0

#: CUSUM scores up to this are not evaluated: the lowest ejection score is several times higher.
_UNSUSPICIOUS_CUSUM = 1.5

#: Lost connections of one upstream within this time are one event: a crash loses all attempts in
#: flight.
_ONE_CRASH_S = 0.2


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """Another member's latest observation of the upstream."""

    #: The member's window counts when it sent them.
    short: Counts
    long: Counts
    #: The member's CUSUM scores when it sent them.
    cusum: CusumScores
    #: The member's attempts in flight.
    in_flight: int
    #: Number of ejections of the upstream that the member knew of.
    generation: int
    #: Time of receipt.
    at_s: float

    @property
    def is_urgent(self) -> bool:
        """Return whether the observation is evidence against the upstream."""
        return _is_urgent(self.short, self.cusum)


class GroupObservations:
    """This member's and its peers' observations of one upstream."""

    def __init__(self, now_s: float) -> None:
        self.short = Window(SHORT, now_s)
        self.long = Window(LONG, now_s)
        self.tests = SequentialTests(now_s)
        self.in_flight = 0
        #: Number of attempts in flight that are overdue, and their least log latency ratio.
        self.overdue = 0
        self.overdue_slowness = 0.0
        #: What each of them adds to the CUSUM score for slowness.
        self.overdue_ratio = 0.0
        #: Share of recent attempts that the upstream rejected because of its load.
        self.shed_share = 0.0
        self.peers: dict[InstanceName, PeerObservation] = {}
        #: Start of the current failure period; None while there is none.
        self.failing_since_s: float | None = None
        self._last_loss_s = float("-inf")

    def mark_failing(self, at_s: float) -> None:
        """Start a failure period after any member's failure, unless one is running."""
        if self.failing_since_s is None:
            self.failing_since_s = at_s

    def mark_recovered(self) -> None:
        """End the failure period: failures have decayed in the group's short windows."""
        self.failing_since_s = None

    def clear(self, now_s: float) -> None:
        """Clear this member's own observations."""
        self.failing_since_s = None
        self.short.clear(now_s)
        self.long.clear(now_s)
        self.tests = SequentialTests(now_s)

    def add_answer(self, slowness: float | None, now_s: float) -> None:
        """Count a successful response."""
        self.short.add_answer(slowness, now_s)
        self.long.add_answer(slowness, now_s)

    def add_failure(self, weight: float, now_s: float) -> None:
        """Count a failure."""
        self.short.add_failure(weight, now_s)
        self.long.add_failure(weight, now_s)

    def record_loss(self, now_s: float) -> bool:
        """Record a lost connection; return whether the previous loss is of the same crash."""
        same = now_s - self._last_loss_s <= _ONE_CRASH_S
        self._last_loss_s = now_s
        return same

    def subtract_loss(self) -> None:
        """Subtract one loss that turned out to be caused by a request."""
        self.short.retract_failure(1.0)
        self.long.retract_failure(1.0)
        self.tests.retract_failure()

    def own_short(self, now_s: float) -> Counts:
        """Return this member's short window, overdue attempts included."""
        return self.short.counts_with(self.overdue, self.overdue_slowness, now_s)

    def own_cusum(self, now_s: float) -> CusumScores:
        """Return this member's CUSUM scores, overdue attempts included."""
        return self.tests.cusum(now_s) + CusumScores(slow=self.overdue * self.overdue_ratio)

    def own_long(self, now_s: float) -> Counts:
        """Return this member's long window, overdue attempts included."""
        return self.long.counts_with(self.overdue, self.overdue_slowness, now_s)

    def is_unsuspicious(self) -> bool:
        """Return whether this member's observations contain no evidence against the upstream.

        This check decides for almost every response of a healthy service. It omits the decay,
        which could only lower the score.
        """
        return self.failing_since_s is None and self.tests.highest <= _UNSUSPICIOUS_CUSUM

    def is_urgent(self, now_s: float) -> bool:
        """Return whether this member's observations should be sent to the group at once."""
        return _is_urgent(self.short.counts(now_s), self.own_cusum(now_s))

    def members_short(self, generation: int, now_s: float) -> list[Counts]:
        """Return each member's short window, this member's first."""
        peers = self._current(generation, now_s)
        faded = [peer.short.times(SHORT.kept_after(now_s - peer.at_s)) for peer in peers]
        return [self.own_short(now_s), *faded]

    def members_long(self, generation: int, now_s: float) -> list[Counts]:
        """Return each member's long window, this member's first."""
        peers = self._current(generation, now_s)
        faded = [peer.long.times(LONG.kept_after(now_s - peer.at_s)) for peer in peers]
        return [self.own_long(now_s), *faded]

    def members_cusum(self, generation: int, now_s: float) -> list[CusumScores]:
        """Return each member's CUSUM scores, this member's first."""
        peers = self._current(generation, now_s)
        return [self.own_cusum(now_s), *(peer.cusum.after(now_s - peer.at_s) for peer in peers)]

    def pooled_short(self, generation: int, now_s: float) -> Counts:
        """Return the sum of the members' short windows."""
        return sum(self.members_short(generation, now_s), NOTHING)

    def pooled_long(self, generation: int, now_s: float) -> Counts:
        """Return the sum of the members' long windows."""
        return sum(self.members_long(generation, now_s), NOTHING)

    def _current(self, generation: int, now_s: float) -> list[PeerObservation]:
        """Return the peers' observations that are recent and from after the last ejection."""
        return [
            peer
            for peer in self.peers.values()
            if peer.generation >= generation and now_s - peer.at_s <= _STALE_S
        ]


def _is_urgent(short: Counts, cusum: CusumScores) -> bool:
    most = max(cusum.frequent, cusum.rare, cusum.slow)
    return short.failures >= _URGENT_FAILURES or most >= _URGENT_CUSUM
