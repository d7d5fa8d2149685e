"""The periods and limits of the membership protocol."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTuning:
    """Periods and limits; the defaults keep a node's cost the same at 44 and 3,500 instances."""

    #: One peer is probed in each interval.
    probe_interval_s: float = 1.0
    #: How long a probe's answer is waited for before others are asked.
    probe_timeout_s: float = 0.5
    #: Others that are asked to probe when the own probe failed.
    indirect_probes: int = 3
    #: Peers that an instance probes in turn. Bounds its streams at any fleet size; with 24 the
    #: chance that nobody probes some instance is below 1e-10 at 3,500.
    probe_set_size: int = 24
    #: Rumours that ride on one message. Bounds a heartbeat to about 2 KB.
    rumours_per_message: int = 6
    #: Times each rumour is passed on, for each decimal digit of the fleet's size.
    retransmit_factor: int = 3
    #: Shortest suspicion, in probe intervals for each decimal digit of the fleet's size.
    suspicion_factor: float = 2.0
    #: A suspicion that nobody else confirms lasts this many times the shortest.
    suspicion_stretch: float = 3.0
    #: Accusers beyond the first that bring a suspicion down to its shortest.
    confirmations: int = 2
    #: A slow observer multiplies its timeouts by up to this.
    slowness_limit: int = 8
    #: How often tables are compared with a random peer.
    sync_interval_s: float = 10.0
    #: Rumours in one answer to a comparison.
    sync_rumours: int = 128
    #: The platform's list never lags more than this, as far as the operators know.
    list_lag_s: float = 60.0
    #: A process that the list no longer shows counts as gone after this long, never sooner.
    absent_s: float = 30.0
    #: How long the names of gone processes are remembered.
    tombstone_s: float = 3600.0
    #: A member that comes back waits this long before it is in groups again, twice as long for
    #: each further return.
    return_hold_s: float = 5.0
    #: No return is held back for longer than this.
    return_hold_limit_s: float = 120.0

    def digits(self, members: int) -> int:
        """Return the decimal digits of the fleet's size, by which dissemination is stretched."""
        return max(1, math.ceil(math.log10(members + 1)))

    def shortest_suspicion_s(self, members: int) -> float:
        """Return how long a confirmed suspicion lasts."""
        return self.suspicion_factor * self.digits(members) * self.probe_interval_s
