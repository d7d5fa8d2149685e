"""Times, counts and sizes of the settings' protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsPolicy:
    """How often and with how many others an instance speaks about settings.

    Load: 73,000 changes a day on 3,500 instances, within 9 KB/s of control traffic each. Harm
    prevented: an instance that serves by old settings after a change was accepted.
    """

    #: Peers that a new change is passed on to. With four, about 2 in 100 instances hear nothing
    #: and learn by comparing; each more costs the fleet one message an instance and change.
    fanout: int = 4
    #: Mean time between comparisons with a random peer: what a lost message costs at most, within
    #: the 6 s that a change may take everywhere.
    compare_interval_s: float = 1.0
    #: How long a watch waits in the store; each renewal is a read there, and until it ends nothing
    #: confirms that the store still answers.
    watch_wait_s: float = 10.0
    #: Pause between watches. Bursts of changes arrive in one answer, and all watchers together ask
    #: at most some 300 times a second.
    watch_pause_s: float = 0.05
    #: How often an instance looks whether the watch falls to it; it costs a pass over the fleet.
    watcher_check_s: float = 5.0
    #: Pause after a failure of the store, jittered.
    retry_s: float = 1.0
    #: An instance whose settings the store has not confirmed for this long asks the store itself.
    stale_after_s: float = 30.0
    #: Such questions a second from the whole fleet: a fortieth of the store's reads.
    polls_per_s: float = 50.0
    #: Caught-up peers that a new instance has to agree with while the store is out.
    catch_up_peers: int = 3
    #: Availability zones that these have to be in.
    catch_up_zones: int = 2
    #: Peers asked in one round of catching up.
    catch_up_asked: int = 12
    #: After this long fewer peers suffice, when no more can be reached.
    few_peers_after_s: float = 5.0
    #: A loop that wakes this much too late was paused, and catches up before it serves on.
    paused_s: float = 5.0
    #: How long a peer's reply is waited for.
    ask_timeout_s: float = 1.0
    #: Largest part of a difference in one message.
    reply_limit_bytes: int = 128 * 1024
    #: Most marks in one question about differences.
    marks_limit: int = 1000
    #: Runs with more changes than this are left to comparisons.
    spread_limit_changes: int = 64
    #: Instances asked at once whether a change is in force.
    in_force_parallel: int = 64
