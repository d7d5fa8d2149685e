"""Which instances keep the store's watch."""

from collections.abc import Mapping

from egretrail.identity import AvailabilityZone, InstanceName, rendezvous_order

#: With few zones two watchers each, so that one that is frozen costs no time.
_WATCHERS_IN_FEW_ZONES = 2
#: With more zones than this, the zones stand in for each other.
_FEW_ZONES = 4
#: Watchers in all: the store counts each waiting watch, and its rates grow slowly.
_WATCHERS_LIMIT = 16


def watchers(members: Mapping[InstanceName, AvailabilityZone]) -> set[InstanceName]:
    """Return the members that watch, two in each zone of a few, else one.

    Each instance works this out from its own view. Views that differ only make a few more
    instances watch, or fewer for a while; comparisons then carry the changes.
    """
    zones: dict[AvailabilityZone, list[InstanceName]] = {}
    for member, home in members.items():
        zones.setdefault(home, []).append(member)
    each = _WATCHERS_IN_FEW_ZONES if len(zones) <= _FEW_ZONES else 1
    chosen: set[InstanceName] = set()
    for zone in rendezvous_order("settings-watch", zones)[:_WATCHERS_LIMIT]:
        order = rendezvous_order(f"settings-watch/{zone}", zones[AvailabilityZone(zone)])
        chosen.update(InstanceName(name) for name in order[:each])
    return chosen
