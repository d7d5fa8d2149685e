"""Which instances keep the store's watch."""

from collections.abc import Mapping

from egretrail.identity import AvailabilityZone, InstanceName, rendezvous_order

#: With few zones two watchers each, so that one that is frozen costs no time.
_WATCHERS_IN_FEW_ZONES = 2
#: With more zones than this, the zones stand in for each other.
_FEW_ZONES = 4
#: Zones with a watcher: the store counts each waiting watch, and its rates grow slowly.
_ZONES_LIMIT = 16


def is_watcher(own: InstanceName, members: Mapping[InstanceName, AvailabilityZone]) -> bool:
    """Return whether an instance watches: two in each zone of a few, else one.

    Each instance works this out from its own view. Views that differ only make a few more
    instances watch, or fewer for a while; comparisons then carry the changes. Only the instance's
    own zone is ranked, which costs a tenth of the fleet's size rather than all of it.
    """
    own_zone = members[own]
    zones = set(members.values())
    if own_zone not in rendezvous_order("settings-watch", zones)[:_ZONES_LIMIT]:
        return False
    rivals = [name for name, zone in members.items() if zone == own_zone]
    each = _WATCHERS_IN_FEW_ZONES if len(zones) <= _FEW_ZONES else 1
    return own in rendezvous_order(f"settings-watch/{own_zone}", rivals)[:each]
