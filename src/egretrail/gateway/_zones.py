"""What the hubs of the zones tell this instance, and how fresh it is."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from egretrail.cluster import (
    Beat,
    RosterSlice,
    Scope,
    Section,
    SectionEcho,
    ZoneShare,
    address_part,
    replace_part,
)
from egretrail.dispatch import AccountQuotas, FleetLoad, RepeatBudget, RepeatCounts

#: A zone whose hub told nothing for this long has no loads that are worth anything: most of that
#: work has ended. The hub of the own zone tells ten times a second, the others twice.
_OWN_ZONE_SILENCE_S = 1.0
_ZONE_SILENCE_S = 2.2
#: The time after which a hub's next section is overdue: it grows with the zone as their interval
#: does, and is three times as long.
_LATE_INSTANCE_S = 0.0065
_LATE_MIN_S, _LATE_MAX_S = 0.1, 0.35
#: Other zones whose counts of accounts are overdue: hubs tell them four times a second.
_ZONE_LATE_S = 0.8
#: A hub that was not heard for this long may begin anew with a lower number: a clock was set back.
_FORGOTTEN_S = 4.0
#: Sections that may come in another order than they were sent: those of half a second.
_WINDOW = 16
_WINDOW_MASK = (1 << _WINDOW) - 1


@dataclass(slots=True)
class _Heard:
    """The last section of one hub and scope."""

    #: The hub's lifetime.
    incarnation: int
    #: The highest number of a section.
    sequence: int
    #: The number of the next finding that is news.
    next_finding: int
    #: When it came.
    heard_s: float
    #: Which of the sections before the highest came: the lowest bit is that one.
    seen: int = 1

    def admits(self, sequence: int) -> bool:
        """Take the number of a section; return False for one that came before, or is too old.

        Datagrams of one moment may pass each other.
        """
        ahead = sequence - self.sequence
        if ahead > 0:
            self.seen = (self.seen << min(ahead, _WINDOW) | 1) & _WINDOW_MASK
            self.sequence = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


@dataclass(slots=True)
class _Zone:
    """What one zone told last."""

    #: The address of the hub.
    hub: str
    #: The hub and its lifetime.
    lifetime: str
    #: When it was heard.
    heard_s: float
    #: The instances whose counts are in its sums.
    instances: int
    #: How many of them are in contact with the store.
    store_readers: int
    #: Requests under way by upstream; of other zones only.
    sums: dict[int, int]
    #: Whether counts of repeats were heard of this lifetime, and of which services.
    heard_counts: bool = False
    services: set[str] = field(default_factory=set)


class ZoneSums:
    """Puts the sums of all zones where the decisions look for them.

    What an instance keeps grows with zones and upstreams; of other instances it holds no count.
    """

    def __init__(
        self, own_zone: str, load: FleetLoad, repeats: RepeatBudget, quotas: AccountQuotas
    ) -> None:
        self._own_zone = own_zone
        self._load = load
        self._repeats = repeats
        self._quotas = quotas
        self._share = ZoneShare()
        self._place: int | None = None
        self._zones: dict[str, _Zone] = {}
        self._heard: dict[tuple[str, Scope], _Heard] = {}

    def sent(self, beat: Beat, now_s: float) -> None:
        """Remember a beat of this instance: the own zone's sums will include it."""
        self._share.sent(beat, now_s)

    def told_repeats(self, now_s: float) -> Mapping[str, RepeatCounts]:
        """Return this instance's counts of repeats that the zone has heard of."""
        return self._share.told_repeats(now_s)

    def skipped_findings(self, section: Section, now_s: float) -> int | None:
        """Return how many findings of a section are known; None where all of it is old."""
        key = (section.hub, section.scope)
        heard = self._heard.get(key)
        end = section.first_finding + len(section.findings)
        silent = heard is not None and now_s - heard.heard_s > _FORGOTTEN_S
        if heard is None or silent or heard.incarnation < section.incarnation:
            self._heard[key] = _Heard(section.incarnation, section.sequence, end, now_s)
            return 0
        if heard.incarnation > section.incarnation or not heard.admits(section.sequence):
            return None
        heard.heard_s = now_s
        skip = max(heard.next_finding - section.first_finding, 0)
        heard.next_finding = max(heard.next_finding, end)
        return skip

    def take(self, section: Section, ids: Mapping[int, str], now_s: float) -> None:
        """Take the sums of a section; ``ids`` are the listed upstreams by key."""
        zone = self._zone_of(section, now_s)
        if section.scope is Scope.ZONE:
            self._take_own(section, zone, ids, now_s)
            return
        if section.loads is not None:
            touched = replace_part(zone.sums, section.loads)
            counts = {ids[key]: zone.sums.get(key, 0) for key in touched if key in ids}
            self._load.changed(section.availability_zone, counts, now_s)
        self._quotas.told(zone.lifetime, section.accounts, now_s)
        self._tell_repeats(zone, section.repeats, now_s)
        zone.heard_counts = True

    def find_place(self, roster: RosterSlice, own_address: str) -> None:
        """Look up this instance's place in the acknowledgements of its hub."""
        if address_part(own_address, roster.of) != roster.number:
            return
        # The place of an instance that is not listed any more will be another one's.
        self._place = None
        for instance, place in zip(roster.instances, roster.places, strict=True):
            if instance.address == own_address:
                self._place = place

    def acknowledged_s(self) -> float | None:
        """Return when the newest beat was sent that the followed hub has; None for none."""
        return self._share.acknowledged_s

    def acknowledged_sequence(self) -> int | None:
        """Return the number of the newest beat that the followed hub has; None for none."""
        return self._share.acknowledged_sequence

    def echoes(self) -> Sequence[SectionEcho]:
        """Return the last sections that were heard of the other zones' hubs."""
        return [
            echo
            for name, zone in self._zones.items()
            if name != self._own_zone and (echo := self._echo(zone.hub, Scope.ACROSS)) is not None
        ]

    def own_echo(self) -> SectionEcho | None:
        """Return the last section that was heard of the own zone's hub."""
        zone = self._zones.get(self._own_zone)
        return None if zone is None else self._echo(zone.hub, Scope.ZONE)

    def hub(self, availability_zone: str) -> str | None:
        """Return the hub of a zone that was heard last; None for a silent zone."""
        zone = self._zones.get(availability_zone)
        return None if zone is None else zone.hub

    def heard_s(self, availability_zone: str) -> float:
        """Return when a zone was heard last."""
        zone = self._zones.get(availability_zone)
        return float("-inf") if zone is None else zone.heard_s

    def expire(self, now_s: float) -> Sequence[str]:
        """Drop and return the zones that were silent for too long."""
        silent = [name for name, zone in self._zones.items() if not self._fresh(name, zone, now_s)]
        for name in silent:
            lifetime = self._zones.pop(name).lifetime
            self._repeats.forget(lifetime)
            self._quotas.forget(lifetime)
            self._load.forget(name)
            if name == self._own_zone:
                self._start_anew()
        return silent

    def instances(self, now_s: float) -> int:
        """Return the number of instances whose counts arrive here, this one included."""
        told = 0
        for name, zone in self._zones.items():
            # Without an acknowledgement nothing of the own zone's sums is known to be the others'.
            counts = name != self._own_zone or self._share.acknowledged_s is not None
            if counts and self._fresh(name, zone, now_s):
                told += zone.instances
        return max(told, 1)

    def is_late(self, now_s: float) -> bool:
        """Return whether the own zone's hub has just fallen silent, and another takes over soon."""
        zone = self._zones.get(self._own_zone)
        if zone is None:
            return False
        late_s = min(max(zone.instances * _LATE_INSTANCE_S, _LATE_MIN_S), _LATE_MAX_S)
        return late_s < now_s - zone.heard_s <= _OWN_ZONE_SILENCE_S

    def hears_all(self, now_s: float) -> bool:
        """Return whether all zones that are known tell what they should."""
        if self._own_zone not in self._zones or self.is_late(now_s):
            return False
        return all(now_s - zone.heard_s <= _ZONE_LATE_S for zone in self._zones.values())

    def store_readers(self, now_s: float) -> int:
        """Return how many instances are in contact with the store, this one included."""
        return sum(
            zone.store_readers
            for name, zone in self._zones.items()
            if self._fresh(name, zone, now_s)
        )

    def _echo(self, hub: str, scope: Scope) -> SectionEcho | None:
        heard = self._heard.get((hub, scope))
        return None if heard is None else SectionEcho(hub, heard.incarnation, heard.sequence)

    def _fresh(self, name: str, zone: _Zone, now_s: float) -> bool:
        limit_s = _OWN_ZONE_SILENCE_S if name == self._own_zone else _ZONE_SILENCE_S
        return now_s - zone.heard_s <= limit_s

    def _zone_of(self, section: Section, now_s: float) -> _Zone:
        name = section.availability_zone
        lifetime = f"{section.hub}~{section.incarnation}"
        zone = self._zones.get(name)
        if zone is None or zone.lifetime != lifetime:
            if zone is not None:
                self._repeats.forget(zone.lifetime)
                self._quotas.forget(zone.lifetime)
            if name == self._own_zone:
                self._start_anew()
            sums = zone.sums if zone is not None else {}
            zone = self._zones[name] = _Zone(section.hub, lifetime, now_s, 0, 0, sums)
        zone.heard_s = now_s
        zone.instances = section.instances
        zone.store_readers = section.store_readers
        return zone

    def _start_anew(self) -> None:
        """Begin with another hub of the own zone: its sums are others, and so is the place."""
        self._share.start_anew()
        self._load.forget(self._own_zone)
        self._place = None

    def _take_own(
        self, section: Section, zone: _Zone, ids: Mapping[int, str], now_s: float
    ) -> None:
        own_before = set(self._share.own_keys())
        self._share.take(section, self._place)
        if section.accounts:
            self._quotas.acknowledged(self._share.acknowledged_accounts)
            self._quotas.told(zone.lifetime, section.accounts, now_s)
        touched = own_before | set(self._share.own_keys())
        counts = {**self._share.of_others(touched), **self._share.loads(section)}
        told = {ids[key]: count for key, count in counts.items() if key in ids}
        self._load.changed(self._own_zone, told, now_s)
        # These begin at nothing with each hub that is followed.
        zone.heard_counts = True
        self._tell_repeats(zone, self._share.repeats(), now_s)

    def _tell_repeats(self, zone: _Zone, totals: Mapping[str, RepeatCounts], now_s: float) -> None:
        for service, total in totals.items():
            if zone.heard_counts and service not in zone.services:
                # It was not in the sums before: all of it is new.
                self._repeats.told(zone.lifetime, service, RepeatCounts(), now_s)
            zone.services.add(service)
            self._repeats.told(zone.lifetime, service, total, now_s)
