"""What the members of a group have observed of one upstream."""

from dataclasses import dataclass

from egretrail.identity import InstanceName
from egretrail.upstream._drift import Drifts, SequentialTests
from egretrail.upstream._window import LONG, NOTHING, SHORT, Counts, Window

#: Observations of a member that has said nothing for so long are dropped: it may be gone.
_STALE_S = 30.0

#: Other members are told at once of an upstream whose short window holds this many failures, or
#: whose sequential tests have come this far.
_URGENT_FAILURES = 0.5
_URGENT_DRIFT = 1.0

#: Sequential tests below this decide nothing: the least ejecting score is several times higher.
_QUIET_DRIFT = 1.5

#: Losses within this time on one upstream are one event: a crash loses all that was in flight.
_ONE_CRASH_S = 0.2


@dataclass(frozen=True, slots=True)
class PeerObservation:
    """The latest that another member said of the upstream."""

    #: Its counts as it sent them.
    short: Counts
    long: Counts
    #: Its sequential tests as it sent them.
    drifts: Drifts
    #: Attempts that it had under way.
    in_flight: int
    #: Ejections of the upstream that it knew of.
    generation: int
    #: When it was received.
    at_s: float

    @property
    def worth_telling(self) -> bool:
        """Return whether the observation says anything against the upstream."""
        return _worth_telling(self.short, self.drifts)


class Observed:
    """Own and peers' observations of one upstream."""

    def __init__(self, now_s: float) -> None:
        self.short = Window(SHORT, now_s)
        self.long = Window(LONG, now_s)
        self.tests = SequentialTests(now_s)
        self.in_flight = 0
        #: Attempts under way for longer than answers take, and their least log latency ratio.
        self.overdue = 0
        self.overdue_slowness = 0.0
        #: What each of them adds to the sequential test on slowness.
        self.overdue_ratio = 0.0
        #: Share of recent attempts that the upstream declined because of its load.
        self.shed_share = 0.0
        self.peers: dict[InstanceName, PeerObservation] = {}
        #: When the failures that count now began; None while there are none.
        self.failing_since_s: float | None = None
        self._last_loss_s = float("-inf")

    def note_failure(self, at_s: float) -> None:
        """Note a failure, this member's or another's: failures began no later."""
        if self.failing_since_s is None:
            self.failing_since_s = at_s

    def note_recovery(self) -> None:
        """Note that failures have faded from the group's short windows."""
        self.failing_since_s = None

    def clear(self, now_s: float) -> None:
        """Forget what this member observed."""
        self.failing_since_s = None
        self.short.clear(now_s)
        self.long.clear(now_s)
        self.tests = SequentialTests(now_s)

    def add_answer(self, slowness: float | None, now_s: float) -> None:
        """Count a good answer."""
        self.short.add_answer(slowness, now_s)
        self.long.add_answer(slowness, now_s)

    def add_failure(self, weight: float, now_s: float) -> None:
        """Count a failure."""
        self.short.add_failure(weight, now_s)
        self.long.add_failure(weight, now_s)

    def same_crash(self, now_s: float) -> bool:
        """Note a loss; return whether it belongs to the same event as the one before."""
        same = now_s - self._last_loss_s <= _ONE_CRASH_S
        self._last_loss_s = now_s
        return same

    def excuse_loss(self) -> None:
        """Take back one loss that a request turned out to cause."""
        self.short.excuse(1.0)
        self.long.excuse(1.0)
        self.tests.excuse()

    def own_short(self, now_s: float) -> Counts:
        """Return this member's short window, overdue attempts included."""
        return self.short.counts_with(self.overdue, self.overdue_slowness, now_s)

    def own_drifts(self, now_s: float) -> Drifts:
        """Return this member's sequential tests, overdue attempts included."""
        return self.tests.drifts(now_s) + Drifts(slow=self.overdue * self.overdue_ratio)

    def own_long(self, now_s: float) -> Counts:
        """Return this member's long window, overdue attempts included."""
        return self.long.counts_with(self.overdue, self.overdue_slowness, now_s)

    def is_quiet(self) -> bool:
        """Return whether nothing that this member observed can speak against the upstream.

        Almost every answer of a healthy service ends here: the fading, which only lowers what is
        compared, is left out.
        """
        return self.failing_since_s is None and self.tests.most <= _QUIET_DRIFT

    def worth_telling(self, now_s: float) -> bool:
        """Return whether the group should know of this member's observations at once."""
        return _worth_telling(self.short.counts(now_s), self.own_drifts(now_s))

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

    def members_drifts(self, generation: int, now_s: float) -> list[Drifts]:
        """Return each member's sequential tests, this member's first."""
        peers = self._current(generation, now_s)
        return [self.own_drifts(now_s), *(peer.drifts.after(now_s - peer.at_s) for peer in peers)]

    def pooled_short(self, generation: int, now_s: float) -> Counts:
        """Return the group's short window."""
        return sum(self.members_short(generation, now_s), NOTHING)

    def pooled_long(self, generation: int, now_s: float) -> Counts:
        """Return the group's long window."""
        return sum(self.members_long(generation, now_s), NOTHING)

    def _current(self, generation: int, now_s: float) -> list[PeerObservation]:
        """Return what peers observed since the last ejection and not too long ago."""
        return [
            peer
            for peer in self.peers.values()
            if peer.generation >= generation and now_s - peer.at_s <= _STALE_S
        ]


def _worth_telling(short: Counts, drifts: Drifts) -> bool:
    most = max(drifts.frequent, drifts.rare, drifts.slow)
    return short.failures >= _URGENT_FAILURES or most >= _URGENT_DRIFT
