"""The instances that are known, and which of them do the tasks that a few do for all."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from egretrail.cluster._instance import Instance, InstanceState
from egretrail.cluster._section import RosterSlice
from egretrail.identity import rendezvous_order, rendezvous_score

#: Time between heartbeats without news.
BEAT_INTERVAL_S = 0.25
#: An instance whose hub heard nothing of it for four beats is taken as gone: it leaves the
#: directory's answers well before callers' connect timeouts of a second pile up.
_BEAT_SILENCE_S = 1.1
#: Instances that a hub lists live as long as it tells anything: hubs tell their zone ten times a
#: second and the others twice. A zone whose hub died has another one after a second.
_LISTED_S = 2.2
#: An instance that is known by another's word only is gone after this silence, unless a hub lists
#: it: a word that is told on and on must not keep a dead instance alive.
_INTRODUCED_S = 1.2
#: Instances with at least this part of the largest one's capacity share a zone's tasks. Where sizes
#: are unlike, small ones have links that the tasks alone would fill.
_STRONG_SHARE = 0.5
#: How long an instance that is gone is remembered: all have taken it as gone by then. Not longer,
#: since a clock that was set back gives a new lifetime a lower number.
_GONE_S = 4.0
#: Instances that are remembered as gone, about 200 bytes each.
_GONE_MAX = 1_000


@dataclass(slots=True)
class _Entry:
    """A living instance."""

    #: What is known of it.
    instance: Instance
    #: When it is taken as gone, unless it is heard of again.
    until_s: float
    #: Whether a hub lists it, in place of another instance's word.
    listed: bool


class Membership:
    """The living instances by address: the own zone's, and of each other zone those its hub lists.

    An instance's own hub hears its beats; all others know it by the hubs' lists.
    """

    def __init__(self, own_address: str, availability_zone: str, own_capacity: float = 1.0) -> None:
        self._own_address = own_address
        self._own_capacity = own_capacity
        self._zone = availability_zone
        self._own_leaving = False
        self._entries: dict[str, _Entry] = {}
        #: The last incarnations of instances that were taken as gone, and when.
        self._gone: dict[str, tuple[int, float]] = {}
        self._orders: dict[str, Sequence[str]] = {}
        #: Called when the staying instances of the own zone changed.
        self.on_change: Callable[[], None] = lambda: None
        #: Until when the listed instances of each zone live on, since their hub does.
        self._zones_until_s: dict[str, float] = {}

    def hear(self, instance: Instance, now_s: float) -> bool:
        """Take an instance whose own beat came; return whether it was unknown."""
        if instance.address == self._own_address:
            return False
        return self._take(instance, now_s + _BEAT_SILENCE_S, listed=True)

    def introduce(self, instance: Instance, now_s: float) -> bool:
        """Take an instance that another one knows; return whether it was unknown."""
        known = instance.address in self._entries or instance.address == self._own_address
        if known or self._is_old_word(instance, now_s):
            return False
        return self._take(instance, now_s + _INTRODUCED_S, listed=False)

    def take_roster(
        self, availability_zone: str, roster: RosterSlice, now_s: float
    ) -> Sequence[Instance]:
        """Take a part of a zone's list; return the instances that were unknown."""
        newcomers = [
            instance
            for instance in roster.instances
            if instance.address != self._own_address
            and self._take(instance, now_s + _LISTED_S, listed=True)
        ]
        if roster.complete:
            named = {instance.address for instance in roster.instances}
            self._drop_unlisted(availability_zone, roster, named, now_s)
        return newcomers

    def keep(self, availability_zone: str, now_s: float) -> None:
        """Let a zone's listed instances live on, since its hub does."""
        self._zones_until_s[availability_zone] = now_s + _LISTED_S

    def expire(self, now_s: float) -> Sequence[Instance]:
        """Remove and return the instances that were silent for too long."""
        gone = [one for one in self._entries.values() if self._ends_s(one) <= now_s]
        for entry in gone:
            self._remove(entry.instance, now_s)
        return [entry.instance for entry in gone]

    def postpone(self, pause_s: float) -> None:
        """Let all live on for the time in which this instance itself did not run."""
        for entry in self._entries.values():
            entry.until_s += pause_s
        for zone in self._zones_until_s:
            self._zones_until_s[zone] += pause_s

    def leave(self) -> None:
        """Give up this instance's own tasks: it is stopping."""
        self._own_leaving = True
        self._orders.clear()

    def set_own_capacity(self, capacity: float) -> None:
        """Take a changed capacity of this instance."""
        if capacity != self._own_capacity:
            self._own_capacity = capacity
            self._changed(self._zone)

    def instances(self) -> Iterable[Instance]:
        """Return all living instances but this one."""
        return [entry.instance for entry in self._entries.values()]

    def named(self, address: str) -> Instance | None:
        """Return a living instance; None for an address that is not known."""
        entry = self._entries.get(address)
        return None if entry is None else entry.instance

    def zone_instances(self, availability_zone: str) -> Sequence[Instance]:
        """Return the living instances of a zone but this one."""
        return [
            entry.instance
            for entry in self._entries.values()
            if entry.instance.availability_zone == availability_zone
        ]

    def strangers(self) -> Sequence[str]:
        """Return instances of the own zone that another one named and no hub lists here."""
        return [
            address
            for address, entry in self._entries.items()
            if not entry.listed and entry.instance.availability_zone == self._zone
        ]

    def zones(self) -> set[str]:
        """Return the zones of all living instances and the own."""
        return {one.instance.availability_zone for one in self._entries.values()} | {self._zone}

    def order(self, availability_zone: str) -> Sequence[str]:
        """Return a zone's instances: the hub first, then who takes over when it is gone."""
        order = self._orders.get(availability_zone)
        if order is None:
            members = self._staying(availability_zone)
            hashed = rendezvous_order(f"hub {availability_zone}", members)
            strongest = max((self._capacity(address) for address in members), default=0.0)
            strong = strongest * _STRONG_SHARE
            # The sort keeps the order among equals.
            order = sorted(hashed, key=lambda address: self._capacity(address) < strong)
            self._orders[availability_zone] = order
        return order

    def own_rank(self) -> int:
        """Return this instance's place in its zone's order; 0 is the hub."""
        order = self.order(self._zone)
        return order.index(self._own_address) if self._own_address in order else len(order)

    def size(self) -> int:
        """Return the number of living instances that are known, with this one."""
        return len(self._entries) + 1

    def zone_size(self) -> int:
        """Return the number of living instances of the own zone with this one."""
        return len(self.zone_instances(self._zone)) + 1

    def rank_for(self, task: str, availability_zone: str) -> int:
        """Return this instance's place for a task of a zone; others follow the zone's own."""
        members = self._staying(availability_zone)
        if availability_zone == self._zone or not members:
            return self._rank_among(task, members)
        return len(members) + self._rank_among(task, self._staying(self._zone))

    def _rank_among(self, task: str, members: Iterable[str]) -> int:
        own = (-rendezvous_score(task, self._own_address), self._own_address)
        return sum(
            (-rendezvous_score(task, member), member) < own
            for member in members
            if member != self._own_address
        )

    def _take(self, instance: Instance, until_s: float, *, listed: bool) -> bool:
        entry = self._entries.get(instance.address)
        if entry is None:
            self._entries[instance.address] = _Entry(instance, until_s, listed)
            self._changed(instance.availability_zone)
            return True
        if entry.instance != instance:
            entry.instance = instance
            self._changed(instance.availability_zone)
        entry.until_s = max(entry.until_s, until_s)
        entry.listed = listed
        return False

    def _drop_unlisted(
        self, availability_zone: str, roster: RosterSlice, named: set[str], now_s: float
    ) -> None:
        for instance in self.zone_instances(availability_zone):
            in_part = address_part(instance.address, roster.of) == roster.number
            entry = self._entries[instance.address]
            if in_part and entry.listed and instance.address not in named:
                self._remove(instance, now_s)

    def _remove(self, instance: Instance, now_s: float) -> None:
        del self._entries[instance.address]
        self._gone.pop(instance.address, None)
        self._gone[instance.address] = (instance.incarnation, now_s)
        if len(self._gone) > _GONE_MAX:
            del self._gone[next(iter(self._gone))]
        self._changed(instance.availability_zone)

    def _changed(self, availability_zone: str) -> None:
        self._orders.pop(availability_zone, None)
        if availability_zone == self._zone:
            self.on_change()

    def _ends_s(self, entry: _Entry) -> float:
        """Return when an instance is taken as gone."""
        if not entry.listed:
            return entry.until_s
        return max(entry.until_s, self._zones_until_s.get(entry.instance.availability_zone, 0.0))

    def _is_old_word(self, instance: Instance, now_s: float) -> bool:
        """Return whether a word is an old one of a dead instance, told on by another."""
        gone = self._gone.get(instance.address)
        if gone is None or now_s - gone[1] > _GONE_S:
            return False
        return instance.incarnation <= gone[0]

    def _capacity(self, address: str) -> float:
        entry = self._entries.get(address)
        return self._own_capacity if entry is None else entry.instance.capacity

    def _staying(self, availability_zone: str) -> list[str]:
        staying = [
            instance.address
            for instance in self.zone_instances(availability_zone)
            if instance.state is not InstanceState.LEAVING
        ]
        if availability_zone == self._zone and not self._own_leaving:
            staying.append(self._own_address)
        return staying


def address_part(address: str, of: int) -> int:
    """Return to which of some parts of a list an address belongs."""
    return int(address.rpartition(".")[2]) % of
