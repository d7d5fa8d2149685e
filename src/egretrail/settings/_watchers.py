"""Selects the instances that watch the store for changes."""

from collections.abc import Mapping

from egretrail.identity import AvailabilityZone, InstanceName, rendezvous_order

#: Watchers in each zone of a fleet with few zones: two, so that one stalled watcher causes no
#: delay.
_WATCHERS_PER_ZONE_OF_FEW = 2
#: With more zones than this, watchers in other zones replace one that has stalled.
_FEW_ZONES = 4
#: Most zones with a watcher: the store counts every pending watch as a call, and its rate limits
#: grow slowly with the fleet.
_MAX_ZONES_WITH_WATCHER = 16


def is_store_watcher(own: InstanceName, members: Mapping[InstanceName, AvailabilityZone]) -> bool:
    """Return whether an instance watches the store.

    With few zones each zone has two watchers, otherwise one. Each instance decides from its own
    view of the members. If views differ, there are temporarily more or fewer watchers; with fewer,
    comparisons between instances distribute the changes. Only the members of the instance's own
    zone are ranked, about a tenth of a large fleet.
    """
    own_zone = members[own]
    zones = set(members.values())
    if own_zone not in rendezvous_order("settings-watch", zones)[:_MAX_ZONES_WITH_WATCHER]:
        return False
    candidates = [name for name, zone in members.items() if zone == own_zone]
    watcher_count = _WATCHERS_PER_ZONE_OF_FEW if len(zones) <= _FEW_ZONES else 1
    return own in rendezvous_order(f"settings-watch/{own_zone}", candidates)[:watcher_count]
