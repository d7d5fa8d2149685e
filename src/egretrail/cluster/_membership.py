"""The living instances of the fleet, and the instances that perform a task for all of them."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from egretrail.cluster._instance import Instance, InstanceState
from egretrail.cluster._section import RosterSlice
from egretrail.identity import rendezvous_order, rendezvous_score

#: The interval of heartbeats while there are no updates.
HEARTBEAT_INTERVAL_S = 0.25
#: An instance whose hub received none of four heartbeats is taken as failed. It then leaves the
#: directory's responses well before callers accumulate connect timeouts of a second.
_HEARTBEAT_TIMEOUT_S = 1.1
#: Instances in a hub's roster stay alive while sections of the hub arrive. Hubs send to their zone
#: ten times a second and to the others twice. A zone whose hub failed has another one after a
#: second.
_LISTED_TIMEOUT_S = 2.2
#: An instance known by introduction only is removed after this time unless a hub lists it: an
#: introduction that is relayed repeatedly must not keep a failed instance alive.
_INTRODUCTION_TIMEOUT_S = 1.2
#: Instances with at least this fraction of the largest capacity are preferred for a zone's tasks.
#: In a zone of unequal instances, the tasks alone would saturate the links of the small ones.
_STRONG_SHARE = 0.5
#: How long a removed instance is remembered. All peers have removed it by then. A longer time would
#: reject a new incarnation with a lower number after a clock was set back.
_REMOVED_MEMORY_S = 4.0
#: Maximum removed instances that are remembered, about 200 bytes each.
_REMOVED_MAX = 1_000


@dataclass(slots=True)
class _Entry:
    """A living instance."""

    #: The description of the instance.
    instance: Instance
    #: When the instance is removed unless it is reported again.
    deadline_s: float
    #: Whether a hub lists the instance or its own heartbeat was received. Otherwise it is known by
    #: introduction only.
    is_listed: bool


class Membership:
    """The living instances by address.

    They are the instances of the own zone, and those that the hubs of other zones list. A hub
    receives the heartbeats of its zone's instances; all others know an instance by the hubs'
    rosters.
    """

    def __init__(self, own_address: str, availability_zone: str, own_capacity: float = 1.0) -> None:
        self._own_address = own_address
        self._own_capacity = own_capacity
        self._zone = availability_zone
        self._is_withdrawn = False
        self._entries: dict[str, _Entry] = {}
        #: The incarnations of removed instances, and when they were removed.
        self._removed: dict[str, tuple[int, float]] = {}
        self._orders: dict[str, Sequence[str]] = {}
        #: The isolated instances of each zone, as its hub reported them last.
        self._isolated: dict[str, frozenset[str]] = {}
        #: Called when the instances of the own zone that are not leaving changed.
        self.on_change: Callable[[], None] = lambda: None
        #: The deadline of the listed instances of each zone, which sections of its hub extend.
        self._zone_deadlines_s: dict[str, float] = {}

    def record_heartbeat(self, instance: Instance, now_s: float) -> bool:
        """Record an instance whose own heartbeat was received; return whether it was unknown."""
        if instance.address == self._own_address:
            return False
        return self._record(instance, now_s + _HEARTBEAT_TIMEOUT_S, is_listed=True)

    def record_introduction(self, instance: Instance, now_s: float) -> bool:
        """Record an instance that another one introduced; return whether it was unknown."""
        known = instance.address in self._entries or instance.address == self._own_address
        if known or self._is_outdated(instance, now_s):
            return False
        return self._record(instance, now_s + _INTRODUCTION_TIMEOUT_S, is_listed=False)

    def apply_roster(
        self, availability_zone: str, roster: RosterSlice, now_s: float
    ) -> Sequence[Instance]:
        """Apply a slice of a zone's roster; return the instances that were unknown."""
        newcomers = [
            instance
            for instance in roster.instances
            if instance.address != self._own_address
            and self._record(instance, now_s + _LISTED_TIMEOUT_S, is_listed=True)
        ]
        if roster.complete:
            listed = {instance.address for instance in roster.instances}
            self._remove_unlisted(availability_zone, roster, listed, now_s)
        return newcomers

    def extend_zone(self, availability_zone: str, now_s: float) -> None:
        """Extend the deadline of a zone's listed instances, since its hub is alive."""
        self._zone_deadlines_s[availability_zone] = now_s + _LISTED_TIMEOUT_S

    def remove_silent(self, now_s: float) -> Sequence[Instance]:
        """Remove and return the instances whose deadline has passed."""
        removed = [entry for entry in self._entries.values() if self._deadline_s(entry) <= now_s]
        for entry in removed:
            self._remove(entry.instance, now_s)
        return [entry.instance for entry in removed]

    def extend_deadlines(self, pause_s: float) -> None:
        """Extend all deadlines by the time in which this process was paused."""
        for entry in self._entries.values():
            entry.deadline_s += pause_s
        for zone in self._zone_deadlines_s:
            self._zone_deadlines_s[zone] += pause_s

    def withdraw(self) -> None:
        """Withdraw this instance from the tasks of its zone, since it is stopping."""
        self._is_withdrawn = True
        self._orders.clear()

    def set_isolated(self, availability_zone: str, addresses: Iterable[str]) -> None:
        """Set the instances of a zone that reach no upstream."""
        isolated = frozenset(addresses)
        if isolated != self._isolated.get(availability_zone, frozenset()):
            self._isolated[availability_zone] = isolated
            if availability_zone == self._zone:
                self.on_change()

    def isolated(self) -> frozenset[str]:
        """Return the addresses of all instances that reach no upstream."""
        return frozenset().union(*self._isolated.values())

    def set_own_capacity(self, capacity: float) -> None:
        """Set the capacity of this instance."""
        if capacity != self._own_capacity:
            self._own_capacity = capacity
            self._invalidate_order(self._zone)

    def instances(self) -> Iterable[Instance]:
        """Return all living instances except this one."""
        return [entry.instance for entry in self._entries.values()]

    def find_by_address(self, address: str) -> Instance | None:
        """Return the living instance with an address; None for an unknown address."""
        entry = self._entries.get(address)
        return None if entry is None else entry.instance

    def zone_instances(self, availability_zone: str) -> Sequence[Instance]:
        """Return the living instances of a zone except this one."""
        return [
            entry.instance
            for entry in self._entries.values()
            if entry.instance.availability_zone == availability_zone
        ]

    def unlisted_instances(self) -> Sequence[str]:
        """Return the addresses of instances of the own zone that are known by introduction only."""
        return [
            address
            for address, entry in self._entries.items()
            if not entry.is_listed and entry.instance.availability_zone == self._zone
        ]

    def zones(self) -> set[str]:
        """Return the zones of all living instances, including the own zone."""
        return {entry.instance.availability_zone for entry in self._entries.values()} | {self._zone}

    def hub_order(self, availability_zone: str) -> Sequence[str]:
        """Return the hub order of a zone: the hub first, then its successors."""
        order = self._orders.get(availability_zone)
        if order is None:
            members = self._candidates(availability_zone)
            hashed = rendezvous_order(f"hub {availability_zone}", members)
            strongest = max((self._capacity(address) for address in members), default=0.0)
            strong = strongest * _STRONG_SHARE
            # The sort is stable: instances of equal strength stay in rendezvous order.
            order = sorted(hashed, key=lambda address: self._capacity(address) < strong)
            self._orders[availability_zone] = order
        return order

    def own_rank(self) -> int:
        """Return the rank of this instance in the hub order of its zone; 0 is the hub."""
        order = self.hub_order(self._zone)
        return order.index(self._own_address) if self._own_address in order else len(order)

    def size(self) -> int:
        """Return the number of living instances, including this one."""
        return len(self._entries) + 1

    def zone_size(self) -> int:
        """Return the number of living instances of the own zone, including this one."""
        return len(self.zone_instances(self._zone)) + 1

    def connected_zone_size(self) -> int:
        """Return the number of living instances of the own zone that reach upstreams.

        It includes this instance, whose position matters only while it reaches them.
        """
        isolated = self._isolated.get(self._zone, frozenset()) - {self._own_address}
        others = self.zone_instances(self._zone)
        return sum(instance.address not in isolated for instance in others) + 1

    def connected_zone_addresses(self) -> Sequence[str]:
        """Return the addresses of the own zone's instances that take tasks and reach upstreams."""
        return self._connected_candidates(self._zone)

    def task_rank(self, task: str, availability_zone: str) -> int:
        """Return this instance's rank for a task of a zone that needs network paths to upstreams.

        Instances of other zones rank after the zone's own. Isolated instances have no rank.
        """
        members = self._connected_candidates(availability_zone)
        if availability_zone == self._zone or not members:
            return self._rank_among(task, members)
        return len(members) + self._rank_among(task, self._connected_candidates(self._zone))

    def _rank_among(self, task: str, members: Iterable[str]) -> int:
        own = (-rendezvous_score(task, self._own_address), self._own_address)
        return sum(
            (-rendezvous_score(task, member), member) < own
            for member in members
            if member != self._own_address
        )

    def _record(self, instance: Instance, deadline_s: float, *, is_listed: bool) -> bool:
        entry = self._entries.get(instance.address)
        if entry is None:
            self._entries[instance.address] = _Entry(instance, deadline_s, is_listed)
            self._invalidate_order(instance.availability_zone)
            return True
        if entry.instance != instance:
            entry.instance = instance
            self._invalidate_order(instance.availability_zone)
        entry.deadline_s = max(entry.deadline_s, deadline_s)
        entry.is_listed = is_listed
        return False

    def _remove_unlisted(
        self, availability_zone: str, roster: RosterSlice, listed: set[str], now_s: float
    ) -> None:
        for instance in self.zone_instances(availability_zone):
            in_slice = roster_slice_index(instance.address, roster.total) == roster.index
            entry = self._entries[instance.address]
            if in_slice and entry.is_listed and instance.address not in listed:
                self._remove(instance, now_s)

    def _remove(self, instance: Instance, now_s: float) -> None:
        del self._entries[instance.address]
        self._removed.pop(instance.address, None)
        self._removed[instance.address] = (instance.incarnation, now_s)
        if len(self._removed) > _REMOVED_MAX:
            del self._removed[next(iter(self._removed))]
        self._invalidate_order(instance.availability_zone)

    def _invalidate_order(self, availability_zone: str) -> None:
        self._orders.pop(availability_zone, None)
        if availability_zone == self._zone:
            self.on_change()

    def _deadline_s(self, entry: _Entry) -> float:
        """Return the deadline of an instance."""
        if not entry.is_listed:
            return entry.deadline_s
        return max(
            entry.deadline_s, self._zone_deadlines_s.get(entry.instance.availability_zone, 0.0)
        )

    def _is_outdated(self, instance: Instance, now_s: float) -> bool:
        """Return whether an introduction describes an incarnation that was already removed."""
        removed = self._removed.get(instance.address)
        if removed is None or now_s - removed[1] > _REMOVED_MEMORY_S:
            return False
        return instance.incarnation <= removed[0]

    def _capacity(self, address: str) -> float:
        entry = self._entries.get(address)
        return self._own_capacity if entry is None else entry.instance.capacity

    def _connected_candidates(self, availability_zone: str) -> list[str]:
        isolated = self._isolated.get(availability_zone, frozenset())
        return [one for one in self._candidates(availability_zone) if one not in isolated]

    def _candidates(self, availability_zone: str) -> list[str]:
        candidates = [
            instance.address
            for instance in self.zone_instances(availability_zone)
            if instance.state is not InstanceState.LEAVING
        ]
        if availability_zone == self._zone and not self._is_withdrawn:
            candidates.append(self._own_address)
        return candidates


def roster_slice_index(address: str, of: int) -> int:
    """Return the index of the roster slice to which an address belongs."""
    return int(address.rpartition(".")[2]) % of
