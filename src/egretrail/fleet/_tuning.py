"""Intervals and limits of the membership protocol."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTuning:
    """Intervals and limits; by default the cost of an instance is the same at 44 and at 3,500."""

    #: One peer is probed in each interval.
    probe_interval_s: float = 1.0
    #: Time to wait for the response to a probe before indirect probes start.
    probe_timeout_s: float = 0.5
    #: Number of helpers for indirect probes after a direct probe failed.
    indirect_probes: int = 3
    #: Number of peers that an instance probes. Bounds its streams at any fleet size; with 24, the
    #: probability that some instance is probed by no other is below 1e-10 at 3,500.
    probe_set_size: int = 24
    #: Maximum number of rumours in one message. Bounds a probe message to about 2 KB.
    rumours_per_message: int = 6
    #: Transmissions of each rumour, for each decimal digit of the fleet size.
    retransmit_factor: int = 3
    #: Shortest suspicion, in probe intervals for each decimal digit of the fleet size.
    suspicion_factor: float = 2.0
    #: Duration of an unconfirmed suspicion, as a multiple of the shortest.
    suspicion_stretch: float = 3.0
    #: Number of accusers beyond the first that reduces a suspicion to its shortest duration.
    confirmations: int = 2
    #: Maximum factor by which a slow observer extends its timeouts.
    slowness_limit: int = 8
    #: Interval of the table comparison with a random peer.
    sync_interval_s: float = 10.0
    #: Maximum number of rumours in one ``SyncReply``.
    sync_rumours: int = 128
    #: Maximum lag of the platform's list, as far as the operators know.
    list_lag_s: float = 60.0
    #: Time of absence from the list after which a process counts as ended, never sooner.
    absent_s: float = 30.0
    #: Retention of the tombstones of ended processes.
    tombstone_s: float = 3600.0
    #: Exclusion from groups of a member that returned, doubled at each further return.
    return_hold_s: float = 5.0
    #: Maximum exclusion of a member that returned.
    return_hold_limit_s: float = 120.0

    def digits(self, members: int) -> int:
        """Return the number of decimal digits of the fleet size, which scales dissemination."""
        return max(1, math.ceil(math.log10(members + 1)))

    def shortest_suspicion_s(self, members: int) -> float:
        """Return how long a confirmed suspicion lasts."""
        return self.suspicion_factor * self.digits(members) * self.probe_interval_s
