"""Introduces instances to peers that may not know them."""

from collections import Counter
from collections.abc import Callable, Sequence

from egretrail.cluster import Instance, Introduction, encode_introduction
from egretrail.gateway._view import FleetView

#: The minimum interval between two introductions in reply to the same instance.
_INTERVAL_S = 0.2
#: The number of instances that an introduction names of the receiver's zone, and of each other
#: zone.
_SAME_ZONE_MAX, _OTHER_ZONE_MAX = 60, 3
#: The number of remembered receivers; forgetting them costs one more reply each.
_REPLIED_MAX = 1_000


class Introducer:
    """Sends introductions, and counts their bytes to other zones."""

    def __init__(
        self,
        view: FleetView,
        send: Callable[[bytes, str], None],
        cross_zone_bytes: Counter[str],
    ) -> None:
        self._view = view
        self._send = send
        self._cross_zone_bytes = cross_zone_bytes
        self._replied_s: dict[str, float] = {}

    def reply(self, address: str, availability_zone: str, now_s: float) -> None:
        """Introduce instances of the receiver's zone, and some of each other zone."""
        if now_s - self._replied_s.get(address, float("-inf")) < _INTERVAL_S:
            return
        if len(self._replied_s) >= _REPLIED_MAX:
            self._replied_s.clear()
        self._replied_s[address] = now_s
        self.introduce(self._instances_for(availability_zone), address)

    def introduce(self, instances: Sequence[Instance], target: str) -> None:
        """Introduce some instances, and this one, to a peer."""
        view = self._view
        introduction = Introduction(
            view.own_instance(), view.config_version, view.upstreams.revision, instances
        )
        known = view.membership.find_by_address(target)
        is_cross_zone = known is None or known.availability_zone != view.own_zone
        for data in encode_introduction(introduction):
            if is_cross_zone:
                self._cross_zone_bytes["introductions"] += len(data)
            self._send(data, target)

    def _instances_for(self, availability_zone: str) -> Sequence[Instance]:
        membership = self._view.membership
        introduced: list[Instance] = []
        for zone in membership.zones():
            count = _SAME_ZONE_MAX if zone == availability_zone else _OTHER_ZONE_MAX
            known = [
                membership.find_by_address(address)
                for address in membership.hub_order(zone)[:count]
            ]
            introduced += [instance for instance in known if instance is not None]
        return introduced
