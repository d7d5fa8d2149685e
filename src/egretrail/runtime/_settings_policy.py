"""Intervals, counts and sizes of the settings protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsPolicy:
    """How often and with how many peers an instance exchanges settings.

    The values are sized for 73,000 changes a day on 3,500 instances, within 9 KB/s of control
    traffic for each. They bound how long an instance serves with old settings after a change.
    """

    #: Peers that a new change is forwarded to. With four, about 2 in 100 instances receive nothing
    #: and learn of it by comparing. Each further peer costs one message per instance and change.
    fanout: int = 4
    #: Mean time between comparisons with a random peer. It bounds the delay after a lost message,
    #: within the 6 s in which a change has to reach all instances.
    compare_interval_s: float = 1.0
    #: How long a watch waits in the store. Each renewal costs a read there, and until a watch ends
    #: nothing confirms that the store still answers.
    watch_wait_s: float = 10.0
    #: Pause between watches. A burst of changes arrives in one reply, and all watchers together
    #: send at most about 300 requests a second.
    watch_pause_s: float = 0.05
    #: How often an instance checks whether it is a watcher; a check is a pass over the fleet.
    watcher_check_s: float = 5.0
    #: Pause after a store failure, jittered.
    retry_s: float = 1.0
    #: An instance whose settings the store has not confirmed for this long polls the store itself.
    stale_after_s: float = 30.0
    #: Such polls a second from the whole fleet: a fortieth of the reads that the store serves.
    polls_per_s: float = 50.0
    #: Caught-up peers that a new instance must agree with while the store is unreachable.
    catch_up_peers: int = 3
    #: Availability zones that these peers must be in.
    catch_up_zones: int = 2
    #: Peers asked in one round of catching up.
    catch_up_asked: int = 12
    #: After this long fewer peers suffice, if no more can be reached.
    few_peers_after_s: float = 5.0
    #: A loop that wakes up this much too late shows that the process was paused. The instance then
    #: catches up before it serves again.
    paused_s: float = 5.0
    #: Time limit for a peer's reply.
    ask_timeout_s: float = 1.0
    #: Largest size of a difference in one message.
    reply_limit_bytes: int = 128 * 1024
    #: Most marks in one request for differences.
    marks_limit: int = 1000
    #: Runs with more changes than this are not spread; peers get them by comparing.
    spread_limit_changes: int = 64
    #: Instances asked at once whether a change is in force.
    in_force_parallel: int = 64
