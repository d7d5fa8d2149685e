"""Tells instances of others that they may not know."""

from collections import Counter
from collections.abc import Callable, Sequence

from egretrail.cluster import Instance, Introduction, encode_introduction
from egretrail.gateway._view import FleetView

#: The same instance is answered with an introduction at most this often.
_INTERVAL_S = 0.2
#: An introduction names so many instances of the receiver's zone, and of each other zone.
_NEAR_MAX, _FAR_MAX = 60, 3
#: Instances that are remembered as answered; forgetting them costs one more answer each.
_ANSWERED_MAX = 1_000


class Introducer:
    """Sends introductions, and counts their bytes to other zones."""

    def __init__(
        self,
        view: FleetView,
        send: Callable[[bytes, str], None],
        bytes_across: Counter[str],
    ) -> None:
        self._view = view
        self._send = send
        self._bytes_across = bytes_across
        self._answered_s: dict[str, float] = {}

    def answer(self, address: str, availability_zone: str, now_s: float) -> None:
        """Tell an instance whom this one knows of its zone, and some of each other zone."""
        if now_s - self._answered_s.get(address, float("-inf")) < _INTERVAL_S:
            return
        if len(self._answered_s) >= _ANSWERED_MAX:
            self._answered_s.clear()
        self._answered_s[address] = now_s
        self.tell(self._named_to(availability_zone), address)

    def tell(self, instances: Sequence[Instance], target: str) -> None:
        """Name some instances, and this one, to another."""
        view = self._view
        introduction = Introduction(
            view.own_instance(), view.config_version, view.upstreams.revision, instances
        )
        known = view.membership.named(target)
        across = known is None or known.availability_zone != view.own_zone
        for data in encode_introduction(introduction):
            if across:
                self._bytes_across["introductions"] += len(data)
            self._send(data, target)

    def _named_to(self, availability_zone: str) -> Sequence[Instance]:
        membership = self._view.membership
        named: list[Instance] = []
        for zone in membership.zones():
            count = _NEAR_MAX if zone == availability_zone else _FAR_MAX
            known = [membership.named(address) for address in membership.order(zone)[:count]]
            named += [instance for instance in known if instance is not None]
        return named
