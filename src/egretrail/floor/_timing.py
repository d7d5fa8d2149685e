"""How long replies are honoured, and how long a holder waits until they have expired."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RightsTiming:
    """Durations of the protocol.

    Instances compare only durations with each other, never points in time.
    """

    #: A reply is honoured for this long from when its request was sent. An ejected upstream returns
    #: to service when its holder has not replied for this time: long enough to bridge two lost
    #: exchanges, short enough that a dead holder's ejection soon ends.
    validity_s: float = 5.0
    #: Upper limit on the relative drift between two instances' clocks.
    drift_share: float = 0.02
    #: Added to each wait because of the clocks' resolution.
    margin_s: float = 0.25
    #: A process takes over no right from a peer until it has run for this long. The time is longer
    #: than the lag of the platform's instance list, so that every possible holder of a right is on
    #: the list that a reissuing instance reads.
    warm_up_s: float = 120.0
    #: The promises for a reissue are collected within this time, or collecting starts again. Must
    #: be well below ``warm_up_s`` minus the list's lag.
    reissue_window_s: float = 10.0

    @property
    def wait_s(self) -> float:
        """Return the time after which a holder's last reply is no longer honoured anywhere."""
        return self.validity_s * (1.0 + self.drift_share) + self.margin_s
