"""How long answers are honoured, and how long a holder waits for them to run out."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RightsTiming:
    """Durations; only their length is compared across instances, never a point in time."""

    #: An answer is honoured for this long, counted from when its question was sent. A bad upstream
    #: is back in service that long after its holder was last heard: long enough to bridge two lost
    #: exchanges, short enough that a dead holder's ejection soon ends.
    validity_s: float = 5.0
    #: Two instances' clocks gain on each other by no more than this share.
    drift_share: float = 0.02
    #: Added to each wait, for the resolution of clocks.
    margin_s: float = 0.25
    #: A process takes over no right from a peer until it has run for this long: longer than the
    #: platform's list lags, so that whoever may hold a right is on the list that a reissuer reads.
    warm_up_s: float = 120.0
    #: Collecting the promises for a reissue takes no longer than this, or starts again; must be
    #: well below ``warm_up_s`` less the list's lag.
    reissue_window_s: float = 10.0

    @property
    def wait_s(self) -> float:
        """Return how long after its last answer a holder knows that nobody honours it."""
        return self.validity_s * (1.0 + self.drift_share) + self.margin_s
